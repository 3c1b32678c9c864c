#ifndef PERIDOTFORK_ROUTING_HEDGE_POLICY_H_
#define PERIDOTFORK_ROUTING_HEDGE_POLICY_H_

#include <optional>
#include <span>

#include "peridotfork/core/clock.h"
#include "peridotfork/core/ids.h"
#include "peridotfork/routing/candidate.h"
#include "peridotfork/routing/latency_tracker.h"

namespace peridotfork::routing {

// A sub-request with an unanswered attempt that may be hedged.
struct HedgeRequest {
  GroupId group;
  std::span<const Candidate> candidates;
  // When the last attempt was sent, and when the query must be answered.
  BootTime sent;
  BootTime answer_by;
  // Fill level of the hedge budget, from 0 to 1.
  double budget_fill = 1;
};

// Strategy that determines when to send a hedge, an extra attempt to another replica. Called when
// an attempt is sent, and again at the time that it returned. Thread-safe as long as the latency
// tracker is not modified concurrently.
class HedgePolicy {
 public:
  virtual ~HedgePolicy() = default;

  // Time of the hedge, or nullopt if the attempt is not to be hedged.
  virtual std::optional<BootTime> HedgeAt(const HedgeRequest& request) const = 0;
};

// Hedges after the observed p95 latency of the group while the budget is nearly full. As the budget
// empties, the delay increases up to three times the median. One attempt in 20 exceeds the p95 but
// the budget allows only one hedge in 50 attempts, so hedging always at the p95 would exhaust the
// budget before the actual stragglers occur. Without a latency estimate, hedges after half of the
// time remaining for the query. Does not hedge while the group is saturated.
class QuantileHedge final : public HedgePolicy {
 public:
  explicit QuantileHedge(const LatencyTracker& latencies);

  std::optional<BootTime> HedgeAt(const HedgeRequest& request) const override;

 private:
  const LatencyTracker& latencies_;
};

// Never hedges. Baseline for measurements.
class NoHedge final : public HedgePolicy {
 public:
  std::optional<BootTime> HedgeAt(const HedgeRequest& request) const override;
};

}  // namespace peridotfork::routing

#endif  // PERIDOTFORK_ROUTING_HEDGE_POLICY_H_
