#include "peridotfork/balance/target_score.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace peridotfork {
namespace {

using Seconds = std::chrono::duration<double>;

// Weight of the newest answer in the smoothed figures.
constexpr double kSmoothing = 0.25;
// Longer times count as this multiple, so that the smoothed time tells steady
// differences of targets; single late answers are dealt with by kSlowRatio.
constexpr double kMaxSmoothedRatio = 2.5;
constexpr double kFailureSmoothing = 0.2;
// A target that takes this multiple of the usual time is avoided for a while:
// briefly at first, since the pause of a sound one is over when its late answer
// arrives, and four times as long each time that it is found slow again.
constexpr double kSlowRatio = 3.5;
constexpr std::chrono::milliseconds kFirstSlowPause{60};
constexpr std::uint32_t kSlowGrowth = 4;
constexpr std::uint32_t kMaxSlowSteps = 3;
// Cost of a target that is avoided, in multiples of the usual time.
constexpr double kSlowCost = 3;
// Losses in a row that make a target suspect; a failed connect counts twice.
constexpr std::uint32_t kLossesToSuspect = 2;
// How long a suspect is left alone; doubled for each further loss.
constexpr std::chrono::milliseconds kFirstSuspicion{250};
constexpr std::uint32_t kMaxSuspicionDoublings = 3;

double Decay(BootTime since, BootTime now, std::chrono::nanoseconds half_life) {
  return std::exp2(-std::max(0.0, Seconds(now - since) / Seconds(half_life)));
}

// Requests on the target by anyone, as far as this process can tell.
double Backlog(const TargetCondition& condition, BootTime now, const ScoreOptions& options) {
  const auto own = static_cast<double>(condition.open_attempts.size());
  if (!condition.load) {
    return own;
  }
  const double reported = condition.load->running + condition.load->waiting;
  return std::max(own, reported * Decay(condition.load_at, now, options.load_half_life) + own / 2);
}

// Whether the limit of a cold target allows one more request.
bool ColdAllows(const TargetCondition& condition, BootTime now) {
  return now >= condition.cold_until || !condition.cold_interval || now >= condition.next_cold_send;
}

// Whether the target is cold without a limit of its own.
bool IsColdWithoutLimit(const TargetCondition& condition, BootTime now) {
  return now < condition.cold_until && !condition.cold_interval;
}

void Suspect(TargetCondition& condition, BootTime now) {
  const std::uint32_t doublings =
      std::min(condition.losses_in_row - kLossesToSuspect, kMaxSuspicionDoublings);
  condition.suspect_until = now + kFirstSuspicion * (1 << doublings);
}

void AddLosses(TargetCondition& condition, std::uint32_t count, BootTime now) {
  condition.losses_in_row += count;
  if (condition.losses_in_row >= kLossesToSuspect) {
    Suspect(condition, now);
  }
}

void ObserveTime(TargetCondition& condition, const Attempt& attempt, BootTime now) {
  if (attempt.usual.count() <= 0) {
    return;
  }
  const double ratio = Seconds(now - attempt.sent) / Seconds(attempt.usual);
  // Attempts that were sent before the target was found slow tell nothing new.
  if (attempt.sent >= condition.slow_until) {
    if (ratio < kSlowRatio) {
      condition.slow_in_row = 0;
    } else {
      std::chrono::milliseconds pause = kFirstSlowPause;
      for (std::uint32_t i = 0; i < std::min(condition.slow_in_row, kMaxSlowSteps); ++i) {
        pause *= kSlowGrowth;
      }
      condition.slow_until = now + pause;
      ++condition.slow_in_row;
    }
  }
  condition.slowness += kSmoothing * (std::min(ratio, kMaxSmoothedRatio) - condition.slowness);
  condition.slowness_at = now;
}

}  // namespace

double ScoreTarget(const TargetCondition& condition,
                   const DataCentreId& self,
                   std::chrono::nanoseconds usual,
                   BootTime now,
                   const ScoreOptions& options) {
  const double fresh = Decay(condition.slowness_at, now, options.slowness_half_life);
  const double slowness = 1 + (condition.slowness - 1) * fresh;
  const double slots = std::max(1U, condition.entry.slots.value());
  const double backlog = Backlog(condition, now, options);
  double score = std::max(0.3, slowness) *
                 (1 + std::max(0.0, backlog + 1 - slots) / slots + 0.3 * backlog / slots);
  score += condition.failure_rate * fresh * options.failure_cost;
  if (condition.entry.data_centre != self) {
    score += options.remote_cost;
  }
  if (now < condition.slow_until) {
    score += kSlowCost;
  }
  if (!condition.open_attempts.empty()) {
    const std::chrono::nanoseconds wait = now - condition.open_attempts.front().sent;
    const auto limit = std::max<std::chrono::nanoseconds>(
        options.min_stall,
        std::chrono::duration_cast<std::chrono::nanoseconds>(usual * options.stall_factor));
    if (wait > limit) {
      score += Seconds(wait) / Seconds(limit) * options.stall_factor;
    }
  }
  return score;
}

std::string_view TargetHealthName(TargetHealth health) {
  constexpr std::array<std::string_view, 4> kNames = {"sound", "slow", "suspect", "misdirected"};
  return kNames[static_cast<std::size_t>(health)];
}

TargetHealth HealthOf(const TargetCondition& condition, BootTime now) {
  if (condition.misdirected) {
    return TargetHealth::kMisdirected;
  }
  if (condition.losses_in_row >= kLossesToSuspect) {
    return TargetHealth::kSuspect;
  }
  return now < condition.slow_until ? TargetHealth::kSlow : TargetHealth::kSound;
}

bool MayTakeWork(const TargetCondition& condition, BootTime now) {
  if (condition.closed || condition.misdirected || !ColdAllows(condition, now) ||
      IsColdWithoutLimit(condition, now)) {
    return false;
  }
  // A suspect gets one probe at a time once the suspicion is over.
  return condition.losses_in_row < kLossesToSuspect ||
         (now >= condition.suspect_until && condition.open_attempts.empty());
}

bool MayTakeLastResort(const TargetCondition& condition, BootTime now) {
  return !condition.closed && !condition.misdirected && ColdAllows(condition, now) &&
         condition.open_attempts.size() < condition.entry.slots.value();
}

void RecordEnd(TargetCondition& condition,
               const Attempt& attempt,
               AttemptEnd end,
               BootTime now,
               const ScoreOptions& options) {
  const auto fail = [&](double failure) {
    condition.failure_rate *= Decay(condition.slowness_at, now, options.slowness_half_life);
    condition.failure_rate += kFailureSmoothing * (failure - condition.failure_rate);
    condition.slowness_at = now;
  };
  switch (end) {
    case AttemptEnd::kAnswered:
      fail(0);
      condition.losses_in_row = 0;
      ObserveTime(condition, attempt, now);
      break;
    case AttemptEnd::kFailed:
    case AttemptEnd::kShed:
      fail(1);
      condition.losses_in_row = 0;
      break;
    case AttemptEnd::kMisdirected:
      condition.misdirected = true;
      break;
    case AttemptEnd::kNotConnected:
      fail(1);
      AddLosses(condition, 2, now);
      break;
    case AttemptEnd::kLost:
      fail(1);
      AddLosses(condition, 1, now);
      break;
    case AttemptEnd::kTimedOut:
      ObserveTime(condition, attempt, now);
      AddLosses(condition, 1, now);
      break;
    case AttemptEnd::kCancelled:
      break;
  }
}

}  // namespace peridotfork
