#ifndef PERIDOTFORK_LEASE_LEASE_OPTIONS_H_
#define PERIDOTFORK_LEASE_LEASE_OPTIONS_H_

#include <chrono>

namespace peridotfork {

// Timing parameters of the lease protocol. All hosts of a cell must use the same
// values.
struct LeaseOptions {
  // Duration of a grant, counted from the time at which the grantor handles the
  // request.
  std::chrono::nanoseconds duration = std::chrono::seconds(3);

  // Interval between two requests of one holder.
  std::chrono::nanoseconds renew_interval = std::chrono::milliseconds(500);

  // Upper bound of the difference between the wall clocks of two hosts.
  std::chrono::nanoseconds max_clock_skew = std::chrono::milliseconds(50);

  // Upper bound of the relative difference between the rates of two boot clocks.
  double drift = 0.02;

  // Time after which a newly started grantor that cannot reach enough informed
  // hosts grants leases without them. This trades safety for availability:
  // hosts that are still in an older view because they have missed the newer one
  // for this long, and that none of the reachable hosts know of, may still use
  // their targets.
  std::chrono::nanoseconds cold_start_wait = std::chrono::seconds(10);

  // Duration of a grant as seen by the holder, counted from the send time of the
  // request. It is shorter than `duration` so that the grant expires at the
  // holder before it expires at the grantor, even if the holder's clock is slower.
  std::chrono::nanoseconds holder_duration() const { return Scale(1 - drift); }

  // Time, on the clock of any host, after which every grant made before has
  // expired.
  std::chrono::nanoseconds max_grant_duration() const { return Scale(1 + drift); }

 private:
  std::chrono::nanoseconds Scale(double factor) const {
    return std::chrono::duration_cast<std::chrono::nanoseconds>(duration * factor);
  }
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_LEASE_LEASE_OPTIONS_H_
