#ifndef PERIDOTFORK_ROUTING_CANDIDATE_H_
#define PERIDOTFORK_ROUTING_CANDIDATE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>

#include "peridotfork/core/clock.h"
#include "peridotfork/core/ids.h"
#include "peridotfork/protocol/message.h"

namespace peridotfork::routing {

// State of one replica of a group, as known to the entry at the time of a routing decision.
// `condition` is not owned and must stay valid during the call that receives the candidate. It is
// null if no dispatcher has reported the target yet.
struct Candidate {
  TargetId target;
  DataCentreId data_centre{};
  const protocol::TargetCondition* condition = nullptr;
  // Time since `condition` was received.
  std::chrono::nanoseconds condition_age{0};
  // Unanswered attempts of this entry, and the age of the oldest of them.
  std::uint32_t own_in_flight = 0;
  std::chrono::nanoseconds oldest_pending_age{0};
  // Result of LatencyTracker::ExpectedLatency().
  std::optional<std::chrono::nanoseconds> latency{};
  // When this entry last sent an attempt to the target.
  std::optional<BootTime> last_sent{};
  // Set by operators: the target is being removed, or its data centre is drained.
  bool leaving = false;
  bool drained = false;
};

// Whether attempts may be sent to the target: it is not suspect, draining, leaving or drained, and
// if it is cold, its allowance is not zero.
bool IsUsable(const Candidate& candidate);

// Whether more attempts are queued at the usable candidates than their total allowance.
bool IsSaturated(std::span<const Candidate> candidates);

}  // namespace peridotfork::routing

#endif  // PERIDOTFORK_ROUTING_CANDIDATE_H_
