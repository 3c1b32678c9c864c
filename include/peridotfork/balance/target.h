#ifndef PERIDOTFORK_BALANCE_TARGET_H_
#define PERIDOTFORK_BALANCE_TARGET_H_

#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <chrono>
#include <cstdint>
#include <optional>

#include "peridotfork/catalogue/catalogue.h"
#include "peridotfork/core/clock.h"

namespace peridotfork {

class Target;
using TargetPtr = boost::intrusive_ptr<Target>;

// How an attempt ended, as far as it tells something about its target.
enum class AttemptEnd {
  kAnswered,
  // The target answered with a failure, or with something unusable.
  kFailed,
  // The target said that it did not run the request because it is full.
  kShed,
  // The address belongs to another target now.
  kMisdirected,
  // No connection could be made; nothing was sent.
  kNotConnected,
  // The connection broke after something was sent.
  kLost,
  // No answer came while it was waited for.
  kTimedOut,
  // Given up for reasons that say nothing about the target.
  kCancelled,
};

// Load that a target reported with an answer.
struct LoadReport {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  Slots slots{1};
};

// One sending of a request to one target, from the choice of the target on.
struct Attempt : boost::intrusive_ref_counter<Attempt>, boost::intrusive::list_base_hook<> {
  Attempt(TargetPtr chosen, BootTime started);
  ~Attempt();

  const TargetPtr target;
  const BootTime sent;
  // Usual time of such a request, to compare this one with.
  std::chrono::nanoseconds usual{0};
  bool open = true;
};

using AttemptPtr = boost::intrusive_ptr<Attempt>;

// What this process believes of one target. The members are guarded by the lock
// of the TargetTable that owns it.
struct TargetCondition {
  TargetEntry entry;
  // The entry or the operators say that it takes no new work.
  bool closed = false;
  // Another target has the address now; a new incarnation gets a new condition.
  bool misdirected = false;
  Connections connection_share{1};
  BootTime cold_until;
  // Time between two requests of this host to the cold target; none if the target
  // has no limit of its own.
  std::optional<std::chrono::nanoseconds> cold_interval;
  BootTime next_cold_send;
  // Time of answers as a multiple of the usual one, smoothed.
  double slowness = 1;
  BootTime slowness_at;
  // Avoided until then, and how often in a row it was found slow.
  BootTime slow_until;
  std::uint32_t slow_in_row = 0;
  // Share of failures among the last answers, smoothed.
  double failure_rate = 0;
  std::uint32_t losses_in_row = 0;
  // No work but a probe until then.
  BootTime suspect_until;
  std::optional<LoadReport> load;
  BootTime load_at;
  // Attempts without an end, oldest first.
  boost::intrusive::list<Attempt, boost::intrusive::constant_time_size<true>> open_attempts;
};

// One incarnation of a target.
class Target : public boost::intrusive_ref_counter<Target> {
 public:
  explicit Target(const TargetEntry& entry) : id_(entry.id), address_(entry.address) {
    condition.entry = entry;
  }

  const TargetId& id() const { return id_; }
  const Address& address() const { return address_; }

  TargetCondition condition;

 private:
  const TargetId id_;
  const Address address_;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_BALANCE_TARGET_H_
