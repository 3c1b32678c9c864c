#include "peridotfork/membership/swim.h"

#include <algorithm>
#include <bit>
#include <limits>
#include <utility>

namespace peridotfork {
namespace {

using protocol::MemberAck;
using protocol::MemberProbe;
using protocol::MemberUpdate;

// Every so many periods a seed is probed even if members are known, so that parts of the fleet that
// have lost sight of each other meet again.
constexpr std::uint64_t kSeedProbePeriods = 5;
// Members that are remembered at most, so that false messages use bounded memory. A restart of all
// of 2,500 hosts needs twice their number.
constexpr std::size_t kMaxEntries = 8192;
// A host refutes a few suspicions in its life. A count near the largest number could not be
// refuted.
constexpr std::uint32_t kMaxRefutations = 1'000'000;
// Count of an entry that is not passed on.
constexpr std::size_t kNeverPassedOn = std::numeric_limits<std::size_t>::max();
// Updates without a new member after which the fleet counts as discovered. With a tenth of the
// members missing, so many random updates would name one but for once in ten million times. In a
// small fleet a message names all members, and a few messages suffice.
constexpr std::size_t kUpdatesToDiscover = 160;
constexpr std::size_t kUpdatesPerMemberToDiscover = 4;
// Probes for other members that are remembered at most.
constexpr std::size_t kMaxRelays = 256;

}  // namespace

Swim::Swim(const Clock& clock,
           FleetMember self,
           std::vector<Address> seeds,
           std::uint64_t random_seed,
           SwimOptions options)
    : clock_(clock),
      self_(std::move(self)),
      seeds_(std::move(seeds)),
      options_(options),
      random_(random_seed),
      started_(clock.now()),
      next_period_(clock.now()) {}

Swim::Messages Swim::Tick() {
  Messages out;
  const BootTime now = clock_.now();
  Expire(now);
  if (leaving_) {
    return out;
  }
  if (probe_ && !probe_->indirect && now - probe_->sent >= options_.ack_timeout) {
    ProbeIndirectly(out);
  }
  if (now >= next_period_) {
    // Short periods leave a probe the time of a long one.
    if (!probe_ || now - probe_->sent >= options_.period) {
      EndProbe(now);
    }
    const bool is_urgent =
        now - started_ < options_.first_periods_for || (out_of_touch_ && !entries_.empty());
    next_period_ = now + (is_urgent ? options_.first_period : options_.period);
    StartProbe(now, out);
  }
  return out;
}

void Swim::StartProbe(BootTime now, Messages& out) {
  const std::vector<Entry*> reachable = Reachable();
  const std::uint64_t number = ++last_number_;
  if (!reachable.empty()) {
    const Entry& chosen = *reachable[random_() % reachable.size()];
    if (!probe_) {
      probe_ = Probe{number, chosen.member.host, now, false};
    }
    out.push_back({chosen.member.address, MemberProbe{number, Address(), MakeUpdates()}});
  }
  if (!seeds_.empty() && (reachable.empty() || periods_ % kSeedProbePeriods == 0)) {
    const Address& seed = seeds_[(random_() >> 8) % seeds_.size()];
    if (seed != self_.address) {
      out.push_back({seed, MemberProbe{++last_number_, Address(), MakeUpdates()}});
    }
  }
  ++periods_;
}

void Swim::ProbeIndirectly(Messages& out) {
  probe_->indirect = true;
  const auto target = entries_.find(probe_->host);
  if (target == entries_.end()) {
    return;
  }
  std::vector<Entry*> helpers = Reachable();
  std::erase(helpers, &target->second);
  std::ranges::shuffle(helpers, random_);
  helpers.resize(std::min(helpers.size(), options_.indirect_probes));
  for (const Entry* helper : helpers) {
    out.push_back({helper->member.address,
                   MemberProbe{probe_->number, target->second.member.address, MakeUpdates()}});
  }
}

void Swim::EndProbe(BootTime now) {
  if (!probe_) {
    return;
  }
  out_of_touch_ = true;
  const auto found = entries_.find(probe_->host);
  // A process that was suspended between two ticks gives the member another period.
  const bool waited_regularly = now - probe_->sent < 2 * options_.period;
  if (found != entries_.end() && found->second.state == State::kAlive && waited_regularly) {
    Set(found->second, State::kSuspect, found->second.refutations);
  }
  probe_.reset();
}

void Swim::Expire(BootTime now) {
  std::erase_if(relays_,
                [&](const auto& relay) { return now - relay.second.sent > 2 * options_.period; });
  for (auto& [host, entry] : entries_) {
    if (entry.state == State::kSuspect && now - entry.since >= options_.suspicion) {
      Set(entry, State::kDead, entry.refutations);
    }
  }
  std::erase_if(entries_, [&](const auto& item) {
    const Entry& entry = item.second;
    return (entry.state == State::kDead || entry.state == State::kLeft) &&
           now - entry.since >= options_.memory;
  });
}

Swim::Messages Swim::OnProbe(const Address& from, const MemberProbe& probe) {
  Apply(probe.updates);
  if (leaving_) {
    return {};
  }
  if (probe.target.value().empty()) {
    return {{from, MemberAck{probe.number, MakeUpdates()}}};
  }
  if (relays_.size() >= kMaxRelays) {
    return {};
  }
  const std::uint64_t number = ++last_number_;
  relays_[number] = Relay{from, probe.number, clock_.now()};
  return {{probe.target, MemberProbe{number, Address(), MakeUpdates()}}};
}

Swim::Messages Swim::OnAck(const MemberAck& ack) {
  Apply(ack.updates);
  contacts_ += out_of_touch_ ? 1 : 0;
  out_of_touch_ = false;
  if (probe_ && probe_->number == ack.number) {
    probe_.reset();
  }
  const auto relay = relays_.find(ack.number);
  if (relay == relays_.end()) {
    return {};
  }
  Messages out = {{relay->second.to, MemberAck{relay->second.number, MakeUpdates()}}};
  relays_.erase(relay);
  return out;
}

Swim::Messages Swim::Leave() {
  leaving_ = true;
  Messages out;
  std::vector<Entry*> reachable = Reachable();
  std::ranges::shuffle(reachable, random_);
  reachable.resize(std::min(reachable.size(), GossipRounds()));
  for (const Entry* entry : reachable) {
    out.push_back({entry->member.address, MemberAck{0, {SelfUpdate()}}});
  }
  return out;
}

void Swim::Apply(const std::vector<MemberUpdate>& updates) {
  for (const MemberUpdate& update : updates) {
    ApplyOne(update);
  }
}

void Swim::ApplyOne(const MemberUpdate& update) {
  if (update.refutations > kMaxRefutations) {
    return;
  }
  if (update.host == self_.host) {
    const bool accused =
        update.incarnation == self_.incarnation && update.state != State::kAlive && !leaving_;
    if (accused && update.refutations >= self_refutations_) {
      self_refutations_ = update.refutations + 1;
    }
    return;
  }
  const auto found = entries_.find(update.host);
  ObserveDiscovery(found == entries_.end());
  if (found != entries_.end() && !IsNews(found->second, update)) {
    Entry& known = found->second;
    const bool is_same = update.incarnation == known.member.incarnation;
    if (is_same && update.state == State::kAlive && known.state == State::kDead) {
      // Tells the member, so that it can refute that it is dead.
      known.passed_on = 0;
    }
    return;
  }
  const bool is_new = found == entries_.end();
  if (is_new && entries_.size() >= kMaxEntries) {
    return;
  }
  joined_ = true;
  Entry& entry = entries_[update.host];
  entry.member = {update.host, update.incarnation, update.address, update.data_centre};
  Set(entry, update.state, update.refutations);
  if (is_new && (update.state == State::kDead || update.state == State::kLeft)) {
    // Known already to those that knew the member. If hosts that have forgotten it passed it on, it
    // would come back to them for ever.
    entry.passed_on = kNeverPassedOn;
  }
}

void Swim::ObserveDiscovery(bool is_new) {
  // In the first periods the same few members are named again and again.
  if (discovered_ || clock_.now() - started_ < options_.first_periods_for) {
    return;
  }
  if (is_new) {
    repeated_updates_ = 0;
    return;
  }
  ++repeated_updates_;
  discovered_ = repeated_updates_ >=
                std::min(kUpdatesToDiscover, kUpdatesPerMemberToDiscover * entries_.size());
}

bool Swim::IsNews(const Entry& entry, const MemberUpdate& update) const {
  if (update.incarnation != entry.member.incarnation) {
    return update.incarnation > entry.member.incarnation;
  }
  if (entry.state == State::kLeft) {
    return false;
  }
  if (update.state == State::kLeft) {
    return true;
  }
  if (update.refutations != entry.refutations) {
    return update.refutations > entry.refutations;
  }
  return update.state > entry.state;
}

void Swim::Set(Entry& entry, State state, std::uint32_t refutations) {
  entry.state = state;
  entry.refutations = refutations;
  entry.since = clock_.now();
  entry.passed_on = 0;
  ++version_;
}

std::size_t Swim::GossipRounds() const {
  return options_.gossip_factor * std::bit_width(entries_.size() + 1);
}

std::vector<MemberUpdate> Swim::MakeUpdates() {
  std::vector<MemberUpdate> updates = {SelfUpdate()};
  std::vector<Entry*> news;
  std::vector<Entry*> others;
  // Depends on the members known now: those that a starting host learns first would otherwise be
  // passed on as rarely as in a fleet of a few.
  const std::size_t rounds = GossipRounds();
  for (auto& [host, entry] : entries_) {
    (entry.passed_on < rounds ? news : others).push_back(&entry);
  }
  // The changes that were passed on least go first.
  std::ranges::stable_sort(news, {}, &Entry::passed_on);
  std::ranges::shuffle(others, random_);
  for (Entry* entry : news) {
    if (updates.size() < options_.updates_per_message) {
      ++entry->passed_on;
      updates.push_back(UpdateOf(*entry));
    }
  }
  for (const Entry* entry : others) {
    if (updates.size() < options_.updates_per_message && entry->state == State::kAlive) {
      updates.push_back(UpdateOf(*entry));
    }
  }
  return updates;
}

MemberUpdate Swim::UpdateOf(const Entry& entry) const {
  return {entry.member.host,    entry.member.incarnation,
          entry.member.address, entry.member.data_centre,
          entry.state,          entry.refutations};
}

MemberUpdate Swim::SelfUpdate() const {
  return {self_.host,
          self_.incarnation,
          self_.address,
          self_.data_centre,
          leaving_ ? State::kLeft : State::kAlive,
          self_refutations_};
}

std::vector<Swim::Entry*> Swim::Reachable() {
  std::vector<Entry*> reachable;
  for (auto& [host, entry] : entries_) {
    if (entry.state == State::kAlive || entry.state == State::kSuspect) {
      reachable.push_back(&entry);
    }
  }
  return reachable;
}

std::vector<FleetMember> Swim::Members() const {
  std::vector<FleetMember> members = {self_};
  for (const auto& [host, entry] : entries_) {
    if (entry.state == State::kAlive || entry.state == State::kSuspect) {
      members.push_back(entry.member);
    }
  }
  std::ranges::sort(members, {}, &FleetMember::host);
  return members;
}

std::size_t Swim::unaccounted() const {
  return CountSince(State::kDead, options_.unaccounted_for);
}

std::size_t Swim::size_bound() const {
  const std::chrono::seconds longest =
      joined_ ? options_.discovery_for : options_.first_periods_for;
  if (!discovered_ && clock_.now() - started_ < longest) {
    return kLargestFleet;
  }
  const std::size_t seen =
      Members().size() + unaccounted() + CountSince(State::kLeft, options_.leaving_for);
  return discovered_ ? seen : std::max(seen, kAssumedFleet);
}

std::size_t Swim::CountSince(State state, std::chrono::seconds time) const {
  const BootTime now = clock_.now();
  return static_cast<std::size_t>(std::ranges::count_if(entries_, [&](const auto& item) {
    return item.second.state == state && now - item.second.since < time;
  }));
}

}  // namespace peridotfork
