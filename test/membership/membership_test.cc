#include <doctest/doctest.h>

#include <chrono>
#include <map>
#include <string>

#include "peridotfork/membership/peer_table.h"
#include "peridotfork/membership/placement.h"
#include "peridotfork/membership/route_table.h"

namespace peridotfork {
namespace {

using Hosts = std::vector<HostId>;
using std::chrono::seconds;

View MakeView(std::uint64_t version) {
  View view{ViewVersion(version), {}};
  for (const char* name : {"a", "b", "c", "d"}) {
    const bool first_two = *name < 'c';
    view.members.push_back({HostId(name), DataCentreId(first_two ? "hartford" : "concord"),
                            Address("127.0.0.1:1"), false});
  }
  return view;
}

ProcessId Agent(const char* host, std::uint64_t incarnation) {
  return {HostId(host), Role::kAgent, Incarnation(incarnation)};
}

protocol::Heartbeat MakeHeartbeat(const Hosts& homes = {}, const char* dispatcher = "127.0.0.1:9") {
  protocol::Heartbeat heartbeat;
  heartbeat.homes_held = homes;
  heartbeat.dispatcher = {Address(dispatcher), Incarnation(1)};
  return heartbeat;
}

// Guards against a change of the hash, with which hosts of different releases would
// place targets differently during an upgrade.
TEST_CASE("the rendezvous hash never changes") {
  CHECK(RendezvousScore("", "") == 0xb9034ad37056f5fbU);
  CHECK(RendezvousScore("hd-0-a", "host-1") == 0x79b4f41a353373fdU);
}

TEST_CASE("placement spreads targets over the hosts of their data centre") {
  const Placement placement(MakeView(1));
  std::map<HostId, int> counts;
  for (int i = 0; i < 1000; ++i) {
    ++counts[placement.HomeOf(TargetId("t" + std::to_string(i)), DataCentreId("concord"))];
  }
  CHECK(counts.size() == 2);
  CHECK(counts[HostId("c")] > 400);
  CHECK(counts[HostId("d")] > 400);
}

TEST_CASE("a leaving host is a home only if no other host is left") {
  View view = MakeView(1);
  view.members[2].leaving = true;
  view.members[3].leaving = true;
  const TargetId target("t");
  const HostId home = Placement(view).HomeOf(target, DataCentreId("concord"));
  CHECK((home == HostId("a") || home == HostId("b")));
  CHECK(Placement(view).CandidatesFor(HostId("a")) == Hosts{HostId("b")});
  view.members[0].leaving = view.members[1].leaving = true;
  const HostId last = Placement(view).HomeOf(target, DataCentreId("concord"));
  CHECK((last == HostId("c") || last == HostId("d")));
}

struct PeerFixture {
  PeerFixture() { peers.AdoptView(MakeView(1)); }
  void HeartbeatAllExcept(const char* except) {
    for (const char* host : {"b", "c", "d"}) {
      if (std::string(host) != except) {
        peers.RecordHeartbeat(Agent(host, 1), MakeHeartbeat());
      }
    }
  }

  ManualClock clock;
  PeerTable peers{clock, PeerOptions(), HostId("a")};
};

TEST_CASE_FIXTURE(PeerFixture,
                  "heartbeats of older incarnations and of unknown hosts are refused") {
  CHECK(peers.RecordHeartbeat(Agent("b", 2), MakeHeartbeat()));
  CHECK_FALSE(peers.RecordHeartbeat(Agent("b", 1), MakeHeartbeat()));
  CHECK_FALSE(peers.RecordHeartbeat(Agent("x", 1), MakeHeartbeat()));
}

TEST_CASE_FIXTURE(PeerFixture, "a peer is live for four intervals after its last heartbeat") {
  clock.Advance(seconds(1));
  peers.RecordHeartbeat(Agent("b", 1), MakeHeartbeat());
  clock.Advance(seconds(1));
  CHECK(peers.LiveHosts() == Hosts{HostId("a"), HostId("b")});
  CHECK(peers.IsReader());
  clock.Advance(seconds(1));
  CHECK(peers.LiveHosts() == Hosts{HostId("a")});
}

// Guards against homes that no host, or more than one host, tries to take over.
TEST_CASE("the first live candidate alone requests the home of a silent host") {
  ManualClock clock;
  int requester_count = 0;
  for (const char* name : {"a", "b", "c"}) {
    PeerTable peers(clock, PeerOptions(), HostId(name));
    peers.AdoptView(MakeView(1));
    CHECK(peers.HomesToRequest({}) == Hosts{HostId(name)});
    clock.Advance(seconds(2));
    for (const char* other : {"a", "b", "c"}) {
      peers.RecordHeartbeat(Agent(other, 1), MakeHeartbeat());
    }
    requester_count += peers.HomesToRequest({}).size() == 2;
  }
  CHECK(requester_count == 1);
}

TEST_CASE_FIXTURE(PeerFixture, "a draining host requests no homes and releases all of them") {
  peers.SetDraining(true);
  CHECK(peers.HomesToRequest({HostId("a")}).empty());
  CHECK(peers.HomesToRelease({HostId("a")}) == Hosts{HostId("a")});
}

// Guards against a home without a holder: a returning host must have a dispatcher
// and must request its home before the home is released.
TEST_CASE_FIXTURE(PeerFixture,
                  "a home is released once its host has a dispatcher and requests it") {
  const Hosts held{HostId("a"), HostId("d")};
  clock.Advance(seconds(2));
  HeartbeatAllExcept("d");
  CHECK(peers.HomesToRequest(held) == held);
  peers.RecordHeartbeat(Agent("d", 2), MakeHeartbeat({}, ""));
  peers.RecordRequest(Agent("d", 2), {ViewVersion(1), 1, {HostId("d")}});
  CHECK(peers.HomesToRelease(held).empty());
  peers.RecordHeartbeat(Agent("d", 2), MakeHeartbeat());
  CHECK(peers.HomesToRelease(held) == Hosts{HostId("d")});
  CHECK(peers.HomesToRequest(held) == Hosts{HostId("a")});
}

TEST_CASE("the claim that began last determines the route despite late heartbeats") {
  RouteTable routes;
  const Hosts home{HostId("h")};
  routes.Record(Agent("b", 1), MakeHeartbeat(home, "old"));
  routes.Record(Agent("c", 1), MakeHeartbeat(home, "new"));
  const std::uint64_t revision = routes.revision();
  routes.Record(Agent("b", 1), MakeHeartbeat(home, "old"));
  CHECK(routes.revision() == revision);
  CHECK(routes.RouteOf(HostId("h"))->address == Address("new"));
  routes.Record(Agent("c", 1), MakeHeartbeat({}, "new"));
  CHECK(routes.RouteOf(HostId("h"))->address == Address("old"));
  CHECK_FALSE(routes.RouteOf(HostId("x")));
}

}  // namespace
}  // namespace peridotfork
