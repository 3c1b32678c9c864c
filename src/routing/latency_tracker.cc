#include "peridotfork/routing/latency_tracker.h"

namespace peridotfork::routing {

LatencyTracker::LatencyTracker(const Clock& clock, LatencyOptions options)
    : clock_(clock), targets_(options), groups_(options) {}

void LatencyTracker::Observe(const TargetId& target,
                             const GroupId& group,
                             std::chrono::nanoseconds latency) {
  targets_.Add(target, clock_.now(), latency);
  ObserveGroup(group, latency);
}

void LatencyTracker::ObserveGroup(const GroupId& group, std::chrono::nanoseconds latency) {
  groups_.Add(group, clock_.now(), latency);
}

std::optional<LatencyQuantiles> LatencyTracker::TargetQuantiles(const TargetId& target) const {
  return targets_.Estimate(target, clock_.now());
}

std::optional<LatencyQuantiles> LatencyTracker::GroupQuantiles(const GroupId& group) const {
  return groups_.Estimate(group, clock_.now());
}

std::optional<std::chrono::nanoseconds> LatencyTracker::ExpectedLatency(
    const TargetId& target) const {
  return targets_.ExpectedLatency(target, clock_.now());
}

void LatencyTracker::Forget(const TargetId& target) {
  targets_.Forget(target);
}

}  // namespace peridotfork::routing
