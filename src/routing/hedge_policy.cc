#include "peridotfork/routing/hedge_policy.h"

#include <algorithm>

namespace peridotfork::routing {
namespace {

// Hedge delay with an empty budget, as a multiple of the median. Few ordinary answers take longer,
// so the budget refills and is available for stragglers. The p99 is not suitable: with 1%
// stragglers it equals the latency of a straggler.
constexpr int kMaxHedgeDelayMedians = 3;

// Above this fill level of the budget the hedge delay is the p95, so that a refused hedge is
// replaced at once.
constexpr double kFullBudgetThreshold = 0.75;

std::chrono::nanoseconds ComputeHedgeDelay(const LatencyQuantiles& quantiles, double budget_fill) {
  const std::chrono::nanoseconds longest =
      std::max(quantiles.p95, kMaxHedgeDelayMedians * quantiles.median);
  const std::chrono::duration<double> spread = longest - quantiles.p95;
  const double deficit = std::clamp(kFullBudgetThreshold - budget_fill, 0.0, kFullBudgetThreshold) /
                         kFullBudgetThreshold;
  return quantiles.p95 + std::chrono::duration_cast<std::chrono::nanoseconds>(spread * deficit);
}

}  // namespace

QuantileHedge::QuantileHedge(const LatencyTracker& latencies) : latencies_(latencies) {}

std::optional<BootTime> QuantileHedge::HedgeAt(const HedgeRequest& request) const {
  if (IsSaturated(request.candidates)) {
    return std::nullopt;
  }
  const std::optional<LatencyQuantiles> quantiles = latencies_.GroupQuantiles(request.group);
  const std::chrono::nanoseconds wait = quantiles
                                            ? ComputeHedgeDelay(*quantiles, request.budget_fill)
                                            : (request.answer_by - request.sent) / 2;
  const BootTime at = request.sent + wait;
  return at < request.answer_by ? std::optional(at) : std::nullopt;
}

std::optional<BootTime> NoHedge::HedgeAt(const HedgeRequest& /*request*/) const {
  return std::nullopt;
}

}  // namespace peridotfork::routing
