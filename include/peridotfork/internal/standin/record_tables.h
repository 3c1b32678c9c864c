#ifndef PERIDOTFORK_INTERNAL_STANDIN_RECORD_TABLES_H_
#define PERIDOTFORK_INTERNAL_STANDIN_RECORD_TABLES_H_

#include <array>
#include <cstdint>
#include <random>
#include <string>
#include <string_view>

namespace peridotfork::standin {

struct Town {
  const char* name;
  const char* state;
  std::int64_t population;
};

// Uniform integer in [low, high]. Written out because the result of
// std::uniform_int_distribution differs between standard libraries.
inline std::int64_t UniformInteger(std::mt19937_64& random, std::int64_t low, std::int64_t high) {
  return low + static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(high - low + 1));
}

template <typename T, std::size_t size>
const T& Pick(std::mt19937_64& random, const std::array<T, size>& table) {
  return table[random() % size];
}

// Converts text to lower case with hyphens, for record ids.
std::string Slug(std::string_view text);
std::string Slug(const Town& town);

// Formats a date as "2026-03-09".
std::string FormatDate(std::int64_t year, std::int64_t month, std::int64_t day);

// Formats minutes since midnight as "14:30".
std::string FormatTime(std::int64_t minutes);

}  // namespace peridotfork::standin

#endif  // PERIDOTFORK_INTERNAL_STANDIN_RECORD_TABLES_H_
