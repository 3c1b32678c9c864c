#include "peridotfork/internal/query/group_progress.h"

#include <algorithm>

namespace peridotfork::query::internal {

bool GroupProgress::RemoveOutstanding(AttemptId id) {
  const auto found = std::ranges::find(outstanding, id, &OutstandingAttempt::id);
  if (found == outstanding.end()) {
    return false;
  }
  outstanding.erase(found);
  return true;
}

void GroupProgress::RecordFailure(ErrorKind outcome) {
  losses += outcome == ErrorKind::kTargetLost ? 1 : 0;
  snapshot_gone = snapshot_gone || outcome == ErrorKind::kSnapshotGone;
  reason = snapshot_gone ? ErrorKind::kSnapshotGone : outcome;
}

bool NeverReachedTarget(ErrorKind outcome) {
  return outcome == ErrorKind::kNotOwner || outcome == ErrorKind::kUnavailable;
}

bool IsRetryable(ErrorKind outcome) {
  switch (outcome) {
    case ErrorKind::kShed:
    case ErrorKind::kExpired:
    case ErrorKind::kSnapshotGone:
    case ErrorKind::kNotOwner:
    case ErrorKind::kQueueFull:
    case ErrorKind::kDraining:
    case ErrorKind::kUnavailable:
    case ErrorKind::kTargetLost:
    case ErrorKind::kTimedOut:
    case ErrorKind::kCancelled:
    case ErrorKind::kTransport:
    case ErrorKind::kInternal:
      return true;
    default:
      return false;
  }
}

}  // namespace peridotfork::query::internal
