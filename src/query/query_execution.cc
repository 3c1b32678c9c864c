#include "peridotfork/query/query_execution.h"

#include <algorithm>
#include <utility>

namespace peridotfork::query {
namespace {

// Maximum number of concurrent attempts of one group.
constexpr std::size_t kMaxConcurrentAttempts = 2;

// Target losses after which a group makes no further attempts, so that a request that
// crashes its targets leaves one replica of three alive.
constexpr std::uint32_t kMaxLosses = 2;

// Interval after which a hedge or retry that could not be sent is considered again.
constexpr std::chrono::milliseconds kRecheckInterval{5};

// Returns the reason of the first group that failed by itself, rather than being
// cancelled because of another group.
ErrorKind RefusalReason(const std::vector<MissingGroup>& missing) {
  for (const MissingGroup& group : missing) {
    if (group.reason != ErrorKind::kCancelled) {
      return group.reason;
    }
  }
  return ErrorKind::kUnavailable;
}

}  // namespace

const char* QueryResultName(QueryResult result) {
  static constexpr const char* kNames[] = {"complete", "partial", "refused"};
  return kNames[static_cast<std::size_t>(result)];
}

QueryExecution::QueryExecution(QueryDependencies dependencies, QueryPlan plan)
    : dependencies_(dependencies),
      plan_(std::move(plan)),
      random_(plan_.seed),
      started_(dependencies_.clock.now()),
      merger_(plan_.snapshot.snapshot, plan_.snapshot.groups_total),
      groups_(plan_.snapshot.groups_total) {}

QueryActions QueryExecution::Start() {
  if (running_ || finished_) {
    return {};
  }
  running_ = true;
  if (dependencies_.clock.now() < answer_by()) {
    SendFirstAttempts();
  }
  return TakeActions();
}

QueryActions QueryExecution::OnReply(AttemptId attempt,
                                     ErrorKind outcome,
                                     Snapshot snapshot,
                                     std::vector<Record> records) {
  const auto found = group_of_attempt_.find(attempt);
  if (finished_ || found == group_of_attempt_.end()) {
    ++counts_.dropped_replies;
    return TakeActions();
  }
  Group& group = groups_[found->second];
  group_of_attempt_.erase(found);
  group.RemoveOutstanding(attempt);
  if (outcome == ErrorKind::kOk) {
    Accept(group, snapshot, std::move(records));
  } else {
    Fail(group, outcome);
  }
  return TakeActions();
}

QueryActions QueryExecution::OnTimer() {
  const BootTime now = dependencies_.clock.now();
  if (running_ && now < answer_by()) {
    for (Group& group : groups_) {
      if (group.is_open() && group.check_at && *group.check_at <= now) {
        ConsiderExtraAttempt(group);
      }
    }
  }
  return TakeActions();
}

BootTime QueryExecution::NextTimer() const {
  if (finished_) {
    return BootTime::max();
  }
  BootTime next = answer_by();
  for (const Group& group : groups_) {
    if (group.is_open() && group.check_at) {
      next = std::min(next, *group.check_at);
    }
  }
  return next;
}

GroupIndex QueryExecution::IndexOf(const Group& group) const {
  return GroupIndex(static_cast<std::uint32_t>(&group - groups_.data()));
}

GroupId QueryExecution::IdOf(const Group& group) const {
  return {plan_.service, IndexOf(group)};
}

std::uint64_t QueryExecution::NextRandom() {
  return random_() >> 32;
}

void QueryExecution::SendFirstAttempts() {
  for (Group& group : groups_) {
    const std::vector<routing::Candidate> candidates =
        dependencies_.environment.Candidates(IdOf(group), plan_.snapshot.snapshot);
    if (const routing::Candidate* target = Choose(group, candidates, true)) {
      ++counts_.first;
      dependencies_.hedges.OnSubRequests(1);
      dependencies_.retries.OnSubRequests(1);
      Send(group, *target, candidates);
    } else {
      group.state = Group::State::kMissing;
    }
  }
}

const routing::Candidate* QueryExecution::Choose(const Group& group,
                                                 const std::vector<routing::Candidate>& candidates,
                                                 bool may_explore) {
  const std::optional<std::size_t> chosen =
      dependencies_.chooser.Choose({.candidates = candidates,
                                    .tried = group.tried,
                                    .may_explore = may_explore,
                                    .random_value = NextRandom()});
  return chosen ? &candidates[*chosen] : nullptr;
}

void QueryExecution::Send(Group& group,
                          const routing::Candidate& target,
                          const std::vector<routing::Candidate>& candidates) {
  const AttemptId id = dependencies_.environment.NewAttempt();
  group_of_attempt_[id] = IndexOf(group).value();
  group.outstanding.push_back({id, target.target, dependencies_.clock.now()});
  group.tried.push_back(target.target);
  group.check_at = NextCheck(group, candidates);
  actions_.emplace_back(SendAttempt{id, IndexOf(group), target.target, plan_.snapshot.snapshot});
}

void QueryExecution::CancelOutstanding(Group& group) {
  for (const internal::OutstandingAttempt& attempt : group.outstanding) {
    group_of_attempt_.erase(attempt.id);
    actions_.emplace_back(CancelAttempt{attempt.id, attempt.target});
  }
  group.outstanding.clear();
}

void QueryExecution::Accept(Group& group, Snapshot snapshot, std::vector<Record> records) {
  const Result<void> added = merger_.Add(IndexOf(group), snapshot, std::move(records));
  if (!added) {
    const bool other = added.error().kind() == ErrorKind::kSnapshotGone;
    return Fail(group, other ? ErrorKind::kSnapshotGone : ErrorKind::kInternal);
  }
  group.state = Group::State::kAnswered;
  CancelOutstanding(group);
}

void QueryExecution::Fail(Group& group, ErrorKind outcome) {
  group.RecordFailure(outcome);
  if (!group.outstanding.empty()) {
    // The other attempt continues. If it is already late, a further attempt may be sent
    // alongside it; ConsiderExtraAttempt() checks the queues at that time.
    group.check_at = NextCheck(group, {});
    return;
  }
  if (!internal::IsRetryable(outcome) || !Retry(group, outcome)) {
    MarkMissing(group);
  }
}

bool QueryExecution::Retry(Group& group, ErrorKind outcome) {
  if (group.losses >= kMaxLosses || dependencies_.clock.now() >= answer_by()) {
    return false;
  }
  const std::vector<routing::Candidate> candidates =
      dependencies_.environment.Candidates(IdOf(group), plan_.snapshot.snapshot);
  const routing::Candidate* target = Choose(group, candidates, false);
  if (target == nullptr) {
    return false;
  }
  if (internal::NeverReachedTarget(outcome)) {
    ++counts_.reroutes;
  } else if (dependencies_.retries.TryTake()) {
    ++counts_.retries;
  } else {
    return false;
  }
  Send(group, *target, candidates);
  return true;
}

void QueryExecution::MarkMissing(Group& group) {
  group.state = Group::State::kMissing;
  if (group.snapshot_gone) {
    TryRestart();
  }
}

BootTime QueryExecution::OverdueAt(const Group& group) const {
  const BootTime sent = group.outstanding.back().sent;
  return sent + (answer_by() - sent) / 2;
}

std::optional<BootTime> QueryExecution::HedgeAt(
    const Group& group,
    const std::vector<routing::Candidate>& candidates) const {
  return dependencies_.hedging.HedgeAt({.group = IdOf(group),
                                        .candidates = candidates,
                                        .sent = group.outstanding.back().sent,
                                        .answer_by = answer_by(),
                                        .budget_fill = dependencies_.hedges.fill()});
}

std::optional<BootTime> QueryExecution::NextCheck(
    const Group& group,
    const std::vector<routing::Candidate>& candidates) const {
  std::optional<BootTime> next = HedgeAt(group, candidates);
  if (plan_.retry_overdue) {
    next = std::min(next.value_or(BootTime::max()), OverdueAt(group));
  }
  return next;
}

void QueryExecution::ConsiderExtraAttempt(Group& group) {
  group.check_at.reset();
  if (group.outstanding.size() >= kMaxConcurrentAttempts || group.losses >= kMaxLosses) {
    return;
  }
  const BootTime now = dependencies_.clock.now();
  const std::vector<routing::Candidate> candidates =
      dependencies_.environment.Candidates(IdOf(group), plan_.snapshot.snapshot);
  const routing::Candidate* target = Choose(group, candidates, false);
  if (target == nullptr) {
    return;
  }
  const std::optional<BootTime> hedge_at = HedgeAt(group, candidates);
  const bool overdue =
      plan_.retry_overdue && now >= OverdueAt(group) && !routing::IsSaturated(candidates);
  if (hedge_at && *hedge_at <= now && dependencies_.hedges.TryTake()) {
    ++counts_.hedges;
    Send(group, *target, candidates);
  } else if (overdue && dependencies_.retries.TryTake()) {
    ++counts_.retries;
    Send(group, *target, candidates);
  } else {
    // The attempt may be possible later, when the budget has refilled or the queues
    // have drained.
    if (const std::optional<BootTime> at = NextCheck(group, candidates)) {
      group.check_at = std::max(*at, now + kRecheckInterval);
    }
  }
}

bool QueryExecution::TryRestart() {
  const BootTime now = dependencies_.clock.now();
  if (counts_.restarts > 0 || now >= answer_by() ||
      plan_.deadline - now < (plan_.deadline - started_) / 2) {
    return false;
  }
  const std::optional<SnapshotChoice> newer =
      dependencies_.environment.NewerSnapshot(plan_.service, plan_.snapshot.snapshot);
  if (!newer || !IsRestartWorthwhile(*newer)) {
    return false;
  }
  // Attempts that are discarded by the restart are charged to the retry budget as extra
  // load.
  const auto wasted = std::ranges::count_if(groups_, [](const Group& group) {
    return group.state == Group::State::kAnswered || !group.outstanding.empty();
  });
  if (wasted > 0 && !dependencies_.retries.TryTakeBatch(static_cast<std::uint32_t>(wasted))) {
    return false;
  }
  for (Group& group : groups_) {
    CancelOutstanding(group);
  }
  ++counts_.restarts;
  plan_.snapshot = *newer;
  merger_ = Merger(newer->snapshot, newer->groups_total);
  groups_.assign(newer->groups_total, Group{});
  SendFirstAttempts();
  return true;
}

bool QueryExecution::IsRestartWorthwhile(const SnapshotChoice& choice) const {
  if (choice.groups_covered == choice.groups_total) {
    return true;
  }
  const auto still_possible = std::ranges::count_if(
      groups_, [](const Group& group) { return group.state != Group::State::kMissing; });
  return plan_.require == Require::kPartial && choice.groups_covered > still_possible;
}

QueryActions QueryExecution::TakeActions() {
  if (running_ && !finished_ && ShouldFinish()) {
    Finish();
  }
  return std::exchange(actions_, {});
}

bool QueryExecution::ShouldFinish() const {
  const bool missing = std::ranges::any_of(
      groups_, [](const Group& group) { return group.state == Group::State::kMissing; });
  const bool open = std::ranges::any_of(groups_, &Group::is_open);
  return !open || (missing && plan_.require == Require::kComplete) ||
         dependencies_.clock.now() >= answer_by();
}

void QueryExecution::Finish() {
  QueryOutcome outcome;
  outcome.snapshot = plan_.snapshot.snapshot;
  outcome.coverage = merger_.coverage();
  outcome.missing = Missing();
  outcome.result = ResultFor(outcome);
  if (outcome.result == QueryResult::kRefused) {
    outcome.reason = RefusalReason(outcome.missing);
    outcome.coverage.records = 0;
  } else {
    outcome.records = merger_.TakeRecords(plan_.limit);
  }
  for (Group& group : groups_) {
    CancelOutstanding(group);
  }
  outcome.attempts = counts_;
  finished_ = true;
  actions_.emplace_back(FinishQuery{std::move(outcome)});
}

QueryResult QueryExecution::ResultFor(const QueryOutcome& outcome) const {
  if (outcome.coverage.groups_answered == 0) {
    return QueryResult::kRefused;
  }
  if (outcome.missing.empty()) {
    return QueryResult::kComplete;
  }
  return plan_.require == Require::kPartial ? QueryResult::kPartial : QueryResult::kRefused;
}

std::vector<MissingGroup> QueryExecution::Missing() const {
  const bool late = dependencies_.clock.now() >= answer_by();
  std::vector<MissingGroup> missing;
  for (const Group& group : groups_) {
    if (group.state == Group::State::kMissing) {
      missing.push_back({IndexOf(group), group.reason});
    } else if (group.is_open() && group.tried.empty()) {
      missing.push_back({IndexOf(group), ErrorKind::kExpired});
    } else if (group.is_open()) {
      missing.push_back({IndexOf(group), late ? ErrorKind::kTimedOut : ErrorKind::kCancelled});
    }
  }
  return missing;
}

}  // namespace peridotfork::query
