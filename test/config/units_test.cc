#include "peridotfork/config/units.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace peridotfork {
namespace {

using std::chrono::microseconds;

TEST_CASE("durations are parsed and printed with their unit") {
  CHECK(ParseDuration("6ms").value() == microseconds(6'000));
  CHECK(ParseDuration("3s").value() == microseconds(3'000'000));
  CHECK(ParseDuration("250us").value() == microseconds(250));
  CHECK(ParseDuration("10min").value() == microseconds(600'000'000));
  for (const char* text : {"1us", "1500us", "7ms", "90s", "2min"}) {
    CHECK(PrintDuration(ParseDuration(text).value()) == text);
  }
}

TEST_CASE("rates, percentages, counts, booleans and addresses are parsed") {
  CHECK(ParseRate("200/s").value() == Rate(200));
  CHECK(PrintRate(ParseRate("0.5/s").value()) == "0.5/s");
  CHECK(ParsePercent("99.9%").value() == doctest::Approx(0.999));
  CHECK(PrintPercent(ParsePercent("99.9%").value()) == "99.9%");
  CHECK(ParseCount("18446744073709551615").value() == UINT64_MAX);
  CHECK(ParseDuration("6.5s").value() == std::chrono::milliseconds(6500));
  CHECK(ParseDuration("6.1s").value() == std::chrono::milliseconds(6100));
  CHECK(ParseDuration("2500.3333333ms").value() == std::chrono::microseconds(2500333));
  CHECK(ParseDuration("0.25ms").value() == std::chrono::microseconds(250));
  CHECK(ParseNumber("390.5", 64, 1000).value() == 390.5);
  CHECK(ParseBool("yes").value());
  CHECK_FALSE(ParseBool("no").value());
  CHECK(ParseAddress("10.0.0.255:65535").value() == Address("10.0.0.255:65535"));
}

// Guards against values that are truncated, wrap around, or have two spellings.
TEST_CASE("invalid values are refused with the expected form") {
  const auto check = [](const auto& parse, const std::vector<std::string>& texts) {
    for (const std::string& text : texts) {
      CAPTURE(text);
      const auto parsed = parse(text);
      REQUIRE_FALSE(parsed);
      CHECK(parsed.error().detail.rfind("expected ", 0) == 0);
    }
  };
  check(ParseDuration,
        {"", "6", "ms", "-1ms", "+1ms", "1.s", ".5s", "1.5.5s", "6 ms", "6h", "1e3ms", "0x1s",
         "infs", "9223372036854775807min", "99999999999999999999s"});
  check(ParseRate, {"", "200", "200/min", "0/s", "-1/s", "inf/s", "nan/s", "1e3/s", "/s", "2./ s"});
  check(ParsePercent, {"", "99", "101%", "-1%", "%"});
  check([](std::string_view text) { return ParseCount(text, 1, 10); },
        {"", "0", "11", "1 ", "-1", "+1", "18446744073709551616", "ten"});
  check([](std::string_view text) { return ParseNumber(text, 1, 10); },
        {"", "0.9", "10.1", "1 ", "-1", "+1", "1e1", "5.", ".5", "nan", "ten"});
  check(ParseBool, {"", "Yes", "true", "1"});
  check(ParseAddress,
        {"", "localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:080",
         "127.0.0.1:65536", "127.0.0.1:80 ", "127.0.0.01:80", "127.1:80", "::1:80", "[::1]:80"});
  check(ParseName, {"", ".a", "a b", "a/b", "a:1", "\xC3\xA9"});
}

}  // namespace
}  // namespace peridotfork
