#include "peridotfork/limits/admission.h"

#include <doctest/doctest.h>

#include <array>
#include <random>
#include <string>

namespace peridotfork {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const CallerId kClerk{"clerk"};
const CallerId kPortal{"portal"};

ErrorKind Try(Admission& admission, const CallerId& caller) {
  const Result<void> result = admission.TryAdmit(caller);
  return result ? ErrorKind::kOk : result.error().kind();
}

// Sends requests until one is refused, up to `most`. Returns the number admitted.
std::uint32_t Fill(Admission& admission, const CallerId& caller, std::uint32_t most) {
  std::uint32_t count = 0;
  while (count < most && Try(admission, caller) == ErrorKind::kOk) {
    ++count;
  }
  return count;
}

TEST_CASE("an unknown caller is refused as unknown") {
  ManualClock clock;
  Admission admission(clock, {.total_in_flight = 10});
  CHECK(Try(admission, kClerk) == ErrorKind::kUnknownName);
}

TEST_CASE("a caller cannot exceed its rate or its in-flight limit") {
  ManualClock clock;
  Admission admission(clock, {.total_in_flight = 100});
  admission.SetLimits({{kClerk, {Rate{100}, 5}}});
  CHECK(Fill(admission, kClerk, 100) == 5);
  CHECK(Try(admission, kClerk) == ErrorKind::kCallerLimit);
  std::uint32_t admitted = 5;
  for (int i = 0; i < 1000; ++i) {
    clock.Advance(milliseconds(1));
    admission.Release(kClerk);
    admitted += Fill(admission, kClerk, 1);
  }
  // The burst (200 ms of the rate) plus one second of the rate.
  CHECK(admitted >= 118);
  CHECK(admitted <= 120);
}

// Guards against a caller getting a new burst with each change of the document.
TEST_CASE("new limits preserve requests in flight and consumed rate") {
  ManualClock clock;
  Admission admission(clock, {.total_in_flight = 100});
  admission.SetLimits({{kClerk, {Rate{50}, 50}}});
  CHECK(Fill(admission, kClerk, 100) == 10);
  admission.SetLimits({{kClerk, {Rate{50}, 60}}});
  CHECK(Try(admission, kClerk) == ErrorKind::kCallerLimit);
  admission.SetLimits({});
  CHECK(Try(admission, kClerk) == ErrorKind::kUnknownName);
  CHECK(admission.in_flight() == 10);
  admission.SetLimits({{kClerk, {Rate{50}, 10}}});
  clock.Advance(seconds(1));
  CHECK(Try(admission, kClerk) == ErrorKind::kCallerLimit);
  for (int i = 0; i < 20; ++i) {
    admission.Release(kClerk);
  }
  CHECK(admission.in_flight() == 0);
}

TEST_CASE("a caller that becomes active at a full entry gets its share as requests end") {
  ManualClock clock;
  Admission admission(clock, {.total_in_flight = 20});
  admission.SetLimits({{kClerk, {Rate{1e6}, 20}}, {kPortal, {Rate{1e6}, 60}}});
  CHECK(Fill(admission, kClerk, 100) == 18);
  CHECK(Try(admission, kClerk) == ErrorKind::kQueueFull);
  // The reserve is available at once, the rest of the share as the clerk's requests end.
  CHECK(Fill(admission, kPortal, 100) == 2);
  CHECK(admission.Share(kPortal) == 15);
  for (int i = 0; i < 13; ++i) {
    admission.Release(kClerk);
    CHECK(Try(admission, kClerk) == ErrorKind::kQueueFull);
    CHECK(Try(admission, kPortal) == ErrorKind::kOk);
  }
  CHECK(admission.in_flight(kClerk) == 5);
  CHECK(admission.in_flight(kPortal) == 15);
}

TEST_CASE("the share of a caller that becomes inactive is redistributed") {
  ManualClock clock;
  Admission admission(clock, {.total_in_flight = 20});
  admission.SetLimits({{kClerk, {Rate{1e6}, 20}}, {kPortal, {Rate{1e6}, 20}}});
  CHECK(Try(admission, kPortal) == ErrorKind::kOk);
  admission.Release(kPortal);
  CHECK(Fill(admission, kClerk, 100) == 10);
  clock.Advance(seconds(11));
  CHECK(Fill(admission, kClerk, 100) == 8);
}

// Random callers, all active from the start: a caller below its share is always admitted, whatever
// the others send.
void CheckSharesHold(unsigned seed) {
  constexpr std::uint32_t kTotal = 40;
  std::mt19937 random(seed);
  ManualClock clock;
  Admission admission(clock, {.total_in_flight = kTotal});
  std::map<CallerId, CallerLimits> limits;
  std::vector<CallerId> callers;
  const auto count = 2 + random() % 6;
  for (std::size_t i = 0; i < count; ++i) {
    callers.emplace_back("caller-" + std::to_string(i));
    limits[callers.back()] = {Rate{1e6}, static_cast<std::uint32_t>(1 + random() % 60)};
  }
  admission.SetLimits(limits);
  for (const CallerId& caller : callers) {
    REQUIRE(Try(admission, caller) == ErrorKind::kOk);
  }
  for (int step = 0; step < 2000; ++step) {
    clock.Advance(milliseconds(random() % 4));
    // The first caller is chosen in more than half of the steps.
    const CallerId& caller = random() % 2 == 0 ? callers[0] : callers[random() % count];
    if (random() % 3 == 0 && admission.in_flight(caller) > 1) {
      admission.Release(caller);
      continue;
    }
    const std::uint32_t before = admission.in_flight(caller);
    const bool below_share = before < admission.Share(caller);
    const ErrorKind answer = Try(admission, caller);
    REQUIRE(admission.in_flight() <= kTotal);
    REQUIRE(admission.in_flight(caller) <= limits[caller].in_flight);
    if (below_share) {
      REQUIRE(answer == ErrorKind::kOk);
    } else if (answer == ErrorKind::kCallerLimit) {
      REQUIRE(before == limits[caller].in_flight);
    }
  }
}

TEST_CASE("a caller below its share is always admitted") {
  for (unsigned seed = 0; seed < 300; ++seed) {
    INFO("seed ", seed);
    CheckSharesHold(seed);
  }
}

// Guards against unfair sharing under sustained overload, with requests that keep starting and
// ending.
TEST_CASE("under overload each caller gets its weighted share of the concurrency") {
  for (unsigned seed = 0; seed < 100; ++seed) {
    INFO("seed ", seed);
    std::mt19937 random(seed);
    ManualClock clock;
    Admission admission(clock, {.total_in_flight = 40});
    const std::array callers{CallerId{"a"}, CallerId{"b"}, CallerId{"c"}};
    admission.SetLimits({{callers[0], {Rate{1e6}, 100}},
                         {callers[1], {Rate{1e6}, 50}},
                         {callers[2], {Rate{1e6}, 50}}});
    std::map<CallerId, double> used;
    for (int step = 0; step < 4000; ++step) {
      clock.Advance(milliseconds(1));
      // The first caller sends about four times as many requests as each of the others.
      Try(admission, callers[random() % 4 == 0 ? random() % 3 : 0]);
      Try(admission, callers[random() % 3]);
      if (const CallerId& done = callers[random() % 3]; random() % 2 == 0) {
        admission.Release(done);
      }
      for (const CallerId& each : callers) {
        used[each] += admission.in_flight(each) / 4000.0;
      }
    }
    CHECK(used[callers[0]] == doctest::Approx(20).epsilon(0.1));
    CHECK(used[callers[1]] == doctest::Approx(10).epsilon(0.1));
    CHECK(used[callers[2]] == doctest::Approx(10).epsilon(0.1));
  }
}

}  // namespace
}  // namespace peridotfork
