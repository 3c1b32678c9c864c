#ifndef PERIDOTFORK_CORE_CLOCK_H_
#define PERIDOTFORK_CORE_CLOCK_H_

#include <chrono>

namespace peridotfork {

// The host's monotonic clock, which keeps counting while the host is suspended.
// All processes on a host read the same clock.
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;
};

using BootTime = BootClock::time_point;
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::microseconds>;

// Time source. Decision logic takes it as a constructor argument so that tests
// can control the time. Implementations are thread-safe.
class Clock {
 public:
  virtual ~Clock() = default;

  // For durations and leases. Monotonic.
  virtual BootTime now() const = 0;

  // For deadlines exchanged between hosts. May jump when the host's clock is
  // adjusted.
  virtual WallTime wall_now() const = 0;
};

// Reads CLOCK_BOOTTIME and CLOCK_REALTIME.
class SystemClock final : public Clock {
 public:
  BootTime now() const override;
  WallTime wall_now() const override;
};

// Test clock that changes only through Advance(), which must not run
// concurrently with other calls.
class ManualClock final : public Clock {
 public:
  BootTime now() const override { return now_; }
  WallTime wall_now() const override { return wall_now_; }

  void Advance(std::chrono::nanoseconds step);

 private:
  BootTime now_{std::chrono::hours(1)};
  WallTime wall_now_{std::chrono::hours(24 * 365 * 50)};
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_CORE_CLOCK_H_
