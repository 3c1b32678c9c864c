#ifndef PERIDOTFORK_GATEWAY_SUSPECT_EXCHANGE_H_
#define PERIDOTFORK_GATEWAY_SUSPECT_EXCHANGE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "peridotfork/core/clock.h"
#include "peridotfork/gateway/crash_guard.h"
#include "peridotfork/membership/fleet.h"
#include "peridotfork/protocol/message.h"
#include "peridotfork/runtime/ranked_mutex.h"

namespace peridotfork {

struct SuspectExchangeOptions {
  // A host that has started, or that was out of touch with the others, asks one after the other in
  // this interval until one answers, so many times at most.
  std::chrono::milliseconds question_interval{500};
  std::size_t max_questions = 6;
  // Interval at which a host that knows of suspects compares them with those of another one.
  std::chrono::milliseconds comparison_interval{1000};
  // Number of hosts to which a notice of another host is passed on.
  std::size_t forwarded_notices = 3;
};

// Tells the other gateways which requests crash targets, and learns it from them: each loss at
// once, and all of what is known when a host joins or may have missed a notice. Answers the load
// "hosts restart in turn while a request crashes targets". Thread-safe.
class SuspectExchange {
 public:
  // The references must outlive the object. `seeds` are asked before other hosts are known.
  SuspectExchange(const Clock& clock,
                  CrashGuard& guard,
                  const FleetView& fleet,
                  PeerSender& sender,
                  std::vector<Address> seeds,
                  std::uint64_t random_seed,
                  SuspectExchangeOptions options = {});

  // Sends the notices of answers and the question that is due, if any. Called several times a
  // second.
  void Tick();

  // Tells the others of a loss, or passes on the notice of another host.
  void Publish(const protocol::TargetLossNotice& notice);

  void OnQuery(const Address& from, const protocol::SuspectQuery& query);
  void OnReport(const HostId& from, const protocol::SuspectReport& report);

 private:
  // Whom to ask now; none if nobody is known. Requires the lock.
  std::optional<Address> ChoosePeer();
  // The other hosts.
  std::vector<FleetMember> Others() const;

  const Clock& clock_;
  CrashGuard& guard_;
  const FleetView& fleet_;
  PeerSender& sender_;
  const std::vector<Address> seeds_;
  const SuspectExchangeOptions options_;

  RankedMutex mutex_{LockRank::kView};
  std::mt19937_64 random_;
  BootTime next_question_;
  std::size_t questions_left_;
  std::uint64_t contacts_ = 0;
  Address last_asked_;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_GATEWAY_SUSPECT_EXCHANGE_H_
