#include "peridotfork/tenants/quota_allowance.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace peridotfork {
namespace {

// Bounds of the time after which a refused caller may return.
constexpr std::chrono::milliseconds kMinRetryAfter{50};
constexpr std::chrono::seconds kMaxRetryAfter{5};

// Part of this host's share of the quota that it uses while no owner answers. The owners may still
// serve the whole quota to the hosts that reach them, and both together have to stay within the
// tolerance of a quarter.
constexpr double kLocalShare = 0.55;

std::chrono::nanoseconds TimeUntilOne(double available, double rate) {
  const double seconds = rate > 0 ? std::max(0.0, 1 - available) / rate : 0;
  const auto time = std::chrono::duration_cast<std::chrono::nanoseconds>(
      std::chrono::duration<double>(std::min(seconds, 3600.0)));
  return std::clamp<std::chrono::nanoseconds>(time, kMinRetryAfter, kMaxRetryAfter);
}

}  // namespace

std::optional<double> QuotaAllowance::Estimate(const Owner& owner,
                                               const QuotaLimit& limit,
                                               BootTime now) const {
  const bool unreachable = owner.waiting_since && now - *owner.waiting_since >= kOwnerTimeout;
  if (!owner.answered || unreachable) {
    return std::nullopt;
  }
  // Meanwhile the quota is refilled, and all hosts together go on to use it as before.
  const double age = std::chrono::duration<double>(now - owner.balance_at).count();
  const double gained = std::max(0.0, limit.rate.value() - owner.usage_rate) * age;
  const double balance = std::min(limit.capacity(), owner.balance + gained);
  // Each active host may have admitted as much as this one since that balance was stated.
  const auto admitted_since = static_cast<double>(total_ - owner.acknowledged);
  return balance - admitted_since * std::max(1U, owner.active);
}

std::optional<std::chrono::nanoseconds> QuotaAllowance::Admit(const QuotaLimit& limit,
                                                              std::size_t fleet_size,
                                                              BootTime now) {
  if (limit.unlimited()) {
    return std::nullopt;
  }
  if (now - returned_at_ >= kReturnedFor) {
    returned_ = 0;
  }
  if (returned_ > 0) {
    --returned_;
    return std::nullopt;
  }
  std::optional<double> available;
  bool is_owner_missing = false;
  for (const std::optional<Owner>& owner : owners_) {
    const std::optional<double> estimate =
        owner ? Estimate(*owner, limit, now) : std::optional<double>();
    if (estimate) {
      available = std::min(available.value_or(*estimate), *estimate);
    }
    is_owner_missing = is_owner_missing || (owner && owner->answered && !estimate);
  }
  const auto share = static_cast<double>(std::max<std::size_t>(1, fleet_size));
  const QuotaLimit local{Rate(limit.rate.value() * kLocalShare / share), 1, 0};
  if (available) {
    local_ = TokenBucket(std::min(1.0, limit.capacity() * kLocalShare / share), now);
  }
  const double left = available.value_or(local_.Balance(local, now));
  if (left < 1) {
    wants_balance_ = true;
    return TimeUntilOne(left, available ? limit.rate.value() : local.rate.value());
  }
  if (!available) {
    local_.Take(local, 1, now);
  }
  // An owner that does not answer may be serving hosts that this one can't reach, so that each
  // request counts twice here.
  total_ += is_owner_missing ? 2 : 1;
  return std::nullopt;
}

void QuotaAllowance::Return(BootTime now) {
  if (returned_ == 0 || now - returned_at_ >= kReturnedFor) {
    returned_ = 0;
    returned_at_ = now;
  }
  ++returned_;
}

void QuotaAllowance::SetOwners(const std::array<std::optional<FleetMember>, kOwners>& owners) {
  std::array<std::optional<Owner>, kOwners> next;
  for (std::size_t i = 0; i < kOwners; ++i) {
    if (!owners[i]) {
      continue;
    }
    const auto known = std::ranges::find_if(owners_, [&](const std::optional<Owner>& owner) {
      return owner && owner->member == *owners[i];
    });
    if (known != owners_.end()) {
      next[i] = std::move(*known);
      known->reset();
      continue;
    }
    next[i].emplace(*owners[i], total_);
  }
  owners_ = std::move(next);
}

std::optional<QuotaAllowance::Report> QuotaAllowance::NextReport(BootTime now) {
  for (std::optional<Owner>& owner : owners_) {
    if (!owner) {
      continue;
    }
    const std::chrono::nanoseconds since_sent = now - owner->sent_at;
    const bool is_new = owner->sent < total_;
    const bool is_unacknowledged = owner->acknowledged < total_ && since_sent >= kResendInterval;
    const bool is_first = !owner->answered && since_sent >= kFirstAnswerInterval;
    const bool is_question = wants_balance_ && owner->answered &&
                             now - owner->balance_at >= kResendInterval &&
                             since_sent >= kResendInterval;
    if (is_new || is_unacknowledged || is_first || is_question) {
      owner->sent = total_;
      owner->sent_at = now;
      owner->waiting_since = owner->waiting_since.value_or(now);
      return Report{owner->member, owner->baseline, total_};
    }
  }
  wants_balance_ = false;
  return std::nullopt;
}

void QuotaAllowance::OnBalance(const ProcessId& process,
                               const protocol::TenantBalance& balance,
                               BootTime now) {
  for (std::optional<Owner>& owner : owners_) {
    const bool is_sender = owner && owner->member.host == process.host &&
                           owner->member.incarnation == process.incarnation;
    // NaN compares as a full quota.
    const bool is_finite = std::isfinite(balance.balance) && std::isfinite(balance.usage_rate);
    if (!is_sender || !is_finite || balance.total < owner->acknowledged || balance.total > total_) {
      continue;
    }
    owner->answered = true;
    owner->acknowledged = balance.total;
    owner->balance = balance.balance;
    owner->usage_rate = std::max(0.0, balance.usage_rate);
    owner->active = balance.active;
    owner->balance_at = now;
    owner->waiting_since.reset();
    if (balance.total < owner->sent) {
      owner->waiting_since = owner->sent_at;
    }
  }
}

}  // namespace peridotfork
