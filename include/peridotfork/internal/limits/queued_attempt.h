#ifndef PERIDOTFORK_INTERNAL_LIMITS_QUEUED_ATTEMPT_H_
#define PERIDOTFORK_INTERNAL_LIMITS_QUEUED_ATTEMPT_H_

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstdint>
#include <tuple>
#include <utility>

#include "peridotfork/core/clock.h"
#include "peridotfork/core/ids.h"

namespace peridotfork {

// An attempt to execute a request on one target. The deadline is absolute.
struct Attempt {
  AttemptId id;
  ProcessId from;
  bool booking = false;
  WallTime deadline;
  // Must run with no other attempt in flight on the target (see Quarantine).
  bool alone = false;

  friend bool operator==(const Attempt&, const Attempt&) = default;
};

// Attempt ids are unique only per sender.
using AttemptKey = std::pair<ProcessId, AttemptId>;

// An element of the containers of a TargetQueue. The queue holds one reference for as long as the
// attempt is in its index.
class QueuedAttempt
    : public boost::intrusive_ref_counter<QueuedAttempt, boost::thread_unsafe_counter> {
 public:
  // kAbandoned: already answered to the sender, but may still run on the target; see
  // TargetQueue::Abandon().
  enum class Phase { kWaiting, kRunning, kAbandoned };

  QueuedAttempt(Attempt attempt, std::uint64_t arrival)
      : attempt(std::move(attempt)), arrival(arrival) {}

  AttemptKey key() const { return {attempt.from, attempt.id}; }

  Attempt attempt;
  // Order of arrival; breaks ties between equal deadlines.
  std::uint64_t arrival;
  Phase phase = Phase::kWaiting;
  // For a running attempt: the deadline that was sent to the target, and whether another attempt
  // was in flight at any time during the run.
  WallTime run_until;
  bool ran_concurrently = false;

  boost::intrusive::set_member_hook<> index_hook;
  boost::intrusive::set_member_hook<> waiting_hook;
  boost::intrusive::list_member_hook<> running_hook;
};

using QueuedAttemptPtr = boost::intrusive_ptr<QueuedAttempt>;

struct KeyOfAttempt {
  using type = AttemptKey;
  type operator()(const QueuedAttempt& attempt) const { return attempt.key(); }
};

struct EarlierDeadline {
  bool operator()(const QueuedAttempt& a, const QueuedAttempt& b) const {
    return std::tie(a.attempt.deadline, a.arrival) < std::tie(b.attempt.deadline, b.arrival);
  }
};

// All attempts of a queue, by key.
using AttemptIndex =
    boost::intrusive::set<QueuedAttempt,
                          boost::intrusive::member_hook<QueuedAttempt,
                                                        boost::intrusive::set_member_hook<>,
                                                        &QueuedAttempt::index_hook>,
                          boost::intrusive::key_of_value<KeyOfAttempt>>;

// Waiting attempts, earliest deadline first.
using WaitingSet =
    boost::intrusive::set<QueuedAttempt,
                          boost::intrusive::member_hook<QueuedAttempt,
                                                        boost::intrusive::set_member_hook<>,
                                                        &QueuedAttempt::waiting_hook>,
                          boost::intrusive::compare<EarlierDeadline>>;

// Attempts that occupy a slot.
using RunningList =
    boost::intrusive::list<QueuedAttempt,
                           boost::intrusive::member_hook<QueuedAttempt,
                                                         boost::intrusive::list_member_hook<>,
                                                         &QueuedAttempt::running_hook>>;

}  // namespace peridotfork

#endif  // PERIDOTFORK_INTERNAL_LIMITS_QUEUED_ATTEMPT_H_
