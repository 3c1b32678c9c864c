#ifndef PERIDOTFORK_INTERNAL_LIMITS_LATENCY_WINDOW_H_
#define PERIDOTFORK_INTERNAL_LIMITS_LATENCY_WINDOW_H_

#include <boost/circular_buffer.hpp>
#include <chrono>
#include <cstddef>
#include <optional>

namespace peridotfork {

// Quantiles of the most recent latencies of one target. Not thread-safe.
class LatencyWindow {
 public:
  // Quantiles are available once `min_samples` latencies have been added.
  LatencyWindow(std::size_t capacity, std::size_t min_samples);

  void Add(std::chrono::nanoseconds latency);
  void Clear();

  // Nearest-rank quantile; `fraction` is in (0, 1].
  std::optional<std::chrono::nanoseconds> Quantile(double fraction) const;

 private:
  std::size_t min_samples_;
  boost::circular_buffer<std::chrono::nanoseconds> latencies_;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_INTERNAL_LIMITS_LATENCY_WINDOW_H_
