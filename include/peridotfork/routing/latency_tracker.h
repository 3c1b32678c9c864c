#ifndef PERIDOTFORK_ROUTING_LATENCY_TRACKER_H_
#define PERIDOTFORK_ROUTING_LATENCY_TRACKER_H_

#include <chrono>
#include <cstddef>
#include <optional>

#include "peridotfork/core/clock.h"
#include "peridotfork/core/ids.h"
#include "peridotfork/internal/routing/latency_table.h"

namespace peridotfork::routing {

// Sliding quantiles of the observed latencies of each target and each group.
// Estimates go away when nothing is observed for two windows. Memory is
// bounded: over the limit, the key without observations for longest is
// forgotten. Not thread-safe.
class LatencyTracker {
 public:
  explicit LatencyTracker(const Clock& clock, LatencyOptions options = {});

  // Records how long one attempt took. For an attempt that was cancelled, the
  // time until then is a lower bound and worth recording if it is over the
  // median; leaving it out makes a slow target look fast.
  void Observe(const TargetId& target, const GroupId& group, std::chrono::nanoseconds latency);

  // The same for a latency that is not ascribed to a target.
  void ObserveGroup(const GroupId& group, std::chrono::nanoseconds latency);

  // None until enough latencies have been observed.
  std::optional<LatencyQuantiles> OfTarget(const TargetId& target) const;
  std::optional<LatencyQuantiles> OfGroup(const GroupId& group) const;

  // What the next attempt on the target is likely to take: the median, moved
  // towards the last few latencies while these are fresh. For Candidate::latency.
  std::optional<std::chrono::nanoseconds> Expected(const TargetId& target) const;

  // Forgets a target, as when it has turned cold.
  void Forget(const TargetId& target);

  std::size_t tracked() const { return targets_.size() + groups_.size(); }

 private:
  const Clock& clock_;
  internal::LatencyTable<TargetId> targets_;
  internal::LatencyTable<GroupId> groups_;
};

}  // namespace peridotfork::routing

#endif  // PERIDOTFORK_ROUTING_LATENCY_TRACKER_H_
