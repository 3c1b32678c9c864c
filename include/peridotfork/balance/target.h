#ifndef PERIDOTFORK_BALANCE_TARGET_H_
#define PERIDOTFORK_BALANCE_TARGET_H_

#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <chrono>
#include <cstdint>
#include <optional>

#include "peridotfork/balance/rate_share.h"
#include "peridotfork/catalogue/catalogue.h"
#include "peridotfork/core/clock.h"

namespace peridotfork {

class Target;
using TargetPtr = boost::intrusive_ptr<Target>;

// Outcome of an attempt, as evidence about its target.
enum class AttemptOutcome {
  kAnswered,
  // The target answered with an error, or with an invalid response.
  kFailed,
  // The target rejected the request without running it because it is overloaded.
  kShed,
  // The address is now in use by another target.
  kMisdirected,
  // The connection could not be established; nothing was sent.
  kNotConnected,
  // The connection broke after something was sent.
  kLost,
  // No answer arrived before the timeout.
  kTimedOut,
  // Cancelled for a reason unrelated to the target.
  kCancelled,
};

// Load that a target reported along with an answer.
struct LoadReport {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  Slots slots{1};
  // How long work takes on the target's machine at the moment, as a multiple of the usual; none if
  // the target does not report it.
  std::optional<double> work_factor;
};

// What a target said about itself along with an answer.
struct TargetSignals {
  std::optional<LoadReport> load;
  // The target is leaving and wants no further requests.
  bool leaving = false;
  // Set by a target that rejected a request: it wants no requests from this host for so long.
  std::optional<std::chrono::milliseconds> hold;
  // Requests per second that a target in trouble takes from all hosts together.
  std::optional<Rate> limit;
};

// One attempt to run a request on one target. Begins when the target is chosen.
struct Attempt : boost::intrusive_ref_counter<Attempt>, boost::intrusive::list_base_hook<> {
  Attempt(TargetPtr chosen, BootTime started);
  ~Attempt();

  const TargetPtr target;
  const BootTime sent;
  // Median latency of the route, against which the latency of this attempt is compared.
  std::chrono::nanoseconds typical_latency{0};
  bool open = true;
};

using AttemptPtr = boost::intrusive_ptr<Attempt>;

// This process's view of the state of one target. The members are guarded by the
// lock of the TargetTable that owns it.
struct TargetCondition {
  TargetEntry entry;
  // The target is draining or its data centre is drained: it accepts no new work.
  bool closed = false;
  // The target has said that it is leaving. Never reset: whatever the store repeats about this
  // incarnation is older than what the target itself said.
  bool leaving = false;
  // Until this time the target gets nothing at all, because it has asked for that.
  BootTime hold_until;
  // This host's share of the limit that the target named last, and when it did; none if it does not
  // limit its requests.
  std::optional<RateShare> limit;
  BootTime limit_named_at;
  // Another target now uses the address. Never reset: a new incarnation of the
  // target gets a new condition.
  bool misdirected = false;
  Connections connection_share{1};
  BootTime cold_until;
  // Minimum interval between requests from this host to the target while it is
  // cold; empty if its service has no limit for cold targets.
  std::optional<std::chrono::nanoseconds> cold_interval;
  BootTime next_cold_send;
  // Smoothed latency as a multiple of the typical latency.
  double slowness = 1;
  BootTime slowness_at;
  // End of the period in which the target is avoided as slow, and the number of
  // consecutive slow periods.
  BootTime slow_until;
  std::uint32_t consecutive_slow = 0;
  // Smoothed fraction of attempts that failed.
  double failure_rate = 0;
  std::uint32_t consecutive_losses = 0;
  // A suspect target gets no work until this time, then one probe at a time.
  BootTime suspect_until;
  std::optional<LoadReport> load;
  BootTime load_at;
  // Attempts in progress, oldest first.
  boost::intrusive::list<Attempt, boost::intrusive::constant_time_size<true>> open_attempts;
};

// One incarnation of a target; a restart creates a new one.
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
