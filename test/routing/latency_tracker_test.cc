#include "peridotfork/routing/latency_tracker.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <vector>

namespace peridotfork::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TargetId kTarget("t");
const GroupId kGroup{ServiceId("desk"), GroupIndex(0)};

void ObserveMany(LatencyTracker& tracker, int count, milliseconds latency) {
  for (int i = 0; i < count; ++i) {
    tracker.Observe(kTarget, kGroup, latency);
  }
}

double Ratio(std::chrono::nanoseconds estimate, double exact) {
  return std::chrono::duration<double>(estimate).count() / exact;
}

// Inaccurate estimates would send hedges too early or too late. Latencies: lognormal with a median
// of 10 ms; one in 20 is four times as long.
TEST_CASE("estimates are close to the exact quantiles") {
  for (std::uint32_t seed = 1; seed <= 100; ++seed) {
    CAPTURE(seed);
    ManualClock clock;
    LatencyTracker tracker(clock);
    std::mt19937 random(seed);
    std::lognormal_distribution<double> fast(-4.6, 0.3);
    std::vector<double> latencies;
    for (int i = 0; i < 450; ++i) {
      latencies.push_back(fast(random) * (random() % 20 == 0 ? 4 : 1));
      tracker.Observe(kTarget, kGroup,
                      std::chrono::nanoseconds(static_cast<std::int64_t>(latencies.back() * 1e9)));
    }
    std::sort(latencies.begin(), latencies.end());
    const auto estimate = tracker.GroupQuantiles(kGroup);
    REQUIRE(estimate);
    CHECK(Ratio(estimate->median, latencies[225]) == doctest::Approx(1).epsilon(0.1));
    CHECK(Ratio(estimate->p95, latencies[427]) == doctest::Approx(1).epsilon(0.35));
    CHECK(Ratio(estimate->p99, latencies[445]) == doctest::Approx(1).epsilon(0.35));
    CHECK(tracker.TargetQuantiles(kTarget)->median == estimate->median);
  }
}

TEST_CASE("the estimate switches to the new window once that has enough latencies") {
  ManualClock clock;
  LatencyTracker tracker(clock);
  ObserveMany(tracker, 100, milliseconds(10));
  clock.Advance(seconds(5));
  ObserveMany(tracker, 29, milliseconds(50));
  CHECK(tracker.TargetQuantiles(kTarget)->median == milliseconds(10));
  ObserveMany(tracker, 1, milliseconds(50));
  CHECK(tracker.TargetQuantiles(kTarget)->median == milliseconds(50));
}

TEST_CASE("an estimate needs 30 latencies and expires after two silent windows") {
  ManualClock clock;
  LatencyTracker tracker(clock);
  ObserveMany(tracker, 29, milliseconds(10));
  CHECK_FALSE(tracker.TargetQuantiles(kTarget));
  ObserveMany(tracker, 1, milliseconds(10));
  CHECK(tracker.TargetQuantiles(kTarget));
  clock.Advance(seconds(5));
  ObserveMany(tracker, 1, milliseconds(10));
  CHECK(tracker.TargetQuantiles(kTarget));
  clock.Advance(seconds(10) + milliseconds(1));
  CHECK_FALSE(tracker.TargetQuantiles(kTarget));
  ObserveMany(tracker, 29, milliseconds(10));
  CHECK_FALSE(tracker.TargetQuantiles(kTarget));
}

// If only the median were used, a target that has just become slow would receive attempts until the
// median reflects the slow answers.
TEST_CASE("the expected latency follows the last few latencies and decays to the median") {
  ManualClock clock;
  LatencyTracker tracker(clock);
  CHECK_FALSE(tracker.ExpectedLatency(kTarget));
  ObserveMany(tracker, 1, milliseconds(12));
  CHECK(tracker.ExpectedLatency(kTarget) == milliseconds(12));
  ObserveMany(tracker, 100, milliseconds(10));
  CHECK(Ratio(*tracker.ExpectedLatency(kTarget), 0.010) == doctest::Approx(1));
  ObserveMany(tracker, 1, milliseconds(110));
  CHECK(Ratio(*tracker.ExpectedLatency(kTarget), 0.030) == doctest::Approx(1));
  clock.Advance(seconds(1));
  CHECK(Ratio(*tracker.ExpectedLatency(kTarget), 0.020) == doctest::Approx(1));
  clock.Advance(seconds(10));
  CHECK_FALSE(tracker.ExpectedLatency(kTarget));
}

// Guards against unbounded growth while targets are added and removed.
TEST_CASE("the least recently observed key is evicted when the table is full") {
  ManualClock clock;
  LatencyTracker tracker(clock, {.min_samples = 1, .max_keys = 2});
  tracker.Observe(TargetId("a"), kGroup, milliseconds(1));
  tracker.Observe(TargetId("b"), kGroup, milliseconds(1));
  tracker.Observe(TargetId("a"), kGroup, milliseconds(1));
  tracker.Observe(TargetId("c"), kGroup, milliseconds(1));
  CHECK(tracker.TargetQuantiles(TargetId("a")));
  CHECK_FALSE(tracker.TargetQuantiles(TargetId("b")));
  CHECK(tracker.tracked() == 3);
  tracker.Forget(TargetId("a"));
  CHECK_FALSE(tracker.TargetQuantiles(TargetId("a")));
}

}  // namespace
}  // namespace peridotfork::routing
