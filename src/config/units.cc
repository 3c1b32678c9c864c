#include "peridotfork/config/units.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <sstream>

namespace peridotfork {
namespace {

struct DurationUnit {
  std::string_view suffix;
  std::int64_t microseconds;
};

// A suffix must not come before a longer one that ends with it: "s" is last.
// PrintDuration() refers to the units by index.
constexpr std::array kDurationUnits = {
    DurationUnit{"min", 60'000'000},
    DurationUnit{"ms", 1'000},
    DurationUnit{"us", 1},
    DurationUnit{"s", 1'000'000},
};

constexpr std::string_view kDurationExpected =
    "expected a number with the unit us, ms, s or min, such as 250ms or 1.5s";
constexpr std::string_view kRateExpected = "expected a number above 0 per second, such as 200/s";
constexpr std::string_view kPercentExpected = "expected 0% to 100%, such as 99.9%";
constexpr std::string_view kAddressExpected =
    "expected a numeric IPv4 address and a port from 1 to 65535, such as 127.0.0.1:7001";

// Maximum duration: one year. No setting needs more, and the sum of two
// durations cannot overflow.
constexpr std::int64_t kMaxMicroseconds = std::int64_t{365} * 24 * 3600 * 1'000'000;

Error InvalidValue(ErrorKind kind, std::string_view expected) {
  return MakeError(kind, {}, std::string(expected));
}

// Parses all of `text` as a number of type `T`.
template <typename T>
bool ReadNumber(std::string_view text, T* value) {
  if (text.empty() || text.front() == '-') {
    return false;
  }
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), *value);
  return error == std::errc() && end == text.data() + text.size();
}

// Parses a decimal number without an exponent; "inf" and "nan" are refused.
bool ReadDecimal(std::string_view text, double* value) {
  return text.find_first_not_of("0123456789.") == std::string_view::npos && ReadNumber(text, value);
}

// The same with a digit on both sides of the point.
bool ReadFullDecimal(std::string_view text, double* value) {
  return !text.empty() && text.front() != '.' && text.back() != '.' && ReadDecimal(text, value);
}

bool EndsWith(std::string_view text, std::string_view suffix) {
  return text.size() > suffix.size() && text.substr(text.size() - suffix.size()) == suffix;
}

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' ||
         c == '_' || c == '-';
}

std::string PrintDecimal(double value) {
  std::array<char, 32> buffer{};
  const auto [end, error] =
      std::to_chars(buffer.data(), buffer.data() + buffer.size(), value, std::chars_format::fixed);
  return error == std::errc() ? std::string(buffer.data(), end) : std::to_string(value);
}

}  // namespace

Result<std::chrono::microseconds> ParseDuration(std::string_view text) {
  for (const DurationUnit& unit : kDurationUnits) {
    if (!EndsWith(text, unit.suffix)) {
      continue;
    }
    double count = 0;
    if (!ReadFullDecimal(text.substr(0, text.size() - unit.suffix.size()), &count)) {
      return InvalidValue(ErrorKind::kMalformed, kDurationExpected);
    }
    const double microseconds = count * static_cast<double>(unit.microseconds);
    if (microseconds > static_cast<double>(kMaxMicroseconds)) {
      return MakeError(ErrorKind::kOutOfRange, {}, "expected at most 525600min");
    }
    // Exact for whole numbers, since all durations up to the maximum are less than 2^53
    // microseconds.
    return std::chrono::microseconds(std::llround(microseconds));
  }
  return InvalidValue(ErrorKind::kMalformed, kDurationExpected);
}

Result<Rate> ParseRate(std::string_view text) {
  double value = 0;
  if (!EndsWith(text, "/s") || !ReadDecimal(text.substr(0, text.size() - 2), &value)) {
    return InvalidValue(ErrorKind::kMalformed, kRateExpected);
  }
  if (value <= 0) {
    return InvalidValue(ErrorKind::kOutOfRange, kRateExpected);
  }
  return Rate(value);
}

Result<std::uint64_t> ParseCount(std::string_view text, std::uint64_t min, std::uint64_t max) {
  std::ostringstream expected;
  expected << "expected a whole number from " << min << " to " << max;
  std::uint64_t value = 0;
  if (!ReadNumber(text, &value)) {
    return InvalidValue(ErrorKind::kMalformed, expected.str());
  }
  if (value < min || value > max) {
    return InvalidValue(ErrorKind::kOutOfRange, expected.str());
  }
  return value;
}

Result<double> ParseNumber(std::string_view text, double min, double max) {
  std::ostringstream expected;
  expected << "expected a number from " << PrintDecimal(min) << " to " << PrintDecimal(max);
  double value = 0;
  if (!ReadFullDecimal(text, &value)) {
    return InvalidValue(ErrorKind::kMalformed, expected.str());
  }
  if (value < min || value > max) {
    return InvalidValue(ErrorKind::kOutOfRange, expected.str());
  }
  return value;
}

Result<bool> ParseBool(std::string_view text) {
  if (text == "yes" || text == "no") {
    return text == "yes";
  }
  return MakeError(ErrorKind::kMalformed, {}, "expected yes or no");
}

Result<double> ParsePercent(std::string_view text) {
  double value = 0;
  if (!EndsWith(text, "%") || !ReadDecimal(text.substr(0, text.size() - 1), &value)) {
    return InvalidValue(ErrorKind::kMalformed, kPercentExpected);
  }
  if (value > 100) {
    return InvalidValue(ErrorKind::kOutOfRange, kPercentExpected);
  }
  return value / 100;
}

Result<Address> ParseAddress(std::string_view text) {
  const std::size_t colon = text.find(':');
  const std::string host(text.substr(0, colon));
  in_addr parsed{};
  if (colon == std::string_view::npos || inet_pton(AF_INET, host.c_str(), &parsed) != 1) {
    return InvalidValue(ErrorKind::kMalformed, kAddressExpected);
  }
  std::array<char, INET_ADDRSTRLEN> canonical{};
  inet_ntop(AF_INET, &parsed, canonical.data(), canonical.size());
  const std::string_view port = text.substr(colon + 1);
  std::uint16_t number = 0;
  if (host != canonical.data() || !ReadNumber(port, &number) || port.front() == '0') {
    return InvalidValue(ErrorKind::kMalformed, kAddressExpected);
  }
  return Address(std::string(text));
}

Result<std::string> ParseName(std::string_view text) {
  constexpr std::string_view kExpected =
      "expected letters, digits, '.', '_' or '-', with a letter or a digit first";
  if (text.empty() || !std::all_of(text.begin(), text.end(), IsNameCharacter) ||
      text.find_first_of("._-") == 0) {
    return InvalidValue(ErrorKind::kMalformed, kExpected);
  }
  return std::string(text);
}

std::string PrintDuration(std::chrono::microseconds duration) {
  const std::int64_t count = duration.count();
  constexpr std::array<std::size_t, 3> kLargestFirst = {0, 3, 1};
  for (const std::size_t index : kLargestFirst) {
    const DurationUnit& unit = kDurationUnits[index];
    if (count != 0 && count % unit.microseconds == 0) {
      return std::to_string(count / unit.microseconds) + std::string(unit.suffix);
    }
  }
  return std::to_string(count) + "us";
}

std::string PrintNumber(double value) {
  return PrintDecimal(value);
}

std::string PrintRate(Rate rate) {
  return PrintDecimal(rate.value()) + "/s";
}

std::string PrintPercent(double share) {
  return PrintDecimal(share * 100) + "%";
}

std::string_view TrimBlanks(std::string_view text) {
  const std::size_t begin = text.find_first_not_of(" \t");
  if (begin == std::string_view::npos) {
    return {};
  }
  return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

}  // namespace peridotfork
