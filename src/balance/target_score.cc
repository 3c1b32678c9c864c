#include "peridotfork/balance/target_score.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace peridotfork {
namespace {

using Seconds = std::chrono::duration<double>;

// Weight of the newest observation in the moving average.
constexpr double kLatencySmoothing = 0.25;
// Upper bound for a single latency ratio, so that the moving average reflects lasting
// differences between targets. Single late answers are handled by kSlowThreshold.
constexpr double kMaxLatencyRatio = 2.5;
constexpr double kFailureSmoothing = 0.2;
// A target whose latency reaches this multiple of the typical one is avoided for a
// while. The first period is short, since a brief pause of a healthy target is over
// by the time its late answer arrives. Each further slow answer in succession makes
// the period eight times as long, up to kMaxSlowGrowthSteps times: it is unlikely to
// be another pause, and a host that sends few requests would otherwise meet the slow
// target with each of them.
constexpr double kSlowThreshold = 3.5;
constexpr std::chrono::milliseconds kInitialSlowPeriod{60};
constexpr std::uint32_t kSlowPeriodGrowth = 8;
constexpr std::uint32_t kMaxSlowGrowthSteps = 2;
// Slow answers in succession from which a target has to prove itself again.
constexpr std::uint32_t kUnprovenSlowAnswers = 2;
// Penalty for a target that is avoided as slow, in multiples of the typical latency.
constexpr double kSlowPenalty = 3;
// Consecutive losses after which a target is suspect; a failed connect counts twice.
constexpr std::uint32_t kSuspectThreshold = 2;
// Time for which a suspect target gets no work; doubled for each further loss.
constexpr std::chrono::milliseconds kInitialSuspectPeriod{500};
constexpr std::uint32_t kMaxSuspectDoublings = 2;

double Decay(BootTime since, BootTime now, std::chrono::nanoseconds half_life) {
  return std::exp2(-std::max(0.0, Seconds(now - since) / Seconds(half_life)));
}

// Estimated number of requests on the target from all hosts.
double Backlog(const TargetCondition& condition, BootTime now, const ScoreOptions& options) {
  const auto own = static_cast<double>(condition.open_attempts.size());
  if (!condition.load) {
    return own;
  }
  const double reported = condition.load->running + condition.load->waiting;
  return std::max(own, reported * Decay(condition.load_at, now, options.load_half_life) + own / 2);
}

// How long work probably takes on the target, as a multiple of the usual: by the latencies that
// were observed, and by what the target has reported of its machine.
double WorkFactor(const TargetCondition& condition, BootTime now, const ScoreOptions& options) {
  const double fresh = Decay(condition.slowness_at, now, options.slowness_half_life);
  const double observed = 1 + (condition.slowness - 1) * fresh;
  if (!condition.load || !condition.load->work_factor) {
    return observed;
  }
  const double reported = 1 + (*condition.load->work_factor - 1) *
                                  Decay(condition.load_at, now, options.work_factor_half_life);
  return std::max(observed, reported);
}

// Whether the rate limit of a cold target, if any, allows one more request.
bool ColdAllows(const TargetCondition& condition, BootTime now) {
  return now >= condition.cold_until || !condition.cold_interval || now >= condition.next_cold_send;
}

// Whether this host's share of the limit that the target names, if any, allows one more request.
bool LimitAllows(const TargetCondition& condition, BootTime now) {
  return !condition.limit || condition.limit->NextSend(now) <= now;
}

// Whether the target is cold and its service has no rate limit for cold targets.
bool IsColdWithoutLimit(const TargetCondition& condition, BootTime now) {
  return now < condition.cold_until && !condition.cold_interval;
}

void MarkSuspect(TargetCondition& condition, BootTime now) {
  const std::uint32_t doublings =
      std::min(condition.consecutive_losses - kSuspectThreshold, kMaxSuspectDoublings);
  condition.suspect_until = now + kInitialSuspectPeriod * (1 << doublings);
}

void AddLosses(TargetCondition& condition, std::uint32_t count, BootTime now) {
  condition.consecutive_losses += count;
  if (condition.consecutive_losses >= kSuspectThreshold) {
    MarkSuspect(condition, now);
  }
}

// Time since the attempt was sent as a multiple of the typical latency; 0 if that is unknown.
double LatencyRatio(const Attempt& attempt, BootTime now) {
  return attempt.typical_latency.count() <= 0
             ? 0
             : Seconds(now - attempt.sent) / Seconds(attempt.typical_latency);
}

void ObserveLatency(TargetCondition& condition, const Attempt& attempt, BootTime now) {
  if (attempt.typical_latency.count() <= 0) {
    return;
  }
  const double ratio = LatencyRatio(attempt, now);
  // An attempt sent before the end of the last slow period adds no new evidence and
  // does not start another period.
  if (attempt.sent >= condition.slow_until) {
    if (ratio < kSlowThreshold) {
      condition.consecutive_slow = 0;
    } else {
      std::chrono::milliseconds pause = kInitialSlowPeriod;
      for (std::uint32_t i = 0; i < std::min(condition.consecutive_slow, kMaxSlowGrowthSteps);
           ++i) {
        pause *= kSlowPeriodGrowth;
      }
      condition.slow_until = now + pause;
      ++condition.consecutive_slow;
    }
  }
  condition.slowness +=
      kLatencySmoothing * (std::min(ratio, kMaxLatencyRatio) - condition.slowness);
  condition.slowness_at = now;
}

}  // namespace

double ScoreTarget(const TargetCondition& condition,
                   const DataCentreId& self,
                   std::chrono::nanoseconds typical_latency,
                   BootTime now,
                   const ScoreOptions& options) {
  const double fresh = Decay(condition.slowness_at, now, options.slowness_half_life);
  const double slowness = WorkFactor(condition, now, options);
  const double slots = std::max(1U, condition.entry.slots.value());
  const double backlog = Backlog(condition, now, options);
  double score = std::max(0.3, slowness) *
                 (1 + std::max(0.0, backlog + 1 - slots) / slots + 0.3 * backlog / slots);
  score += condition.failure_rate * fresh * options.failure_penalty;
  if (condition.entry.data_centre != self) {
    score += options.remote_penalty;
  }
  if (now < condition.slow_until) {
    score += kSlowPenalty;
  }
  if (!condition.open_attempts.empty()) {
    const std::chrono::nanoseconds wait = now - condition.open_attempts.front().sent;
    const auto limit = std::max<std::chrono::nanoseconds>(
        options.min_stall, std::chrono::duration_cast<std::chrono::nanoseconds>(
                               typical_latency * options.stall_factor));
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
  if (condition.consecutive_losses >= kSuspectThreshold) {
    return TargetHealth::kSuspect;
  }
  return now < condition.slow_until ? TargetHealth::kSlow : TargetHealth::kHealthy;
}

bool IsOpen(const TargetCondition& condition) {
  return !condition.closed && !condition.leaving && !condition.misdirected;
}

BootTime OpenFrom(const TargetCondition& condition, BootTime now) {
  return condition.limit ? std::max(condition.hold_until, condition.limit->NextSend(now))
                         : condition.hold_until;
}

bool MayTakeWork(const TargetCondition& condition, BootTime now) {
  if (!IsOpen(condition) || now < condition.hold_until || !LimitAllows(condition, now) ||
      !ColdAllows(condition, now) || IsColdWithoutLimit(condition, now)) {
    return false;
  }
  // After its suspect period, a suspect target gets one probe at a time.
  return condition.consecutive_losses < kSuspectThreshold ||
         (now >= condition.suspect_until && condition.open_attempts.empty());
}

bool MayTakeProvenWork(const TargetCondition& condition, BootTime now) {
  return MayTakeWork(condition, now) && condition.consecutive_losses < kSuspectThreshold &&
         condition.consecutive_slow < kUnprovenSlowAnswers;
}

bool MayTakeAsLastResort(const TargetCondition& condition, BootTime now) {
  return IsOpen(condition) && now >= condition.hold_until && LimitAllows(condition, now) &&
         ColdAllows(condition, now) &&
         condition.open_attempts.size() < condition.entry.slots.value();
}

void RecordSignals(TargetCondition& condition, const TargetSignals& signals, BootTime now) {
  if (signals.load) {
    condition.load = signals.load;
    condition.load_at = now;
  }
  condition.leaving = condition.leaving || signals.leaving;
  if (signals.hold) {
    // A shorter hold in a later answer does not end an earlier one.
    condition.hold_until = std::max(condition.hold_until, now + *signals.hold);
  }
}

void RecordOutcome(TargetCondition& condition,
                   const Attempt& attempt,
                   AttemptOutcome end,
                   BootTime now,
                   const ScoreOptions& options) {
  const auto update_failure_rate = [&](double failure) {
    condition.failure_rate *= Decay(condition.slowness_at, now, options.slowness_half_life);
    condition.failure_rate += kFailureSmoothing * (failure - condition.failure_rate);
    condition.slowness_at = now;
  };
  switch (end) {
    case AttemptOutcome::kAnswered:
      update_failure_rate(0);
      condition.consecutive_losses = 0;
      ObserveLatency(condition, attempt, now);
      break;
    case AttemptOutcome::kFailed:
    case AttemptOutcome::kShed:
      update_failure_rate(1);
      condition.consecutive_losses = 0;
      break;
    case AttemptOutcome::kMisdirected:
      condition.misdirected = true;
      break;
    case AttemptOutcome::kNotConnected:
      update_failure_rate(1);
      AddLosses(condition, 2, now);
      break;
    case AttemptOutcome::kLost:
      update_failure_rate(1);
      AddLosses(condition, 1, now);
      break;
    case AttemptOutcome::kTimedOut:
      ObserveLatency(condition, attempt, now);
      AddLosses(condition, LatencyRatio(attempt, now) >= options.silent_ratio ? 2 : 1, now);
      break;
    case AttemptOutcome::kCancelled:
      break;
  }
}

}  // namespace peridotfork
