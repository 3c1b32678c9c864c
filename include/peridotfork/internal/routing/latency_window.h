#ifndef PERIDOTFORK_INTERNAL_ROUTING_LATENCY_WINDOW_H_
#define PERIDOTFORK_INTERNAL_ROUTING_LATENCY_WINDOW_H_

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <chrono>
#include <cstddef>
#include <optional>

#include "peridotfork/core/clock.h"

namespace peridotfork::routing {

struct LatencyQuantiles {
  std::chrono::nanoseconds median{0};
  std::chrono::nanoseconds p95{0};
  std::chrono::nanoseconds p99{0};
};

struct LatencyOptions {
  // A window ends after this time or after this many latencies, whichever comes first.
  std::chrono::nanoseconds window = std::chrono::seconds(5);
  std::size_t window_samples = 500;
  // Minimum number of latencies in a window before its estimate is used.
  std::size_t min_samples = 30;
  // Weight of the newest latency in the moving average.
  double recent_weight = 0.2;
  // ExpectedLatency() returns the moving average, which decays to the median with this half-life
  // while no latency is added. The average shows within a few latencies that a target falls
  // silent, the windows only after seconds.
  std::chrono::nanoseconds recent_half_life = std::chrono::seconds(1);
  // Maximum number of targets, and of groups, that are tracked at the same time.
  std::size_t max_keys = 20'000;
};

namespace internal {

// Latency quantiles over the current window, or over the previous one while the current one has too
// few latencies.
class WindowedLatency {
 public:
  explicit WindowedLatency(BootTime now);

  void Add(BootTime now, std::chrono::nanoseconds latency, const LatencyOptions& options);
  std::optional<LatencyQuantiles> Estimate(BootTime now, const LatencyOptions& options) const;
  // The latency expected for the next attempt; nullopt if none was added recently.
  std::optional<std::chrono::nanoseconds> ExpectedLatency(BootTime now,
                                                          const LatencyOptions& options) const;

 private:
  using Quantiles = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::count,
                                 boost::accumulators::tag::extended_p_square>>;

  struct Window {
    Window();
    std::size_t size() const;
    LatencyQuantiles Read() const;

    Quantiles quantiles;
  };

  Window current_;
  std::optional<Window> previous_;
  BootTime current_start_;
  BootTime last_added_;
  // Exponentially weighted moving average; nullopt before the first latency.
  std::optional<std::chrono::nanoseconds> recent_;
};

}  // namespace internal
}  // namespace peridotfork::routing

#endif  // PERIDOTFORK_INTERNAL_ROUTING_LATENCY_WINDOW_H_
