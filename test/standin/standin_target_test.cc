#include "peridotfork/standin/standin_target.h"

#include <doctest/doctest.h>
#include <thread>

#include "peridotfork/http/server.h"
#include "peridotfork/standin/target_farm.h"
#include "standin/http_probe.h"

namespace peridotfork::standin {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

TargetSpec Spec() {
  TargetSpec spec;
  spec.id = TargetId("hd-0-a");
  spec.address = Address("127.0.0.1:0");
  spec.data_centre = DataCentreId("hartford");
  spec.group = {ServiceId("hearing-desk"), GroupIndex(0)};
  spec.group_count = 10;
  spec.traits.straggler_rate = 0;
  spec.traits.restart_delay = milliseconds(200);
  return spec;
}

const RecordSet& Records() {
  static const RecordSet records(7);
  return records;
}

// A farm with one target, and its administrative interface.
struct Fixture {
  explicit Fixture(TargetSpec spec = Spec()) : farm(pool, clock, Records(), 1) {
    REQUIRE(farm.Add(std::move(spec)));
    REQUIRE(admin.Listen(Address("127.0.0.1:0")));
  }
  ~Fixture() { pool.Stop(); }

  Address address() const { return farm.targets().front()->address(); }

  http::Request Post(const std::string& path, const json& body) {
    return {"POST", path, {}, body.dump()};
  }

  http::Request Search(const std::string& attempt, milliseconds time = milliseconds(2000)) {
    return Post("/search", {{"attempt", attempt},
                            {"service", "hearing-desk"},
                            {"group", 0},
                            {"snapshot", {{"index", 1}, {"map", 1}}},
                            {"query", "levy"},
                            {"limit", 3},
                            {"deadline_us", DeadlineAfter(time)}});
  }

  std::int64_t DeadlineAfter(milliseconds time) {
    return (clock.wall_now() + time).time_since_epoch().count();
  }

  Answer Send(http::Request request) { return Call(pool, address(), std::move(request)); }

  void Command(const json& command) {
    REQUIRE(Call(pool, admin.address(), Post("/control", command)).status == 200);
  }

  json Journal() {
    return Call(pool, admin.address(), {"GET", "/targets/hd-0-a/journal", {}, ""}).json();
  }

  // Blocks until work has started.
  void WaitForWork() {
    while (Journal()["entries"].empty()) {
      std::this_thread::sleep_for(milliseconds(2));
    }
  }

  SystemClock clock;
  WorkerPool pool{2};
  TargetFarm farm;
  http::Server admin{pool.context(), {}, farm};
};

TEST_CASE("a search returns records, snapshot, load and state, and is logged in the journal") {
  Fixture fixture;
  const Answer answer = fixture.Send(fixture.Search("a1"));
  REQUIRE(answer.status == 200);
  const json body = answer.json();
  REQUIRE(body["records"].size() == 3);
  CHECK(body["records"][0]["as_of"] == 1);
  CHECK(body["snapshot"] == json{{"index", 1}, {"map", 1}});
  CHECK(body["load"] == json{{"busy", 0}, {"queued", 0}});
  CHECK(body["state"] == "warm");
  CHECK(body["snapshots"].size() == 1);
  const json journal = fixture.Journal();
  REQUIRE(journal["entries"].size() == 1);
  CHECK(journal["entries"][0]["attempt"] == "a1");
  CHECK(journal["entries"][0]["outcome"] == "done");
}

TEST_CASE("a booking returns a result and its key is logged in the journal") {
  Fixture fixture;
  const Answer answer = fixture.Send(
      fixture.Post("/book", {{"attempt", 12},
                             {"service", "hearing-desk"},
                             {"group", 0},
                             {"booking", {{"key", "hall-3"}}},
                             {"deadline_us", fixture.DeadlineAfter(milliseconds(900))}}));
  REQUIRE(answer.status == 200);
  CHECK(answer.json()["result"]["key"] == "hall-3");
  CHECK(fixture.Journal()["entries"][0]["booking_key"] == "hall-3");
}

TEST_CASE("each refusal has its own status, and refused work does not run") {
  Fixture fixture;
  const auto status = [&](const http::Request& request) { return fixture.Send(request).status; };
  CHECK(status(fixture.Post("/search", {{"attempt", "x"}})) == 400);
  CHECK(status({"POST", "/search", {}, "no json"}) == 400);
  CHECK(status({"GET", "/nothing", {}, ""}) == 404);
  CHECK(status(fixture.Search("late", milliseconds(-1))) == 408);
  json other = json::parse(fixture.Search("gone").body);
  other["snapshot"]["index"] = 9;
  CHECK(status(fixture.Post("/search", other)) == 410);
  fixture.Command({{"command", "shed"}});
  CHECK(status(fixture.Search("shed")) == 429);
  fixture.Command({{"command", "drain"}});
  CHECK(status(fixture.Search("drain")) == 503);
  const json journal = fixture.Journal();
  CHECK(journal["entries"].empty());
  CHECK(journal["refused"] ==
        json{{"expired", 1}, {"snapshot_gone", 1}, {"shed", 1}, {"draining", 1}});
}

TEST_CASE("a cancelled search is answered immediately and frees its slot") {
  Fixture fixture;
  fixture.Command({{"command", "slow"}, {"factor", 100}});
  auto search = CallAsync(fixture.pool, fixture.address(), fixture.Search("a"));
  fixture.WaitForWork();
  CHECK(fixture.Send(fixture.Post("/cancel", {{"attempt", "a"}})).json()["cancelled"] == 1);
  const Answer answer = search.get();
  CHECK(answer.status == 499);
  CHECK(answer.json()["load"]["busy"] == 0);
}

TEST_CASE("work that is cut off at its deadline is answered with 504") {
  Fixture fixture;
  fixture.Command({{"command", "slow"}, {"factor", 100}});
  CHECK(fixture.Send(fixture.Search("a", milliseconds(60))).status == 504);
}

TEST_CASE("a new connection pays the connect cost, a persistent one does not") {
  TargetSpec spec = Spec();
  spec.traits.connect_cost = milliseconds(80);
  Fixture fixture(spec);
  const auto timed = [&](Connection& connection) {
    const BootTime start = fixture.clock.now();
    CHECK(connection.Call({"GET", "/load", {}, ""}).status == 200);
    return fixture.clock.now() - start;
  };
  // The connect cost is counted from the accept, so the measurement starts before
  // it.
  const BootTime before_connect = fixture.clock.now();
  Connection connection(fixture.pool, fixture.address());
  timed(connection);
  CHECK(fixture.clock.now() - before_connect >= milliseconds(80));
  CHECK(timed(connection) < milliseconds(80));
}

TEST_CASE("a connection over the limit is reset") {
  TargetSpec spec = Spec();
  spec.traits.connections = Connections(1);
  Fixture fixture(spec);
  Connection first(fixture.pool, fixture.address());
  CHECK(first.Call({"GET", "/health", {}, ""}).status == 200);
  CHECK(fixture.Send({"GET", "/health", {}, ""}).status == 0);
  CHECK(first.Call({"GET", "/health", {}, ""}).status == 200);
}

TEST_CASE("silent connections get no responses, new ones do, and closing them frees their place") {
  Fixture fixture;
  {
    Connection old(fixture.pool, fixture.address());
    CHECK(old.Call({"GET", "/health", {}, ""}).status == 200);
    fixture.Command({{"command", "silent"}});
    CHECK(old.CallAsync({"GET", "/health", {}, ""}, milliseconds(150)).get().status == 0);
    CHECK(fixture.Send({"GET", "/health", {}, ""}).status == 200);
  }
  while (fixture.Journal()["connections"]["open"] != 0) {
    std::this_thread::sleep_for(milliseconds(2));
  }
}

TEST_CASE("a crash resets connections and closes the port until the target restarts cold") {
  Fixture fixture;
  fixture.Command({{"command", "slow"}, {"factor", 100}});
  auto search = CallAsync(fixture.pool, fixture.address(), fixture.Search("a"));
  fixture.WaitForWork();
  fixture.Command({{"command", "crash"}});
  // A reset, not the client's timeout.
  REQUIRE(search.wait_for(std::chrono::seconds(2)) == std::future_status::ready);
  CHECK(search.get().status == 0);
  CHECK(fixture.Send({"GET", "/health", {}, ""}).status == 0);
  const json journal = fixture.Journal();
  CHECK(journal["state"] == "down");
  CHECK(journal["entries"][0]["outcome"] == "crashed");
  std::this_thread::sleep_for(milliseconds(400));
  CHECK(fixture.Send({"GET", "/health", {}, ""}).json()["state"] == "cold");
}

// Guards against requests that stay unanswered because the listener did not see
// the target down between the crash and the immediate restart.
TEST_CASE("a restart resets connections and the target is immediately up and cold") {
  Fixture fixture;
  fixture.Command({{"command", "slow"}, {"factor", 100}});
  fixture.Command({{"command", "health_lag"}, {"ms", 0}});
  auto search = CallAsync(fixture.pool, fixture.address(), fixture.Search("a"));
  fixture.WaitForWork();
  fixture.Command({{"command", "restart"}});
  // A reset, not the client's timeout.
  REQUIRE(search.wait_for(std::chrono::seconds(2)) == std::future_status::ready);
  CHECK(search.get().status == 0);
  CHECK(fixture.Send({"GET", "/health", {}, ""}).json()["state"] == "cold");
}

TEST_CASE(
    "a command changes what the target serves, and an invalid one is refused with its reason") {
  Fixture fixture;
  const json stored = {{"index", 2}, {"map", 1}, {"groups", 5}};
  fixture.Command({{"command", "snapshots"}, {"snapshots", json::array({stored})}});
  fixture.Command({{"command", "health_lag"}, {"ms", 0}});
  CHECK(fixture.Send({"GET", "/health", {}, ""}).json()["snapshots"][0] == stored);
  CHECK(fixture.Send(fixture.Search("old")).status == 410);
  const Answer answer = fixture.Send(fixture.Post("/control", {{"command", "dance"}}));
  CHECK(answer.status == 400);
  CHECK(answer.json()["error"]["kind"] == "unknown_name");
}

TEST_CASE("the administrative interface applies a command to the selected targets only") {
  Fixture fixture;
  const auto reached = [&](json command) {
    command["command"] = "drain";
    return Call(fixture.pool, fixture.admin.address(), fixture.Post("/control", command))
        .json()["targets"]
        .get<int>();
  };
  CHECK(reached({{"service", "billing"}}) == 0);
  CHECK(reached({{"targets", {"hd-1-a"}}}) == 0);
  CHECK(fixture.Journal()["state"] == "warm");
  CHECK(reached({{"service", "hearing-desk"}, {"targets", {"hd-0-a"}}}) == 1);
  CHECK(fixture.Journal()["state"] == "draining");
}

// The crash word must also work over the port of the target itself.
TEST_CASE("the connection of a request with the crash word is reset") {
  Fixture fixture;
  fixture.Command({{"command", "crash_word"}, {"word", "levy"}});
  CHECK(fixture.Send(fixture.Search("a")).status == 0);
  CHECK(fixture.Journal()["crashes"] == 1);
}

}  // namespace
}  // namespace peridotfork::standin
