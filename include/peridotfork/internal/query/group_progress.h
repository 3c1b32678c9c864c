#ifndef PERIDOTFORK_INTERNAL_QUERY_GROUP_PROGRESS_H_
#define PERIDOTFORK_INTERNAL_QUERY_GROUP_PROGRESS_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "peridotfork/core/clock.h"
#include "peridotfork/core/error.h"
#include "peridotfork/core/ids.h"

namespace peridotfork::query::internal {

// An attempt that has not been replied to.
struct OutstandingAttempt {
  AttemptId id;
  TargetId target;
  BootTime sent;
};

// Progress of one group of a query.
struct GroupProgress {
  enum class State { kOpen, kAnswered, kMissing };

  State state = State::kOpen;
  std::vector<OutstandingAttempt> outstanding;
  std::vector<TargetId> tried;
  // Time at which to consider an extra attempt.
  std::optional<BootTime> check_at;
  // Number of attempts that ended with the loss of their target.
  std::uint32_t losses = 0;
  bool snapshot_gone = false;
  ErrorKind reason = ErrorKind::kUnavailable;

  bool is_open() const { return state == State::kOpen; }

  // Removes the outstanding attempt `id`; returns false if there is none.
  bool RemoveOutstanding(AttemptId id);

  // Records why an attempt failed.
  void RecordFailure(ErrorKind outcome);
};

// Whether the outcome shows that the attempt never reached its target, so that another
// attempt adds no load on targets.
bool NeverReachedTarget(ErrorKind outcome);

// Whether a search may be sent to another replica after this outcome. Either it did not
// start, or its result was lost; running it again is safe, since searches are
// idempotent.
bool IsRetryable(ErrorKind outcome);

}  // namespace peridotfork::query::internal

#endif  // PERIDOTFORK_INTERNAL_QUERY_GROUP_PROGRESS_H_
