#include "peridotfork/internal/routing/latency_window.h"

#include <array>
#include <cmath>
#include <utility>

namespace peridotfork::routing::internal {
namespace {

constexpr std::array<double, 3> kProbabilities{0.5, 0.95, 0.99};

std::chrono::nanoseconds FromSeconds(double seconds) {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
      std::chrono::duration<double>(seconds));
}

std::chrono::nanoseconds Scale(std::chrono::nanoseconds time, double factor) {
  return FromSeconds(std::chrono::duration<double>(time).count() * factor);
}

}  // namespace

WindowedLatency::Window::Window()
    : quantiles(boost::accumulators::tag::extended_p_square::probabilities = kProbabilities) {}

std::size_t WindowedLatency::Window::size() const {
  return boost::accumulators::count(quantiles);
}

LatencyQuantiles WindowedLatency::Window::Read() const {
  const auto heights = boost::accumulators::extended_p_square(quantiles);
  return {FromSeconds(heights[0]), FromSeconds(heights[1]), FromSeconds(heights[2])};
}

WindowedLatency::WindowedLatency(BootTime now) : current_start_(now), last_added_(now) {}

void WindowedLatency::Add(BootTime now,
                          std::chrono::nanoseconds latency,
                          const LatencyOptions& options) {
  if (now - last_added_ > 2 * options.window) {
    previous_.reset();
    recent_.reset();
    current_ = Window();
    current_start_ = now;
  } else if (current_.size() >= options.window_samples || now - current_start_ >= options.window) {
    previous_ = std::exchange(current_, Window());
    current_start_ = now;
  }
  last_added_ = now;
  const std::chrono::nanoseconds recent = recent_.value_or(latency);
  recent_ = recent + Scale(latency - recent, options.recent_weight);
  current_.quantiles(std::chrono::duration<double>(latency).count());
}

std::optional<LatencyQuantiles> WindowedLatency::Estimate(BootTime now,
                                                          const LatencyOptions& options) const {
  if (now - last_added_ > 2 * options.window) {
    return std::nullopt;
  }
  if (current_.size() >= options.min_samples) {
    return current_.Read();
  }
  if (previous_ && previous_->size() >= options.min_samples) {
    return previous_->Read();
  }
  return std::nullopt;
}

std::optional<std::chrono::nanoseconds> WindowedLatency::ExpectedLatency(
    BootTime now,
    const LatencyOptions& options) const {
  if (!recent_ || now - last_added_ > 2 * options.window) {
    return std::nullopt;
  }
  const std::optional<LatencyQuantiles> quantiles = Estimate(now, options);
  if (!quantiles) {
    return recent_;
  }
  const double half_lives =
      std::chrono::duration<double>(now - last_added_) / options.recent_half_life;
  return quantiles->median + Scale(*recent_ - quantiles->median, std::exp2(-half_lives));
}

}  // namespace peridotfork::routing::internal
