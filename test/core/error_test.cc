#include "peridotfork/core/error.h"

#include <doctest/doctest.h>

#include "peridotfork/core/clock.h"

namespace peridotfork {
namespace {

// Guards against a kind missing from the name table, which callers would see as
// "internal".
TEST_CASE("every error kind round-trips through its name") {
  for (int value = 0; value <= static_cast<int>(ErrorKind::kInternal); ++value) {
    const auto kind = static_cast<ErrorKind>(value);
    CHECK(ErrorKindFromName(ErrorKindName(kind)) == kind);
  }
}

TEST_CASE("an error prints its kind, location and detail") {
  const Error error = MakeError(ErrorKind::kOutOfRange, "line 3, key slots", "0 is below 1");
  CHECK(ToString(error) == "out_of_range at line 3, key slots: 0 is below 1");
}

TEST_CASE("a result holds either a value or an error") {
  const Result<int> good = 4;
  const Result<int> bad = MakeError(ErrorKind::kShed);
  CHECK(good.value() == 4);
  CHECK(bad.error().kind() == ErrorKind::kShed);
}

TEST_CASE("the manual clock advances both clocks by the same step") {
  ManualClock clock;
  const BootTime boot = clock.now();
  const WallTime wall = clock.wall_now();
  clock.Advance(std::chrono::milliseconds(5));
  CHECK(clock.now() - boot == std::chrono::milliseconds(5));
  CHECK(clock.wall_now() - wall == std::chrono::milliseconds(5));
}

}  // namespace
}  // namespace peridotfork
