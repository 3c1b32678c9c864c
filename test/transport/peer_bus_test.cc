#include "peridotfork/transport/peer_bus.h"

#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <thread>
#include <vector>

namespace peridotfork {
namespace {

using std::chrono::milliseconds;

// A process on the bus that counts received and refused messages.
class Peer {
 public:
  Peer(WorkerPool& pool, const char* host)
      : bus_(
            pool,
            {HostId(host), Role::kGateway, Incarnation(1)},
            [this](const protocol::Envelope&) { ++received_; },
            [this](const Error&) { ++refused_; }) {}

  PeerBus& bus() { return bus_; }
  int received() const { return received_; }
  int refused() const { return refused_; }

 private:
  std::atomic<int> received_ = 0;
  std::atomic<int> refused_ = 0;
  PeerBus bus_;
};

// Publishes repeatedly until the peer has received a message, because connecting takes
// time. Returns false if that takes longer than `limit`.
bool ReachesWithin(PeerBus& from, const Peer& to, milliseconds limit) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (to.received() == 0 && std::chrono::steady_clock::now() < end) {
    REQUIRE(from.Publish(protocol::TargetLossNotice()).has_value());
    std::this_thread::sleep_for(milliseconds(20));
  }
  return to.received() > 0;
}

TEST_CASE("a seed and a process that knows it exchange messages") {
  WorkerPool pool(2);
  Peer seed(pool, "seed");
  Peer other(pool, "other");
  REQUIRE(seed.bus().Start(Address("127.0.0.1:0"), {}).has_value());
  REQUIRE(other.bus().Start(Address("127.0.0.1:0"), {seed.bus().address()}).has_value());
  CHECK(ReachesWithin(other.bus(), seed, milliseconds(5000)));
  CHECK(ReachesWithin(seed.bus(), other, milliseconds(5000)));
  CHECK(seed.refused() == 0);
  other.bus().Close();
  seed.bus().Close();
  pool.Stop();
}

// Guards against a start that fails, or never connects, if a seed is not running.
TEST_CASE("a seed that starts later is connected to") {
  WorkerPool pool(2);
  Peer late(pool, "late");
  Address address;
  {
    Peer reserved(pool, "reserved");
    REQUIRE(reserved.bus().Start(Address("127.0.0.1:0"), {}).has_value());
    address = reserved.bus().address();
    reserved.bus().Close();
  }
  Peer early(pool, "early");
  REQUIRE(early.bus().Start(Address("127.0.0.1:0"), {address}).has_value());
  CHECK(early.bus().Publish(protocol::TargetLossNotice()).has_value());
  REQUIRE(late.bus().Start(address, {address}).has_value());
  CHECK(ReachesWithin(early.bus(), late, milliseconds(10000)));
  early.bus().Close();
  late.bus().Close();
  pool.Stop();
}

}  // namespace
}  // namespace peridotfork
