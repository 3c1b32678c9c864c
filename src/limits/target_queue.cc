#include "peridotfork/limits/target_queue.h"

#include <algorithm>
#include <string>

namespace peridotfork {
namespace {

std::string Describe(const Attempt& attempt) {
  return "attempt " + std::to_string(attempt.id.value()) + " of " + attempt.from.host.value();
}

}  // namespace

TargetQueue::TargetQueue(const Clock& clock, TargetQueueOptions options)
    : clock_(clock), options_(options) {}

TargetQueue::~TargetQueue() {
  while (!index_.empty()) {
    Remove(*index_.begin());
  }
}

Result<void> TargetQueue::Enqueue(const Attempt& attempt, const WorkLimits& limits) {
  FreeAbandoned();
  if (index_.find(AttemptKey{attempt.from, attempt.id}) != index_.end()) {
    return MakeError(ErrorKind::kDuplicate, Describe(attempt));
  }
  if (clock_.now() >= limits.lease_end) {
    return MakeError(ErrorKind::kNotOwner, Describe(attempt), "the lease has ended");
  }
  if (Result<void> room = CheckCapacity(attempt, limits); !room) {
    return room;
  }
  QueuedAttemptPtr queued(new QueuedAttempt(attempt, arrivals_++));
  index_.insert(*queued);
  waiting_.insert(*queued);
  queued.detach();  // This reference is released in Remove().
  return boost::outcome_v2::success();
}

Result<void> TargetQueue::CheckCapacity(const Attempt& attempt, const WorkLimits& limits) const {
  const std::chrono::nanoseconds left = TimeLeft(attempt);
  if (left <= std::chrono::nanoseconds(0) || left < limits.service_time) {
    return MakeError(ErrorKind::kExpired, Describe(attempt),
                     "less time is left than the expected service time");
  }
  if (limits.allowance == Slots{0}) {
    return MakeError(ErrorKind::kQueueFull, Describe(attempt),
                     "the allowance permits no work on the target now");
  }
  if (waiting_.size() >= std::size_t{options_.waiting_per_slot} * options_.slots.value()) {
    return MakeError(ErrorKind::kQueueFull, Describe(attempt),
                     "all places for waiting attempts are taken");
  }
  if (left < EstimateWait(attempt, limits) + limits.service_time) {
    return MakeError(ErrorKind::kQueueFull, Describe(attempt),
                     "the estimated wait exceeds the deadline");
  }
  return boost::outcome_v2::success();
}

// Attempts in flight and waiting attempts with earlier or equal deadlines are ahead of this one.
// Every `allowance` of them take one service time.
std::chrono::nanoseconds TargetQueue::EstimateWait(const Attempt& attempt,
                                                   const WorkLimits& limits) const {
  std::size_t ahead = running_.size();
  for (const QueuedAttempt& other : waiting_) {
    if (other.attempt.deadline > attempt.deadline) {
      break;
    }
    ++ahead;
  }
  return limits.service_time * static_cast<std::int64_t>(ahead / limits.allowance.value());
}

std::chrono::nanoseconds TargetQueue::TimeLeft(const Attempt& attempt) const {
  return attempt.deadline - clock_.wall_now();
}

NextWork TargetQueue::Next(const WorkLimits& limits) {
  NextWork work;
  FreeAbandoned();
  DropUnmeetable(limits, work.dropped);
  if (!waiting_.empty() && MayStart(waiting_.begin()->attempt, limits)) {
    work.start = Start(*waiting_.begin(), limits);
  }
  return work;
}

void TargetQueue::FreeAbandoned() {
  const WallTime now = clock_.wall_now();
  for (auto it = running_.begin(); it != running_.end();) {
    QueuedAttempt& queued = *it++;
    if (queued.phase == QueuedAttempt::Phase::kAbandoned && queued.run_until <= now) {
      Remove(queued);
    }
  }
}

void TargetQueue::DropUnmeetable(const WorkLimits& limits, std::vector<DroppedAttempt>& dropped) {
  while (!waiting_.empty()) {
    QueuedAttempt& head = *waiting_.begin();
    const std::chrono::nanoseconds left = TimeLeft(head.attempt);
    if (left > std::chrono::nanoseconds(0) && left >= limits.service_time) {
      return;
    }
    dropped.push_back({Remove(head)->attempt, ErrorKind::kExpired});
  }
}

bool TargetQueue::MayStart(const Attempt& head, const WorkLimits& limits) const {
  const std::chrono::nanoseconds lease_left = limits.lease_end - clock_.now();
  if (lease_left <= std::chrono::nanoseconds(0) || lease_left < limits.service_time) {
    return false;
  }
  if (running_.size() >= limits.allowance.value()) {
    return false;
  }
  const bool alone_in_flight = !running_.empty() && running_.front().attempt.alone;
  return running_.empty() || (!head.alone && !alone_in_flight);
}

StartedAttempt TargetQueue::Start(QueuedAttempt& queued, const WorkLimits& limits) {
  const WallTime lease_end = clock_.wall_now() + std::chrono::duration_cast<WallTime::duration>(
                                                     limits.lease_end - clock_.now());
  queued.run_until = std::min(queued.attempt.deadline, lease_end);
  queued.phase = QueuedAttempt::Phase::kRunning;
  queued.ran_concurrently = !running_.empty();
  for (QueuedAttempt& other : running_) {
    other.ran_concurrently = true;
  }
  waiting_.erase(waiting_.iterator_to(queued));
  running_.push_back(queued);
  return {queued.attempt, queued.run_until};
}

QueuedAttempt* TargetQueue::FindRunning(const ProcessId& from, AttemptId id) {
  const auto found = index_.find(AttemptKey{from, id});
  const bool running = found != index_.end() && found->phase == QueuedAttempt::Phase::kRunning;
  return running ? &*found : nullptr;
}

std::optional<FinishedAttempt> TargetQueue::Finish(const ProcessId& from, AttemptId id) {
  QueuedAttempt* const queued = FindRunning(from, id);
  if (queued == nullptr) {
    return std::nullopt;
  }
  const QueuedAttemptPtr finished = Remove(*queued);
  return FinishedAttempt{finished->attempt, !finished->ran_concurrently};
}

std::optional<FinishedAttempt> TargetQueue::Abandon(const ProcessId& from, AttemptId id) {
  QueuedAttempt* const queued = FindRunning(from, id);
  if (queued == nullptr) {
    return std::nullopt;
  }
  queued->phase = QueuedAttempt::Phase::kAbandoned;
  return FinishedAttempt{queued->attempt, !queued->ran_concurrently};
}

CancelResult TargetQueue::Cancel(const ProcessId& from, AttemptId id) {
  const auto found = index_.find(AttemptKey{from, id});
  if (found == index_.end() || found->phase == QueuedAttempt::Phase::kAbandoned) {
    return CancelResult::kUnknown;
  }
  if (found->phase == QueuedAttempt::Phase::kRunning) {
    return CancelResult::kRunning;
  }
  Remove(*found);
  return CancelResult::kRemoved;
}

std::vector<DroppedAttempt> TargetQueue::DropWaiting(ErrorKind reason) {
  std::vector<DroppedAttempt> dropped;
  while (!waiting_.empty()) {
    dropped.push_back({Remove(*waiting_.begin())->attempt, reason});
  }
  return dropped;
}

std::optional<WallTime> TargetQueue::wake_time(const WorkLimits& limits) const {
  std::optional<WallTime> wake;
  if (!waiting_.empty()) {
    // One tick later, because an attempt with exactly its service time left may still start.
    wake = waiting_.begin()->attempt.deadline -
           std::chrono::duration_cast<WallTime::duration>(limits.service_time) +
           WallTime::duration(1);
  }
  for (const QueuedAttempt& queued : running_) {
    if (queued.phase == QueuedAttempt::Phase::kAbandoned) {
      wake = std::min(wake.value_or(queued.run_until), queued.run_until);
    }
  }
  return wake;
}

QueuedAttemptPtr TargetQueue::Remove(QueuedAttempt& queued) {
  if (queued.waiting_hook.is_linked()) {
    waiting_.erase(waiting_.iterator_to(queued));
  }
  if (queued.running_hook.is_linked()) {
    running_.erase(running_.iterator_to(queued));
  }
  index_.erase(index_.iterator_to(queued));
  return {&queued, /*add_ref=*/false};
}

}  // namespace peridotfork
