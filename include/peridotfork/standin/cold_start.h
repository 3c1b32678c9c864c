#ifndef PERIDOTFORK_STANDIN_COLD_START_H_
#define PERIDOTFORK_STANDIN_COLD_START_H_

#include <cstdint>
#include <optional>

#include "peridotfork/core/clock.h"
#include "peridotfork/standin/target_traits.h"

namespace peridotfork::standin {

// Tracks the warm-up of one target after a cold start, and whether the cold
// target is overloaded. Not thread-safe.
class ColdStart {
 public:
  explicit ColdStart(const TargetTraits& traits) : traits_(traits) {}

  // Starts a warm-up at `now`.
  void MarkCold(BootTime now);
  void MarkWarm() { cold_since_.reset(); }

  // Counts an answered request; ends the warm-up once it is complete.
  void CountAnswer(BootTime now);

  bool cold() const { return cold_since_.has_value(); }

  // From 0 for a target that has just started to 1 for a warm target.
  double WarmupProgress(BootTime now) const;

  // Number of concurrent requests that the target can hold without overload.
  std::uint32_t ConcurrencyLimit(BootTime now) const;

  // Multiplier of the service time; 1 for a warm target.
  double ServiceTimeFactor(BootTime now) const;

  // Sets the number of running and waiting requests and tracks since when the
  // target has been overloaded.
  void SetInFlight(std::uint32_t in_flight, BootTime now);

  // When the current overload, if it continues, crashes the target. Empty if the
  // target is not overloaded.
  std::optional<BootTime> crash_time() const;

 private:
  const TargetTraits& traits_;
  std::optional<BootTime> cold_since_;
  std::uint32_t answered_ = 0;
  std::optional<BootTime> overloaded_since_;
};

}  // namespace peridotfork::standin

#endif  // PERIDOTFORK_STANDIN_COLD_START_H_
