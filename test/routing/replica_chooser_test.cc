#include "peridotfork/routing/replica_chooser.h"

#include <doctest/doctest.h>

#include <array>
#include <random>
#include <string>
#include <vector>

#include "peridotfork/routing/hedge_policy.h"

namespace peridotfork::routing {
namespace {

using protocol::TargetState;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Three warm replicas, "0" to "2", each with 3 slots and a latency of 10 ms.
struct Replicas {
  Replicas() {
    for (std::size_t i = 0; i < 3; ++i) {
      conditions[i].state = TargetState::kWarm;
      conditions[i].allowance = Slots(3);
      list.push_back({.target = TargetId(std::to_string(i)),
                      .data_centre = DataCentreId("remote"),
                      .condition = &conditions[i],
                      .latency = milliseconds(10)});
    }
  }

  std::optional<std::size_t> Choose(std::uint64_t random_value = 1,
                                    bool may_explore = false) const {
    return chooser.Choose({.candidates = list,
                           .tried = tried,
                           .may_explore = may_explore,
                           .random_value = random_value});
  }

  ManualClock clock;
  ExpectedTimeChooser chooser{clock, DataCentreId("here")};
  std::array<protocol::TargetCondition, 3> conditions;
  std::vector<Candidate> list;
  std::vector<TargetId> tried;
};

TEST_CASE("the choice depends on latency, own attempts, reported work, queue and slots") {
  Replicas replicas;
  replicas.list[1].latency = milliseconds(8);
  CHECK(replicas.Choose() == 1);
  replicas.list[1].own_in_flight = 1;
  replicas.conditions[0].in_use = 3;
  CHECK(replicas.Choose() == 2);
  replicas.conditions[2].queued = 6;
  CHECK(replicas.Choose() == 1);
  replicas.conditions[0].allowance = Slots(12);
  CHECK(replicas.Choose() == 0);
}

// Guards against a target that keeps its low estimate because it does not answer: only answers
// would raise the estimate.
TEST_CASE("an attempt that has waited for long raises the expected time of its target") {
  Replicas replicas;
  replicas.list[0].latency = milliseconds(1);
  replicas.list[0].own_in_flight = 1;
  CHECK(replicas.Choose() == 0);
  replicas.list[0].oldest_pending_age = milliseconds(50);
  CHECK(replicas.Choose() != 0);
}

TEST_CASE("the weight of a report decreases with its age") {
  Replicas replicas;
  replicas.conditions[0].queued = 9;
  replicas.conditions[1].queued = 8;
  replicas.conditions[2].queued = 20;
  CHECK(replicas.Choose() == 1);
  replicas.list[0].condition_age = milliseconds(400);
  CHECK(replicas.Choose() == 0);
  replicas.list[0].condition_age = milliseconds(0);
  replicas.conditions[0].queued = 0;
  replicas.conditions[0].reported_load = 9;
  CHECK(replicas.Choose() == 1);
  replicas.conditions[0].reported_age = milliseconds(400);
  CHECK(replicas.Choose() == 0);
}

TEST_CASE("a replica in the local data centre is preferred within 20 percent") {
  Replicas replicas;
  replicas.list[2].data_centre = DataCentreId("here");
  replicas.list[2].latency = milliseconds(12);
  CHECK(replicas.Choose() == 2);
  replicas.list[2].latency = milliseconds(13);
  CHECK(replicas.Choose() != 2);
}

// Checks invariants 3, 4 and 8 at the entry.
TEST_CASE("targets that must not get work are skipped by every chooser") {
  const auto check = [](auto&& change) {
    for (std::uint64_t random_value = 0; random_value < 128; ++random_value) {
      Replicas replicas;
      change(replicas);
      replicas.list[0].last_sent = replicas.clock.now() - seconds(60);
      CHECK(replicas.Choose(random_value, true) == 2);
      CHECK(RandomChooser().Choose({replicas.list, replicas.tried, true, random_value}) == 2);
      replicas.tried.push_back(TargetId("2"));
      CHECK_FALSE(replicas.Choose(random_value, true));
    }
  };
  check([](Replicas& r) { r.list[0].leaving = r.list[1].drained = true; });
  check([](Replicas& r) {
    r.conditions[0].state = TargetState::kSuspect;
    r.conditions[1].state = TargetState::kDraining;
  });
  check([](Replicas& r) {
    r.conditions[0].state = r.conditions[1].state = TargetState::kCold;
    r.conditions[0].allowance = r.conditions[1].allowance = Slots(0);
  });
}

TEST_CASE("a replica without a report or an estimate can be chosen") {
  Replicas replicas;
  replicas.tried = {TargetId("1"), TargetId("2")};
  replicas.list[0].condition = nullptr;
  replicas.list[0].latency.reset();
  CHECK(replicas.Choose() == 0);
}

// Guards against a target that was slow once and is then never chosen again.
TEST_CASE("a replica without work for a long time is explored in one of 64 choices") {
  Replicas replicas;
  replicas.list[2].latency = seconds(1);
  replicas.list[2].last_sent = replicas.clock.now() - seconds(5);
  int explored = 0;
  for (std::uint64_t random_value = 0; random_value < 6400; ++random_value) {
    explored += replicas.Choose(random_value, true) == 2 ? 1 : 0;
    CHECK(replicas.Choose(random_value, false) != 2);
  }
  CHECK(explored == 100);
  replicas.list[2].last_sent = replicas.clock.now() - seconds(4);
  CHECK(replicas.Choose(0, true) != 2);
}

TEST_CASE("equal replicas and the random chooser share the work evenly") {
  Replicas replicas;
  std::mt19937 random(1);
  std::array<int, 3> by_time{};
  std::array<int, 3> random_counts{};
  for (int i = 0; i < 3000; ++i) {
    ++by_time[*replicas.Choose(random(), true)];
    ++random_counts[*RandomChooser().Choose({replicas.list, {}, true, random()})];
  }
  for (std::size_t i = 0; i < 3; ++i) {
    CHECK(by_time[i] == doctest::Approx(1000).epsilon(0.1));
    CHECK(random_counts[i] == doctest::Approx(1000).epsilon(0.1));
  }
}

TEST_CASE("a hedge comes after the p95 estimate, or after half of the time without one") {
  Replicas replicas;
  const GroupId group{ServiceId("desk"), GroupIndex(0)};
  LatencyTracker latencies(replicas.clock);
  const QuantileHedge hedge(latencies);
  const BootTime now = replicas.clock.now();
  HedgeRequest request{group, replicas.list, now, now + milliseconds(400)};
  CHECK(hedge.HedgeAt(request) == now + milliseconds(200));
  for (int i = 0; i < 100; ++i) {
    latencies.Observe(TargetId("0"), group, milliseconds(20));
  }
  CHECK(hedge.HedgeAt(request) == now + milliseconds(20));
  CHECK_FALSE(NoHedge().HedgeAt(request));
  request.answer_by = now + milliseconds(20);
  CHECK_FALSE(hedge.HedgeAt(request));
}

// Guards against ordinary late answers using up the hedge budget needed for stragglers.
TEST_CASE("the hedge delay grows as the budget empties, up to three medians") {
  Replicas replicas;
  const GroupId group{ServiceId("desk"), GroupIndex(0)};
  LatencyTracker latencies(replicas.clock);
  for (int i = 0; i < 200; ++i) {
    latencies.Observe(TargetId("0"), group, milliseconds(10 + i % 50));
  }
  const LatencyQuantiles quantiles = *latencies.GroupQuantiles(group);
  const std::chrono::nanoseconds longest = 3 * quantiles.median;
  REQUIRE(quantiles.p95 < longest);
  const BootTime now = replicas.clock.now();
  HedgeRequest request{group, replicas.list, now, now + milliseconds(400)};
  const auto wait = [&](double fill) {
    request.budget_fill = fill;
    return *QuantileHedge(latencies).HedgeAt(request) - now;
  };
  CHECK(wait(1) == quantiles.p95);
  CHECK(wait(0) == longest);
  CHECK(wait(-1) == longest);
  CHECK(wait(0.5) > quantiles.p95);
  CHECK(wait(0.5) < longest);
}

TEST_CASE("a saturated group is not hedged") {
  Replicas replicas;
  LatencyTracker latencies(replicas.clock);
  const QuantileHedge hedge(latencies);
  const BootTime now = replicas.clock.now();
  const HedgeRequest request{{}, replicas.list, now, now + milliseconds(400)};
  replicas.conditions[0].queued = 9;
  CHECK(hedge.HedgeAt(request));
  replicas.conditions[1].queued = 1;
  CHECK_FALSE(hedge.HedgeAt(request));
}

}  // namespace
}  // namespace peridotfork::routing
