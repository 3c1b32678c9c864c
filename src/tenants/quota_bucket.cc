#include "peridotfork/tenants/quota_bucket.h"

#include <algorithm>
#include <cmath>

namespace peridotfork {
namespace {

// Debt is forgotten beyond what so much time refills, so that one wrong report does not close a
// tenant for long.
constexpr double kMaxDebtSeconds = 5;
// Processes without new usage are forgotten after this time. One that reports again later counts
// from its baseline or from its last total, whichever is known.
constexpr std::chrono::minutes kForgetAfter{10};
// Time constant with which the usage rate is smoothed.
constexpr double kUsageSmoothingSeconds = 2;
// All hosts are told the balance while less than this share of the capacity is left.
constexpr double kLowShare = 0.5;

// All processes of 2,500 hosts during a restart of the whole deployment fit twice. Further ones
// replace the one that has reported nothing for longest, so that false senders use no memory.
constexpr std::size_t kMaxReporters = 8192;
// The usage rate counts up to this multiple of the limit, so that one wrong report does not raise
// it for long. Beyond the limit itself it has no effect.
constexpr double kMaxUsageRate = 20;

double Seconds(std::chrono::nanoseconds time) {
  return std::chrono::duration<double>(time).count();
}

double LowestBalance(const QuotaLimit& limit) {
  return -kMaxDebtSeconds * limit.rate.value();
}

}  // namespace

double TokenBucket::Balance(const QuotaLimit& limit, BootTime now) const {
  const double elapsed = std::max(0.0, Seconds(now - at_));
  // A lowered limit also lowers a debt from before, which would otherwise take long to repay.
  const double tokens = std::max(tokens_, LowestBalance(limit));
  return std::min(limit.capacity(), tokens + limit.rate.value() * elapsed);
}

void TokenBucket::Take(const QuotaLimit& limit, double tokens, BootTime now) {
  tokens_ = std::max(LowestBalance(limit), Balance(limit, now) - tokens);
  at_ = std::max(at_, now);
}

void QuotaBucket::OnUsage(const ProcessId& process,
                          std::uint64_t baseline,
                          std::uint64_t total,
                          const QuotaLimit& limit,
                          BootTime now) {
  if (reporters_.size() >= kMaxReporters && !reporters_.contains(process)) {
    MakeRoom(now);
  }
  Reporter& reporter = reporters_[process];
  // What the process admitted before its baseline was reported to other owners.
  reporter.total = std::max(reporter.total, baseline);
  if (total <= reporter.total) {
    return;
  }
  const auto used = static_cast<double>(total - reporter.total);
  bucket_.Take(limit, used, now);
  usage_rate_ =
      std::min(kMaxUsageRate * limit.rate.value(), UsageRate(now) + used / kUsageSmoothingSeconds);
  usage_rate_at_ = now;
  reporter.total = total;
  reporter.last_usage = now;
}

double QuotaBucket::UsageRate(BootTime now) const {
  return usage_rate_ * std::exp(-Seconds(now - usage_rate_at_) / kUsageSmoothingSeconds);
}

std::optional<std::uint64_t> QuotaBucket::CountedTotal(const ProcessId& process) const {
  const auto found = reporters_.find(process);
  return found == reporters_.end() ? std::nullopt : std::optional(found->second.total);
}

bool QuotaBucket::TakeAnnouncement(const QuotaLimit& limit,
                                   std::chrono::nanoseconds interval,
                                   BootTime now) {
  if (Balance(limit, now) >= kLowShare * limit.capacity() || now - announced_at_ < interval) {
    return false;
  }
  announced_at_ = now;
  return true;
}

std::uint32_t QuotaBucket::ActiveHosts(BootTime now) const {
  return static_cast<std::uint32_t>(std::ranges::count_if(reporters_, [&](const auto& item) {
    return item.second.last_usage != BootTime() && now - item.second.last_usage < kActiveFor;
  }));
}

void QuotaBucket::MakeRoom(BootTime now) {
  std::erase_if(reporters_,
                [&](const auto& item) { return now - item.second.last_usage >= kForgetAfter; });
  if (reporters_.size() >= kMaxReporters) {
    reporters_.erase(std::ranges::min_element(
        reporters_, {}, [](const auto& item) { return item.second.last_usage; }));
  }
}

}  // namespace peridotfork
