#ifndef PERIDOTFORK_LIMITS_TARGET_QUEUE_H_
#define PERIDOTFORK_LIMITS_TARGET_QUEUE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "peridotfork/core/clock.h"
#include "peridotfork/core/error.h"
#include "peridotfork/core/ids.h"
#include "peridotfork/core/units.h"
#include "peridotfork/internal/limits/queued_attempt.h"

namespace peridotfork {

struct TargetQueueOptions {
  Slots slots{1};
  // Maximum number of waiting attempts per slot.
  std::uint32_t waiting_per_slot = 4;
};

// Limits that apply to a target at the time of a call.
struct WorkLimits {
  Slots allowance;
  // End of the dispatcher's lease on the target.
  BootTime lease_end;
  // Expected service time; zero if it is not known.
  std::chrono::nanoseconds service_time{0};
};

// An attempt that was removed from the queue without being started.
struct DroppedAttempt {
  Attempt attempt;
  ErrorKind reason = ErrorKind::kExpired;
};

// An attempt to send to the target now, with the deadline to send: the deadline of the attempt or
// the end of the lease, whichever is earlier.
struct StartedAttempt {
  Attempt attempt;
  WallTime deadline;
};

struct NextWork {
  std::optional<StartedAttempt> start;
  std::vector<DroppedAttempt> dropped;
};

// An attempt whose run has ended. `alone` is true if no other attempt was in flight on the target
// during the run.
struct FinishedAttempt {
  Attempt attempt;
  bool alone = false;
};

enum class CancelResult {
  // The attempt is not in the queue: it has finished, was dropped or was never enqueued.
  kUnknown,
  // The attempt was waiting and was removed without being started.
  kRemoved,
  // The attempt is running. It occupies its slot until Finish().
  kRunning,
};

// Queue of a dispatcher for one target: holds the waiting attempts and those that occupy a slot.
// Starts attempts by earliest deadline first, while fewer attempts are in flight than the target's
// allowance and enough time is left until the end of the lease and the deadline of the attempt.
// Attempts that it refuses or drops have not been started. Not thread-safe.
class TargetQueue {
 public:
  TargetQueue(const Clock& clock, TargetQueueOptions options);
  ~TargetQueue();
  TargetQueue(const TargetQueue&) = delete;
  TargetQueue& operator=(const TargetQueue&) = delete;

  // Adds an attempt, or returns an error: kDuplicate (the attempt is already in the queue; this
  // error must not be sent to the sender, which still gets the result of the first copy), kNotOwner
  // (the lease has ended), kExpired (less time is left than the service time), or kQueueFull (no
  // space, no allowance, or the estimated wait exceeds the deadline).
  Result<void> Enqueue(const Attempt& attempt, const WorkLimits& limits);

  // Drops attempts that can no longer meet their deadlines and returns at most one attempt to
  // start. Must be called after each change and at wake_time(), repeatedly until it starts no
  // attempt.
  NextWork Next(const WorkLimits& limits);

  // The attempt has ended on the target. Returns nullopt if it is not running.
  std::optional<FinishedAttempt> Finish(const ProcessId& from, AttemptId id);

  // The dispatcher has replied to the sender, but the attempt may still run on the target because
  // its connection went silent. The slot stays occupied until the deadline of the attempt.
  std::optional<FinishedAttempt> Abandon(const ProcessId& from, AttemptId id);

  CancelResult Cancel(const ProcessId& from, AttemptId id);

  // Removes all waiting attempts, for example when the lease has ended.
  std::vector<DroppedAttempt> DropWaiting(ErrorKind reason);

  // Applies a change of the operators' document. Attempts that are already waiting stay in the
  // queue.
  void SetSlots(Slots slots) { options_.slots = slots; }

  std::size_t waiting() const { return waiting_.size(); }
  // Includes abandoned attempts.
  std::size_t in_flight() const { return running_.size(); }

  // Next time at which Next() has work to do without any other event: the first waiting attempt can
  // no longer meet its deadline, or the slot of an abandoned attempt becomes free.
  std::optional<WallTime> wake_time(const WorkLimits& limits) const;

 private:
  Result<void> CheckCapacity(const Attempt& attempt, const WorkLimits& limits) const;
  std::chrono::nanoseconds EstimateWait(const Attempt& attempt, const WorkLimits& limits) const;
  std::chrono::nanoseconds TimeLeft(const Attempt& attempt) const;
  void FreeAbandoned();
  void DropUnmeetable(const WorkLimits& limits, std::vector<DroppedAttempt>& dropped);
  bool MayStart(const Attempt& head, const WorkLimits& limits) const;
  StartedAttempt Start(QueuedAttempt& queued, const WorkLimits& limits);
  QueuedAttempt* FindRunning(const ProcessId& from, AttemptId id);
  // Removes an attempt from all containers.
  QueuedAttemptPtr Remove(QueuedAttempt& queued);

  const Clock& clock_;
  TargetQueueOptions options_;
  std::uint64_t arrivals_ = 0;
  AttemptIndex index_;
  WaitingSet waiting_;
  RunningList running_;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_LIMITS_TARGET_QUEUE_H_
