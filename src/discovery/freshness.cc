#include "peridotfork/discovery/freshness.h"

#include <algorithm>

namespace peridotfork {
namespace {

using std::chrono::milliseconds;

// Before it drops its history, the store may hold changes back from waiting watches for so long.
constexpr milliseconds kMaxHeldBack{1000};

}  // namespace

void Freshness::OnListed(BootTime start) {
  failed_ = false;
  current_as_of_ = std::max(current_as_of_, start);
}

void Freshness::OnWatched(BootTime start, milliseconds wait, bool empty, BootTime end) {
  failed_ = false;
  // The store answers a watch without changes only after its wait, unless it waits less than it was
  // asked to. When it had changes to report, the time at which it did is not known.
  const milliseconds waited = std::min(wait, std::chrono::duration_cast<milliseconds>(end - start));
  const milliseconds proven =
      empty ? std::max(waited - kMaxHeldBack, milliseconds(0)) : milliseconds(0);
  current_as_of_ = std::max(current_as_of_, start + proven);
}

milliseconds Freshness::TimeLeft(BootTime now) const {
  return std::chrono::duration_cast<milliseconds>(current_as_of_ + options_.max_age - now) -
         kReplyAllowance;
}

milliseconds Freshness::NextWatchDuration(BootTime now) const {
  // After a failure, the store is asked at once what has changed: it may have been restored from a
  // copy, which a watch that waits for changes would show only at its end.
  if (failed_) {
    return kMinWatch;
  }
  return unlimited() ? options_.watch_duration
                     : std::clamp(TimeLeft(now), kMinWatch, options_.watch_duration);
}

milliseconds Freshness::NextBatchDelay(BootTime now) const {
  // Half of the time that is left remains for the watch that follows.
  return unlimited() ? options_.batch_delay
                     : std::clamp(TimeLeft(now) / 2, milliseconds(0), options_.batch_delay);
}

}  // namespace peridotfork
