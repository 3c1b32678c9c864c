#include "peridotfork/discovery/freshness.h"

#include <doctest/doctest.h>

#include <random>

namespace peridotfork {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMaxAge{5000};
const FreshnessOptions kLimited{.max_age = kMaxAge};
const BootTime kStart(std::chrono::hours(1));

TEST_CASE("a watch that reports changes proves nothing after its start") {
  Freshness freshness(kLimited);
  freshness.OnListed(kStart);
  freshness.OnWatched(kStart + milliseconds(100), milliseconds(2900), /*empty=*/false,
                      kStart + milliseconds(1500));
  CHECK(freshness.current_as_of() == kStart + milliseconds(100));
}

// The store may hold changes back from a watch for a second before it drops its history.
TEST_CASE("a watch without changes proves the time until a second before its end") {
  Freshness freshness(kLimited);
  freshness.OnListed(kStart);
  freshness.OnWatched(kStart, milliseconds(2900), /*empty=*/true, kStart + milliseconds(2901));
  CHECK(freshness.current_as_of() == kStart + milliseconds(1900));
  freshness.OnWatched(kStart, milliseconds(10), /*empty=*/true, kStart + milliseconds(2920));
  CHECK(freshness.current_as_of() == kStart + milliseconds(1900));
}

// Guards against a revoked key that runs because a store that caps waits answered early.
TEST_CASE("a watch that ends early proves no time that has not passed") {
  Freshness freshness(kLimited);
  freshness.OnListed(kStart);
  freshness.OnWatched(kStart, milliseconds(2900), /*empty=*/true, kStart + milliseconds(1200));
  CHECK(freshness.current_as_of() == kStart + milliseconds(200));
}

// Guards against a host that waits for the end of a long watch, with an age near the limit, after
// a single call was lost.
TEST_CASE("after a failed call the state of the store is asked for at once") {
  Freshness freshness(kLimited);
  freshness.OnListed(kStart);
  freshness.OnFailed();
  CHECK(freshness.NextWatchDuration(kStart + milliseconds(200)) == milliseconds(10));
  freshness.OnWatched(kStart + milliseconds(200), milliseconds(10), /*empty=*/true,
                      kStart + milliseconds(220));
  CHECK(freshness.NextWatchDuration(kStart + milliseconds(220)) == milliseconds(2900));
}

TEST_CASE("without a limit waits and pauses do not depend on the age") {
  const Freshness freshness({});
  CHECK(freshness.NextWatchDuration(kStart) == milliseconds(2900));
  CHECK(freshness.NextBatchDelay(kStart) == milliseconds(900));
}

TEST_CASE("after a long failure the state of the store is asked for at once") {
  Freshness freshness(kLimited);
  freshness.OnListed(kStart);
  CHECK(freshness.NextWatchDuration(kStart + milliseconds(6000)) == milliseconds(10));
  CHECK(freshness.NextBatchDelay(kStart + milliseconds(6000)) == milliseconds(0));
}

// Guards against a host that refuses requests with keys although its store answers.
TEST_CASE("the age stays below its limit while the store answers, whenever it has changes") {
  std::mt19937 random(7);
  std::uniform_int_distribution<int> percent(0, 99);
  std::uniform_int_distribution<int> reply_time(1, 400);
  Freshness freshness(kLimited);
  BootTime now = kStart;
  freshness.OnListed(now);
  for (int i = 0; i < 10'000; ++i) {
    const BootTime sent = now;
    const milliseconds wait = freshness.NextWatchDuration(now);
    const bool empty = percent(random) < 50;
    const milliseconds held = empty ? wait : wait * percent(random) / 100;
    now += held + milliseconds(reply_time(random));
    CHECK(now - freshness.current_as_of() < kMaxAge);
    freshness.OnWatched(sent, wait, empty, now);
    if (!empty) {
      now += freshness.NextBatchDelay(now);
    }
  }
}

}  // namespace
}  // namespace peridotfork
