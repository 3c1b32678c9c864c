#include "peridotfork/membership/swim.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace peridotfork {
namespace {

using std::chrono::milliseconds;

// Gateways in one process that exchange the messages of the membership protocol over a network with
// delay and loss. Time is simulated.
class SwimModel {
 public:
  explicit SwimModel(std::size_t hosts, SwimOptions options = {}) : options_(options) {
    for (std::size_t i = 0; i < hosts; ++i) {
      Start(i);
    }
  }

  void Start(std::size_t host) {
    const std::uint64_t incarnation = ++incarnations_[host];
    running_[host] = std::make_unique<Swim>(
        clock_, FleetMember{Name(host), Incarnation(incarnation), At(host), DataCentreId("a")},
        std::vector{At(0), At(1), At(2)}, host * 1000 + incarnation, options_);
  }
  void Kill(std::size_t host) { running_.erase(host); }
  void Leave(std::size_t host) {
    Send(host, running_.at(host)->Leave());
    Kill(host);
  }

  // Whether messages pass between two hosts.
  std::function<bool(std::size_t, std::size_t)> connected = [](std::size_t, std::size_t) {
    return true;
  };
  // Hosts that are suspended: they neither send nor receive.
  std::function<bool(std::size_t)> frozen = [](std::size_t) { return false; };

  void Run(std::chrono::seconds time) {
    const BootTime end = clock_.now() + time;
    while (clock_.now() < end) {
      clock_.Advance(milliseconds(50));
      for (auto& [host, swim] : running_) {
        if (!frozen(host)) {
          Send(host, swim->Tick());
        }
      }
      Deliver();
    }
  }

  std::size_t Seen(std::size_t host) const { return running_.at(host)->Members().size(); }
  std::size_t SizeBound(std::size_t host) const { return running_.at(host)->size_bound(); }
  std::size_t Lost(std::size_t host) const { return running_.at(host)->unaccounted(); }
  std::pair<std::size_t, std::size_t> SeenRange() const {
    std::size_t least = 1 << 20;
    std::size_t most = 0;
    for (const auto& [host, swim] : running_) {
      least = std::min(least, swim->Members().size());
      most = std::max(most, swim->Members().size());
    }
    return {least, most};
  }
  std::size_t sent() const { return sent_; }
  Swim& At(std::size_t host, int) { return *running_.at(host); }

 private:
  static HostId Name(std::size_t host) { return HostId("h" + std::to_string(host)); }
  static Address At(std::size_t host) { return Address(std::to_string(host)); }

  void Send(std::size_t from, Swim::Messages messages) {
    for (Swim::Outgoing& message : messages) {
      ++sent_;
      constexpr unsigned kLossPercent = 1;
      if (random_() % 100 >= kLossPercent) {
        network_.push_back({from, std::stoul(message.to.value()), std::move(message.message)});
      }
    }
  }
  void Deliver() {
    while (!network_.empty()) {
      auto datagrams = std::exchange(network_, {});
      for (const Datagram& datagram : datagrams) {
        const auto receiver = running_.find(datagram.to);
        if (receiver == running_.end() || frozen(datagram.to) ||
            !connected(datagram.from, datagram.to)) {
          continue;
        }
        const auto* const probe = std::get_if<protocol::MemberProbe>(&datagram.message);
        Send(datagram.to, probe != nullptr ? receiver->second->OnProbe(At(datagram.from), *probe)
                                           : receiver->second->OnAck(
                                                 std::get<protocol::MemberAck>(datagram.message)));
      }
    }
  }

  struct Datagram {
    std::size_t from;
    std::size_t to;
    protocol::Message message;
  };

  const SwimOptions options_;
  ManualClock clock_;
  std::mt19937 random_{5};
  std::map<std::size_t, std::uint64_t> incarnations_;
  std::map<std::size_t, std::unique_ptr<Swim>> running_;
  std::vector<Datagram> network_;
  std::size_t sent_ = 0;
};

TEST_CASE("hosts that start together find each other through the seeds") {
  for (const std::size_t hosts : {1, 4, 25, 118}) {
    CAPTURE(hosts);
    SwimModel model(hosts);
    model.Run(std::chrono::seconds(hosts > 25 ? 30 : 10));
    CHECK(model.SeenRange() == std::pair(hosts, hosts));
  }
}

TEST_CASE("hosts that crash are removed and count as unaccounted for a while") {
  SwimModel model(25);
  model.Run(std::chrono::seconds(15));
  for (std::size_t host = 10; host < 18; ++host) {
    model.Kill(host);
  }
  model.Run(std::chrono::seconds(20));
  CHECK(model.SeenRange() == std::pair<std::size_t, std::size_t>(17, 17));
  CHECK(model.Lost(0) == 8);
  model.Run(std::chrono::seconds(130));
  CHECK(model.Lost(0) == 0);
}

TEST_CASE("a host that announces that it leaves is not unaccounted for") {
  SwimModel model(25);
  model.Run(std::chrono::seconds(15));
  model.Leave(7);
  model.Run(std::chrono::seconds(6));
  CHECK(model.SeenRange() == std::pair<std::size_t, std::size_t>(24, 24));
  CHECK(model.Lost(0) == 0);
}

TEST_CASE("a host that restarts is known by its new incarnation only") {
  SwimModel model(25);
  model.Run(std::chrono::seconds(15));
  model.Kill(7);
  model.Start(7);
  model.Run(std::chrono::seconds(15));
  CHECK(model.SeenRange() == std::pair<std::size_t, std::size_t>(25, 25));
  for (const FleetMember& member : model.At(0, 0).Members()) {
    CHECK(member.incarnation == Incarnation(member.host == HostId("h7") ? 2 : 1));
  }
}

TEST_CASE("two parts of a fleet that were cut off from each other meet again") {
  SwimModel model(24);
  model.Run(std::chrono::seconds(15));
  model.connected = [](std::size_t from, std::size_t to) { return from % 2 == to % 2; };
  model.Run(std::chrono::seconds(30));
  CHECK(model.Seen(4) == 12);
  CHECK(model.Lost(4) + model.Seen(4) <= 24);
  model.connected = [](std::size_t, std::size_t) { return true; };
  model.Run(std::chrono::seconds(60));
  CHECK(model.SeenRange() == std::pair<std::size_t, std::size_t>(24, 24));
}

TEST_CASE("a host that was suspended refutes that it is dead") {
  SwimModel model(12);
  model.Run(std::chrono::seconds(10));
  model.frozen = [](std::size_t host) { return host == 5; };
  model.Run(std::chrono::seconds(3));
  model.frozen = [](std::size_t) { return false; };
  model.Run(std::chrono::seconds(20));
  CHECK(model.SeenRange() == std::pair<std::size_t, std::size_t>(12, 12));
}

TEST_CASE("the number of messages of a host does not grow with the fleet") {
  const auto per_host = [](std::size_t hosts) {
    SwimModel model(hosts);
    model.Run(std::chrono::seconds(15));
    const std::size_t before = model.sent();
    model.Run(std::chrono::seconds(20));
    return static_cast<double>(model.sent() - before) / static_cast<double>(hosts) / 20;
  };
  CHECK(per_host(118) < 3);
  CHECK(per_host(118) < 1.3 * per_host(25));
}

// The largest sum, over all hosts, of even shares by their bounds on the size of the fleet.
double LargestSum(SwimModel& model, std::size_t hosts, std::chrono::seconds time) {
  double largest = 0;
  for (std::chrono::seconds passed(0); passed < time; passed += std::chrono::seconds(1)) {
    model.Run(std::chrono::seconds(1));
    double sum = 0;
    for (std::size_t host = 0; host < hosts; ++host) {
      sum += 1.0 / static_cast<double>(model.SizeBound(host));
    }
    largest = std::max(largest, sum);
  }
  return largest;
}

TEST_CASE("shares by the size of the fleet add up while hosts do not know each other yet") {
  // Of the one and a half times that the platform allows, a part is left for bursts.
  constexpr double kLargestAllowed = 1.2;
  const SwimOptions sparse{.period = std::chrono::seconds(5),
                           .first_period = std::chrono::seconds(1),
                           .suspicion = std::chrono::seconds(15)};
  for (const SwimOptions& options : {SwimOptions(), sparse}) {
    for (const std::size_t hosts : {4, 25, 70, 118}) {
      CAPTURE(options.period.count());
      CAPTURE(hosts);
      SwimModel model(hosts, options);
      CHECK(LargestSum(model, hosts, std::chrono::seconds(60)) <= kLargestAllowed);
      model.Kill(hosts - 1);
      model.Start(hosts - 1);
      CHECK(LargestSum(model, hosts, std::chrono::seconds(40)) <= kLargestAllowed);
      CHECK(model.SizeBound(0) == hosts);
    }
  }
}

TEST_CASE("a host that finds the others late does not take the first ones for all") {
  constexpr std::size_t kHosts = 25;
  SwimModel model(kHosts);
  model.connected = [](std::size_t from, std::size_t to) {
    return from != kHosts - 1 && to != kHosts - 1;
  };
  model.Run(std::chrono::seconds(15));
  model.connected = [](std::size_t, std::size_t) { return true; };
  for (int i = 0; i < 20; ++i) {
    model.Run(std::chrono::seconds(1));
    CHECK(model.SizeBound(kHosts - 1) * 4 >= kHosts * 3);
  }
  CHECK(model.SizeBound(kHosts - 1) == kHosts);
}

TEST_CASE(
    "hosts that are lost or that are leaving count towards the size of the fleet for a while") {
  SwimModel model(12);
  model.Run(std::chrono::seconds(20));
  model.Leave(11);
  model.Kill(10);
  model.Run(std::chrono::seconds(15));
  CHECK(model.Seen(0) == 10);
  CHECK(model.SizeBound(0) == 12);
  model.Run(std::chrono::seconds(20));
  CHECK(model.SizeBound(0) == 11);
}

// Guards against a host that learns of quotas only after it has joined and keeps probing rarely.
TEST_CASE("the pace of probes can change after the start") {
  ManualClock clock;
  Swim swim(clock, {HostId("h0"), Incarnation(1), Address("0"), DataCentreId("a")}, {Address("1")},
            1, {.period = std::chrono::seconds(5), .first_period = std::chrono::seconds(5)});
  const auto probes = [&] {
    std::size_t count = 0;
    for (int i = 0; i < 200; ++i) {
      clock.Advance(milliseconds(100));
      count += swim.Tick().size();
    }
    return count;
  };
  CHECK(probes() <= 5);
  swim.SetOptions({});
  CHECK(probes() >= 19);
}

TEST_CASE("a message of an older incarnation changes nothing") {
  SwimModel model(4);
  model.Run(std::chrono::seconds(10));
  model.Kill(3);
  model.Start(3);
  model.Run(std::chrono::seconds(10));
  const protocol::MemberUpdate old{HostId("h3"),
                                   Incarnation(1),
                                   Address("3"),
                                   DataCentreId("a"),
                                   protocol::MemberState::kDead,
                                   9};
  model.At(0, 0).OnAck({0, {old}});
  CHECK(model.Seen(0) == 4);
}

// Guards against a host that can never refute a suspicion since the count begins again at zero.
TEST_CASE("an absurd number of refutations is ignored") {
  SwimModel model(4);
  model.Run(std::chrono::seconds(10));
  const protocol::MemberUpdate absurd{
      HostId("h3"), Incarnation(1), Address("3"), DataCentreId("a"), protocol::MemberState::kDead,
      0xffffffff};
  model.At(3, 0).OnAck({0, {absurd}});
  model.At(0, 0).OnAck({0, {absurd}});
  model.Run(std::chrono::seconds(10));
  CHECK(model.SeenRange() == std::pair<std::size_t, std::size_t>(4, 4));
}

// Guards against a fleet in which hosts pass the news of a dead member round and round, each having
// forgotten it meanwhile.
TEST_CASE("a dead member that a host never knew is counted and not passed on") {
  SwimModel model(4);
  model.Run(std::chrono::seconds(10));
  const protocol::MemberUpdate dead{HostId("x"),
                                    Incarnation(1),
                                    Address("0"),
                                    DataCentreId("a"),
                                    protocol::MemberState::kDead,
                                    0};
  model.At(0, 0).OnAck({0, {dead}});
  CHECK(model.Lost(0) == 1);
  model.Run(std::chrono::seconds(10));
  CHECK(model.Lost(1) + model.Lost(2) + model.Lost(3) == 0);
}

// Guards against memory that grows with false messages.
TEST_CASE("the number of members that are remembered is bounded") {
  SwimModel model(2);
  model.Run(std::chrono::seconds(5));
  for (int i = 0; i < 10'000; ++i) {
    model.At(0, 0).OnAck({0,
                          {{HostId("x" + std::to_string(i)), Incarnation(1), Address("1"),
                            DataCentreId("a"), protocol::MemberState::kAlive, 0}}});
  }
  CHECK(model.Seen(0) == 8193);
}

// Guards against a host that takes itself for the whole fleet because its own address is a seed.
TEST_CASE("an acknowledgement without another member does not make a fleet") {
  const ManualClock clock;
  Swim swim(clock, {HostId("h"), Incarnation(1), Address("1"), DataCentreId("a")}, {}, 1);
  swim.OnAck({1, {}});
  CHECK_FALSE(swim.joined());
}

// Guards against a host that was cut off, has missed messages meanwhile, and does not know it.
TEST_CASE("a host notices soon after a cut that it is in touch with the others again") {
  SwimOptions sparse;
  sparse.period = milliseconds(5000);
  sparse.first_period = milliseconds(1000);
  sparse.suspicion = milliseconds(15000);
  SwimModel model(25, sparse);
  model.Run(std::chrono::seconds(30));
  bool cut = false;
  model.connected = [&cut](std::size_t from, std::size_t to) {
    return !cut || (from != 7 && to != 7);
  };
  for (int i = 0; i < 10; ++i) {
    model.Run(std::chrono::seconds(8));
    const std::uint64_t before = model.At(7, 0).contacts();
    CHECK(before > 0);
    cut = true;
    model.Run(std::chrono::seconds(9 + i));
    cut = false;
    model.Run(std::chrono::seconds(2));
    CHECK(model.At(7, 0).contacts() > before);
  }
}

}  // namespace
}  // namespace peridotfork
