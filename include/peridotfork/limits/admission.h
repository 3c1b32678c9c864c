#ifndef PERIDOTFORK_LIMITS_ADMISSION_H_
#define PERIDOTFORK_LIMITS_ADMISSION_H_

#include <chrono>
#include <cstdint>
#include <map>

#include "peridotfork/core/clock.h"
#include "peridotfork/core/error.h"
#include "peridotfork/core/ids.h"
#include "peridotfork/core/units.h"

namespace peridotfork {

// Limits of one caller at one entry: the limits for the whole fleet, as configured in the
// operators' document, divided by the number of entries.
struct CallerLimits {
  Rate rate;
  std::uint32_t in_flight = 0;

  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

struct AdmissionOptions {
  // Maximum number of requests in flight at this entry, over all callers.
  std::uint32_t total_in_flight = 1;
  // Burst size of a caller, as the time over which it may accumulate unused rate. A burst is at
  // least one request.
  std::chrono::nanoseconds burst = std::chrono::milliseconds(200);
  // A caller is active while it has requests in flight and for this time after its last request.
  // Shares are computed over the active callers.
  std::chrono::nanoseconds activity_window = std::chrono::seconds(10);
  // Fraction of `total_in_flight` that is kept free while some caller is inactive, so that it can
  // be served immediately when it returns.
  double reserve_fraction = 0.1;
};

// Admission control at an entry: limits the rate and the concurrency of each caller, and divides
// the total concurrency between callers by weighted fair sharing.
//
// The share of a caller is proportional to its in-flight limit, relative to the sum of the limits
// of all active callers. While some caller is inactive, `reserve_fraction` of the total (a tenth by
// default) is excluded from the shares. A request of a caller below its share is admitted whenever
// the total allows. A request of a caller at or above its share is admitted only if the capacity
// left afterwards covers the reserve and the unused shares of all other active callers. A caller
// below its share is therefore refused for lack of capacity only for a short time after some caller
// becomes active, until enough requests of the others have ended; the reserve shortens this time.
//
// Not thread-safe.
class Admission {
 public:
  Admission(const Clock& clock, AdmissionOptions options);

  // Admits a request, which is then in flight until Release(), or returns an error: kUnknownName if
  // the caller has no limits, kCallerLimit if it has reached its rate or in-flight limit,
  // kQueueFull if the entry has no capacity left for this caller.
  Result<void> TryAdmit(const CallerId& caller);

  void Release(const CallerId& caller);

  // Replaces the limits of all callers. Requests in flight stay counted, and a caller does not get
  // back the part of its rate that it has used.
  void SetLimits(const std::map<CallerId, CallerLimits>& limits);

  std::uint32_t in_flight() const { return in_flight_; }
  std::uint32_t in_flight(const CallerId& caller) const;

  // Share of a caller, computed as if it were active; zero if the caller is unknown.
  std::uint32_t Share(const CallerId& caller) const;

 private:
  struct CallerState {
    CallerLimits limits;
    // False once the document no longer lists the caller.
    bool known = false;
    double tokens = 0;
    BootTime refilled;
    BootTime last_request;
    std::uint32_t in_flight = 0;
  };

  // Inputs of the share computation: the sum of the weights of all active callers, and the
  // concurrency kept free for inactive ones.
  struct ShareInputs {
    std::uint64_t weight = 0;
    std::uint32_t reserved = 0;
  };

  double Burst(const CallerLimits& limits) const;
  void Refill(CallerState& state) const;
  bool IsActive(const CallerState& state) const;
  ShareInputs ComputeShareInputs() const;
  std::uint32_t ShareOf(const CallerState& state, const ShareInputs& inputs) const;
  // Concurrency that must stay available to other callers when `state` exceeds its share.
  std::uint64_t ReservedForOthers(const CallerState& state, const ShareInputs& inputs) const;
  bool HasCapacity(const CallerState& state) const;

  const Clock& clock_;
  AdmissionOptions options_;
  std::uint32_t in_flight_ = 0;
  std::map<CallerId, CallerState> callers_;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_LIMITS_ADMISSION_H_
