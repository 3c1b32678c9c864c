#ifndef PERIDOTFORK_LIMITS_QUARANTINE_H_
#define PERIDOTFORK_LIMITS_QUARANTINE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "peridotfork/core/clock.h"
#include "peridotfork/core/ids.h"
#include "peridotfork/internal/limits/suspect_table.h"

namespace peridotfork {

struct QuarantineOptions {
  std::chrono::nanoseconds duration = std::chrono::seconds(60);
  // How long a request stays a suspect after its last loss or the end of its quarantine.
  std::chrono::nanoseconds memory = std::chrono::minutes(10);
  std::size_t max_entries = 10'000;
  // Number of loss rounds after which a request is quarantined even if none of its attempts ran
  // alone.
  std::uint32_t rounds_without_isolation = 3;
};

// Whether and how a request may run, given its history of losses.
enum class Suspicion {
  kNone,
  // The request was in flight on a lost target or has been in quarantine. It may run only alone on
  // a target: Attempt::alone is set for its attempts.
  kSuspect,
  // The request must not run.
  kQuarantined,
};

// The loss of a target while it ran an attempt, as reported by the dispatcher of the target.
struct TargetLoss {
  GroupIndex group;
  // When this entry sent the attempt.
  BootTime sent;
  // True if no other attempt was in flight on the target during the run (see FinishedAttempt).
  bool alone = false;
  // When the loss was detected; zero means the current time.
  BootTime noticed;
};

// Detects and blocks poison requests, which crash the targets that run them.
//
// The crash of a target fails all attempts in flight on it, and the failure of a data centre fails
// attempts on many targets, so a single loss does not identify the request that caused it. The
// rules are:
//
// 1. A request with a loss is a suspect. Its later attempts must run alone on their targets.
// 2. Losses are counted in rounds. The loss of an attempt that was sent before the first loss of a
//    round was known belongs to the same round. All attempts of a query that fail through one
//    cause, in any number of groups, therefore count once.
// 3. A request is quarantined in its second round if an attempt of either round ran alone, and
//    otherwise in its third round (rounds_without_isolation). A request that was quarantined before
//    is quarantined again on its next loss.
// 4. An answer from a group clears the losses in that group. A request without losses is no longer
//    a suspect.
//
// A poison request is usually lost once among other attempts and once alone, so it is quarantined
// after two rounds. A request that only shared the target with it is lost once, then runs alone, is
// answered and cleared. It is quarantined only if its target fails for an unrelated reason during
// that run.
//
// A loss counts only if the attempt was sent to the target and the dispatcher of the target
// reported it: an attempt without a connection did not run, and the loss of a dispatcher says
// nothing about its targets. All state is kept per caller, so that a request of one caller never
// blocks the same request of another.
//
// Not thread-safe.
class Quarantine {
 public:
  Quarantine(const Clock& clock, QuarantineOptions options);

  // Hash that identifies a request. Identical on all entries and in all builds.
  static std::uint64_t Fingerprint(const CallerId& caller,
                                   const ServiceId& service,
                                   std::string_view body);

  // Records the loss of an attempt of the request. Returns true if this puts the request into
  // quarantine; the other entries should then be notified.
  bool OnTargetLost(const CallerId& caller, std::uint64_t fingerprint, const TargetLoss& loss);

  // Records that a target of `group` answered an attempt of the request.
  void OnAnswered(const CallerId& caller, std::uint64_t fingerprint, GroupIndex group);

  // Records that another entry has quarantined a request of this caller.
  void OnNotice(const CallerId& caller,
                std::uint64_t fingerprint,
                std::chrono::nanoseconds remaining);

  // Records losses that another entry has counted for longer, each as a round of its own. That
  // entry quarantines the request for `quarantined_for` more and forgets it after `kept_for`.
  // Returns true if the request is newly in quarantine. A quarantine is taken over only if there
  // are losses enough for it.
  bool Adopt(const CallerId& caller,
             std::uint64_t fingerprint,
             const std::vector<GroupIndex>& losses,
             std::chrono::nanoseconds quarantined_for,
             std::chrono::nanoseconds kept_for);

  Suspicion Classify(const CallerId& caller, std::uint64_t fingerprint) const;
  bool IsQuarantined(const CallerId& caller, std::uint64_t fingerprint) const;

  // Time until the quarantine ends, or zero if the request is not quarantined.
  std::chrono::nanoseconds Remaining(const CallerId& caller, std::uint64_t fingerprint) const;

  // Time until the request is forgotten, or zero if it is not known.
  std::chrono::nanoseconds KeptFor(const CallerId& caller, std::uint64_t fingerprint) const;

  std::size_t size() const { return suspects_.size(); }

 private:
  SuspectTable::iterator FindOrAdd(const CallerId& caller, std::uint64_t fingerprint);
  void AddLoss(Suspect& suspect, const TargetLoss& loss) const;
  void ExtendQuarantine(Suspect& suspect, std::chrono::nanoseconds duration) const;
  void EraseExpired();
  void EvictOldest();

  const Clock& clock_;
  QuarantineOptions options_;
  SuspectTable suspects_;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_LIMITS_QUARANTINE_H_
