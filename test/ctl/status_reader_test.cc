#include "peridotfork/ctl/status_reader.h"

#include <doctest/doctest.h>

#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "peridotfork/core/clock.h"
#include "peridotfork/http/server.h"

namespace peridotfork::ctl {
namespace {

constexpr const char* kEntry = R"({"host": "h1", "incarnation": 1, "draining": false,
  "document": 4, "in_flight": 0, "queries": {"complete": 1, "partial": 0, "refused": 0},
  "attempts": {"first": 1, "hedges": 0, "retries": 0, "late_replies": 0}})";

class EntryStub final : public http::Handler {
 public:
  void Handle(http::Request request, http::Responder respond) override {
    respond(request.method == "GET" && request.path == "/admin/status"
                ? http::JsonResponse(kEntry)
                : http::ErrorResponse(404, MakeError(ErrorKind::kUnknownName)));
  }
};

// Guards against one unresponsive process that delays or hides the others.
TEST_CASE("processes that answer are read while others are refused or silent") {
  WorkerPool pool(2);
  EntryStub stub;
  http::Server server(pool.context(), {}, stub);
  REQUIRE(server.Listen(Address("127.0.0.1:0")).has_value());
  // Its backlog accepts connections, but nothing answers them.
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor silent(context, {boost::asio::ip::address_v4::loopback(), 0});
  const Address silent_address("127.0.0.1:" + std::to_string(silent.local_endpoint().port()));

  std::vector<HostAddresses> hosts;
  hosts.reserve(202);
  for (int i = 0; i < 200; ++i) {
    hosts.push_back({HostId("good" + std::to_string(i)), {}, {}, server.address()});
  }
  hosts.push_back({HostId("silent"), {}, {}, silent_address});
  hosts.push_back({HostId("not-asked"), silent_address, {}, {}});
  const SystemClock clock;
  const BootTime start = clock.now();
  const FleetStatus fleet =
      ReadFleet(pool, clock, hosts, {Role::kEntry}, std::chrono::milliseconds(1500));
  CHECK(clock.now() - start < std::chrono::seconds(10));
  pool.Stop();

  REQUIRE(fleet.hosts.size() == 202);
  for (int i = 0; i < 200; ++i) {
    CHECK(fleet.hosts[i].entry.has_value());
  }
  REQUIRE(fleet.no_answers.size() == 1);
  CHECK(fleet.no_answers[0].host == HostId("silent"));
  CHECK(fleet.no_answers[0].error.kind() == ErrorKind::kTimedOut);
}

}  // namespace
}  // namespace peridotfork::ctl
