#include "peridotfork/internal/limits/latency_window.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace peridotfork {

LatencyWindow::LatencyWindow(std::size_t capacity, std::size_t min_samples)
    : min_samples_(std::max<std::size_t>(min_samples, 1)), latencies_(capacity) {}

void LatencyWindow::Add(std::chrono::nanoseconds latency) {
  latencies_.push_back(latency);
}

void LatencyWindow::Clear() {
  latencies_.clear();
}

std::optional<std::chrono::nanoseconds> LatencyWindow::Quantile(double fraction) const {
  if (latencies_.size() < min_samples_) {
    return std::nullopt;
  }
  std::vector<std::chrono::nanoseconds> sorted(latencies_.begin(), latencies_.end());
  const auto rank =
      static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(sorted.size())));
  const auto wanted = sorted.begin() + static_cast<std::ptrdiff_t>(
                                           std::clamp<std::size_t>(rank, 1, sorted.size()) - 1);
  std::nth_element(sorted.begin(), wanted, sorted.end());
  return *wanted;
}

}  // namespace peridotfork
