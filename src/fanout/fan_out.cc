#include "peridotfork/fanout/fan_out.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace peridotfork {
namespace {

constexpr std::array<std::string_view, 5> kOutcomeNames = {"complete", "partial", "refused",
                                                           "failed", "timed_out"};

}  // namespace

std::string_view FanOutOutcomeName(FanOutOutcome outcome) {
  return kOutcomeNames[static_cast<std::size_t>(outcome)];
}

std::size_t RequiredShards(std::size_t shards, double required_coverage) {
  // Rounding tolerance: prevents a coverage such as 0.9 of 10 shards from requiring all 10.
  constexpr double kRounding = 1e-9;
  const auto all = static_cast<double>(std::max<std::size_t>(1, shards));
  const double required = std::ceil(required_coverage * static_cast<double>(shards) - kRounding);
  return static_cast<std::size_t>(std::clamp(required, 1.0, all));
}

FanOut::FanOut(FanOutPlan plan) : plan_(plan), shards_(plan.shards) {}

std::optional<FanOut::AttemptSpec> FanOut::Next(BootTime now) {
  if (Outcome(now)) {
    return std::nullopt;
  }
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    if (const std::optional<AttemptPurpose> purpose = NextPurpose(shards_[i], now)) {
      return AttemptSpec{i, *purpose};
    }
  }
  return std::nullopt;
}

std::optional<AttemptPurpose> FanOut::NextPurpose(Shard& shard, BootTime now) {
  if (shard.answered || shard.exhausted) {
    return std::nullopt;
  }
  if (shard.open_attempts > 0) {
    return CanHedge(shard) && now >= shard.hedge_at ? std::optional(AttemptPurpose::kHedge)
                                                    : std::nullopt;
  }
  if (shard.sent_attempts == 0) {
    return now >= shard.next_placement ? std::optional(AttemptPurpose::kFirst) : std::nullopt;
  }
  const bool attempts_exhausted = shard.executed_attempts >= plan_.max_attempts ||
                                  (!plan_.idempotent && shard.executed_attempts > 0) ||
                                  shard.sent_attempts >= plan_.max_attempts + kMaxRefusals;
  if (attempts_exhausted) {
    shard.exhausted = true;
    return std::nullopt;
  }
  return now >= shard.next_placement ? std::optional(AttemptPurpose::kRetry) : std::nullopt;
}

void FanOut::OnSent(std::size_t index, BootTime now) {
  Shard& shard = shards_[index];
  hedges_ += shard.open_attempts > 0 ? 1 : 0;
  retries_ += shard.open_attempts == 0 && shard.sent_attempts > 0 ? 1 : 0;
  ++shard.open_attempts;
  ++shard.sent_attempts;
  shard.hedge_at = now + plan_.hedge_delay;
}

void FanOut::OnNoTarget(const AttemptSpec& spec, BootTime now) {
  Shard& shard = shards_[spec.shard];
  if (spec.purpose == AttemptPurpose::kHedge) {
    shard.hedge_at = now + kPlacementRetryDelay;
  } else if (now + kPlacementRetryDelay < plan_.placement_deadline) {
    shard.next_placement = now + kPlacementRetryDelay;
  } else {
    shard.exhausted = true;
  }
}

void FanOut::OnEnd(std::size_t index, AttemptResult result) {
  Shard& shard = shards_[index];
  --shard.open_attempts;
  shard.answered = shard.answered || result == AttemptResult::kAnswered;
  shard.executed_attempts += result == AttemptResult::kNotRun ? 0 : 1;
}

std::optional<FanOutOutcome> FanOut::Outcome(BootTime now) const {
  const std::size_t answered = answered_count();
  if (answered == shards_.size()) {
    return FanOutOutcome::kComplete;
  }
  const auto pending = static_cast<std::size_t>(std::ranges::count_if(
      shards_, [](const Shard& shard) { return !shard.answered && !shard.exhausted; }));
  if (answered + pending < required()) {
    return may_have_run() ? FanOutOutcome::kFailed : FanOutOutcome::kRefused;
  }
  const bool enough = answered >= required();
  if (enough && (pending == 0 || now >= plan_.partial_answer_at)) {
    return FanOutOutcome::kPartial;
  }
  if (now >= plan_.answer_deadline) {
    return may_have_run() ? FanOutOutcome::kTimedOut : FanOutOutcome::kRefused;
  }
  return std::nullopt;
}

BootTime FanOut::wake_time() const {
  BootTime wake = plan_.answer_deadline;
  if (answered_count() >= required()) {
    wake = std::min(wake, plan_.partial_answer_at);
  }
  for (const Shard& shard : shards_) {
    if (shard.answered || shard.exhausted) {
      continue;
    }
    if (shard.open_attempts == 0) {
      wake = std::min(wake, shard.next_placement);
    } else if (CanHedge(shard)) {
      wake = std::min(wake, shard.hedge_at);
    }
  }
  return wake;
}

std::size_t FanOut::answered_count() const {
  return static_cast<std::size_t>(std::ranges::count_if(shards_, &Shard::answered));
}

bool FanOut::may_have_run() const {
  return std::ranges::any_of(shards_, [](const Shard& shard) {
    return shard.executed_attempts > 0 || shard.open_attempts > 0;
  });
}

bool FanOut::CanHedge(const Shard& shard) const {
  return plan_.idempotent && shard.open_attempts == 1 &&
         shard.executed_attempts + shard.open_attempts < plan_.max_attempts;
}

}  // namespace peridotfork
