#ifndef PERIDOTFORK_QUERY_QUERY_EXECUTION_H_
#define PERIDOTFORK_QUERY_QUERY_EXECUTION_H_

#include <chrono>
#include <map>
#include <random>
#include <vector>

#include "peridotfork/core/clock.h"
#include "peridotfork/core/error.h"
#include "peridotfork/core/ids.h"
#include "peridotfork/internal/query/group_progress.h"
#include "peridotfork/query/merger.h"
#include "peridotfork/query/query_plan.h"
#include "peridotfork/routing/budget.h"
#include "peridotfork/routing/hedge_policy.h"
#include "peridotfork/routing/replica_chooser.h"

namespace peridotfork::query {

// The answer is completed this long before the deadline, to leave time to encode and
// send it.
inline constexpr std::chrono::milliseconds kAnswerMargin{5};

// Dependencies of a query execution. All of them must outlive it. The budgets are
// shared by all queries of the entry.
struct QueryDependencies {
  const Clock& clock;
  const routing::ReplicaChooser& chooser;
  const routing::HedgePolicy& hedging;
  routing::Budget& hedges;
  routing::Budget& retries;
  QueryEnvironment& environment;
};

// State machine of one query, from its first attempts to its answer. It performs no
// I/O: each method returns the actions to take. Exactly one action in total is
// FinishQuery; calls after it return no actions. Not thread-safe.
class QueryExecution {
 public:
  QueryExecution(QueryDependencies dependencies, QueryPlan plan);

  // Must be called once, before any other method.
  QueryActions Start();

  // Handles a reply to an attempt. `snapshot` and `records` are used only if `outcome`
  // is kOk. Replies to unknown or ended attempts are only counted.
  QueryActions OnReply(AttemptId attempt,
                       ErrorKind outcome,
                       Snapshot snapshot,
                       std::vector<Record> records);

  // To be called at NextTimer() or later; earlier calls are harmless.
  QueryActions OnTimer();

  // Time of the next OnTimer() call; BootTime::max() once the query has finished.
  BootTime NextTimer() const;

  // Time at which the answer is due; also the deadline for attempts.
  BootTime answer_by() const { return plan_.deadline - kAnswerMargin; }

  bool finished() const { return finished_; }

 private:
  using Group = internal::GroupProgress;
  // Accepts a 64-bit seed. Only the upper half of each number is used.
  using RandomEngine =
      std::linear_congruential_engine<std::uint64_t, 6364136223846793005U, 1442695040888963407U, 0>;

  GroupId IdOf(const Group& group) const;
  GroupIndex IndexOf(const Group& group) const;
  std::uint64_t NextRandom();

  void SendFirstAttempts();
  // Chooses a replica that the group has not tried yet; null if there is none.
  const routing::Candidate* Choose(const Group& group,
                                   const std::vector<routing::Candidate>& candidates,
                                   bool may_explore);
  void Send(Group& group,
            const routing::Candidate& target,
            const std::vector<routing::Candidate>& candidates);
  void CancelOutstanding(Group& group);

  void Accept(Group& group, Snapshot snapshot, std::vector<Record> records);
  void Fail(Group& group, ErrorKind outcome);
  bool Retry(Group& group, ErrorKind outcome);
  void MarkMissing(Group& group);

  void ConsiderExtraAttempt(Group& group);
  std::optional<BootTime> HedgeAt(const Group& group,
                                  const std::vector<routing::Candidate>& candidates) const;
  std::optional<BootTime> NextCheck(const Group& group,
                                    const std::vector<routing::Candidate>& candidates) const;
  BootTime OverdueAt(const Group& group) const;

  bool TryRestart();
  bool IsRestartWorthwhile(const SnapshotChoice& choice) const;

  QueryActions TakeActions();
  bool ShouldFinish() const;
  void Finish();
  QueryResult ResultFor(const QueryOutcome& outcome) const;
  std::vector<MissingGroup> Missing() const;

  QueryDependencies dependencies_;
  QueryPlan plan_;
  RandomEngine random_;
  BootTime started_;
  Merger merger_;
  std::vector<Group> groups_;
  std::map<AttemptId, std::size_t> group_of_attempt_;
  AttemptCounts counts_;
  QueryActions actions_;
  bool running_ = false;
  bool finished_ = false;
};

}  // namespace peridotfork::query

#endif  // PERIDOTFORK_QUERY_QUERY_EXECUTION_H_
