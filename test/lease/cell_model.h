#ifndef PERIDOTFORK_TEST_LEASE_CELL_MODEL_H_
#define PERIDOTFORK_TEST_LEASE_CELL_MODEL_H_

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "lease/model_parts.h"
#include "peridotfork/membership/placement.h"

namespace peridotfork::testing {

// Simulates a cell of agents on a faulty network in steps of 20 ms and checks at
// each step that no target is used by two processes. A process is taken to use a
// target until the lease under which it last sent work expires, even if it
// freezes, crashes or adopts another view in the meantime.
class CellModel {
 public:
  CellModel(std::uint64_t seed, int hosts, const Faults& faults, LeaseOptions options)
      : random_(seed), faults_(faults), options_(options), hosts_(hosts + kSpareHosts) {
    std::set<int> members;
    for (int host = 0; host < hosts; ++host) {
      members.insert(host);
    }
    Publish(members, {});
    for (std::size_t host = 0; host < hosts_.size(); ++host) {
      // Any two rates differ by less than LeaseOptions::drift, 2%.
      hosts_[host].clock = std::make_unique<DriftClock>(time_, 0.991 + 0.018 * Uniform(1000) / 1000,
                                                        milliseconds(3600000 + Uniform(1000000)));
      hosts_[host].unreachable.resize(hosts_.size());
      if (members.count(static_cast<int>(host)) != 0) {
        Start(static_cast<int>(host), 0);
      }
    }
  }

  // Runs `steps` steps with faults. Stops and returns false as soon as two
  // processes use one target.
  bool Run(int steps) {
    for (int i = 0; i < steps && violation().empty(); ++i) {
      InjectFaults();
      Step();
    }
    return violation().empty();
  }

  // Ends all faults, starts all stopped hosts and publishes the newest host list
  // to all hosts. Returns the time until every home has a holder that may use all
  // of its targets, or nullopt if that takes longer than `limit` or a target is
  // used by two processes.
  std::optional<nanoseconds> Recover(nanoseconds limit) {
    faults_ = Faults{};
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      Host& host = hosts_[i];
      host.unreachable.assign(hosts_.size(), false);
      host.frozen_until = 0;
      if (!host.process) {
        Start(static_cast<int>(i), views_.size() - 1);
      }
      host.view_visible_at.assign(views_.size(), 0);
    }
    const nanoseconds begin = time_;
    while (time_ - begin <= limit && violation().empty()) {
      Step();
      if (AllHomesHeld()) {
        return time_ - begin;
      }
    }
    return std::nullopt;
  }

  const std::string& violation() const { return checker_.violation(); }
  // Number of times a target passed to another process.
  int takeovers() const { return checker_.takeovers(); }
  // Number of times a host used the targets of a home carried over from an older view
  // (see LeaseHolder).
  int carried_uses() const { return carried_uses_; }
  std::size_t views() const { return views_.size(); }

 private:
  static constexpr int kTargets = 50;
  static constexpr int kDataCentres = 3;
  static constexpr int kSpareHosts = 4;
  static constexpr nanoseconds kStep = milliseconds(20);
  static constexpr int kRenewSteps = 25;

  struct InFlightMessage {
    ProcessId from;
    int to = 0;
    // The only incarnation that may handle the message; zero for any.
    Incarnation to_incarnation;
    protocol::Message message;
  };

  struct Host {
    std::unique_ptr<DriftClock> clock;
    std::unique_ptr<Process> process;
    int frozen_until = 0;
    int start_at = 0;
    std::vector<InFlightMessage> inbox;
    // For each host, whether messages from this host to it are lost.
    std::vector<bool> unreachable;
    // For each view, the step from which this host's platform reader returns it.
    std::vector<int> view_visible_at;
  };

  struct PublishedView {
    View view;
    // For each host, the set of targets of its home, as a bit mask.
    std::vector<std::uint64_t> homes;
  };

  int Uniform(int below) { return static_cast<int>(random_() % static_cast<unsigned>(below)); }
  bool Chance(double probability) {
    return probability > 0 && static_cast<double>(random_() >> 11) * 0x1p-53 < probability;
  }
  static HostId IdOf(int host) { return HostId("h" + std::to_string(host)); }
  static int IndexOf(const HostId& id) { return std::stoi(id.value().substr(1)); }
  static DataCentreId DataCentreOf(int number) {
    return DataCentreId("dc" + std::to_string(number % kDataCentres));
  }

  void Publish(const std::set<int>& members, const std::set<int>& leaving) {
    PublishedView published;
    published.view.version = ViewVersion(views_.size() + 1);
    for (const int host : members) {
      published.view.members.push_back(
          {IdOf(host), DataCentreOf(host), Address("a"), leaving.count(host) != 0});
    }
    const Placement placement(published.view);
    published.homes.resize(hosts_.size());
    for (int target = 0; target < kTargets; ++target) {
      const HostId home =
          placement.HomeOf(TargetId("t" + std::to_string(target)), DataCentreOf(target));
      published.homes[static_cast<std::size_t>(IndexOf(home))] |= std::uint64_t{1} << target;
    }
    views_.push_back(std::move(published));
    // Most hosts read the new list soon. Some lag so far behind that they receive it
    // from a peer first.
    for (Host& host : hosts_) {
      const int lag = Chance(0.6) ? Uniform(25) : Chance(0.5) ? Uniform(500) : Uniform(5000);
      host.view_visible_at.push_back(step_ + lag);
    }
  }

  void Start(int index, std::size_t view) {
    Host& host = hosts_[static_cast<std::size_t>(index)];
    host.process = std::make_unique<Process>(
        *host.clock, options_, ProcessId{IdOf(index), Role::kAgent, Incarnation(++incarnation_)});
    host.process->next_tick = step_ + Uniform(kRenewSteps);
    Adopt(*host.process, view);
  }

  void Adopt(Process& process, std::size_t view) {
    process.holder.AdoptView(views_[view].view);
    process.peers.AdoptView(views_[view].view);
  }

  void Step() {
    ++step_;
    time_ += kStep;
    std::vector<InFlightMessage> due;
    due.swap(network_[static_cast<std::size_t>(step_) % network_.size()]);
    for (InFlightMessage& delivery : due) {
      Host& host = hosts_[static_cast<std::size_t>(delivery.to)];
      if (host.process) {
        host.inbox.push_back(std::move(delivery));
      }
    }
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      RunHost(static_cast<int>(i));
    }
  }

  void RunHost(int index) {
    Host& host = hosts_[static_cast<std::size_t>(index)];
    if (!host.process && step_ == host.start_at) {
      Start(index, ViewAtStart(host));
    }
    if (!host.process || step_ < host.frozen_until) {
      return;
    }
    Process& process = *host.process;
    for (InFlightMessage& delivery : std::exchange(host.inbox, {})) {
      Deliver(process, delivery);
    }
    for (std::size_t view = views_.size(); view-- > 0;) {
      if (step_ >= host.view_visible_at[view]) {
        Adopt(process, view);
        break;
      }
    }
    if (step_ >= process.next_tick) {
      process.next_tick = step_ + kRenewSteps;
      Tick(process);
    }
    UseTargets(process, *host.clock);
  }

  std::size_t ViewAtStart(const Host& host) {
    std::size_t newest = 0;
    for (std::size_t view = 0; view < views_.size(); ++view) {
      newest = step_ >= host.view_visible_at[view] ? view : newest;
    }
    return Chance(faults_.stale_restart)
               ? static_cast<std::size_t>(Uniform(static_cast<int>(newest) + 1))
               : newest;
  }

  void Tick(Process& process) {
    const std::vector<HostId> held = process.holder.held();
    const std::vector<HostId> released = process.peers.HomesToRelease(held);
    const std::vector<HostId> recipients = process.holder.Recipients();
    if (!released.empty()) {
      checker_.Release(process.id, released, time_);
      SendToAll(process, recipients, process.holder.Release(released));
    }
    std::vector<HostId> homes = process.peers.HomesToRequest(process.holder.held());
    if (Chance(faults_.extra_request)) {
      homes.push_back(IdOf(Uniform(static_cast<int>(hosts_.size()))));
    }
    protocol::Heartbeat heartbeat;
    heartbeat.view = process.history.view()->version;
    heartbeat.homes_held = held;
    heartbeat.dispatcher = {Address("d"), process.id.incarnation};
    SendToAll(process, recipients, heartbeat);
    SendToAll(process, recipients, process.holder.MakeRequest(homes));
  }

  void SendToAll(const Process& from,
                 const std::vector<HostId>& recipients,
                 const protocol::Message& message) {
    for (const HostId& to : recipients) {
      Send(from, IndexOf(to), Incarnation(), message);
    }
  }

  void Send(const Process& from,
            int to,
            Incarnation to_incarnation,
            const protocol::Message& message) {
    const int sender = IndexOf(from.id.host);
    const bool local = sender == to;
    if (!local &&
        (hosts_[static_cast<std::size_t>(sender)].unreachable[static_cast<std::size_t>(to)] ||
         Chance(faults_.loss))) {
      return;
    }
    const int delay = local ? 1 : Chance(faults_.slow) ? 1 + Uniform(250) : 1 + Uniform(3);
    network_[static_cast<std::size_t>(step_ + delay) % network_.size()].push_back(
        InFlightMessage{from.id, to, to_incarnation, message});
  }

  void Deliver(Process& process, const InFlightMessage& delivery) {
    if (delivery.to_incarnation != Incarnation() &&
        delivery.to_incarnation != process.id.incarnation) {
      return;
    }
    if (const auto* request = std::get_if<protocol::LeaseRequest>(&delivery.message)) {
      process.peers.RecordRequest(delivery.from, *request);
      Send(process, IndexOf(delivery.from.host), delivery.from.incarnation,
           process.grantor.Handle(delivery.from, *request));
    } else if (const auto* reply = std::get_if<protocol::LeaseReply>(&delivery.message)) {
      process.holder.Handle(delivery.from.host, *reply);
    } else if (const auto* release = std::get_if<protocol::LeaseRelease>(&delivery.message)) {
      process.grantor.Release(delivery.from, *release);
    } else if (const auto* heartbeat = std::get_if<protocol::Heartbeat>(&delivery.message)) {
      process.peers.RecordHeartbeat(delivery.from, *heartbeat);
      if (heartbeat->view > process.history.view()->version && Chance(0.3)) {
        Adopt(process, heartbeat->view.value() - 1);
      }
    }
  }

  std::uint64_t HomeTargets(ViewVersion view, const HostId& home) const {
    return views_[view.value() - 1].homes[static_cast<std::size_t>(IndexOf(home))];
  }

  std::uint64_t UsableTargets(const Process& process, const HostId& home) const {
    std::uint64_t targets = HomeTargets(process.history.view()->version, home);
    for (const View& view : process.holder.CarriedFrom(home)) {
      targets &= HomeTargets(view.version, home);
    }
    return targets;
  }

  void UseTargets(const Process& process, const DriftClock& clock) {
    for (const HostId& home : process.holder.held()) {
      const nanoseconds end = clock.TrueTime(*process.holder.ExpiryOf(home));
      const std::uint64_t targets = UsableTargets(process, home);
      carried_uses_ += targets != 0 && !process.history.settled();
      for (int target = 0; target < kTargets; ++target) {
        if ((targets >> target & 1) != 0) {
          checker_.UseTarget(process.id, home, target, time_, end);
        }
      }
    }
  }

  bool AllHomesHeld() const {
    const View& view = views_.back().view;
    std::set<HostId> held;
    for (const Host& host : hosts_) {
      if (host.process && host.process->history.view()->version == view.version &&
          host.process->history.settled()) {
        const std::vector<HostId> homes = host.process->holder.held();
        held.insert(homes.begin(), homes.end());
      }
    }
    return std::all_of(view.members.begin(), view.members.end(),
                       [&](const ViewMember& member) { return held.count(member.id) != 0; });
  }

  void InjectFaults() {
    const std::size_t count = hosts_.size();
    if (Chance(faults_.partition)) {
      Partition();
    }
    if (Chance(faults_.heal)) {
      for (Host& host : hosts_) {
        host.unreachable.assign(count, false);
      }
    }
    if (Chance(faults_.freeze)) {
      hosts_[static_cast<std::size_t>(Uniform(static_cast<int>(count)))].frozen_until =
          step_ + Uniform(400);
    }
    if (Chance(faults_.crash)) {
      Crash(Uniform(static_cast<int>(count)));
    }
    if (Chance(faults_.publish)) {
      PublishChange();
    }
  }

  // Drops the messages from one host to another, all messages from and to one host, or
  // all messages between two random sets of hosts.
  void Partition() {
    const int kind = Uniform(3);
    const auto side = random_();
    const auto host = static_cast<std::size_t>(Uniform(static_cast<int>(hosts_.size())));
    const auto peer = static_cast<std::size_t>(Uniform(static_cast<int>(hosts_.size())));
    for (std::size_t from = 0; from < hosts_.size(); ++from) {
      for (std::size_t to = 0; to < hosts_.size(); ++to) {
        const bool across = (side >> from & 1) != (side >> to & 1);
        const bool cut = kind == 0   ? from == host && to == peer
                         : kind == 1 ? (from == host) != (to == host)
                                     : across;
        hosts_[from].unreachable[to] = hosts_[from].unreachable[to] || cut;
      }
    }
  }

  // True if a member of the view other than `except` runs and is informed.
  bool HasInformedMember(const View& view, int except) const {
    return std::any_of(view.members.begin(), view.members.end(), [&](const ViewMember& member) {
      const auto& process = hosts_[static_cast<std::size_t>(IndexOf(member.id))].process;
      return process && process->history.informed() && member.id != IdOf(except);
    });
  }

  // The protocol assumes that at least one host of each view keeps its record of the
  // older views while leases granted in them may be valid.
  bool MayCrash(int index) const {
    return HasInformedMember(views_.back().view, index) &&
           std::all_of(hosts_.begin(), hosts_.end(), [&](const Host& host) {
             return !host.process || HasInformedMember(*host.process->history.view(), index);
           });
  }

  void Crash(int index) {
    Host& host = hosts_[static_cast<std::size_t>(index)];
    if (host.process && MayCrash(index)) {
      host.process.reset();
      host.inbox.clear();
      host.frozen_until = 0;
      host.start_at = step_ + 1 + (Chance(0.7) ? Uniform(25) : Uniform(500));
    }
  }

  void PublishChange() {
    std::set<int> members;
    for (const ViewMember& member : views_.back().view.members) {
      members.insert(IndexOf(member.id));
    }
    std::set<int> leaving;
    const bool split = Chance(faults_.split_publish);
    // Removing each member with probability 0.5 often leaves only a minority of the
    // previous members, which tests that majorities of both views are required.
    const double removed = split && Chance(0.5) ? 0.5 : 0;
    std::erase_if(members, [&](int) { return Chance(removed); });
    for (int change = Uniform(faults_.churn) + 1; change > 0; --change) {
      const int host = Uniform(static_cast<int>(hosts_.size()));
      if (Chance(0.2)) {
        leaving.insert(host);
      } else if (members.erase(host) == 0) {
        members.insert(host);
      }
    }
    if (members.size() < 3) {
      return;
    }
    Publish(members, leaving);
    if (!HasInformedMember(views_.back().view, -1)) {
      views_.pop_back();
      std::for_each(hosts_.begin(), hosts_.end(),
                    [](Host& host) { host.view_visible_at.pop_back(); });
      return;
    }
    if (split) {
      SplitReaders();
    }
    for (const int host : members) {
      Host& added = hosts_[static_cast<std::size_t>(host)];
      if (!added.process && added.start_at <= step_) {
        added.start_at = step_ + 1 + Uniform(100);
        added.view_visible_at.back() = step_;
      }
    }
  }

  // Partitions the network. One side reads the newest list soon, the other late.
  void SplitReaders() {
    const auto side = random_();
    for (std::size_t from = 0; from < hosts_.size(); ++from) {
      const bool late = (side >> from & 1) != 0;
      hosts_[from].view_visible_at.back() = step_ + (late ? Uniform(1500) : Uniform(10));
      for (std::size_t to = 0; to < hosts_.size(); ++to) {
        hosts_[from].unreachable[to] =
            hosts_[from].unreachable[to] || late != ((side >> to & 1) != 0);
      }
      if (Chance(0.1)) {
        Crash(static_cast<int>(from));
      }
    }
  }

  std::mt19937_64 random_;
  Faults faults_;
  const LeaseOptions options_;
  nanoseconds time_{0};
  int step_ = 0;
  std::uint64_t incarnation_ = 0;
  std::vector<Host> hosts_;
  std::vector<PublishedView> views_;
  std::array<std::vector<InFlightMessage>, 256> network_;
  UseChecker checker_{kTargets};
  int carried_uses_ = 0;
};

}  // namespace peridotfork::testing

#endif  // PERIDOTFORK_TEST_LEASE_CELL_MODEL_H_
