#ifndef PERIDOTFORK_QUERY_QUERY_PLAN_H_
#define PERIDOTFORK_QUERY_QUERY_PLAN_H_

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "peridotfork/core/clock.h"
#include "peridotfork/core/error.h"
#include "peridotfork/core/ids.h"
#include "peridotfork/query/merger.h"
#include "peridotfork/query/snapshot_chooser.h"
#include "peridotfork/routing/candidate.h"

namespace peridotfork::query {

// Whether the caller accepts an answer in which groups are missing.
enum class Require { kComplete, kPartial };

// Parameters of one query.
struct QueryPlan {
  ServiceId service;
  SnapshotChoice snapshot;
  BootTime deadline;
  Require require = Require::kPartial;
  // Maximum number of records in the answer; 0 for all.
  std::uint32_t limit = 0;
  // Random seed for the choice of replicas.
  std::uint64_t seed = 0;
  // Whether an attempt without a reply after half of its time may be sent to another
  // replica, within the retry budget. Disabled only for baseline measurements.
  bool retry_overdue = true;
};

// Access of a query to the shared tables of its entry. Called only from within
// methods of QueryExecution, on the calling thread.
class QueryEnvironment {
 public:
  virtual ~QueryEnvironment() = default;

  // Returns a new id, unique within the incarnation of the entry.
  virtual AttemptId NewAttempt() = 0;

  // Returns the replicas of `group` that are currently known to hold `snapshot`. An
  // empty list prevents further attempts, for example for a quarantined query.
  virtual std::vector<routing::Candidate> Candidates(const GroupId& group, Snapshot snapshot) = 0;

  // Returns the best snapshot newer than `current`, if any.
  virtual std::optional<SnapshotChoice> NewerSnapshot(const ServiceId& service,
                                                      Snapshot current) = 0;
};

enum class QueryResult { kComplete, kPartial, kRefused };

// Wire name of a result, such as "partial".
const char* QueryResultName(QueryResult result);

// A group that is missing from the answer, and the reason. kCancelled means that its
// attempts were cancelled because another group had failed and the query requires all
// groups.
struct MissingGroup {
  GroupIndex group;
  ErrorKind reason = ErrorKind::kUnavailable;

  friend bool operator==(const MissingGroup&, const MissingGroup&) = default;
};

// Counts of the attempts that one query sent.
struct AttemptCounts {
  // One for each group, and once more for each group after a restart.
  std::uint32_t first = 0;
  std::uint32_t hedges = 0;
  std::uint32_t retries = 0;
  // Sent in place of attempts that never reached a target. They add no load on targets
  // and are not charged to the retry budget.
  std::uint32_t reroutes = 0;
  std::uint32_t restarts = 0;
  // Replies that matched no outstanding attempt.
  std::uint32_t dropped_replies = 0;
};

// The answer to a query. A refused query has no records, but its coverage still has
// the number of groups that answered.
struct QueryOutcome {
  QueryResult result = QueryResult::kRefused;
  // kOk unless refused.
  ErrorKind reason = ErrorKind::kOk;
  Snapshot snapshot;
  Coverage coverage;
  std::vector<MissingGroup> missing;
  std::vector<Record> records;
  AttemptCounts attempts;
};

// Actions that the owner of a query must take, in the order in which they are listed
// in QueryActions.
struct SendAttempt {
  AttemptId attempt;
  GroupIndex group;
  TargetId target;
  Snapshot snapshot;
};
struct CancelAttempt {
  AttemptId attempt;
  TargetId target;
};
struct FinishQuery {
  QueryOutcome outcome;
};
using QueryAction = std::variant<SendAttempt, CancelAttempt, FinishQuery>;
using QueryActions = std::vector<QueryAction>;

}  // namespace peridotfork::query

#endif  // PERIDOTFORK_QUERY_QUERY_PLAN_H_
