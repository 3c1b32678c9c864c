#include "peridotfork/fanout/fan_out.h"

#include <doctest/doctest.h>

#include <deque>
#include <random>

namespace peridotfork {
namespace {

using std::chrono::milliseconds;

const BootTime kStart{std::chrono::hours(1)};

FanOutPlan Plan(std::size_t shards, double required_coverage = 1) {
  FanOutPlan plan;
  plan.shards = shards;
  plan.max_attempts = 2;
  plan.required_coverage = required_coverage;
  plan.hedge_delay = milliseconds(40);
  plan.partial_answer_at = kStart + milliseconds(110);
  plan.placement_deadline = kStart + milliseconds(20);
  plan.answer_deadline = kStart + milliseconds(780);
  return plan;
}

void SendAll(FanOut& fan_out, BootTime now) {
  while (const auto spec = fan_out.Next(now)) {
    fan_out.OnSent(spec->shard, now);
  }
}

TEST_CASE("a request answered by all shards is complete") {
  FanOut fan_out(Plan(3));
  SendAll(fan_out, kStart);
  CHECK_FALSE(fan_out.Outcome(kStart));
  for (std::size_t i = 0; i < 3; ++i) {
    fan_out.OnEnd(i, AttemptResult::kAnswered);
  }
  CHECK(fan_out.Outcome(kStart) == FanOutOutcome::kComplete);
}

TEST_CASE("the required shards lie between one and all") {
  CHECK(RequiredShards(10, 0.89) == 9);
  CHECK(RequiredShards(10, 0.9) == 9);
  CHECK(RequiredShards(10, 0) == 1);
  CHECK(RequiredShards(10, 1) == 10);
  CHECK(RequiredShards(10, 1.5) == 10);
  CHECK(RequiredShards(1, 1e300) == 1);
}

TEST_CASE("a slow shard is hedged once, after the delay") {
  FanOut fan_out(Plan(1));
  SendAll(fan_out, kStart);
  CHECK(fan_out.wake_time() == kStart + milliseconds(40));
  CHECK_FALSE(fan_out.Next(kStart + milliseconds(39)));
  const auto hedge = fan_out.Next(kStart + milliseconds(40));
  REQUIRE(hedge);
  CHECK(hedge->purpose == AttemptPurpose::kHedge);
  fan_out.OnSent(0, kStart + milliseconds(40));
  CHECK_FALSE(fan_out.Next(kStart + milliseconds(500)));
}

TEST_CASE("a partial answer with enough shards is final at its due time") {
  FanOut fan_out(Plan(10, 0.89));
  SendAll(fan_out, kStart);
  for (std::size_t i = 0; i < 9; ++i) {
    fan_out.OnEnd(i, AttemptResult::kAnswered);
  }
  CHECK_FALSE(fan_out.Outcome(kStart + milliseconds(109)));
  CHECK(fan_out.Outcome(kStart + milliseconds(110)) == FanOutOutcome::kPartial);
}

TEST_CASE("an answer with too few shards waits past its due time for more") {
  FanOut fan_out(Plan(10, 0.89));
  SendAll(fan_out, kStart);
  for (std::size_t i = 0; i < 8; ++i) {
    fan_out.OnEnd(i, AttemptResult::kAnswered);
  }
  CHECK_FALSE(fan_out.Outcome(kStart + milliseconds(300)));
  fan_out.OnEnd(8, AttemptResult::kAnswered);
  CHECK(fan_out.Outcome(kStart + milliseconds(300)) == FanOutOutcome::kPartial);
}

TEST_CASE("a request that may have run ends as failed, not as refused") {
  FanOutPlan plan = Plan(1);
  plan.idempotent = false;
  FanOut fan_out(plan);
  SendAll(fan_out, kStart);
  CHECK_FALSE(fan_out.Next(kStart + milliseconds(100)));
  fan_out.OnEnd(0, AttemptResult::kMayHaveRun);
  CHECK_FALSE(fan_out.Next(kStart + milliseconds(100)));
  CHECK(fan_out.Outcome(kStart + milliseconds(100)) == FanOutOutcome::kFailed);
}

TEST_CASE("a request that did not run is retried and finally refused") {
  FanOutPlan plan = Plan(1);
  plan.idempotent = false;
  FanOut fan_out(plan);
  for (std::uint32_t i = 0; i < plan.max_attempts + FanOut::kMaxRefusals; ++i) {
    const auto spec = fan_out.Next(kStart);
    REQUIRE(spec);
    fan_out.OnSent(0, kStart);
    fan_out.OnEnd(0, AttemptResult::kNotRun);
  }
  CHECK_FALSE(fan_out.Next(kStart));
  CHECK(fan_out.Outcome(kStart) == FanOutOutcome::kRefused);
}

TEST_CASE("placement is retried for a shard without a target until the placement deadline") {
  FanOut fan_out(Plan(1));
  const auto spec = fan_out.Next(kStart);
  REQUIRE(spec);
  fan_out.OnNoTarget(*spec, kStart);
  CHECK_FALSE(fan_out.Next(kStart));
  CHECK(fan_out.wake_time() == kStart + FanOut::kPlacementRetryDelay);
  const auto again = fan_out.Next(kStart + FanOut::kPlacementRetryDelay);
  REQUIRE(again);
  fan_out.OnNoTarget(*again, kStart + FanOut::kPlacementRetryDelay);
  CHECK_FALSE(fan_out.Next(kStart + FanOut::kPlacementRetryDelay));
  CHECK(fan_out.Outcome(kStart + FanOut::kPlacementRetryDelay) == FanOutOutcome::kRefused);
}

TEST_CASE("a coverage that can't be reached fails the request at once") {
  FanOut fan_out(Plan(4, 0.75));
  SendAll(fan_out, kStart);
  for (int i = 0; i < 2; ++i) {
    for (std::size_t shard = 0; shard < 2; ++shard) {
      fan_out.OnEnd(shard, AttemptResult::kMayHaveRun);
    }
    SendAll(fan_out, kStart);
  }
  CHECK(fan_out.Outcome(kStart) == FanOutOutcome::kFailed);
}

// An attempt that will end at time `at` with `result`.
struct PendingEnd {
  BootTime at;
  std::size_t shard;
  AttemptResult result;
};

TEST_CASE("any sequence of events preserves the invariants of a request") {
  for (unsigned seed = 0; seed < 600; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    FanOutPlan plan = Plan(1 + random() % 10, 0.5 + 0.05 * static_cast<double>(random() % 11));
    plan.idempotent = plan.shards > 1 || random() % 2 == 0;
    plan.max_attempts = 1 + random() % 3;
    FanOut fan_out(plan);
    std::vector<std::uint32_t> ran(plan.shards);
    std::vector<std::uint32_t> open(plan.shards);
    std::vector<PendingEnd> pending;
    BootTime now = kStart;
    std::optional<FanOutOutcome> outcome;
    for (int step = 0; step < 2000 && !outcome; ++step) {
      while (const auto spec = fan_out.Next(now)) {
        if (random() % 8 == 0) {
          fan_out.OnNoTarget(*spec, now);
          continue;
        }
        CHECK((spec->purpose == AttemptPurpose::kHedge) == (open[spec->shard] > 0));
        fan_out.OnSent(spec->shard, now);
        ++open[spec->shard];
        const auto result = static_cast<AttemptResult>(random() % 3);
        ran[spec->shard] += result == AttemptResult::kNotRun ? 0 : 1;
        pending.push_back({now + milliseconds(random() % 300), spec->shard, result});
      }
      outcome = fan_out.Outcome(now);
      if (outcome) {
        break;
      }
      BootTime next = fan_out.wake_time();
      CHECK(next > now);
      for (const PendingEnd& end : pending) {
        next = std::min(next, end.at);
      }
      now = std::max(next, now);
      for (std::size_t i = 0; i < pending.size(); ++i) {
        if (pending[i].at <= now) {
          --open[pending[i].shard];
          fan_out.OnEnd(pending[i].shard, pending[i].result);
          pending.erase(pending.begin() + static_cast<std::ptrdiff_t>(i));
          break;
        }
      }
    }
    REQUIRE(outcome);
    CHECK(now <= plan.answer_deadline);
    bool any_ran = false;
    for (std::size_t shard = 0; shard < plan.shards; ++shard) {
      CHECK(ran[shard] <= (plan.idempotent ? plan.max_attempts : 1));
      any_ran = any_ran || ran[shard] > 0;
    }
    if (*outcome == FanOutOutcome::kRefused) {
      CHECK_FALSE(any_ran);
    }
    const double share =
        static_cast<double>(fan_out.answered_count()) / static_cast<double>(plan.shards);
    if (*outcome == FanOutOutcome::kPartial) {
      CHECK(share >= plan.required_coverage - 1e-9);
      CHECK(fan_out.answered_count() > 0);
    }
    CHECK((*outcome == FanOutOutcome::kComplete) == (share == 1));
  }
}

}  // namespace
}  // namespace peridotfork
