#ifndef PERIDOTFORK_INTERNAL_CONFIG_VALUE_H_
#define PERIDOTFORK_INTERNAL_CONFIG_VALUE_H_

#include <chrono>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

#include "peridotfork/config/units.h"
#include "peridotfork/core/error.h"
#include "peridotfork/core/ids.h"
#include "peridotfork/core/units.h"

namespace peridotfork {

// Minimum and maximum of a number, or of a duration in milliseconds.
struct Limits {
  std::uint64_t min = 0;
  std::uint64_t max = std::numeric_limits<std::uint64_t>::max();
};

// Parsing and printing of a value, overloaded by the type of its member. Other
// packages add overloads for their types in the namespace of the type.
Result<void> ReadValue(std::string_view text, const Limits& limits, std::string& value);
Result<void> ReadValue(std::string_view text, const Limits& limits, Address& value);
Result<void> ReadValue(std::string_view text, const Limits& limits, Rate& value);
Result<void> ReadValue(std::string_view text, const Limits& limits, bool& value);
Result<void> ReadValue(std::string_view text, const Limits& limits, std::uint32_t& value);
Result<void> ReadValue(std::string_view text,
                       const Limits& limits,
                       std::chrono::milliseconds& value);
// A fraction from 0 to 1, written as a percentage.
Result<void> ReadValue(std::string_view text, const Limits& limits, double& value);

std::string PrintValue(const std::string& value);
std::string PrintValue(const Rate& value);
std::string PrintValue(const bool& value);
std::string PrintValue(const std::uint32_t& value);
std::string PrintValue(const std::chrono::milliseconds& value);
std::string PrintValue(const double& value);

// Ids are names; other strong values of integers are counts.
template <typename Tag>
Result<void> ReadValue(std::string_view text, const Limits&, StrongValue<Tag, std::string>& value) {
  auto name = ParseName(text);
  if (!name) {
    return std::move(name).error();
  }
  value = StrongValue<Tag, std::string>(std::move(name).value());
  return boost::outcome_v2::success();
}

template <typename Tag, typename Rep>
requires std::is_unsigned_v<Rep> Result<void> ReadValue(std::string_view text,
                                                        const Limits& limits,
                                                        StrongValue<Tag, Rep>& value) {
  constexpr std::uint64_t kMax = std::numeric_limits<Rep>::max();
  const auto count = ParseCount(text, limits.min, limits.max < kMax ? limits.max : kMax);
  if (!count) {
    return count.error();
  }
  value = StrongValue<Tag, Rep>(static_cast<Rep>(count.value()));
  return boost::outcome_v2::success();
}

// Strong values of fractions are decimal numbers.
template <typename Tag>
Result<void> ReadValue(std::string_view text,
                       const Limits& limits,
                       StrongValue<Tag, double>& value) {
  const auto number =
      ParseNumber(text, static_cast<double>(limits.min), static_cast<double>(limits.max));
  if (!number) {
    return number.error();
  }
  value = StrongValue<Tag, double>(number.value());
  return boost::outcome_v2::success();
}

template <typename T>
Result<void> ReadValue(std::string_view text, const Limits& limits, std::optional<T>& value) {
  return ReadValue(text, limits, value.emplace());
}

// Appends the values of a list separated by commas, spaces or tabs.
template <typename T>
Result<void> ReadValue(std::string_view text, const Limits& limits, std::vector<T>& value) {
  constexpr std::string_view kSeparators = ", \t";
  while (true) {
    const std::size_t begin = text.find_first_not_of(kSeparators);
    if (begin == std::string_view::npos) {
      return boost::outcome_v2::success();
    }
    text.remove_prefix(begin);
    const std::size_t end = text.find_first_of(kSeparators);
    if (auto read = ReadValue(text.substr(0, end), limits, value.emplace_back()); !read) {
      return read;
    }
    text.remove_prefix(end == std::string_view::npos ? text.size() : end);
  }
}

template <typename Tag>
std::string PrintValue(const StrongValue<Tag, std::string>& value) {
  return value.value();
}

template <typename Tag, typename Rep>
requires std::is_unsigned_v<Rep> std::string PrintValue(const StrongValue<Tag, Rep>& value) {
  return std::to_string(value.value());
}

template <typename Tag>
std::string PrintValue(const StrongValue<Tag, double>& value) {
  return PrintNumber(value.value());
}

template <typename T>
std::string PrintValue(const std::optional<T>& value) {
  return value ? PrintValue(*value) : std::string();
}

template <typename T>
std::string PrintValue(const std::vector<T>& values) {
  std::string text;
  for (const T& value : values) {
    text += (text.empty() ? "" : ", ") + PrintValue(value);
  }
  return text;
}

template <typename T>
inline constexpr bool kIsList = false;
template <typename T>
inline constexpr bool kIsList<std::vector<T>> = true;

}  // namespace peridotfork

#endif  // PERIDOTFORK_INTERNAL_CONFIG_VALUE_H_
