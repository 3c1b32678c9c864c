#ifndef PERIDOTFORK_TEST_LEASE_MODEL_PARTS_H_
#define PERIDOTFORK_TEST_LEASE_MODEL_PARTS_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "peridotfork/lease/lease_grantor.h"
#include "peridotfork/lease/lease_holder.h"
#include "peridotfork/membership/peer_table.h"

namespace peridotfork::testing {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

// A clock with its own rate and offset relative to the simulated true time.
class DriftClock final : public Clock {
 public:
  DriftClock(const nanoseconds& true_time, double rate, nanoseconds offset)
      : true_time_(true_time), rate_(rate), offset_(offset) {}

  BootTime now() const override { return BootTime(offset_ + Scale(true_time_, rate_)); }
  WallTime wall_now() const override { return {}; }
  nanoseconds TrueTime(BootTime time) const {
    return Scale(time.time_since_epoch() - offset_, 1 / rate_);
  }

 private:
  static nanoseconds Scale(nanoseconds time, double factor) {
    return nanoseconds(static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
  }

  const nanoseconds& true_time_;
  const double rate_;
  const nanoseconds offset_;
};

// One incarnation of an agent.
struct Process {
  Process(const Clock& clock, const LeaseOptions& options, ProcessId process)
      : id(std::move(process)),
        history(clock, options, id.host, clock.now()),
        holder(clock, options, history),
        grantor(clock, options, history),
        peers(clock, PeerOptions{}, id.host) {}

  ProcessId id;
  ViewHistory history;
  LeaseHolder holder;
  LeaseGrantor grantor;
  PeerTable peers;
  int next_tick = 0;
};

// Probabilities of faults per simulation step, per message or per event.
struct Faults {
  double loss = 0;
  double slow = 0;
  double partition = 0;
  double heal = 0;
  double freeze = 0;
  double crash = 0;
  double publish = 0;
  // Maximum number of hosts that one publication changes.
  int churn = 0;
  // Probability that a publication coincides with a partition whose one side reads
  // the list late.
  double split_publish = 0;
  // Probability that a restarted host reads an older list than before.
  double stale_restart = 0;
  // Probability that an agent also requests a random home.
  double extra_request = 0;
};

// Detects targets that two processes use at the same time. A process is taken to
// use a target until the lease under which it last sent work expires.
class UseChecker {
 public:
  explicit UseChecker(int targets) : uses_(static_cast<std::size_t>(targets)) {}

  // Records that `process` uses the target as part of `home` at `now` and may use
  // it until `end`.
  void UseTarget(const ProcessId& process,
                 const HostId& home,
                 int target,
                 nanoseconds now,
                 nanoseconds end) {
    Use& use = uses_[static_cast<std::size_t>(target)];
    if (use.process != process) {
      if (use.until > now && violation_.empty()) {
        violation_ = std::to_string(now.count() / 1000000) + " ms: target " +
                     std::to_string(target) + " used by " + use.process.host.value() +
                     " and as home " + home.value() + " by " + process.host.value();
      }
      ++takeovers_;
      use = Use{process, home, end};
    }
    use.home = home;
    use.until = std::max(use.until, end);
  }

  // Records that the process has finished all work on these homes, in every view.
  void Release(const ProcessId& process, const std::vector<HostId>& homes, nanoseconds now) {
    for (Use& use : uses_) {
      const bool released = std::find(homes.begin(), homes.end(), use.home) != homes.end();
      if (released && use.process == process) {
        use.until = now;
      }
    }
  }

  const std::string& violation() const { return violation_; }
  int takeovers() const { return takeovers_; }

 private:
  struct Use {
    ProcessId process;
    HostId home;
    nanoseconds until{0};
  };

  std::vector<Use> uses_;
  std::string violation_;
  int takeovers_ = 0;
};

}  // namespace peridotfork::testing

#endif  // PERIDOTFORK_TEST_LEASE_MODEL_PARTS_H_
