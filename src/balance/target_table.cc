#include "peridotfork/balance/target_table.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace peridotfork {
namespace {

// A hedge is sent after this multiple of the typical latency, plus a constant for the
// network latency between data centres.
constexpr double kHedgeFactor = 2.2;
constexpr std::chrono::milliseconds kHedgeExtraDelay{3};
// Assumed typical latency of a route without observations, as a fraction of its
// latency objective.
constexpr double kDefaultLatencyShare = 0.15;

// Number of removed targets that are remembered because they must not be used again.
constexpr std::size_t kMaxDeparted = 4096;

std::chrono::nanoseconds Scale(std::chrono::nanoseconds time, double factor) {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(time * factor);
}

std::chrono::nanoseconds FromSeconds(double seconds) {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
      std::chrono::duration<double>(seconds));
}

GroupId RouteKey(const Route& route) {
  return {ServiceId(route.id.value()), GroupIndex(0)};
}

bool IsSameIncarnation(const TargetEntry& left, const TargetEntry& right) {
  return left.address == right.address && left.service == right.service &&
         left.started_ms == right.started_ms;
}

bool WasTried(std::span<const AttemptPtr> tried, const Target& target) {
  return std::ranges::any_of(
      tried, [&](const AttemptPtr& attempt) { return attempt->target.get() == &target; });
}

}  // namespace

TargetTable::TargetTable(const Clock& clock,
                         Logger& log,
                         const HostId& host,
                         DataCentreId self,
                         BalanceOptions options)
    : clock_(clock),
      log_(log),
      host_(host.value()),
      self_(std::move(self)),
      options_(options),
      route_times_(clock) {}

void TargetTable::Update(const std::vector<TargetEntry>& entries,
                         const std::set<DataCentreId>& drained,
                         const Catalogue* catalogue) {
  const RankedLock lock(mutex_);
  std::map<TargetId, TargetPtr> kept;
  for (auto& [id, service] : services_) {
    service.targets.clear();
  }
  for (const TargetEntry& entry : entries) {
    TargetPtr target = FindIncarnation(entry);
    if (target == nullptr) {
      target.reset(new Target(entry));
    }
    TargetCondition& condition = target->condition;
    ApplyEntry(condition, entry, catalogue);
    condition.closed = entry.draining || drained.contains(entry.data_centre);
    Service(entry.service).targets.push_back(target);
    kept.emplace(entry.id, std::move(target));
  }
  LogMembership(kept);
  const BootTime now = clock_.now();
  for (const auto& [id, target] : targets_) {
    const auto still = kept.find(id);
    if (still == kept.end() || still->second != target) {
      RememberDeparted(target, now);
    }
  }
  targets_ = std::move(kept);
}

TargetPtr TargetTable::FindIncarnation(const TargetEntry& entry) const {
  for (const auto* known : {&targets_, &departed_}) {
    const auto found = known->find(entry.id);
    if (found != known->end() && IsSameIncarnation(found->second->condition.entry, entry)) {
      return found->second;
    }
  }
  return nullptr;
}

void TargetTable::RememberDeparted(const TargetPtr& target, BootTime now) {
  const TargetCondition& condition = target->condition;
  if (!condition.leaving && !condition.misdirected && !condition.limit &&
      now >= condition.hold_until) {
    return;
  }
  departed_[target->id()] = target;
  departed_order_.push_back(target);
  if (departed_order_.size() > kMaxDeparted) {
    const auto oldest = departed_.find(departed_order_.front()->id());
    if (oldest != departed_.end() && oldest->second == departed_order_.front()) {
      departed_.erase(oldest);
    }
    departed_order_.pop_front();
  }
}

AttemptPtr TargetTable::Pick(const PickRequest& request, PickFailure* failure) {
  const auto fail = [failure](PickFailure reason) {
    if (failure != nullptr) {
      *failure = reason;
    }
    return nullptr;
  };
  const RankedLock lock(mutex_);
  const BootTime now = clock_.now();
  ServiceTargets& service = Service(request.service);
  if (request.purpose == AttemptPurpose::kFirst) {
    service.extra.OnSubRequests(1);
  }
  Target* const best = PickBest(service, request, now);
  if (best == nullptr) {
    return fail(PickFailure::kNoTarget);
  }
  const bool hedge_allowed = service.extra.tokens() >= 1 + options_.hedge_reserve;
  if ((request.purpose == AttemptPurpose::kHedge && !hedge_allowed) ||
      (request.purpose != AttemptPurpose::kFirst && !service.extra.TryTake())) {
    return fail(PickFailure::kNoBudget);
  }
  AttemptPtr attempt(new Attempt(TargetPtr(best), now));
  attempt->typical_latency = TypicalLatency(*request.route);
  if (best->condition.limit) {
    best->condition.limit->OnSent(now);
  }
  if (best->condition.cold_interval) {
    best->condition.next_cold_send = now + *best->condition.cold_interval;
  }
  best->condition.open_attempts.push_back(*attempt);
  return attempt;
}

void TargetTable::Finish(Attempt& attempt, AttemptOutcome end, const TargetSignals& signals) {
  const RankedLock lock(mutex_);
  if (!std::exchange(attempt.open, false)) {
    return;
  }
  TargetCondition& condition = attempt.target->condition;
  condition.open_attempts.erase(condition.open_attempts.iterator_to(attempt));
  const BootTime now = clock_.now();
  LogSignals(*attempt.target, signals);
  RecordSignals(condition, signals, now);
  RecordLimit(attempt, end, signals, now);
  const TargetHealth before = HealthOf(condition, now);
  RecordOutcome(condition, attempt, end, now, options_.score);
  LogHealthChange(*attempt.target, before, now);
}

void TargetTable::LogSignals(const Target& target, const TargetSignals& signals) {
  if (signals.leaving && !target.condition.leaving) {
    log_.Request(
        "A target says that it is leaving; it gets no more requests.",
        {{"target", target.id().value()}, {"service", target.condition.entry.service.value()}});
  }
  if (signals.hold) {
    log_.Request("A target asks for no requests for some time.",
                 {{"target", target.id().value()},
                  {"service", target.condition.entry.service.value()},
                  {"hold_ms", std::to_string(signals.hold->count())}});
  }
}

void TargetTable::RecordLimit(const Attempt& attempt,
                              AttemptOutcome end,
                              const TargetSignals& signals,
                              BootTime now) {
  const Target& target = *attempt.target;
  TargetCondition& condition = attempt.target->condition;
  const auto log = [&](std::string_view message, Rate limit) {
    log_.Request(message, {{"target", target.id().value()},
                           {"service", condition.entry.service.value()},
                           {"per_second", std::to_string(limit.value())}});
  };
  if (signals.limit) {
    if (condition.limit) {
      condition.limit->Set(*signals.limit, hosts_, now);
    } else {
      log("A target limits the requests from all hosts.", *signals.limit);
      condition.limit.emplace(*signals.limit, SendPhase(target.id()), hosts_, now);
    }
    condition.limit_named_at = now;
  } else if (condition.limit && end == AttemptOutcome::kAnswered &&
             attempt.sent > condition.limit_named_at) {
    // The answer to an earlier attempt may be older than the limit.
    log("A target no longer limits its requests.", condition.limit->limit());
    condition.limit.reset();
  }
}

void TargetTable::LogHealthChange(const Target& target, TargetHealth before, BootTime now) {
  const TargetCondition& condition = target.condition;
  const TargetHealth after = HealthOf(condition, now);
  // The first slow period in succession is not logged, since it ends by the passing
  // of time alone.
  if (after == before || (before == TargetHealth::kHealthy && after == TargetHealth::kSlow &&
                          condition.consecutive_slow == 1)) {
    return;
  }
  log_.Request("The health of a target has changed.",
               {{"target", target.id().value()},
                {"service", condition.entry.service.value()},
                {"from", std::string(TargetHealthName(before))},
                {"to", std::string(TargetHealthName(after))},
                {"losses", std::to_string(condition.consecutive_losses)},
                {"slowness", std::to_string(condition.slowness)},
                {"failure_rate", std::to_string(condition.failure_rate)},
                {"report", std::to_string(condition.entry.sequence)}});
}

void TargetTable::LogMembership(const std::map<TargetId, TargetPtr>& kept) {
  std::size_t added = 0;
  std::size_t closed = 0;
  std::string removed;
  for (const auto& [id, target] : kept) {
    const auto known = targets_.find(id);
    added += known == targets_.end() || known->second != target ? 1 : 0;
    closed += target->condition.closed ? 1 : 0;
  }
  for (const auto& [id, target] : targets_) {
    const auto still = kept.find(id);
    if (still == kept.end() || still->second != target) {
      removed.append(removed.empty() ? "" : ",").append(id.value());
    }
  }
  log_.Request("The targets have changed.", {{"targets", std::to_string(kept.size())},
                                             {"added", std::to_string(added)},
                                             {"closed", std::to_string(closed)},
                                             {"removed", removed}});
}

void TargetTable::ObserveRoute(const Route& route, std::chrono::nanoseconds time) {
  const RankedLock lock(mutex_);
  route_times_.ObserveGroup(RouteKey(route), time);
}

std::chrono::nanoseconds TargetTable::HedgeDelay(const Route& route) const {
  const RankedLock lock(mutex_);
  const std::chrono::nanoseconds delay =
      Scale(TypicalLatency(route), kHedgeFactor) + kHedgeExtraDelay;
  const std::chrono::nanoseconds latest = Scale(route.objective, options_.hedge_objective_share);
  return std::max(options_.min_hedge_delay, std::min(delay, latest));
}

BootTime TargetTable::OpensAt(const ServiceId& service) const {
  const RankedLock lock(mutex_);
  const BootTime now = clock_.now();
  BootTime earliest = BootTime::max();
  if (const auto found = services_.find(service); found != services_.end()) {
    for (const TargetPtr& target : found->second.targets) {
      if (IsOpen(target->condition)) {
        earliest = std::min(earliest, OpenFrom(target->condition, now));
      }
    }
  }
  return earliest;
}

std::size_t TargetTable::ConnectionShare(const Target& target) const {
  const RankedLock lock(mutex_);
  return target.condition.connection_share.value();
}

std::size_t TargetTable::size() const {
  const RankedLock lock(mutex_);
  return targets_.size();
}

void TargetTable::SetHostCount(std::size_t hosts) {
  const RankedLock lock(mutex_);
  hosts_ = hosts;
  const BootTime now = clock_.now();
  for (const auto& [id, target] : targets_) {
    if (std::optional<RateShare>& limit = target->condition.limit) {
      limit->Set(limit->limit(), hosts, now);
    }
  }
}

double TargetTable::SendPhase(const TargetId& target) const {
  constexpr std::size_t kPhases = 1024;
  return static_cast<double>(std::hash<std::string>{}(host_ + target.value()) % kPhases) / kPhases;
}

std::size_t TargetTable::limited() const {
  const RankedLock lock(mutex_);
  return static_cast<std::size_t>(std::ranges::count_if(
      targets_, [](const auto& item) { return item.second->condition.limit.has_value(); }));
}

TargetTable::ServiceTargets& TargetTable::Service(const ServiceId& id) {
  const auto found = services_.find(id);
  if (found != services_.end()) {
    return found->second;
  }
  return services_.emplace(id, ServiceTargets{{}, routing::Budget(options_.extra)}).first->second;
}

void TargetTable::ApplyEntry(TargetCondition& condition,
                             const TargetEntry& entry,
                             const Catalogue* catalogue) {
  const bool repeated = condition.entry.sequence == entry.sequence;
  condition.entry = entry;
  if (catalogue != nullptr) {
    const auto service = catalogue->services().find(entry.service);
    if (service != catalogue->services().end()) {
      const double rate = service->second.cold_rate.value() / options_.cold_rate_divisor;
      condition.cold_interval.reset();
      if (rate > 0) {
        condition.cold_interval = FromSeconds(1 / rate);
      }
      condition.connection_share = Connections(
          std::max(2U, service->second.max_connections.value() / options_.connection_divisor));
    }
  }
  if (entry.cold_time_left.count() > 0 && (!repeated || condition.cold_until == BootTime())) {
    StartColdPeriod(condition);
  }
}

void TargetTable::StartColdPeriod(TargetCondition& condition) {
  const BootTime now = clock_.now();
  const bool was_cold = now < condition.cold_until;
  condition.cold_until = now + condition.entry.cold_time_left;
  if (condition.cold_interval && !was_cold) {
    condition.next_cold_send = now + Scale(*condition.cold_interval, SendPhase(condition.entry.id));
  }
}

std::chrono::nanoseconds TargetTable::TypicalLatency(const Route& route) const {
  const auto estimate = route_times_.GroupQuantiles(RouteKey(route));
  return estimate ? estimate->median : Scale(route.objective, kDefaultLatencyShare);
}

Target* TargetTable::PickBest(const ServiceTargets& service,
                              const PickRequest& request,
                              BootTime now) const {
  const bool may_probe =
      request.purpose == AttemptPurpose::kFirst && service.extra.tokens() >= options_.probe_reserve;
  if (!may_probe) {
    if (Target* const best = PickBestAmong(service, request, now, &MayTakeProvenWork)) {
      return best;
    }
  }
  for (const auto may_take : {&MayTakeWork, &MayTakeAsLastResort}) {
    if (Target* const best = PickBestAmong(service, request, now, may_take)) {
      return best;
    }
  }
  return nullptr;
}

Target* TargetTable::PickBestAmong(const ServiceTargets& service,
                                   const PickRequest& request,
                                   BootTime now,
                                   bool (*may_take)(const TargetCondition&, BootTime)) const {
  const std::chrono::nanoseconds typical_latency = TypicalLatency(*request.route);
  Target* best = nullptr;
  double best_score = 0;
  for (const TargetPtr& target : service.targets) {
    const TargetCondition& condition = target->condition;
    if (!may_take(condition, now) || WasTried(request.tried, *target) ||
        condition.open_attempts.size() >= condition.connection_share.value()) {
      continue;
    }
    const double score = ScoreTarget(condition, self_, typical_latency, now, options_.score);
    if (best == nullptr || score < best_score) {
      best = target.get();
      best_score = score;
    }
  }
  return best;
}

}  // namespace peridotfork
