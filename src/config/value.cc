#include "peridotfork/internal/config/value.h"

#include <algorithm>

namespace peridotfork {
namespace {

// Moves the value of a parse result into its member.
template <typename T, typename Parsed>
Result<void> Store(Result<Parsed> parsed, T& value) {
  if (!parsed) {
    return std::move(parsed).error();
  }
  value = T(std::move(parsed).value());
  return boost::outcome_v2::success();
}

std::string ExpectedDurations(const Limits& limits) {
  std::string expected =
      "expected whole milliseconds from " + PrintDuration(std::chrono::milliseconds(limits.min));
  if (limits.max != Limits{}.max) {
    expected += " to " + PrintDuration(std::chrono::milliseconds(limits.max));
  }
  return expected;
}

}  // namespace

Result<void> ReadValue(std::string_view text, const Limits&, std::string& value) {
  if (text.empty()) {
    return MakeError(ErrorKind::kMalformed, {}, "expected a non-empty text");
  }
  value = text;
  return boost::outcome_v2::success();
}

Result<void> ReadValue(std::string_view text, const Limits&, Address& value) {
  return Store(ParseAddress(text), value);
}

Result<void> ReadValue(std::string_view text, const Limits&, Rate& value) {
  return Store(ParseRate(text), value);
}

Result<void> ReadValue(std::string_view text, const Limits&, bool& value) {
  return Store(ParseBool(text), value);
}

Result<void> ReadValue(std::string_view text, const Limits&, double& value) {
  return Store(ParsePercent(text), value);
}

Result<void> ReadValue(std::string_view text, const Limits& limits, std::uint32_t& value) {
  constexpr std::uint64_t kMax = std::numeric_limits<std::uint32_t>::max();
  return Store(ParseCount(text, limits.min, std::min(limits.max, kMax)), value);
}

Result<void> ReadValue(std::string_view text,
                       const Limits& limits,
                       std::chrono::milliseconds& value) {
  const auto parsed = ParseDuration(text);
  if (!parsed) {
    return parsed.error();
  }
  const auto whole = std::chrono::duration_cast<std::chrono::milliseconds>(parsed.value());
  const auto count = static_cast<std::uint64_t>(whole.count());
  // The platform computes some bounds and fills them in with a fraction. Microseconds are not
  // dropped from a value that is written in them.
  const bool may_round = text.find('.') != std::string_view::npos;
  if ((whole != parsed.value() && !may_round) || count < limits.min || count > limits.max) {
    return MakeError(ErrorKind::kOutOfRange, {}, ExpectedDurations(limits));
  }
  value = whole;
  return boost::outcome_v2::success();
}

std::string PrintValue(const std::string& value) {
  return value;
}

std::string PrintValue(const Rate& value) {
  return PrintRate(value);
}

std::string PrintValue(const bool& value) {
  return value ? "yes" : "no";
}

std::string PrintValue(const std::uint32_t& value) {
  return std::to_string(value);
}

std::string PrintValue(const std::chrono::milliseconds& value) {
  return value.count() == 0 ? "0ms" : PrintDuration(value);
}

std::string PrintValue(const double& value) {
  return PrintPercent(value);
}

}  // namespace peridotfork
