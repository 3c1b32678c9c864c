#include "peridotfork/standin/standin_platform.h"

#include <doctest/doctest.h>
#include <thread>
#include <vector>

#include "peridotfork/http/server.h"
#include "standin/http_probe.h"

namespace peridotfork::standin {
namespace {

using nlohmann::json;

constexpr const char* kHosts = R"({"version": 5, "hosts": [{"id": "h1", "state": "live"}]})";

struct Fixture {
  explicit Fixture(PlatformLimits limits = {}) : platform(pool, clock, limits) {
    REQUIRE(platform.Publish("[fleet]\n", kHosts, 3));
    REQUIRE(server.Listen(Address("127.0.0.1:0")));
  }
  ~Fixture() { pool.Stop(); }

  std::future<Answer> GetAsync(const std::string& path,
                               std::map<std::string, std::string> query = {}) {
    return CallAsync(pool, server.address(), {"GET", path, std::move(query), ""});
  }
  Answer Get(const std::string& path, std::map<std::string, std::string> query = {}) {
    return GetAsync(path, std::move(query)).get();
  }

  Answer Command(const json& command) {
    return Call(pool, server.address(), {"POST", "/control", {}, command.dump()});
  }

  // Blocks until `count` watches are waiting.
  void WaitForWatches(int count) {
    while (Get("/stats").json()["waiting"] != count) {
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
  }

  SystemClock clock;
  WorkerPool pool{2};
  StandinPlatform platform;
  http::Server server{pool.context(), {.body_limit = StandinPlatform::kBodyLimit}, platform};
};

TEST_CASE("reads return document and host list with their revisions") {
  Fixture fixture;
  const Answer document = fixture.Get("/v1/document");
  CHECK(document.status == 200);
  CHECK(document.body == "[fleet]\n");
  CHECK(document.revision == "3");
  const Answer hosts = fixture.Get("/v1/hosts");
  CHECK(hosts.revision == "5");
  CHECK(hosts.json()["version"] == 5);
}

TEST_CASE("a watch waits for a newer value and returns 304 if there is none") {
  Fixture fixture;
  CHECK(fixture.Get("/v1/document", {{"after", "3"}}).status == 304);
  CHECK(fixture.Get("/v1/document", {{"after", "3"}, {"wait_ms", "30"}}).status == 304);
  CHECK(fixture.Get("/v1/document", {{"after", "2"}, {"wait_ms", "5000"}}).revision == "3");

  auto watch = fixture.GetAsync("/v1/document", {{"after", "3"}, {"wait_ms", "5000"}});
  fixture.WaitForWatches(1);
  const Answer published = fixture.Command({{"command", "publish"}, {"document", "[new]\n"}});
  CHECK(published.json()["document_revision"] == 4);
  const Answer answer = watch.get();
  CHECK(answer.body == "[new]\n");
  CHECK(answer.revision == "4");
}

TEST_CASE("a watch of the host list returns a new list after its lag") {
  Fixture fixture;
  fixture.Command({{"command", "lag"}, {"value", "hosts"}, {"ms", 100}});
  auto watch = fixture.GetAsync("/v1/hosts", {{"after", "5"}, {"wait_ms", "5000"}});
  fixture.WaitForWatches(1);
  const BootTime start = fixture.clock.now();
  fixture.Command({{"command", "publish"}, {"hosts", {{"hosts", json::array()}}}});
  CHECK(watch.get().revision == "6");
  CHECK(fixture.clock.now() - start >= std::chrono::milliseconds(100));
}

TEST_CASE("while the service is down, waiting watches and calls get 503") {
  Fixture fixture;
  auto watch = fixture.GetAsync("/v1/document", {{"after", "3"}, {"wait_ms", "5000"}});
  fixture.WaitForWatches(1);
  fixture.Command({{"command", "down"}});
  CHECK(watch.get().status == 503);
  CHECK(fixture.Get("/v1/hosts").status == 503);
  fixture.Command({{"command", "up"}});
  CHECK(fixture.Get("/v1/hosts").status == 200);
}

TEST_CASE("a stale or older value is served until the fault is disabled") {
  Fixture fixture;
  fixture.Command({{"command", "stale"}});
  fixture.Command({{"command", "publish"}, {"document", "new"}});
  CHECK(fixture.Get("/v1/document").revision == "3");
  fixture.Command({{"command", "stale"}, {"on", false}});
  CHECK(fixture.Get("/v1/document").revision == "4");
  fixture.Command({{"command", "older"}, {"revision", 3}});
  CHECK(fixture.Get("/v1/document").revision == "3");
}

TEST_CASE("calls over the budget get 429 and a waiting watch counts once") {
  Fixture fixture({.calls_per_second = 5});
  std::vector<std::future<Answer>> calls;
  calls.reserve(40);
  for (int i = 0; i < 40; ++i) {
    calls.push_back(fixture.GetAsync("/v1/document"));
  }
  int refused = 0;
  for (auto& call : calls) {
    refused += call.get().status == 429 ? 1 : 0;
  }
  // The calls may span two seconds.
  CHECK(refused >= 30);
  const json counts = fixture.Get("/stats").json()["calls"];
  CHECK(counts["total"] == 40);
  CHECK(counts["over_budget"] == refused);
}

TEST_CASE("a value over 1 MB is refused with 413 and one of 1 MB is served") {
  Fixture fixture;
  const auto publish = [&](std::size_t size) {
    return fixture.Command({{"command", "publish"}, {"document", std::string(size, 'a')}}).status;
  };
  CHECK(publish(1'000'001) == 413);
  CHECK(publish(1'000'000) == 200);
  CHECK(fixture.Get("/v1/document").body.size() == 1'000'000);
}

TEST_CASE("an invalid command or parameter is refused with 400") {
  Fixture fixture;
  CHECK(fixture.Command({{"command", "dance"}}).status == 400);
  CHECK(fixture.Command({{"command", "publish"}, {"hosts", "no list"}}).status == 400);
  CHECK(fixture.Get("/v1/document", {{"after", "x"}}).status == 400);
}

}  // namespace
}  // namespace peridotfork::standin
