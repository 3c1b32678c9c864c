#ifndef PERIDOTFORK_ROUTING_LATENCY_TRACKER_H_
#define PERIDOTFORK_ROUTING_LATENCY_TRACKER_H_

#include <chrono>
#include <cstddef>
#include <optional>

#include "peridotfork/core/clock.h"
#include "peridotfork/core/ids.h"
#include "peridotfork/internal/routing/latency_table.h"

namespace peridotfork::routing {

// Sliding-window latency quantiles per target and per group. An estimate expires when nothing has
// been observed for two windows. Memory is bounded: when the limit is reached, the least recently
// observed key is evicted. Not thread-safe.
class LatencyTracker {
 public:
  explicit LatencyTracker(const Clock& clock, LatencyOptions options = {});

  // Records the latency of one attempt. For a cancelled attempt, the time until cancellation is a
  // lower bound of its latency and should be recorded if it exceeds the median; otherwise a slow
  // target would look fast.
  void Observe(const TargetId& target, const GroupId& group, std::chrono::nanoseconds latency);

  // Records a latency for the group only.
  void ObserveGroup(const GroupId& group, std::chrono::nanoseconds latency);

  // Return nullopt until enough latencies have been observed.
  std::optional<LatencyQuantiles> TargetQuantiles(const TargetId& target) const;
  std::optional<LatencyQuantiles> GroupQuantiles(const GroupId& group) const;

  // Estimated latency of the next attempt on the target: the median, corrected towards the mean of
  // the most recent latencies while these are fresh. Used for Candidate::latency.
  std::optional<std::chrono::nanoseconds> ExpectedLatency(const TargetId& target) const;

  // Discards the latencies of a target, for example when it has turned cold.
  void Forget(const TargetId& target);

  std::size_t tracked() const { return targets_.size() + groups_.size(); }

 private:
  const Clock& clock_;
  internal::LatencyTable<TargetId> targets_;
  internal::LatencyTable<GroupId> groups_;
};

}  // namespace peridotfork::routing

#endif  // PERIDOTFORK_ROUTING_LATENCY_TRACKER_H_
