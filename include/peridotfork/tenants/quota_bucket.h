#ifndef PERIDOTFORK_TENANTS_QUOTA_BUCKET_H_
#define PERIDOTFORK_TENANTS_QUOTA_BUCKET_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

#include "peridotfork/core/clock.h"
#include "peridotfork/core/ids.h"
#include "peridotfork/core/units.h"

namespace peridotfork {

// Limit on the requests of one tenant.
struct QuotaLimit {
  Rate rate{0};
  double burst = 0;
  // Requests beyond rate and burst that the platform tolerates; part of them is added to the burst,
  // so that short bursts of a small tenant are not refused.
  double slack = 0;

  // A bucket that holds less than one request would never admit any.
  double capacity() const { return std::max(1.0, burst) + kUsedSlack * slack; }
  static constexpr double kUsedSlack = 0.4;
  bool unlimited() const { return rate.value() <= 0; }
};

// Token bucket. May go into debt, which later refills repay.
class TokenBucket {
 public:
  TokenBucket(double tokens, BootTime now) : tokens_(tokens), at_(now) {}

  // Number of tokens; negative while in debt.
  double Balance(const QuotaLimit& limit, BootTime now) const;
  void Take(const QuotaLimit& limit, double tokens, BootTime now);

 private:
  double tokens_;
  BootTime at_;
};

// The quota of one tenant as its owner keeps it: a token bucket, from which the requests that all
// hosts report are taken. Reports are running counts, so that lost, repeated and reordered ones do
// no harm. Not thread-safe.
class QuotaBucket {
 public:
  // How long a host counts as active after it reported new usage.
  static constexpr std::chrono::seconds kActiveFor{5};

  QuotaBucket(const QuotaLimit& limit, BootTime now) : bucket_(limit.capacity(), now) {}

  // Records that the process has admitted `total` requests since its start, of which it had
  // admitted `baseline` when it took this owner; what it admitted before is not counted here.
  void OnUsage(const ProcessId& process,
               std::uint64_t baseline,
               std::uint64_t total,
               const QuotaLimit& limit,
               BootTime now);

  double Balance(const QuotaLimit& limit, BootTime now) const {
    return bucket_.Balance(limit, now);
  }

  // Number of hosts that reported new usage a short time ago.
  std::uint32_t ActiveHosts(BootTime now) const;

  // Requests per second that were reported lately.
  double UsageRate(BootTime now) const;

  // The last total of the process that was counted; none if it never reported.
  std::optional<std::uint64_t> CountedTotal(const ProcessId& process) const;

  // Whether all hosts should learn the balance now: less than half of the quota is left, and they
  // were not told within `interval`. Marks them as told.
  bool TakeAnnouncement(const QuotaLimit& limit, std::chrono::nanoseconds interval, BootTime now);

 private:
  struct Reporter {
    std::uint64_t total = 0;
    BootTime last_usage;
  };

  // Forgets processes that have reported nothing for long, and at least one.
  void MakeRoom(BootTime now);

  TokenBucket bucket_;
  double usage_rate_ = 0;
  BootTime usage_rate_at_;
  BootTime announced_at_;
  std::map<ProcessId, Reporter> reporters_;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_TENANTS_QUOTA_BUCKET_H_
