#ifndef PERIDOTFORK_TENANTS_API_KEY_TABLE_H_
#define PERIDOTFORK_TENANTS_API_KEY_TABLE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace peridotfork {

// Maps API keys to the index of their owner. Holds keyed hashes only, with a secret that is random
// for each table, so that neither a memory dump nor the time of a lookup reveals a key. Const
// methods are thread-safe.
class ApiKeyTable {
 public:
  ApiKeyTable();

  // Adds a key. Returns false, and changes nothing, if the key is present.
  bool Add(std::string_view key, std::size_t owner);

  std::optional<std::size_t> Find(std::string_view key) const;

  std::size_t size() const { return owners_.size(); }

  // Identifies a key to operators without revealing it; the same on all hosts.
  static std::string ShortDigest(std::string_view key);

 private:
  using Digest = std::array<std::uint8_t, 32>;
  struct DigestHash {
    std::size_t operator()(const Digest& digest) const {
      std::size_t hash = 0;
      std::memcpy(&hash, digest.data(), sizeof hash);
      return hash;
    }
  };

  Digest Hash(std::string_view key) const;

  Digest secret_{};
  std::unordered_map<Digest, std::size_t, DigestHash> owners_;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_TENANTS_API_KEY_TABLE_H_
