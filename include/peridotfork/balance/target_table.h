#ifndef PERIDOTFORK_BALANCE_TARGET_TABLE_H_
#define PERIDOTFORK_BALANCE_TARGET_TABLE_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "peridotfork/balance/target.h"
#include "peridotfork/balance/target_score.h"
#include "peridotfork/catalogue/catalogue.h"
#include "peridotfork/core/clock.h"
#include "peridotfork/membership/fleet.h"
#include "peridotfork/routing/budget.h"
#include "peridotfork/routing/latency_tracker.h"
#include "peridotfork/runtime/log.h"
#include "peridotfork/runtime/ranked_mutex.h"

namespace peridotfork {

struct BalanceOptions {
  ScoreOptions score;
  // Budget for retries and hedges of each service. The fraction stays below the
  // retry budget of the platform; the burst is this host's share of the burst that
  // the platform allows.
  routing::BudgetOptions extra{.fraction = 0.17, .burst = 7};
  // Budget tokens that are reserved for retries; hedges may not use them.
  double hedge_reserve = 2;
  // First attempts probe targets only while the budget has this many tokens, since a probe that
  // fails needs an extra attempt.
  double probe_reserve = 4;
  // Number of hosts by which the connection limit of a target is divided.
  std::uint32_t connection_divisor = 6;
  // Number of hosts by which the rate limit of a cold target is divided. Larger than
  // the largest deployment, since a host does not know the number of hosts.
  double cold_rate_divisor = 40;
  // Bounds of the hedge delay: at most this fraction of the latency objective of the
  // route, and at least the minimum, which takes precedence.
  double hedge_objective_share = 0.36;
  std::chrono::nanoseconds min_hedge_delay = std::chrono::milliseconds(8);
};

enum class AttemptPurpose { kFirst, kRetry, kHedge };

// Why no attempt was started.
enum class PickFailure {
  // No target of the service may be sent the request now.
  kNoTarget,
  // The budget of the service does not allow a retry or hedge.
  kNoBudget,
};

struct PickRequest {
  const Route* route = nullptr;
  ServiceId service;
  AttemptPurpose purpose = AttemptPurpose::kFirst;
  // Earlier attempts of the request; their targets are not picked again.
  std::span<const AttemptPtr> tried;
};

// All targets of the deployment with this process's view of their health, the
// budgets for retries and hedges, and the typical latency of each route.
// Thread-safe.
class TargetTable {
 public:
  // `clock` and `log` must outlive the table.
  TargetTable(const Clock& clock,
              Logger& log,
              const HostId& host,
              DataCentreId self,
              BalanceOptions options = {});

  // Replaces the set of targets with `entries`. A target that has restarted is
  // treated as a new one. Attempts on targets that were removed continue.
  void Update(const std::vector<TargetEntry>& entries,
              const std::set<DataCentreId>& drained,
              const Catalogue* catalogue);

  // Picks a target and starts an attempt on it. Returns null and sets `failure`, if given, if no
  // target is eligible or if the budget does not allow a retry or hedge.
  AttemptPtr Pick(const PickRequest& request, PickFailure* failure = nullptr);

  // Records the outcome of an attempt. Further calls for the same attempt have no
  // effect.
  void Finish(Attempt& attempt, AttemptOutcome end, const TargetSignals& signals = {});

  // Records the latency of one answer on the route.
  void ObserveRoute(const Route& route, std::chrono::nanoseconds time);

  // Delay after which an attempt that is sent now should be hedged.
  std::chrono::nanoseconds HedgeDelay(const Route& route) const;

  // When the service has a target that may be sent requests, by holds and the limits that targets
  // name: a time in the past if it has one now, BootTime::max() if all its targets are closed or
  // leaving.
  BootTime OpensAt(const ServiceId& service) const;

  // Maximum number of connections to the target that this process may use.
  std::size_t ConnectionShare(const Target& target) const;

  std::size_t size() const;
  // Number of targets that name a limit.
  std::size_t limited() const;

  // Sets the number of hosts among which the limits that targets name are divided. Until then it is
  // that of the largest fleet.
  void SetHostCount(std::size_t hosts);

 private:
  struct ServiceTargets {
    std::vector<TargetPtr> targets;
    routing::Budget extra;
  };

  ServiceTargets& Service(const ServiceId& id);
  // A position from 0 to below 1 that differs between hosts, so that their requests to the target
  // do not coincide.
  double SendPhase(const TargetId& target) const;
  void ApplyEntry(TargetCondition& condition, const TargetEntry& entry, const Catalogue* catalogue);
  void StartColdPeriod(TargetCondition& condition);
  std::chrono::nanoseconds TypicalLatency(const Route& route) const;
  Target* PickBest(const ServiceTargets& service, const PickRequest& request, BootTime now) const;
  Target* PickBestAmong(const ServiceTargets& service,
                        const PickRequest& request,
                        BootTime now,
                        bool (*may_take)(const TargetCondition&, BootTime)) const;

  // Returns the target of the entry if it is known, also if it has been removed meanwhile.
  TargetPtr FindIncarnation(const TargetEntry& entry) const;
  // Remembers a removed target if it must not be used again.
  void RememberDeparted(const TargetPtr& target, BootTime now);

  // Logs what a target said about itself, before it is recorded.
  void LogSignals(const Target& target, const TargetSignals& signals);
  // Records whether the target names a limit in the answer to the attempt.
  void RecordLimit(const Attempt& attempt,
                   AttemptOutcome end,
                   const TargetSignals& signals,
                   BootTime now);
  // Logs a change of the target's health.
  void LogHealthChange(const Target& target, TargetHealth before, BootTime now);
  void LogMembership(const std::map<TargetId, TargetPtr>& kept);

  const Clock& clock_;
  Logger& log_;
  const std::string host_;
  const DataCentreId self_;
  const BalanceOptions options_;
  mutable RankedMutex mutex_{LockRank::kTargets};
  std::size_t hosts_ = kLargestFleet;
  std::map<TargetId, TargetPtr> targets_;
  // Removed targets that must not be used again if the store lists the same incarnation once
  // more, and the order in which they were removed.
  std::map<TargetId, TargetPtr> departed_;
  std::deque<TargetPtr> departed_order_;
  std::map<ServiceId, ServiceTargets> services_;
  routing::LatencyTracker route_times_;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_BALANCE_TARGET_TABLE_H_
