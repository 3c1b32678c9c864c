#ifndef PERIDOTFORK_MEMBERSHIP_SWIM_H_
#define PERIDOTFORK_MEMBERSHIP_SWIM_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "peridotfork/core/clock.h"
#include "peridotfork/membership/fleet.h"
#include "peridotfork/protocol/message.h"

namespace peridotfork {

struct SwimOptions {
  std::chrono::milliseconds period{1000};
  // Period for a short time after the start, in which a host gets to know the others, and while no
  // member answers. After 5 s of it, some of 118 hosts that started together lacked one member for
  // 45 s.
  std::chrono::milliseconds first_period{200};
  std::chrono::seconds first_periods_for{10};
  // Longest time for which a host that has found others waits until it has discovered all.
  std::chrono::seconds discovery_for{60};
  // A probe without acknowledgement is repeated through other members after this time, and makes
  // its member suspect at the end of the period.
  std::chrono::milliseconds ack_timeout{400};
  std::size_t indirect_probes = 2;
  // A suspect that does not refute the suspicion within this time is removed.
  std::chrono::milliseconds suspicion{3000};
  // How long a removed member counts as unaccounted for.
  std::chrono::seconds unaccounted_for{120};
  // How long a member that has left may still be serving callers.
  std::chrono::seconds leaving_for{30};
  // How long a removed or left incarnation is remembered, so that old messages don't revive it.
  std::chrono::seconds memory{180};
  // Updates in one message, so that it fits into one datagram of 1,200 bytes.
  std::size_t updates_per_message = 10;
  // A change is passed on this many times, times the binary logarithm of the number of members.
  std::size_t gossip_factor = 3;
};

// Membership by probes of random members, indirect probes, suspicions that can be refuted, and
// changes that are passed on with the probes (SWIM). The cost of a host does not depend on the
// number of hosts. Answers the load "hosts start, stop, crash, freeze and are cut off". Does no
// I/O. Not thread-safe.
class Swim {
 public:
  struct Outgoing {
    Address to;
    protocol::Message message;
  };
  using Messages = std::vector<Outgoing>;

  // `clock` must outlive the object. `random_seed` differs between hosts.
  Swim(const Clock& clock,
       FleetMember self,
       std::vector<Address> seeds,
       std::uint64_t random_seed,
       SwimOptions options = {});

  // Takes effect at the next period.
  void SetOptions(const SwimOptions& options) { options_ = options; }

  // Returns the messages that are due. Called every few hundred milliseconds.
  Messages Tick();

  Messages OnProbe(const Address& from, const protocol::MemberProbe& probe);
  Messages OnAck(const protocol::MemberAck& ack);

  // Announces that this process leaves.
  Messages Leave();

  std::vector<FleetMember> Members() const;
  std::size_t unaccounted() const;
  // Number of gateways that may be sending requests to targets, rather too high than too low:
  // members, those lost a short time ago, and those that are leaving. kLargestFleet until the
  // others have been discovered, which is once many updates after the first periods have named no
  // new one: they name random members, so that few can be missing. kAssumedFleet at least if that
  // takes long.
  std::size_t size_bound() const;
  std::uint64_t version() const { return version_; }
  // See FleetView::contacts().
  std::uint64_t contacts() const { return contacts_; }
  bool joined() const { return joined_; }
  const FleetMember& self() const { return self_; }

 private:
  using State = protocol::MemberState;

  struct Entry {
    FleetMember member;
    State state = State::kAlive;
    std::uint32_t refutations = 0;
    // When the state was entered.
    BootTime since;
    // How often the state was passed on.
    std::size_t passed_on = 0;
  };
  // A probe in progress.
  struct Probe {
    std::uint64_t number = 0;
    HostId host;
    BootTime sent;
    bool indirect = false;
  };
  // A probe made for another member, which gets the acknowledgement.
  struct Relay {
    Address to;
    std::uint64_t number = 0;
    BootTime sent;
  };

  void StartProbe(BootTime now, Messages& out);
  void ProbeIndirectly(Messages& out);
  void EndProbe(BootTime now);
  void Expire(BootTime now);
  void Apply(const std::vector<protocol::MemberUpdate>& updates);
  void ApplyOne(const protocol::MemberUpdate& update);
  // Counts updates that name no new member.
  void ObserveDiscovery(bool is_new);
  void Set(Entry& entry, State state, std::uint32_t refutations);
  bool IsNews(const Entry& entry, const protocol::MemberUpdate& update) const;
  // This process first, then changes that are to be passed on, then random members.
  std::vector<protocol::MemberUpdate> MakeUpdates();
  protocol::MemberUpdate UpdateOf(const Entry& entry) const;
  protocol::MemberUpdate SelfUpdate() const;
  std::vector<Entry*> Reachable();
  std::size_t GossipRounds() const;
  // Number of members that entered the state within the time.
  std::size_t CountSince(State state, std::chrono::seconds time) const;

  const Clock& clock_;
  const FleetMember self_;
  const std::vector<Address> seeds_;
  SwimOptions options_;
  std::mt19937_64 random_;
  // All other members, also those that were removed or have left a short time ago.
  std::map<HostId, Entry> entries_;
  std::uint32_t self_refutations_ = 0;
  bool leaving_ = false;
  bool joined_ = false;
  // No member has answered since the start, or since another one did not.
  bool out_of_touch_ = true;
  std::uint64_t contacts_ = 0;
  // Updates of known members in succession, since the first periods; see size_bound().
  std::size_t repeated_updates_ = 0;
  bool discovered_ = false;
  std::uint64_t version_ = 1;
  std::uint64_t last_number_ = 0;
  std::uint64_t periods_ = 0;
  const BootTime started_;
  BootTime next_period_;
  std::optional<Probe> probe_;
  std::map<std::uint64_t, Relay> relays_;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_MEMBERSHIP_SWIM_H_
