#include "peridotfork/core/clock.h"

#include <time.h>

namespace peridotfork {
namespace {

std::chrono::nanoseconds ReadClock(clockid_t id) {
  timespec time{};
  clock_gettime(id, &time);
  return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

}  // namespace

BootTime SystemClock::now() const {
  return BootTime(ReadClock(CLOCK_BOOTTIME));
}

WallTime SystemClock::wall_now() const {
  return WallTime(std::chrono::duration_cast<std::chrono::microseconds>(ReadClock(CLOCK_REALTIME)));
}

void ManualClock::Advance(std::chrono::nanoseconds step) {
  now_ += step;
  wall_now_ += std::chrono::duration_cast<std::chrono::microseconds>(step);
}

}  // namespace peridotfork
