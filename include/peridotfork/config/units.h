#ifndef PERIDOTFORK_CONFIG_UNITS_H_
#define PERIDOTFORK_CONFIG_UNITS_H_

#include <chrono>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>

#include "peridotfork/core/error.h"
#include "peridotfork/core/ids.h"
#include "peridotfork/core/units.h"

namespace peridotfork {

// Parsers of single values. The detail of each error states the expected form;
// its location is filled in by the calling code. All are thread-safe.

// A number with the unit us, ms, s or min, such as "250us" or "6.5s", rounded to microseconds.
Result<std::chrono::microseconds> ParseDuration(std::string_view text);

// A positive number of requests per second, such as "200/s" or "0.5/s".
Result<Rate> ParseRate(std::string_view text);

// A whole number from `min` to `max`, inclusive.
Result<std::uint64_t> ParseCount(std::string_view text,
                                 std::uint64_t min = 0,
                                 std::uint64_t max = std::numeric_limits<std::uint64_t>::max());

// A decimal number from `min` to `max`, inclusive, such as "260" or "260.5".
Result<double> ParseNumber(std::string_view text, double min, double max);

// "yes" or "no".
Result<bool> ParseBool(std::string_view text);

// A fraction from 0 to 1, written as "99.9%".
Result<double> ParsePercent(std::string_view text);

// A numeric IPv4 address and a port from 1 to 65535, such as "127.0.0.1:7001".
// Only the canonical form is accepted, so that equal addresses compare equal.
Result<Address> ParseAddress(std::string_view text);

// A name of letters, digits, '.', '_' and '-' that starts with a letter or a
// digit.
Result<std::string> ParseName(std::string_view text);

// Inverses of the parsers. Durations use the largest unit that is exact.
std::string PrintDuration(std::chrono::microseconds duration);
std::string PrintNumber(double value);
std::string PrintRate(Rate rate);
std::string PrintPercent(double share);

// Removes spaces and tabs at both ends.
std::string_view TrimBlanks(std::string_view text);

}  // namespace peridotfork

#endif  // PERIDOTFORK_CONFIG_UNITS_H_
