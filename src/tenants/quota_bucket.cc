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
constexpr std::size_t kMaxReporters = 4096;
// Time constant with which the usage rate is smoothed.
constexpr double kUsageSmoothingSeconds = 2;
// All hosts are told the balance while less than this share of the capacity is left.
constexpr double kLowShare = 0.5;

double Seconds(std::chrono::nanoseconds time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

double TokenBucket::Balance(const QuotaLimit& limit, BootTime now) const {
  const double elapsed = std::max(0.0, Seconds(now - at_));
  return std::min(limit.capacity(), tokens_ + limit.rate.value() * elapsed);
}

void TokenBucket::Take(const QuotaLimit& limit, double tokens, BootTime now) {
  const double lowest = -kMaxDebtSeconds * limit.rate.value();
  tokens_ = std::max(lowest, Balance(limit, now) - tokens);
  at_ = std::max(at_, now);
}

void QuotaBucket::OnUsage(const ProcessId& process,
                          std::uint64_t baseline,
                          std::uint64_t total,
                          const QuotaLimit& limit,
                          BootTime now) {
  if (reporters_.size() >= kMaxReporters) {
    ForgetIdle(now);
  }
  const auto [found, added] = reporters_.try_emplace(process);
  Reporter& reporter = found->second;
  if (added) {
    reporter.total = baseline;
  }
  if (total <= reporter.total) {
    return;
  }
  const auto used = static_cast<double>(total - reporter.total);
  bucket_.Take(limit, used, now);
  usage_rate_ = UsageRate(now) + used / kUsageSmoothingSeconds;
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

void QuotaBucket::ForgetIdle(BootTime now) {
  std::erase_if(reporters_,
                [&](const auto& item) { return now - item.second.last_usage >= kForgetAfter; });
}

}  // namespace peridotfork
