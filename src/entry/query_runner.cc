#include "peridotfork/entry/query_runner.h"

#include <algorithm>
#include <utility>

namespace peridotfork::entry {
namespace {

constexpr std::chrono::milliseconds kMinTimerDelay{1};

AdmissionOptions MakeAdmissionOptions(std::uint32_t max_in_flight) {
  AdmissionOptions options;
  options.total_in_flight = max_in_flight;
  // The rate limit of a small caller, divided by the number of entries, is only a few
  // requests per second. A booking needs two requests in short succession: one for the
  // ticket and one for the booking itself.
  options.burst = std::chrono::seconds(1);
  return options;
}

std::unique_ptr<routing::ReplicaChooser> MakeChooser(const Clock& clock,
                                                     const QueryRunnerOptions& options) {
  if (options.adaptive_routing) {
    return std::make_unique<routing::ExpectedTimeChooser>(clock, options.data_centre);
  }
  return std::make_unique<routing::RandomChooser>();
}

std::unique_ptr<routing::HedgePolicy> MakeHedging(const routing::LatencyTracker& latencies,
                                                  const QueryRunnerOptions& options) {
  if (options.adaptive_routing) {
    return std::make_unique<routing::QuantileHedge>(latencies);
  }
  return std::make_unique<routing::NoHedge>();
}

// The limit in the document applies to the whole fleet. It is divided by the number of
// entries, since the load balancer of the platform spreads callers over them.
CallerLimits LimitsPerEntry(const CallerConfig& caller, std::size_t entries) {
  const auto count = static_cast<double>(std::max<std::size_t>(entries, 1));
  const auto in_flight = static_cast<std::uint32_t>((caller.in_flight + count - 1) / count);
  return {Rate(caller.rate.value() / count), in_flight};
}

std::map<CallerId, CallerLimits> LimitsOfCallers(const Document& document, std::size_t entries) {
  std::map<CallerId, CallerLimits> limits;
  for (const CallerConfig& caller : document.callers()) {
    limits.emplace(caller.id, LimitsPerEntry(caller, entries));
  }
  return limits;
}

}  // namespace

QueryRunner::QueryRunner(WorkerPool& pool,
                         const Clock& clock,
                         Endpoint& endpoint,
                         const QueryRunnerOptions& options)
    : pool_(pool),
      clock_(clock),
      endpoint_(endpoint),
      target_status_(clock),
      adaptive_routing_(options.adaptive_routing),
      chooser_(MakeChooser(clock, options)),
      hedging_(MakeHedging(target_status_.latencies(), options)),
      hedges_(routing::kHedgeBudget),
      retries_(routing::kRetryBudget),
      admission_(clock, MakeAdmissionOptions(options.max_in_flight)),
      quarantine_(clock, {}),
      random_(std::random_device{}()) {}

void QueryRunner::SetDocument(const DocumentPtr& document) {
  const RankedLock lock(mutex_);
  target_status_.SetDocument(document);
  admission_.SetLimits(LimitsOfCallers(*document, entry_count_));
}

void QueryRunner::SetRoutes(const protocol::RouteUpdate& update) {
  const RankedLock lock(mutex_);
  target_status_.SetRoutes(update);
  other_entries_.clear();
  for (const protocol::ProcessAddress& entry : update.entries) {
    if (entry.incarnation != endpoint_.self().incarnation) {
      other_entries_.push_back(entry);
    }
  }
  if (entry_count_ != update.entries.size() && target_status_.document() != nullptr) {
    entry_count_ = update.entries.size();
    admission_.SetLimits(LimitsOfCallers(*target_status_.document(), entry_count_));
  }
}

void QueryRunner::OnStatus(const protocol::ProcessAddress& dispatcher,
                           const protocol::TargetStatus& status) {
  const RankedLock lock(mutex_);
  target_status_.OnStatus(dispatcher, status);
}

void QueryRunner::OnQuarantineNotice(const protocol::QuarantineNotice& notice) {
  const RankedLock lock(mutex_);
  quarantine_.OnNotice(notice.caller, notice.fingerprint, notice.remaining);
}

Result<void> QueryRunner::Search(const SearchRequest& request, SearchCallback done) {
  const Result<std::chrono::milliseconds> time = TimeLimitFor(request.service, request.deadline);
  if (!time.has_value()) {
    return time.error();
  }
  Effects effects;
  {
    const RankedLock lock(mutex_);
    const std::uint64_t fingerprint =
        Quarantine::Fingerprint(request.caller, request.service, request.query);
    if (quarantine_.IsQuarantined(request.caller, fingerprint)) {
      return MakeError(ErrorKind::kQuarantined, "body.query",
                       "targets were lost while they ran this query");
    }
    const auto snapshot = target_status_.ChooseSnapshot(request.service, std::nullopt);
    if (!snapshot.has_value()) {
      return MakeError(ErrorKind::kUnavailable, "service " + request.service.value(),
                       "no target is known to serve it");
    }
    if (auto admitted = admission_.TryAdmit(request.caller); !admitted.has_value()) {
      return admitted.error();
    }
    query::QueryPlan plan;
    plan.service = request.service;
    plan.snapshot = *snapshot;
    plan.deadline = clock_.now() + time.value();
    plan.require = request.require;
    plan.limit = request.limit;
    plan.seed = random_();
    plan.retry_overdue = adaptive_routing_;
    const query::QueryDependencies dependencies{clock_,  *chooser_, *hedging_,
                                                hedges_, retries_,  *this};
    const ActiveQueryPtr query(new ActiveQuery(pool_.context(), dependencies, plan));
    query->caller = request.caller;
    query->fingerprint = fingerprint;
    query->body = request.query;
    query->limit = request.limit;
    query->deadline = clock_.wall_now() + std::chrono::duration_cast<std::chrono::microseconds>(
                                              query->execution.answer_by() - clock_.now());
    query->done = std::move(done);
    PerformActions(query, query->execution.Start(), &effects);
  }
  Apply(std::move(effects));
  return boost::outcome_v2::success();
}

Result<void> QueryRunner::Admit(const CallerId& caller) {
  const RankedLock lock(mutex_);
  return admission_.TryAdmit(caller);
}

void QueryRunner::Release(const CallerId& caller) {
  const RankedLock lock(mutex_);
  admission_.Release(caller);
}

Result<std::chrono::milliseconds> QueryRunner::TimeLimitFor(
    const ServiceId& service,
    std::optional<std::chrono::milliseconds> requested) const {
  const RankedLock lock(mutex_);
  if (target_status_.document() == nullptr) {
    return MakeError(ErrorKind::kNoConfiguration, "entry");
  }
  const ServiceConfig* const config = target_status_.document()->FindService(service);
  if (config == nullptr) {
    return MakeError(ErrorKind::kUnknownName, "body.service", service.value());
  }
  return requested.value_or(config->deadline);
}

Result<TargetId> QueryRunner::SendBooking(const BookingRequest& request,
                                          WallTime deadline,
                                          const std::vector<TargetId>& tried,
                                          AttemptCallback done) {
  protocol::SubRequest message;
  protocol::ProcessAddress dispatcher;
  {
    const RankedLock lock(mutex_);
    GroupId group;
    Snapshot snapshot;
    const auto target = ChooseForBooking(request, tried, &group, &snapshot);
    if (!target.has_value()) {
      return target.error();
    }
    const auto route = target_status_.RouteOf(target.value());
    if (!route.has_value()) {
      return MakeError(ErrorKind::kUnavailable, target.value().value(), "no dispatcher is known");
    }
    dispatcher = *route;
    message.attempt = NewAttempt();
    message.target = target.value();
    message.service = request.service;
    message.group = group.index;
    message.snapshot = snapshot;
    message.booking = true;
    message.body = request.booking;
    message.deadline = deadline;
    attempts_.emplace(message.attempt, AttemptInfo{nullptr, std::move(done), target.value(), group,
                                                   snapshot, clock_.now(), dispatcher});
    target_status_.OnSent(target.value(), message.attempt);
  }
  const AttemptId attempt = message.attempt;
  TargetId target = message.target;
  const Result<void> sent =
      endpoint_.Send(dispatcher.address, dispatcher.incarnation, std::move(message));
  if (!sent.has_value()) {
    const RankedLock lock(mutex_);
    const auto info = attempts_.find(attempt);
    target_status_.OnEnded(target, info->second.group, attempt, /*observed=*/false);
    attempts_.erase(info);
    return MakeError(ErrorKind::kUnavailable, target.value(), sent.error().detail);
  }
  return target;
}

Result<TargetId> QueryRunner::ChooseForBooking(const BookingRequest& request,
                                               const std::vector<TargetId>& tried,
                                               GroupId* group,
                                               Snapshot* snapshot) {
  const auto choice = target_status_.ChooseSnapshot(request.service, std::nullopt);
  const ServiceConfig* const service = target_status_.document()->FindService(request.service);
  if (!choice.has_value() || choice->groups_total == 0 || service == nullptr) {
    return MakeError(ErrorKind::kUnavailable, "service " + request.service.value(),
                     "no target is known to serve it");
  }
  if (service->kind != ServiceKind::kBooking) {
    return MakeError(ErrorKind::kOutOfRange, "body.service", "the service takes no bookings");
  }
  const std::uint64_t hash = Quarantine::Fingerprint(CallerId(), request.service, request.booking);
  *group = {request.service, GroupIndex(static_cast<std::uint32_t>(hash % choice->groups_total))};
  *snapshot = choice->snapshot;
  const std::vector<routing::Candidate> candidates = target_status_.Candidates(*group, *snapshot);
  const auto chosen = chooser_->Choose({candidates, tried, /*may_explore=*/false, random_()});
  if (!chosen.has_value()) {
    return MakeError(ErrorKind::kUnavailable,
                     request.service.value() + "/" + std::to_string(group->index.value()),
                     "no usable replica is left for the booking");
  }
  return candidates[*chosen].target;
}

void QueryRunner::OnReply(const protocol::SubReply& reply) {
  Effects effects;
  {
    const RankedLock lock(mutex_);
    const auto found = attempts_.find(reply.attempt);
    if (found == attempts_.end()) {
      ++counters_.late_replies;
      return;
    }
    const AttemptInfo info = std::move(found->second);
    attempts_.erase(found);
    target_status_.OnEnded(info.target, info.group, reply.attempt, reply.outcome == ErrorKind::kOk);
    if (reply.outcome == ErrorKind::kNotOwner) {
      target_status_.OnNotOwner(info.target, info.dispatcher);
    }
    if (info.query == nullptr) {
      effects.callbacks.emplace_back([done = info.booking_done, target = info.target, reply] {
        done(target, reply.outcome, reply.result);
      });
    } else {
      RecordAttemptOutcome(info, reply, &effects);
      std::vector<query::Record> records;
      records.reserve(reply.records.size());
      for (const protocol::FoundRecord& record : reply.records) {
        records.push_back({record.id, record.rank, record.json});
      }
      PerformActions(info.query,
                     info.query->execution.OnReply(reply.attempt, reply.outcome, reply.snapshot,
                                                   std::move(records)),
                     &effects);
    }
  }
  Apply(std::move(effects));
}

void QueryRunner::RecordAttemptOutcome(const AttemptInfo& info,
                                       const protocol::SubReply& reply,
                                       Effects* effects) {
  const ActiveQuery& query = *info.query;
  if (reply.outcome == ErrorKind::kSnapshotGone) {
    target_status_.OnSnapshotGone(info.target, info.snapshot);
  }
  if (reply.outcome == ErrorKind::kOk) {
    quarantine_.OnAnswered(query.caller, query.fingerprint, info.group.index);
    return;
  }
  if (reply.outcome != ErrorKind::kTargetLost) {
    return;
  }
  const TargetLoss loss{info.group.index, info.sent, reply.alone};
  if (!quarantine_.OnTargetLost(query.caller, query.fingerprint, loss)) {
    return;
  }
  const protocol::QuarantineNotice notice{
      query.caller, query.fingerprint,
      std::chrono::duration_cast<std::chrono::milliseconds>(
          quarantine_.Remaining(query.caller, query.fingerprint))};
  for (const protocol::ProcessAddress& entry : other_entries_) {
    effects->outgoing.push_back({entry, notice});
  }
}

bool QueryRunner::HasRoutes() const {
  const RankedLock lock(mutex_);
  return target_status_.has_routes();
}

QueryCounters QueryRunner::counters() const {
  const RankedLock lock(mutex_);
  return counters_;
}

std::uint32_t QueryRunner::in_flight() const {
  const RankedLock lock(mutex_);
  return admission_.in_flight();
}

AttemptId QueryRunner::NewAttempt() {
  last_attempt_ = AttemptId(last_attempt_.value() + 1);
  return last_attempt_;
}

std::vector<routing::Candidate> QueryRunner::Candidates(const GroupId& group, Snapshot snapshot) {
  return target_status_.Candidates(group, snapshot);
}

std::optional<query::SnapshotChoice> QueryRunner::NewerSnapshot(const ServiceId& service,
                                                                Snapshot current) {
  return target_status_.ChooseSnapshot(service, current);
}

void QueryRunner::PerformActions(const ActiveQueryPtr& query,
                                 query::QueryActions actions,
                                 Effects* effects) {
  while (!actions.empty()) {
    std::vector<AttemptId> unroutable;
    for (query::QueryAction& action : actions) {
      std::visit([&](auto& body) { PerformAction(query, body, &unroutable, effects); }, action);
    }
    actions.clear();
    for (const AttemptId attempt : unroutable) {
      for (auto& action :
           query->execution.OnReply(attempt, ErrorKind::kUnavailable, Snapshot(), {})) {
        actions.push_back(std::move(action));
      }
    }
  }
  ArmTimer(query);
}

void QueryRunner::PerformAction(const ActiveQueryPtr& query,
                                query::SendAttempt& action,
                                std::vector<AttemptId>* unroutable,
                                Effects* effects) {
  const auto dispatcher = target_status_.RouteOf(action.target);
  // Checked for each attempt, since the loss of an earlier attempt of this query may have
  // made it suspect after it started.
  const Suspicion suspicion = quarantine_.Classify(query->caller, query->fingerprint);
  if (!dispatcher.has_value() || suspicion == Suspicion::kQuarantined) {
    unroutable->push_back(action.attempt);
    return;
  }
  const GroupId group{query->service, action.group};
  attempts_.emplace(action.attempt, AttemptInfo{query, nullptr, action.target, group,
                                                action.snapshot, clock_.now(), *dispatcher});
  target_status_.OnSent(action.target, action.attempt);
  protocol::SubRequest message;
  message.attempt = action.attempt;
  message.target = action.target;
  message.service = query->service;
  message.group = action.group;
  message.snapshot = action.snapshot;
  message.alone = suspicion == Suspicion::kSuspect;
  message.body = query->body;
  message.limit = query->limit;
  message.deadline = query->deadline;
  effects->outgoing.push_back({*dispatcher, std::move(message)});
}

void QueryRunner::PerformAction(const ActiveQueryPtr&,
                                query::CancelAttempt& action,
                                std::vector<AttemptId>*,
                                Effects* effects) {
  const auto found = attempts_.find(action.attempt);
  if (found == attempts_.end()) {
    return;
  }
  target_status_.OnCancelled(found->second.target, found->second.group, action.attempt);
  effects->outgoing.push_back({found->second.dispatcher, protocol::SubCancel{action.attempt}});
  attempts_.erase(found);
}

void QueryRunner::PerformAction(const ActiveQueryPtr& query,
                                query::FinishQuery& action,
                                std::vector<AttemptId>*,
                                Effects* effects) {
  CountOutcome(action.outcome);
  admission_.Release(query->caller);
  query->timer.cancel();
  effects->callbacks.emplace_back(
      [done = std::move(query->done), outcome = std::move(action.outcome)]() mutable {
        done(std::move(outcome));
      });
}

void QueryRunner::CountOutcome(const query::QueryOutcome& outcome) {
  switch (outcome.result) {
    case query::QueryResult::kComplete:
      ++counters_.complete;
      break;
    case query::QueryResult::kPartial:
      ++counters_.partial;
      break;
    case query::QueryResult::kRefused:
      ++counters_.refused;
      break;
  }
  counters_.first_attempts += outcome.attempts.first;
  counters_.hedges += outcome.attempts.hedges;
  counters_.retries += outcome.attempts.retries;
}

void QueryRunner::ArmTimer(const ActiveQueryPtr& query) {
  const BootTime next = query->execution.NextTimer();
  if (query->execution.finished() || next == BootTime::max()) {
    return;
  }
  query->timer.expires_after(
      std::max<std::chrono::nanoseconds>(next - clock_.now(), kMinTimerDelay));
  query->timer.async_wait([this, query](const boost::system::error_code& error) {
    if (!error) {
      OnTimer(query);
    }
  });
}

void QueryRunner::OnTimer(const ActiveQueryPtr& query) {
  Effects effects;
  {
    const RankedLock lock(mutex_);
    if (query->execution.finished()) {
      return;
    }
    PerformActions(query, query->execution.OnTimer(), &effects);
  }
  Apply(std::move(effects));
}

void QueryRunner::Apply(Effects effects) {
  for (Effects::Outgoing& outgoing : effects.outgoing) {
    static_cast<void>(
        endpoint_.Send(outgoing.to.address, outgoing.to.incarnation, std::move(outgoing.message)));
  }
  for (const auto& callback : effects.callbacks) {
    callback();
  }
}

}  // namespace peridotfork::entry
