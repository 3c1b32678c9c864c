#include "peridotfork/tenants/api_key_table.h"

#include <mbedtls/md.h>
#include <sys/random.h>

#include <cstdio>

namespace peridotfork {
namespace {

// Bytes of a digest that operators see.
constexpr std::size_t kShortDigestBytes = 4;

const unsigned char* Bytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

}  // namespace

ApiKeyTable::ApiKeyTable() {
  // The call gives up to 256 bytes whole, and fails only before the system has any randomness. The
  // hashes are then without a secret, but still no keys.
  if (getrandom(secret_.data(), secret_.size(), 0) < 0) {
    secret_ = {};
  }
}

bool ApiKeyTable::Add(std::string_view key, std::size_t owner) {
  return owners_.emplace(Hash(key), owner).second;
}

std::optional<std::size_t> ApiKeyTable::Find(std::string_view key) const {
  const auto found = owners_.find(Hash(key));
  return found == owners_.end() ? std::nullopt : std::optional(found->second);
}

std::string ApiKeyTable::ShortDigest(std::string_view key) {
  Digest digest{};
  mbedtls_md(mbedtls_md_info_from_type(MBEDTLS_MD_SHA256), Bytes(key), key.size(), digest.data());
  std::string text;
  for (std::size_t i = 0; i < kShortDigestBytes; ++i) {
    char hex[3];
    std::snprintf(hex, sizeof hex, "%02x", digest[i]);
    text += hex;
  }
  return text;
}

ApiKeyTable::Digest ApiKeyTable::Hash(std::string_view key) const {
  Digest digest{};
  mbedtls_md_hmac(mbedtls_md_info_from_type(MBEDTLS_MD_SHA256), secret_.data(), secret_.size(),
                  Bytes(key), key.size(), digest.data());
  return digest;
}

}  // namespace peridotfork
