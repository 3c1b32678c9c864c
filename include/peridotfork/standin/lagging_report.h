#ifndef PERIDOTFORK_STANDIN_LAGGING_REPORT_H_
#define PERIDOTFORK_STANDIN_LAGGING_REPORT_H_

#include <chrono>
#include <deque>
#include <utility>

#include "peridotfork/core/clock.h"

namespace peridotfork::standin {

// A value that readers see with a delay. Not thread-safe.
template <typename T>
class LaggingReport {
 public:
  void Set(T value, BootTime now, std::chrono::nanoseconds lag) {
    if (samples_.empty() || !(samples_.back().value == value)) {
      samples_.push_back({std::move(value), now});
    }
    Prune(now - lag);
  }

  // Returns the value at `now - lag`, or the oldest stored one. Set() must have
  // been called before.
  const T& Get(BootTime now, std::chrono::nanoseconds lag) {
    Prune(now - lag);
    return samples_.front().value;
  }

 private:
  struct Sample {
    T value;
    BootTime since;
  };

  void Prune(BootTime visible) {
    while (samples_.size() > 1 && samples_[1].since <= visible) {
      samples_.pop_front();
    }
  }

  std::deque<Sample> samples_;
};

}  // namespace peridotfork::standin

#endif  // PERIDOTFORK_STANDIN_LAGGING_REPORT_H_
