#ifndef PERIDOTFORK_DISCOVERY_FRESHNESS_H_
#define PERIDOTFORK_DISCOVERY_FRESHNESS_H_

#include <chrono>

#include "peridotfork/core/clock.h"

namespace peridotfork {

struct FreshnessOptions {
  // Maximum age of what the host knows for sure; zero for no limit.
  std::chrono::milliseconds max_age{0};
  // Wait of a watch, and the pause after one that reported changes, if there is no limit.
  std::chrono::milliseconds watch_duration{2900};
  std::chrono::milliseconds batch_delay{900};
};

// Tracks until when the host certainly knows all changes that the store has acknowledged, and
// chooses waits and pauses of watches so that the age of this knowledge stays below its limit while
// the store answers. Answers the load "keys are taken away while hosts can't reach the store".
// Not thread-safe.
class Freshness {
 public:
  // Time for a reply of the store: milliseconds, and a few hundred while the store is slow.
  static constexpr std::chrono::milliseconds kReplyAllowance{600};
  // Shortest watch, which asks for the state of the store at once.
  static constexpr std::chrono::milliseconds kMinWatch{10};

  explicit Freshness(FreshnessOptions options) : options_(options) {}

  // Records a complete listing whose first call was made at `start`.
  void OnListed(BootTime start);

  // Records the answer, received at `end`, to a watch that was sent at `start` and asked the store
  // to wait for `wait`. `empty` says that the store had nothing to report.
  void OnWatched(BootTime start, std::chrono::milliseconds wait, bool empty, BootTime end);

  // Records an answer that may lack changes.
  void OnIncomplete() { failed_ = false; }

  // Records a call without an answer: the next watch asks for the state at once.
  void OnFailed() { failed_ = true; }

  // All changes that the store acknowledged until this time are known; BootTime() if none are.
  BootTime current_as_of() const { return current_as_of_; }

  std::chrono::milliseconds NextWatchDuration(BootTime now) const;
  std::chrono::milliseconds NextBatchDelay(BootTime now) const;

 private:
  // Time until the age reaches its limit, less the time for a reply.
  std::chrono::milliseconds TimeLeft(BootTime now) const;
  bool unlimited() const { return options_.max_age == std::chrono::milliseconds(0); }

  const FreshnessOptions options_;
  BootTime current_as_of_;
  // The last call was not answered.
  bool failed_ = false;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_DISCOVERY_FRESHNESS_H_
