#include "peridotfork/membership/fleet_link.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/ip/udp.hpp>
#include <memory>
#include <thread>

namespace peridotfork {
namespace {

using std::chrono::milliseconds;

struct Host {
  Host(WorkerPool& pool, const Clock& clock, Logger& log, const std::string& name)
      : link(pool,
             clock,
             log,
             {HostId(name), Role::kGateway, Incarnation(1)},
             DataCentreId("a"),
             [this](const protocol::Envelope&, const Address&) { ++received; }) {
    REQUIRE(link.Open(Address("127.0.0.1:0")).has_value());
  }

  std::atomic<int> received = 0;
  FleetLink link;
};

struct Fixture {
  ~Fixture() {
    for (const auto& host : hosts) {
      host->link.Close();
    }
    pool.Stop();
  }
  template <typename Condition>
  bool WaitFor(Condition condition) {
    for (int i = 0; i < 2000 && !condition(); ++i) {
      std::this_thread::sleep_for(milliseconds(5));
    }
    return condition();
  }
  Host& Add(const std::string& name) {
    hosts.push_back(std::make_unique<Host>(pool, clock, log, name));
    return *hosts.back();
  }

  SystemClock clock;
  Logger log{"test", clock};
  WorkerPool pool{2};
  std::vector<std::unique_ptr<Host>> hosts;
};

TEST_CASE("hosts find each other through one seed, pass messages and see a host leave") {
  Fixture fixture;
  Host& first = fixture.Add("h1");
  Host& second = fixture.Add("h2");
  Host& third = fixture.Add("h3");
  for (Host* host : {&first, &second, &third}) {
    host->link.Join({first.link.self().address});
  }
  CHECK(fixture.WaitFor([&] {
    return std::ranges::all_of(fixture.hosts,
                               [](const auto& host) { return host->link.Members().size() == 3; });
  }));
  first.link.Send(third.link.self().address, protocol::TargetLossNotice());
  CHECK(fixture.WaitFor([&] { return third.received == 1; }));
  second.link.Leave();
  CHECK(fixture.WaitFor([&] { return first.link.Members().size() == 2; }));
  CHECK(first.link.unaccounted() == 0);
}

TEST_CASE("without a call to Join a host sends nothing and knows only itself") {
  Fixture fixture;
  Host& alone = fixture.Add("h1");
  CHECK(alone.link.Members().size() == 1);
  CHECK_FALSE(alone.link.joined());
  CHECK(alone.link.counters().sent == 0);
}

// Guards against a configuration that arrives while the process ends and starts the link again.
TEST_CASE("a closed link does not look for other hosts") {
  Fixture fixture;
  Host& host = fixture.Add("h1");
  Host& other = fixture.Add("h2");
  host.link.Close();
  host.link.Join({other.link.self().address});
  std::this_thread::sleep_for(milliseconds(500));
  CHECK(host.link.counters().sent == 0);
  CHECK(host.link.counters().dropped == 0);
}

// Guards against a faulty peer that stops a host from listening.
TEST_CASE("datagrams that can't be read are counted and change nothing") {
  Fixture fixture;
  Host& host = fixture.Add("h1");
  boost::asio::io_context context;
  boost::asio::ip::udp::socket socket(context, boost::asio::ip::udp::v4());
  const std::string text = host.link.self().address.value();
  const boost::asio::ip::udp::endpoint to(
      boost::asio::ip::make_address("127.0.0.1"),
      static_cast<std::uint16_t>(std::stoul(text.substr(text.rfind(':') + 1))));
  for (const std::size_t size : {0, 1, 100, 2000, 9000}) {
    socket.send_to(boost::asio::buffer(std::string(size, '\xff')), to);
  }
  CHECK(fixture.WaitFor([&] { return host.link.counters().refused == 5; }));
  CHECK(host.received == 0);
  CHECK(host.link.Members().size() == 1);
}

}  // namespace
}  // namespace peridotfork
