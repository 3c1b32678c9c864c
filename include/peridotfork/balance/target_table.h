#ifndef PERIDOTFORK_BALANCE_TARGET_TABLE_H_
#define PERIDOTFORK_BALANCE_TARGET_TABLE_H_

#include <cstddef>
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
#include "peridotfork/routing/budget.h"
#include "peridotfork/routing/latency_tracker.h"
#include "peridotfork/runtime/log.h"
#include "peridotfork/runtime/ranked_mutex.h"

namespace peridotfork {

struct BalanceOptions {
  ScoreOptions score;
  // Extra attempts of each service. The fraction stays under the platform's
  // retry budget; the burst is this host's share of its slack.
  routing::BudgetOptions extra{.fraction = 0.17, .burst = 7};
  // Hedges leave so many tokens to retries.
  double hedge_reserve = 2;
  // Hosts among which the connections to a target are divided.
  std::uint32_t connection_sharers = 6;
  // Hosts among which the rate of a cold target is divided: more than the largest
  // deployment has, since hosts do not know how many they are.
  double cold_sharers = 40;
  // Hedge delay: this quantile of the usual times, or this share of the
  // objective if it comes first; not before the floor.
  double hedge_objective_share = 0.36;
  std::chrono::nanoseconds min_hedge_delay = std::chrono::milliseconds(8);
};

// Why an attempt is sent.
enum class AttemptPurpose { kFirst, kRetry, kHedge };

struct PickRequest {
  const Route* route = nullptr;
  ServiceId service;
  AttemptPurpose purpose = AttemptPurpose::kFirst;
  // Targets that the request was sent to before.
  std::span<const AttemptPtr> tried;
};

// All targets of the deployment and what this process believes of them, the
// budgets of extra attempts, and the usual times of the routes. Thread-safe.
class TargetTable {
 public:
  // `clock` and `log` must outlive the table.
  TargetTable(const Clock& clock,
              Logger& log,
              const HostId& host,
              DataCentreId self,
              BalanceOptions options = {});

  // Takes over the state of the directory. A target that started anew is a new
  // target; attempts on targets that are gone go on.
  void Update(const std::vector<TargetEntry>& entries,
              const std::set<DataCentreId>& drained,
              const Catalogue* catalogue);

  // Chooses a target and opens an attempt on it; null if there is none, or no
  // budget for an extra attempt.
  AttemptPtr Pick(const PickRequest& request);

  // Ends an attempt. An attempt ends once; later calls change nothing.
  void Finish(Attempt& attempt, AttemptEnd end, const std::optional<LoadReport>& load);

  // Remembers how long an answer on the route took.
  void ObserveRoute(const Route& route, std::chrono::nanoseconds time);

  // When to send an extra attempt after one that is sent now.
  std::chrono::nanoseconds HedgeDelay(const Route& route) const;

  // Whether some target of the service may take work, now or soon.
  bool HasTargets(const ServiceId& service) const;

  // Most connections to the target that this process may use.
  std::size_t ConnectionShare(const Target& target) const;

  std::size_t size() const;

 private:
  struct ServiceTargets {
    std::vector<TargetPtr> targets;
    routing::Budget extra;
  };

  ServiceTargets& Service(const ServiceId& id);
  void Open(TargetCondition& condition, const TargetEntry& entry, const Catalogue* catalogue);
  void BeginCold(TargetCondition& condition);
  std::chrono::nanoseconds UsualTime(const Route& route) const;
  Target* Best(const ServiceTargets& service, const PickRequest& request, BootTime now) const;
  Target* BestAmong(const ServiceTargets& service,
                    const PickRequest& request,
                    BootTime now,
                    bool (*may_take)(const TargetCondition&, BootTime)) const;

  // Writes a line if what is believed of the target has changed.
  void LogChange(const Target& target, TargetHealth before, BootTime now);
  void LogMembership(const std::map<TargetId, TargetPtr>& kept);

  const Clock& clock_;
  Logger& log_;
  const std::string host_;
  const DataCentreId self_;
  const BalanceOptions options_;
  mutable RankedMutex mutex_{LockRank::kTargets};
  std::map<TargetId, TargetPtr> targets_;
  std::map<ServiceId, ServiceTargets> services_;
  routing::LatencyTracker route_times_;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_BALANCE_TARGET_TABLE_H_
