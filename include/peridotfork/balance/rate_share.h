#ifndef PERIDOTFORK_BALANCE_RATE_SHARE_H_
#define PERIDOTFORK_BALANCE_RATE_SHARE_H_

#include <chrono>
#include <cstddef>

#include "peridotfork/core/clock.h"
#include "peridotfork/core/units.h"

namespace peridotfork {

// This host's share of the requests that a target takes from all hosts together: an even part by
// the number of hosts, at times of its own. A time that is not used within `kLapse` is lost, so
// that hosts which had no use for the target do not all send to it at once later. Whatever the
// number of hosts, a window of W seconds gets about limit * (W + kLapse) requests at most. Answers
// the load "a target in trouble names how many requests a second it takes". Not thread-safe.
class RateShare {
 public:
  static constexpr std::chrono::seconds kLapse{1};
  // Applied in place of a lower limit, since only a request shows that a limit has ended.
  static constexpr Rate kMinLimit{0.25};

  // `phase`, from 0 to below 1, differs between hosts.
  RateShare(Rate limit, double phase, std::size_t hosts, BootTime now);

  // Takes a new limit or number of hosts.
  void Set(Rate limit, std::size_t hosts, BootTime now);

  // When the next request may be sent; not after `now` if it may be sent now.
  BootTime NextSend(BootTime now) const;
  void OnSent(BootTime now);

  Rate limit() const { return limit_; }

 private:
  Rate limit_;
  std::chrono::nanoseconds interval_;
  // The earliest time that is not used, or was not when it was looked at last.
  BootTime next_;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_BALANCE_RATE_SHARE_H_
