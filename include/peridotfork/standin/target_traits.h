#ifndef PERIDOTFORK_STANDIN_TARGET_TRAITS_H_
#define PERIDOTFORK_STANDIN_TARGET_TRAITS_H_

#include <chrono>
#include <cstdint>

#include "peridotfork/core/ids.h"
#include "peridotfork/core/units.h"

namespace peridotfork::standin {

// Behaviour of a target after a cold start.
struct ColdTraits {
  // Initial concurrency limit. It grows to the number of slots, which is reached
  // when `warm_time` has passed and `warm_work` requests have been answered.
  std::uint32_t bears = 1;
  std::chrono::milliseconds warm_time{10000};
  std::uint32_t warm_work = 60;
  // Initial multiplier of the service time.
  double slowness = 4;
  // The target crashes when it has exceeded its concurrency limit for this long.
  std::chrono::milliseconds overload_grace{150};
};

// Configured behaviour of a target, independent of its current condition.
struct TargetTraits {
  Slots slots{3};
  Connections connections{30};
  // Time from accepting a connection to reading its first request.
  std::chrono::microseconds connect_cost{6000};

  // Log-normally distributed service time of a warm target.
  std::chrono::microseconds median_service{8000};
  double service_sigma = 0.25;
  // Fraction of requests that take `straggler_factor` times as long.
  double straggler_rate = 0.005;
  double straggler_factor = 15;

  // Maximum number of requests that wait for a slot; further requests are shed.
  std::uint32_t queue_limit = 6;

  ColdTraits cold;

  // Age of the values that the health and load endpoints report.
  std::chrono::milliseconds health_lag{100};
  std::chrono::milliseconds load_lag{100};

  // A crashed target restarts cold after this time. If negative, it stays down.
  std::chrono::milliseconds restart_delay{2000};
  // Time from the start of a request with the crash word to the crash.
  std::chrono::microseconds crash_delay{2000};
};

// A snapshot of the records that a target stores, and the number of groups in its
// partition map.
struct StoredSnapshot {
  Snapshot snapshot;
  std::uint32_t group_count = 1;

  friend bool operator==(const StoredSnapshot&, const StoredSnapshot&) = default;
};

}  // namespace peridotfork::standin

#endif  // PERIDOTFORK_STANDIN_TARGET_TRAITS_H_
