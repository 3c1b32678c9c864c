#include "peridotfork/standin/cold_start.h"

#include <algorithm>

namespace peridotfork::standin {

void ColdStart::MarkCold(BootTime now) {
  cold_since_ = now;
  answered_ = 0;
  overloaded_since_.reset();
}

void ColdStart::CountAnswer(BootTime now) {
  ++answered_;
  if (cold() && WarmupProgress(now) >= 1) {
    MarkWarm();
  }
}

double ColdStart::WarmupProgress(BootTime now) const {
  if (!cold()) {
    return 1;
  }
  const std::chrono::duration<double> elapsed = now - *cold_since_;
  const std::chrono::duration<double> needed = traits_.cold.warm_time;
  const double by_time = needed.count() > 0 ? elapsed.count() / needed.count() : 1;
  const double by_work =
      traits_.cold.warm_work > 0 ? static_cast<double>(answered_) / traits_.cold.warm_work : 1;
  return std::clamp(std::min(by_time, by_work), 0.0, 1.0);
}

std::uint32_t ColdStart::ConcurrencyLimit(BootTime now) const {
  const std::uint32_t slots = traits_.slots.value();
  const std::uint32_t least = std::min(traits_.cold.bears, slots);
  return least + static_cast<std::uint32_t>(WarmupProgress(now) * (slots - least));
}

double ColdStart::ServiceTimeFactor(BootTime now) const {
  return traits_.cold.slowness + (1 - traits_.cold.slowness) * WarmupProgress(now);
}

void ColdStart::SetInFlight(std::uint32_t in_flight, BootTime now) {
  if (!cold() || in_flight <= ConcurrencyLimit(now)) {
    overloaded_since_.reset();
  } else if (!overloaded_since_) {
    overloaded_since_ = now;
  }
}

std::optional<BootTime> ColdStart::crash_time() const {
  if (!overloaded_since_) {
    return std::nullopt;
  }
  return *overloaded_since_ + traits_.cold.overload_grace;
}

}  // namespace peridotfork::standin
