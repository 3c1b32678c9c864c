#ifndef PERIDOTFORK_BALANCE_TARGET_SCORE_H_
#define PERIDOTFORK_BALANCE_TARGET_SCORE_H_

#include <chrono>
#include <string_view>

#include "peridotfork/balance/target.h"

namespace peridotfork {

struct ScoreOptions {
  // Penalty for a target in another data centre, in multiples of the typical
  // latency. A local target is preferred until its queue costs more than this.
  double remote_penalty = 1.5;
  // Penalty at a failure rate of 1, in multiples of the typical latency; scaled by
  // the failure rate.
  double failure_penalty = 16;
  // A target counts as stalled while its oldest attempt has waited longer than this
  // multiple of the typical latency.
  double stall_factor = 2.5;
  // Lower bound for the wait after which a target counts as stalled.
  std::chrono::nanoseconds min_stall = std::chrono::milliseconds(12);
  // An attempt that gets no answer for this multiple of the typical latency outlasts a pause of the
  // target and counts as two losses.
  double silent_ratio = 8;
  // Half-lives with which observations lose weight while no new ones arrive.
  std::chrono::nanoseconds slowness_half_life = std::chrono::milliseconds(1500);
  std::chrono::nanoseconds load_half_life = std::chrono::milliseconds(100);
  // The factor of work on a target's machine changes many times a second; what slows a machine down
  // lasts some hundreds of milliseconds.
  std::chrono::nanoseconds work_factor_half_life = std::chrono::milliseconds(300);
};

// Expected cost of sending one more request to the target, in multiples of the
// typical latency of the route. Lower is better.
double ScoreTarget(const TargetCondition& condition,
                   const DataCentreId& self,
                   std::chrono::nanoseconds typical_latency,
                   BootTime now,
                   const ScoreOptions& options);

// Health of a target, as shown in the log.
enum class TargetHealth { kHealthy, kSlow, kSuspect, kMisdirected };

std::string_view TargetHealthName(TargetHealth health);
TargetHealth HealthOf(const TargetCondition& condition, BootTime now);

// Whether the target may be sent requests at all, now or after its hold has ended.
bool IsOpen(const TargetCondition& condition);

// From when on an open target may be sent requests, by its hold and the limit that it names; not
// after `now` if it may be now.
BootTime OpenFrom(const TargetCondition& condition, BootTime now);

// Whether the target may be sent one more request now.
bool MayTakeWork(const TargetCondition& condition, BootTime now);

// Like MayTakeWork(), but without targets that were lost or repeatedly slow and have not answered
// well since. A request that probes such a target probably needs an extra attempt.
bool MayTakeProvenWork(const TargetCondition& condition, BootTime now);

// Like MayTakeWork(), but also allows a suspect target and a cold target without a
// rate limit. Used when MayTakeWork() allows no target.
bool MayTakeAsLastResort(const TargetCondition& condition, BootTime now);

// Updates the condition with what the target said about itself.
void RecordSignals(TargetCondition& condition, const TargetSignals& signals, BootTime now);

// Updates the condition with the outcome of `attempt`.
void RecordOutcome(TargetCondition& condition,
                   const Attempt& attempt,
                   AttemptOutcome end,
                   BootTime now,
                   const ScoreOptions& options);

}  // namespace peridotfork

#endif  // PERIDOTFORK_BALANCE_TARGET_SCORE_H_
