#ifndef PERIDOTFORK_GATEWAY_SLOW_CALLERS_H_
#define PERIDOTFORK_GATEWAY_SLOW_CALLERS_H_

#include <chrono>
#include <cstddef>
#include <span>
#include <vector>

#include "peridotfork/core/clock.h"

namespace peridotfork {

// A connection that holds memory while its caller sends a body or reads a response.
struct CallerProgress {
  // Memory that the connection holds.
  std::size_t held = 0;
  // Bytes that have passed since `since`.
  std::size_t passed = 0;
  BootTime since;
};

struct SlowCallerOptions {
  // A caller has at least this time before it is judged.
  std::chrono::milliseconds grace{2000};
  // A caller is slow if what it holds would take longer than this at its present pace. A link of
  // 1 Mbit/s passes the largest body of the platform's limits, 262,144 bytes, in a fifth of that.
  std::chrono::seconds max_time{10};
  // Part of the memory in use that is freed at a time.
  double freed_share = 0.25;
};

// Chooses the connections to close when the memory for callers is used up: those whose callers make
// the least progress against what they hold. Answers the load "many callers read long answers
// slowly, or send bodies slowly". Returns indexes into `callers`, none if no caller is slow.
std::vector<std::size_t> ChooseSlowCallers(std::span<const CallerProgress> callers,
                                           BootTime now,
                                           const SlowCallerOptions& options = {});

}  // namespace peridotfork

#endif  // PERIDOTFORK_GATEWAY_SLOW_CALLERS_H_
