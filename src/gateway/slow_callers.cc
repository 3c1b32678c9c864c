#include "peridotfork/gateway/slow_callers.h"

#include <algorithm>
#include <utility>

namespace peridotfork {
namespace {

// Seconds that the caller would need for what it holds.
double SecondsNeeded(const CallerProgress& caller, BootTime now) {
  const double elapsed = std::chrono::duration<double>(now - caller.since).count();
  const double pace = static_cast<double>(caller.passed) / std::max(elapsed, 0.001);
  return static_cast<double>(caller.held) / std::max(pace, 1.0);
}

}  // namespace

std::vector<std::size_t> ChooseSlowCallers(std::span<const CallerProgress> callers,
                                           BootTime now,
                                           const SlowCallerOptions& options) {
  std::vector<std::pair<double, std::size_t>> slow;
  std::size_t held = 0;
  for (std::size_t i = 0; i < callers.size(); ++i) {
    const CallerProgress& caller = callers[i];
    held += caller.held;
    const double needed = SecondsNeeded(caller, now);
    if (caller.held > 0 && now - caller.since >= options.grace &&
        needed > std::chrono::duration<double>(options.max_time).count()) {
      slow.emplace_back(needed, i);
    }
  }
  std::ranges::sort(slow, std::ranges::greater());
  std::vector<std::size_t> chosen;
  double freed = 0;
  for (const auto& [needed, index] : slow) {
    if (freed >= options.freed_share * static_cast<double>(held)) {
      break;
    }
    freed += static_cast<double>(callers[index].held);
    chosen.push_back(index);
  }
  return chosen;
}

}  // namespace peridotfork
