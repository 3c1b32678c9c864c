#include "peridotfork/gateway/suspect_exchange.h"

#include <algorithm>
#include <utility>

namespace peridotfork {

SuspectExchange::SuspectExchange(const Clock& clock,
                                 CrashGuard& guard,
                                 const FleetView& fleet,
                                 PeerSender& sender,
                                 std::vector<Address> seeds,
                                 std::uint64_t random_seed,
                                 SuspectExchangeOptions options)
    : clock_(clock),
      guard_(guard),
      fleet_(fleet),
      sender_(sender),
      seeds_(std::move(seeds)),
      options_(options),
      random_(random_seed),
      questions_left_(options.max_questions) {}

void SuspectExchange::Tick() {
  for (const protocol::TargetAnswerNotice& notice : guard_.TakeAnswerNotices()) {
    for (const FleetMember& member : Others()) {
      sender_.Send(member.address, notice);
    }
  }
  const std::uint64_t contacts = fleet_.contacts();
  const BootTime now = clock_.now();
  {
    const RankedLock lock(mutex_);
    if (std::exchange(contacts_, contacts) != contacts) {
      questions_left_ = options_.max_questions;
      next_question_ = now;
    }
    if (now < next_question_) {
      return;
    }
  }
  const std::uint64_t digest = guard_.Digest();
  std::optional<Address> peer;
  {
    const RankedLock lock(mutex_);
    const bool is_asking = questions_left_ > 0;
    questions_left_ -= is_asking ? 1 : 0;
    next_question_ = now + (is_asking ? options_.question_interval : options_.comparison_interval);
    if (is_asking || digest != 0) {
      peer = ChoosePeer();
    }
  }
  if (peer) {
    sender_.Send(*peer, protocol::SuspectQuery{digest, /*in_return=*/false});
  }
}

std::optional<Address> SuspectExchange::ChoosePeer() {
  std::vector<Address> peers;
  for (const FleetMember& member : Others()) {
    peers.push_back(member.address);
  }
  if (peers.empty()) {
    peers = seeds_;
    std::erase(peers, fleet_.self().address);
  }
  if (peers.size() > 1) {
    // If the last one has not answered, another one may.
    std::erase(peers, last_asked_);
  }
  if (peers.empty()) {
    return std::nullopt;
  }
  last_asked_ = peers[random_() % peers.size()];
  return last_asked_;
}

std::vector<FleetMember> SuspectExchange::Others() const {
  std::vector<FleetMember> others = fleet_.Members();
  std::erase(others, fleet_.self());
  return others;
}

void SuspectExchange::Publish(const protocol::TargetLossNotice& notice) {
  std::vector<FleetMember> receivers = Others();
  if (notice.origin.host != fleet_.self().host && receivers.size() > options_.forwarded_notices) {
    // The origin has told all hosts that it knows; a few more reach those that it does not know.
    std::ranges::shuffle(receivers, std::minstd_rand(static_cast<unsigned>(notice.number)));
    receivers.resize(options_.forwarded_notices);
  }
  for (const FleetMember& member : receivers) {
    sender_.Send(member.address, notice);
  }
}

void SuspectExchange::OnQuery(const Address& from, const protocol::SuspectQuery& query) {
  const std::uint64_t digest = guard_.Digest();
  if (digest == query.digest) {
    sender_.Send(from, protocol::SuspectReport());
    return;
  }
  for (protocol::SuspectReport& report : guard_.Report()) {
    sender_.Send(from, std::move(report));
  }
  if (query.digest != 0 && !query.in_return) {
    sender_.Send(from, protocol::SuspectQuery{digest, /*in_return=*/true});
  }
}

void SuspectExchange::OnReport(const HostId& from, const protocol::SuspectReport& report) {
  {
    const RankedLock lock(mutex_);
    questions_left_ = 0;
  }
  guard_.OnReport(from, report);
}

}  // namespace peridotfork
