#ifndef PERIDOTFORK_GATEWAY_CRASH_GUARD_H_
#define PERIDOTFORK_GATEWAY_CRASH_GUARD_H_

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <tuple>
#include <vector>

#include "peridotfork/core/clock.h"
#include "peridotfork/core/ids.h"
#include "peridotfork/http/raw_message.h"
#include "peridotfork/limits/quarantine.h"
#include "peridotfork/protocol/message.h"
#include "peridotfork/runtime/log.h"
#include "peridotfork/runtime/ranked_mutex.h"
#include "peridotfork/tenants/authenticator.h"

namespace peridotfork {

struct CrashGuardOptions {
  // A request is quarantined after two rounds of losses (see Quarantine). Only losses after which
  // the target was found down are counted, so two rounds with another cause are unlikely.
  QuarantineOptions quarantine{.duration = std::chrono::seconds(60),
                               .memory = std::chrono::minutes(2),
                               .rounds_without_isolation = 2};
  // Limit on liveness checks of targets that lost an attempt; each check opens a connection.
  std::uint32_t checks_per_second = 10;
  // Number of most recent notices remembered, so that none is forwarded twice.
  std::size_t max_notices = 4096;
  // Limit on answers that wait to be told to the other hosts.
  std::size_t max_answer_notices = 256;
  // Number of suspects named to another host at once.
  std::size_t max_reported = 16;
};

// Detects requests that crash the targets that run them, from the target losses seen on this
// host and those reported by other hosts, and quarantines these requests. Thread-safe.
class CrashGuard {
 public:
  using Publisher = std::function<void(const protocol::TargetLossNotice&)>;

  // `clock` and `log` must outlive the guard.
  CrashGuard(const Clock& clock,
             Logger& log,
             ProcessId self,
             Publisher publish,
             CrashGuardOptions options = {});

  // Returns the same value for every repetition of a request by the same tenant, on any host.
  static std::uint64_t Fingerprint(const http::RawRequest& request, const CallerIdentity& identity);
  static std::uint64_t Fingerprint(const http::RequestHead& head,
                                   const std::string& body,
                                   const CallerIdentity& identity);

  // If false, no request is suspected or quarantined, and Remaining() and OnAnswered() may be
  // skipped. May stay true after the last suspect has expired.
  bool has_suspects() const { return has_suspects_; }

  // Number of requests that are suspected or quarantined.
  std::size_t suspects() const;

  // Time until the quarantine of the request ends; zero if it is not quarantined.
  std::chrono::nanoseconds Remaining(std::uint64_t fingerprint) const;

  // Takes one liveness check from the budget of the current second; false if it is used up.
  bool TryAcquireCheck();

  // Records that a target was found down after it had lost an attempt, and notifies the other
  // hosts. `loss` contains the times at which the attempt was sent and its loss was noticed. A
  // request that is not `repeatable` is lost once only, and is quarantined for that loss.
  void OnTargetDown(std::uint64_t fingerprint, const TargetLoss& loss, bool repeatable);

  // Records that a target answered an attempt of the request, which clears its losses in the group
  // here and, with the next notices, on the other hosts.
  void OnAnswered(std::uint64_t fingerprint, GroupIndex group);

  // Returns the notices of answers since the last call, which the other hosts have to be told.
  std::vector<protocol::TargetAnswerNotice> TakeAnswerNotices();

  // Handles a notice from another host.
  void OnNotice(const protocol::TargetAnswerNotice& notice);

  // Handles a notice from another host; forwards it to the peers if it is new.
  void OnNotice(const protocol::TargetLossNotice& notice);

  // Digest of the losses of all suspects; zero without any. Hosts that have heard of the same
  // losses have the same digest.
  std::uint64_t Digest();

  // What this host knows of suspects, in messages that fit into a datagram each; at least one.
  // Quarantined requests go first, and no more than max_reported are named.
  std::vector<protocol::SuspectReport> Report();

  // Takes over what another host knows of suspects.
  void OnReport(const HostId& from, const protocol::SuspectReport& report);

 private:
  using NoticeKey = std::tuple<HostId, Incarnation, std::uint64_t>;

  // Returns whether this loss puts the request into quarantine. Requires the lock.
  bool AddLoss(std::uint64_t fingerprint, const TargetLoss& loss);
  // Remembers the loss; returns false if it was already known. Requires the lock.
  bool Remember(std::uint64_t fingerprint, const protocol::LossRecord& loss);
  // Clears the losses of the request in the group and returns them. Requires the lock.
  std::vector<protocol::LossRecord> Clear(std::uint64_t fingerprint, GroupIndex group);
  // Drops the losses of requests that are no longer suspects. Requires the lock.
  void ForgetExpired();
  void LogLoss(const protocol::TargetLossNotice& notice, bool quarantined);

  const Clock& clock_;
  Logger& log_;
  const ProcessId self_;
  const Publisher publish_;
  const CrashGuardOptions options_;
  std::atomic<bool> has_suspects_ = false;
  mutable RankedMutex mutex_{LockRank::kSuspects};
  Quarantine quarantine_;
  // Start of the current one-second window, and the checks taken in it.
  BootTime check_window_start_;
  std::uint32_t checks_in_window_ = 0;
  std::uint64_t last_number_ = 0;
  // Known notices, and the order in which they arrived, to drop the oldest first.
  std::set<NoticeKey> known_notices_;
  std::deque<NoticeKey> notice_order_;
  // The losses of each suspect, for reports: those that are least in order, so that all hosts keep
  // the same ones.
  std::map<std::uint64_t, std::set<protocol::LossRecord>> losses_;
  std::vector<protocol::TargetAnswerNotice> answer_notices_;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_GATEWAY_CRASH_GUARD_H_
