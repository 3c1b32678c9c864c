#ifndef PERIDOTFORK_TENANTS_QUOTA_ALLOWANCE_H_
#define PERIDOTFORK_TENANTS_QUOTA_ALLOWANCE_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>

#include "peridotfork/core/clock.h"
#include "peridotfork/core/ids.h"
#include "peridotfork/membership/fleet.h"
#include "peridotfork/protocol/message.h"
#include "peridotfork/tenants/quota_bucket.h"

namespace peridotfork {

// What one host may admit of one tenant's quota, from what the owners of the quota said last.
// Admits at once and reports afterwards, so that no request waits for a peer. Answers the load "one
// tenant sends many times its usual to all hosts". Not thread-safe.
class QuotaAllowance {
 public:
  static constexpr std::size_t kOwners = 2;
  // An owner that has not acknowledged a report within this time counts as unreachable.
  static constexpr std::chrono::milliseconds kOwnerTimeout{1000};
  // A report that was not acknowledged is sent again after this time. While requests are refused,
  // the balance is asked for as often.
  static constexpr std::chrono::milliseconds kResendInterval{100};
  // An owner that has never answered is asked for the balance as often.
  static constexpr std::chrono::milliseconds kFirstAnswerInterval{500};

  // Permits that were returned are used up within this time, or not at all: kept for longer they
  // would add to a full quota.
  static constexpr std::chrono::milliseconds kReturnedFor{500};

  // Until a fleet is known, a host admits one request at once. `total` is where the running count
  // begins: not below any count of this process that owners may have seen.
  explicit QuotaAllowance(BootTime now, std::uint64_t total = 0) : local_(1, now), total_(total) {}

  // Admits a request and returns none, or returns the time after which there is probably room.
  // `fleet_size` is the number of hosts among which the quota is divided if no owner answers.
  std::optional<std::chrono::nanoseconds> Admit(const QuotaLimit& limit,
                                                std::size_t fleet_size,
                                                BootTime now);

  // An admitted request did not run, so that the next one needs no permit.
  void Return(BootTime now);

  // Sets the owners, most preferred first. Those that were owners before keep their state.
  void SetOwners(const std::array<std::optional<FleetMember>, kOwners>& owners);

  // The owner to which a report of total() is due, if any; marks it as sent. Called repeatedly
  // until it returns none.
  struct Report {
    FleetMember owner;
    std::uint64_t baseline = 0;
    std::uint64_t total = 0;
  };
  std::optional<Report> NextReport(BootTime now);

  void OnBalance(const ProcessId& owner, const protocol::TenantBalance& balance, BootTime now);

  std::uint64_t total() const { return total_; }

 private:
  struct Owner {
    // An owner that has not been told of the requests admitted so far, `total`.
    Owner(FleetMember chosen, std::uint64_t total)
        : member(std::move(chosen)), baseline(total), sent(total), acknowledged(total) {}

    FleetMember member;
    std::uint64_t baseline;
    // Total of the last report that was sent, and of the last one that was acknowledged.
    std::uint64_t sent;
    std::uint64_t acknowledged;
    BootTime sent_at;
    // When the oldest total that is not acknowledged was reported; none if all are.
    std::optional<BootTime> waiting_since;
    bool answered = false;
    double balance = 0;
    double usage_rate = 0;
    std::uint32_t active = 1;
    BootTime balance_at;
  };

  // Requests that this host may admit now by what the owner said; none if it does not answer.
  std::optional<double> Estimate(const Owner& owner, const QuotaLimit& limit, BootTime now) const;

  std::array<std::optional<Owner>, kOwners> owners_;
  // Used while no owner answers; until then it holds this host's share of the burst.
  TokenBucket local_;
  std::uint64_t total_ = 0;
  std::uint64_t returned_ = 0;
  // When the first of the returned permits came back.
  BootTime returned_at_;
  // A request was refused, so that the owners are asked for the balance.
  bool wants_balance_ = false;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_TENANTS_QUOTA_ALLOWANCE_H_
