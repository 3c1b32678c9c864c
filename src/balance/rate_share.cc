#include "peridotfork/balance/rate_share.h"

#include <algorithm>

namespace peridotfork {
namespace {

std::chrono::nanoseconds IntervalOf(Rate limit, std::size_t hosts) {
  constexpr std::chrono::microseconds kMinInterval{10};
  const double rate = std::max(limit, RateShare::kMinLimit).value();
  const std::chrono::duration<double> interval(static_cast<double>(hosts) / rate);
  return std::max<std::chrono::nanoseconds>(
      kMinInterval, std::chrono::duration_cast<std::chrono::nanoseconds>(interval));
}

}  // namespace

RateShare::RateShare(Rate limit, double phase, std::size_t hosts, BootTime now)
    : limit_(limit),
      interval_(IntervalOf(limit, hosts)),
      next_(now + std::chrono::duration_cast<std::chrono::nanoseconds>(interval_ * phase)) {}

void RateShare::Set(Rate limit, std::size_t hosts, BootTime now) {
  limit_ = limit;
  interval_ = IntervalOf(limit, hosts);
  next_ = std::min(next_, now + interval_);
}

BootTime RateShare::NextSend(BootTime now) const {
  const std::chrono::nanoseconds unused = now - next_ - kLapse;
  // Times that have lapsed are skipped in whole intervals, which keeps the phase.
  return unused < std::chrono::nanoseconds(0) ? next_
                                              : next_ + (unused / interval_ + 1) * interval_;
}

void RateShare::OnSent(BootTime now) {
  next_ = NextSend(now) + interval_;
}

}  // namespace peridotfork
