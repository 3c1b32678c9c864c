#ifndef PERIDOTFORK_BALANCE_TARGET_SCORE_H_
#define PERIDOTFORK_BALANCE_TARGET_SCORE_H_

#include <chrono>
#include <string_view>

#include "peridotfork/balance/target.h"

namespace peridotfork {

struct ScoreOptions {
  // Added for a target of another data centre, in multiples of the usual time:
  // a local target is left once its queue costs as much.
  double remote_cost = 1.5;
  // Cost of a certain failure, in multiples of the usual time.
  double failure_cost = 16;
  // An attempt that waits for this multiple of the usual time marks its target
  // as stalled.
  double stall_factor = 2.5;
  // No target is stalled before this time.
  std::chrono::nanoseconds min_stall = std::chrono::milliseconds(12);
  // What was observed counts half after this time without observations.
  std::chrono::nanoseconds slowness_half_life = std::chrono::milliseconds(1500);
  std::chrono::nanoseconds load_half_life = std::chrono::milliseconds(100);
};

// Expected cost of sending one more request to the target, in multiples of the
// usual time. Lower is better.
double ScoreTarget(const TargetCondition& condition,
                   const DataCentreId& self,
                   std::chrono::nanoseconds usual,
                   BootTime now,
                   const ScoreOptions& options);

// What is believed of a target, for the log.
enum class TargetHealth { kSound, kSlow, kSuspect, kMisdirected };

std::string_view TargetHealthName(TargetHealth health);
TargetHealth HealthOf(const TargetCondition& condition, BootTime now);

// Whether the target may take one more request now.
bool MayTakeWork(const TargetCondition& condition, BootTime now);

// Whether a suspect, or a cold target without a limit, may take one more request
// because no other target can.
bool MayTakeLastResort(const TargetCondition& condition, BootTime now);

// Updates the condition with the end of `attempt`.
void RecordEnd(TargetCondition& condition,
               const Attempt& attempt,
               AttemptEnd end,
               BootTime now,
               const ScoreOptions& options);

}  // namespace peridotfork

#endif  // PERIDOTFORK_BALANCE_TARGET_SCORE_H_
