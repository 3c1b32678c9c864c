#ifndef PERIDOTFORK_INTERNAL_STANDIN_STABLE_HASH_H_
#define PERIDOTFORK_INTERNAL_STANDIN_STABLE_HASH_H_

#include <cstdint>
#include <string_view>

namespace peridotfork::standin {

// SplitMix64 finalizer: every input bit affects all bits of the result.
constexpr std::uint64_t MixBits(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15ULL;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

// FNV-1a. The same in every process and build, unlike std::hash, so that
// replicas agree on the group of a record.
constexpr std::uint64_t TextHash(std::string_view text) {
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (const char c : text) {
    hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  }
  return hash;
}

// Derives an independent hash for each salt from the TextHash() of a text.
constexpr std::uint64_t SaltHash(std::uint64_t text_hash, std::uint64_t salt) {
  return MixBits(text_hash ^ MixBits(salt));
}

constexpr std::uint64_t StableHash(std::string_view text, std::uint64_t salt = 0) {
  return SaltHash(TextHash(text), salt);
}

}  // namespace peridotfork::standin

#endif  // PERIDOTFORK_INTERNAL_STANDIN_STABLE_HASH_H_
