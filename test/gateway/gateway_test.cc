#include "peridotfork/gateway/gateway.h"

#include <doctest/doctest.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <deque>
#include <fstream>
#include <future>
#include <mutex>
#include <thread>

#include "peridotfork/http/client.h"
#include "peridotfork/platform/message_codec.h"
#include "upstream/scripted_target.h"

namespace peridotfork {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using After = TargetAction::After;
using std::chrono::milliseconds;

// Metadata store that delivers the changes pushed by a test.
class PushStore final : public MetadataStore {
 public:
  explicit PushStore(WorkerPool& pool) : pool_(pool) {}

  void List(const std::string&, Callback done) override {
    StoreReply reply;
    {
      const std::lock_guard lock(mutex_);
      reply = Next();
    }
    done(std::move(reply));
  }
  void Watch(StoreRevision, milliseconds, Callback done) override {
    const std::lock_guard lock(mutex_);
    waiting_ = std::move(done);
    Deliver();
  }

  void Push(std::vector<StoreChange> changes) {
    const std::lock_guard lock(mutex_);
    std::ranges::move(changes, std::back_inserter(changes_));
    Deliver();
  }

 private:
  StoreReply Next() {
    StoreReply reply;
    reply.revision = StoreRevision(++revision_);
    reply.changes = std::exchange(changes_, {});
    return reply;
  }
  void Deliver() {
    if (waiting_ && !changes_.empty()) {
      pool_.Post([done = std::exchange(waiting_, nullptr), reply = Next()] { done(reply); });
    }
  }

  WorkerPool& pool_;
  std::mutex mutex_;
  std::uint64_t revision_ = 0;
  std::vector<StoreChange> changes_;
  Callback waiting_;
};

Route SingleRoute(Repeatability repeatability) {
  Route route;
  route.id = RouteId("single");
  route.host = "single.example";
  route.prefix = "/one/";
  route.repeatability = repeatability;
  route.timeout = milliseconds(1000);
  route.objective = milliseconds(400);
  route.max_attempts = 2;
  route.services = {{ServiceId("one"), 1}};
  return route;
}

Route GatherRoute(std::size_t shards, double required_coverage) {
  Route route = SingleRoute(Repeatability::kIdempotent);
  route.id = RouteId("gather");
  route.host = "gather.example";
  route.prefix = "/all/";
  route.services.clear();
  route.gather.emplace();
  for (std::size_t i = 0; i < shards; ++i) {
    route.gather->shards.emplace_back("shard-" + std::to_string(i));
  }
  route.gather->top_records = 3;
  route.gather->required_coverage = required_coverage;
  return route;
}

GatewaySettings Settings() {
  GatewaySettings settings;
  settings.id = HostId("h1");
  settings.data_centre = DataCentreId("here");
  settings.http_address = Address("127.0.0.1:0");
  settings.metrics_address = Address("127.0.0.1:0");
  settings.ingress_address = Address("127.0.0.1:0");
  settings.ready_path = "/readyz";
  settings.inner_address = Address("127.0.0.1:0");
  settings.store_address = Address("127.0.0.1:1");
  settings.worker_threads = 2;
  settings.max_in_flight = 100;
  settings.drain_timeout = std::chrono::seconds(6);
  return settings;
}

using Response = bhttp::response<bhttp::string_body>;

// One connection from a caller.
class Caller {
 public:
  explicit Caller(const Address& address) : stream_(context_) {
    stream_.connect(http::ParseEndpoint(address).value());
  }

  void Send(const std::string& host,
            const std::string& path,
            const std::string& id,
            bhttp::verb verb = bhttp::verb::get,
            const std::string& body = "") {
    http::RawRequest request(verb, path, 11);
    request.set(bhttp::field::host, host);
    request.set("Request-Id", id);
    request.set("Timeout-Ms", "900");
    request.body() = body;
    if (verb == bhttp::verb::post) {
      request.prepare_payload();
    }
    bhttp::write(stream_, request);
  }

  void SendRaw(const std::string& bytes) { asio::write(stream_.socket(), asio::buffer(bytes)); }

  // Reads a response; status 0 if the connection ends without one.
  Response Receive() {
    Response response;
    beast::error_code error;
    bhttp::read(stream_, buffer_, response, error);
    if (error) {
      response = {};
      response.result(0U);
    }
    return response;
  }

  Response Get(const std::string& host, const std::string& path, const std::string& id) {
    Send(host, path, id);
    return Receive();
  }

  // Reads until the gateway closes the connection.
  std::string ReceiveAll() {
    std::string bytes;
    beast::error_code error;
    asio::read(stream_.socket(), asio::dynamic_buffer(bytes), error);
    return bytes;
  }

  void Close() { stream_.close(); }

 private:
  asio::io_context context_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
};

class Fixture {
 public:
  explicit Fixture(const GatewaySettings& settings = Settings()) {
    auto push_store = std::make_unique<PushStore>(pool);
    store = push_store.get();
    gateway.emplace(
        DaemonContext{pool, clock, log, Incarnation(1)}, settings,
        GatewayAdapters{std::move(push_store), std::make_unique<platform::PlatformCodec>()});
    REQUIRE(gateway->Start().has_value());
  }

  ~Fixture() {
    gateway->Close();
    pool.Stop();
  }

  ScriptedTarget& AddTarget(const std::string& service, ScriptedTarget::Script script) {
    targets.push_back(std::make_unique<ScriptedTarget>(std::move(script)));
    TargetEntry entry;
    entry.id = TargetId("i-" + std::to_string(targets.size()));
    entry.service = ServiceId(service);
    entry.address = targets.back()->address();
    entry.data_centre = DataCentreId("here");
    entry.slots = Slots(3);
    pending.emplace_back(TargetReported{entry});
    return *targets.back();
  }

  void Publish(std::vector<Route> routes,
               std::uint64_t version = 1,
               std::vector<ServiceSpec> services = {},
               std::optional<std::vector<TenantSpec>> tenants = std::nullopt) {
    IngressLimits limits;
    limits.max_body = Bytes(1000);
    limits.max_header = Bytes(2000);
    pending.emplace_back(CataloguePublished{CataloguePtr(new Catalogue(
        Revision(version), std::move(routes), std::move(services), limits, std::move(tenants)))});
    store->Push(std::exchange(pending, {}));
    for (int i = 0; i < 500 && ReadyStatus() != 200; ++i) {
      std::this_thread::sleep_for(milliseconds(5));
    }
    CHECK(ReadyStatus() == 200);
  }

  unsigned ReadyStatus() {
    return Caller(gateway->status_address()).Get("x", "/readyz", "").result_int();
  }

  Caller MakeCaller() { return Caller(gateway->ingress_address()); }

  SystemClock clock;
  Logger log{"test", clock};
  WorkerPool pool{2};
  PushStore* store = nullptr;
  std::optional<Gateway> gateway;
  std::vector<std::unique_ptr<ScriptedTarget>> targets;
  std::vector<StoreChange> pending;
};

ScriptedTarget::Script Answering(const std::string& body, milliseconds delay = milliseconds(0)) {
  return [body, delay](const std::string& header) -> TargetAction {
    return {Answer(FieldOf(header, "Request-Id"), body), delay};
  };
}

std::string Record(char first) {
  return std::string(16, first);
}

// A shard that answers with `records`, signed as `name`.
ScriptedTarget::Script ShardAnswer(const std::string& name,
                                   const std::string& records,
                                   milliseconds delay = milliseconds(0)) {
  return [=](const std::string& header) -> TargetAction {
    return {"HTTP/1.1 200 OK\r\nRequest-Id: " + FieldOf(header, "Request-Id") +
                "\r\nResponse-Stamp: " + name +
                "\r\nContent-Length: " + std::to_string(records.size()) + "\r\n\r\n" + records,
            delay};
  };
}

TEST_CASE("a gateway without a configuration is not ready and refuses with Retry-After") {
  Fixture fixture;
  CHECK(fixture.ReadyStatus() == 503);
  const Response refused = fixture.MakeCaller().Get("single.example", "/one/1", "a");
  CHECK(refused.result_int() == 503);
  CHECK_FALSE(refused["Retry-After"].empty());
}

// A caller comes back once or a few times only.
TEST_CASE("a gateway that waits for the store for long asks callers to come back late") {
  Fixture fixture;
  std::this_thread::sleep_for(milliseconds(60));
  const Response refused = fixture.MakeCaller().Get("single.example", "/one/1", "a");
  CHECK(refused.result_int() == 503);
  CHECK(refused["Retry-After"] == "0.270");
}

TEST_CASE("a target's answer is forwarded unchanged") {
  Fixture fixture;
  ScriptedTarget& target = fixture.AddTarget("one", [](const std::string& header) -> TargetAction {
    CHECK(header.starts_with("GET /one/1?q=2 HTTP/1.1\r\n"));
    CHECK(FieldOf(header, "Target-Instance") == "i-1");
    CHECK(std::stoi(FieldOf(header, "Timeout-Ms")) <= 900);
    return {Answer(FieldOf(header, "Request-Id"), "notes", "X-Own: 1\r\n")};
  });
  fixture.Publish({SingleRoute(Repeatability::kIdempotent)});
  Caller caller = fixture.MakeCaller();
  for (const char* id : {"a", "b"}) {
    const Response response = caller.Get("single.example", "/one/1?q=2", id);
    CHECK(response.result_int() == 200);
    CHECK(response.body() == "notes");
    CHECK(response["Response-Stamp"] == std::string("stamp-") + id);
    CHECK(response["X-Own"] == "1");
  }
  CHECK(target.connections() == 1);
}

TEST_CASE("a request without a route gets 404") {
  Fixture fixture;
  fixture.Publish({SingleRoute(Repeatability::kIdempotent)});
  CHECK(fixture.MakeCaller().Get("single.example", "/two/1", "a").result_int() == 404);
  CHECK(fixture.MakeCaller().Get("other.example", "/one/1", "a").result_int() == 404);
}

TEST_CASE("the greatest records of all shards are merged") {
  Fixture fixture;
  fixture.AddTarget("shard-0", ShardAnswer("p0", Record('a') + Record('x')));
  fixture.AddTarget("shard-1", ShardAnswer("p1", Record('m') + Record('b')));
  fixture.Publish({GatherRoute(2, 1)});
  const Response response = fixture.MakeCaller().Get("gather.example", "/all/1", "a");
  CHECK(response.result_int() == 200);
  CHECK(response["Part-Stamps"] == "p0, p1");
  CHECK(response["Missing-Parts"] == "0");
  CHECK(response.body() == Record('x') + Record('m') + Record('b'));
}

TEST_CASE("an answer due at the objective is sent without its slow shard and reports it missing") {
  Fixture fixture;
  fixture.AddTarget("shard-0", ShardAnswer("p0", Record('a')));
  fixture.AddTarget("shard-1", ShardAnswer("p1", Record('b')));
  fixture.AddTarget("shard-2", ShardAnswer("p2", Record('c'), milliseconds(800)));
  fixture.Publish({GatherRoute(3, 0.6)});
  const auto begin = std::chrono::steady_clock::now();
  const Response response = fixture.MakeCaller().Get("gather.example", "/all/1", "a");
  CHECK(std::chrono::steady_clock::now() - begin < milliseconds(700));
  CHECK(response.result_int() == 200);
  CHECK(response["Missing-Parts"] == "1");
  CHECK(response.body() == Record('b') + Record('a'));
}

TEST_CASE("too few answered shards are no success") {
  Fixture fixture;
  const auto broken = [](const std::string&) -> TargetAction {
    return {"", milliseconds(0), After::kReset};
  };
  fixture.AddTarget("shard-0", ShardAnswer("p0", Record('a')));
  fixture.AddTarget("shard-1", broken);
  fixture.AddTarget("shard-2", broken);
  fixture.Publish({GatherRoute(3, 0.6)});
  const Response response = fixture.MakeCaller().Get("gather.example", "/all/1", "a");
  CHECK(response.result_int() == 502);
  CHECK(response.find("Part-Stamps") == response.end());
}

// Resident memory of this process.
std::size_t ResidentBytes() {
  std::ifstream statm("/proc/self/statm");
  std::size_t pages = 0;
  statm >> pages >> pages;
  return pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

// Guards against targets whose answers fill the memory of the host and delay all other requests.
TEST_CASE("targets that send bodies without end affect neither memory nor other routes") {
  constexpr std::size_t kShards = 40;
  constexpr std::size_t kFlooding = 12;
  constexpr int kGathers = 6;
  constexpr std::size_t kMaxGrowth = std::size_t{58} << 20;
  Fixture fixture;
  fixture.AddTarget("one", Answering("notes"));
  for (std::size_t i = 0; i < kShards; ++i) {
    const std::string name = "shard-" + std::to_string(i);
    if (i >= kFlooding) {
      fixture.AddTarget(name, ShardAnswer("p" + std::to_string(i), Record('a')));
      continue;
    }
    fixture.AddTarget(name, [i](const std::string& header) -> TargetAction {
      return {"HTTP/1.1 200 OK\r\nRequest-Id: " + FieldOf(header, "Request-Id") +
                  "\r\nResponse-Stamp: p" + std::to_string(i) + "\r\n\r\n",
              milliseconds(0), After::kClose, std::string(65536, 'x')};
    });
  }
  const Route gather = GatherRoute(kShards, 0.6);
  std::vector<ServiceSpec> services;
  for (const ServiceId& shard : gather.gather->shards) {
    services.push_back({shard, Connections(100), Rate(0)});
  }
  fixture.Publish({gather, SingleRoute(Repeatability::kIdempotent)}, 1, services);
  const std::size_t before = ResidentBytes();
  std::size_t most = before;
  std::deque<Caller> gathers;
  for (int i = 0; i < kGathers; ++i) {
    gathers.emplace_back(fixture.gateway->ingress_address());
    gathers.back().Send("gather.example", "/all/1", "g" + std::to_string(i));
  }
  const auto begin = std::chrono::steady_clock::now();
  for (int i = 0; std::chrono::steady_clock::now() - begin < milliseconds(600); ++i) {
    const Response response =
        fixture.MakeCaller().Get("single.example", "/one/1", "a" + std::to_string(i));
    CHECK(response.body() == "notes");
    most = std::max(most, ResidentBytes());
  }
  for (Caller& caller : gathers) {
    const Response response = caller.Receive();
    CHECK(response.result_int() == 200);
    CHECK(response["Missing-Parts"] == std::to_string(kFlooding));
    CHECK(response.body() == Record('a') + Record('a') + Record('a'));
  }
  CHECK(most - before < kMaxGrowth);
  // The targets are avoided like others that fail, and their memory is free again, once the gateway
  // has seen that the last byte of each response is written.
  bool is_free = false;
  for (int i = 0; i < 200 && !is_free; ++i) {
    const Response metrics = Caller(fixture.gateway->metrics_address()).Get("x", "/metrics", "");
    is_free = metrics.body().find("peridotfork_answer_bytes 0\n") != std::string::npos;
    std::this_thread::sleep_for(milliseconds(is_free ? 0 : 5));
  }
  CHECK(is_free);
}

TEST_CASE("a request that can't succeed for lack of targets is refused before it is sent") {
  Fixture fixture;
  ScriptedTarget& target = fixture.AddTarget("shard-0", ShardAnswer("p0", Record('a')));
  fixture.Publish({GatherRoute(3, 0.6), SingleRoute(Repeatability::kAtMostOnce)});
  const Response gather = fixture.MakeCaller().Get("gather.example", "/all/1", "a");
  CHECK(gather.result_int() == 503);
  CHECK(gather["Retry-After"] == "0.270");
  CHECK(fixture.MakeCaller().Get("single.example", "/one/1", "a").result_int() == 503);
  CHECK(target.requests() == 0);
}

TEST_CASE("a request that takes down two targets in turn is refused, and others are answered") {
  Fixture fixture;
  std::vector<ScriptedTarget*> targets(3);
  for (std::size_t i = 0; i < targets.size(); ++i) {
    targets[i] = &fixture.AddTarget("one", [&targets, i](const std::string& header) {
      if (header.starts_with("GET /one/deadly ")) {
        targets[i]->StopListening();
        return TargetAction{"", milliseconds(0), After::kReset};
      }
      return TargetAction{Answer(FieldOf(header, "Request-Id"), "notes")};
    });
  }
  fixture.Publish({SingleRoute(Repeatability::kIdempotent)});
  const auto runs = [&targets] {
    return targets[0]->requests() + targets[1]->requests() + targets[2]->requests();
  };
  CHECK(fixture.MakeCaller().Get("single.example", "/one/deadly", "a").result_int() == 502);
  std::this_thread::sleep_for(milliseconds(100));
  const int before = runs();
  CHECK(before == 2);
  const Response refused = fixture.MakeCaller().Get("single.example", "/one/deadly", "b");
  CHECK(refused.result_int() == 503);
  CHECK(std::stod(std::string(refused["Retry-After"])) > 1);
  CHECK(runs() == before);
  CHECK(fixture.MakeCaller().Get("single.example", "/one/1", "c").result_int() == 200);
}

// Guards against a gateway that has just started and sends a request to targets that another one
// keeps from them.
TEST_CASE("a gateway that starts refuses a request that another one has in quarantine") {
  GatewaySettings settings = Settings();
  settings.seeds = {Address("127.0.0.1:1")};
  Fixture first(settings);
  std::vector<ScriptedTarget*> targets(2);
  for (std::size_t i = 0; i < targets.size(); ++i) {
    targets[i] = &first.AddTarget("one", [&targets, i](const std::string&) {
      targets[i]->StopListening();
      return TargetAction{"", milliseconds(0), After::kReset};
    });
  }
  first.Publish({SingleRoute(Repeatability::kIdempotent)});
  CHECK(first.MakeCaller().Get("single.example", "/one/deadly", "a").result_int() == 502);

  settings.id = HostId("h2");
  settings.seeds = {first.gateway->peers_address()};
  Fixture second(settings);
  ScriptedTarget& target = second.AddTarget("one", Answering("notes"));
  second.Publish({SingleRoute(Repeatability::kIdempotent)});
  std::this_thread::sleep_for(milliseconds(300));
  CHECK(second.MakeCaller().Get("single.example", "/one/deadly", "b").result_int() == 503);
  CHECK(target.requests() == 0);
  const Response metrics = Caller(second.gateway->metrics_address()).Get("x", "/metrics", "");
  CHECK(metrics.body().find("peridotfork_suspected_requests 1") != std::string::npos);
  CHECK(second.MakeCaller().Get("single.example", "/one/1", "c").result_int() == 200);
}

TEST_CASE("a reload applies the limit on requests in flight; invalid settings change nothing") {
  Fixture fixture;
  fixture.AddTarget("one", Answering("notes", milliseconds(200)));
  fixture.Publish({SingleRoute(Repeatability::kIdempotent)});
  GatewaySettings settings = Settings();
  settings.max_in_flight = 1;
  for (Address* address : {&settings.http_address, &settings.metrics_address,
                           &settings.ingress_address, &settings.inner_address}) {
    *address = Address("127.0.0.1:1");
  }
  CHECK(fixture.gateway->Reload(ToIni(settings)).has_value());
  const Result<void> faulty = fixture.gateway->Reload("[ingress]\nmax_in_flight = many\n");
  REQUIRE_FALSE(faulty.has_value());
  CHECK_FALSE(faulty.error().where.empty());
  Caller first = fixture.MakeCaller();
  first.Send("single.example", "/one/1", "a");
  std::this_thread::sleep_for(milliseconds(50));
  const Response refused = fixture.MakeCaller().Get("single.example", "/one/1", "b");
  CHECK(refused.result_int() == 503);
  CHECK_FALSE(refused["Retry-After"].empty());
  CHECK(first.Receive().result_int() == 200);
}

TEST_CASE("a request to a stalled target is hedged") {
  Fixture fixture;
  std::atomic<int> runs = 0;
  const auto script = [&runs](const std::string& header) -> TargetAction {
    const milliseconds delay(runs++ == 0 ? 900 : 0);
    return {Answer(FieldOf(header, "Request-Id"), "notes"), delay};
  };
  fixture.AddTarget("one", script);
  fixture.AddTarget("one", script);
  fixture.Publish({SingleRoute(Repeatability::kIdempotent)});
  const Response response = fixture.MakeCaller().Get("single.example", "/one/1", "a");
  CHECK(response.result_int() == 200);
  CHECK(runs == 2);
}

TEST_CASE("a request that is not idempotent runs once and is not refused when its answer is lost") {
  Fixture fixture;
  const auto script = [](const std::string&) -> TargetAction {
    return {"", milliseconds(0), After::kReset};
  };
  ScriptedTarget& one = fixture.AddTarget("one", script);
  ScriptedTarget& two = fixture.AddTarget("one", script);
  fixture.Publish({SingleRoute(Repeatability::kAtMostOnce)});
  const Response response = fixture.MakeCaller().Get("single.example", "/one/1", "a");
  CHECK(response.result_int() == 502);
  CHECK(one.requests() + two.requests() == 1);
}

TEST_CASE("a request that a target refuses to run is sent to another one") {
  for (const char* refusal : {"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                              "HTTP/1.1 421 X\r\nInstance-Id: i-9\r\nContent-Length: 0\r\n\r\n"}) {
    Fixture fixture;
    std::atomic<int> attempts = 0;
    const auto script = [&attempts, refusal](const std::string& header) -> TargetAction {
      return {attempts++ == 0 ? std::string(refusal)
                              : Answer(FieldOf(header, "Request-Id"), "notes")};
    };
    fixture.AddTarget("one", script);
    fixture.AddTarget("one", script);
    fixture.Publish({SingleRoute(Repeatability::kAtMostOnce)});
    CHECK(fixture.MakeCaller().Get("single.example", "/one/1", "a").result_int() == 200);
    CHECK(attempts == 2);
  }
}

TEST_CASE("a request that no target runs is refused with Retry-After") {
  Fixture fixture;
  fixture.AddTarget("one", [](const std::string&) -> TargetAction {
    return {"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"};
  });
  fixture.Publish({SingleRoute(Repeatability::kAtMostOnce)});
  const Response response = fixture.MakeCaller().Get("single.example", "/one/1", "a");
  CHECK(response.result_int() == 503);
  CHECK_FALSE(response["Retry-After"].empty());
  CHECK(response.find("Response-Stamp") == response.end());
}

TEST_CASE("a target that wants no requests for some time gets none, and callers learn how long") {
  Fixture fixture;
  ScriptedTarget& target = fixture.AddTarget("one", [](const std::string&) -> TargetAction {
    return {"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"};
  });
  fixture.Publish({SingleRoute(Repeatability::kIdempotent)});
  const auto begin = std::chrono::steady_clock::now();
  int sent = 0;
  while (std::chrono::steady_clock::now() - begin < milliseconds(700)) {
    const Response response =
        fixture.MakeCaller().Get("single.example", "/one/1", "a" + std::to_string(sent++));
    CHECK(response.result_int() == 503);
    const double seconds = std::stod(std::string(response["Retry-After"]));
    CHECK(seconds > 0);
    CHECK(seconds <= 1);
  }
  CHECK(sent > 20);
  CHECK(target.requests() == 1);
  std::this_thread::sleep_for(milliseconds(400));
  fixture.MakeCaller().Get("single.example", "/one/1", "z");
  CHECK(target.requests() == 2);
}

TEST_CASE("a request waits for a target whose hold ends soon") {
  Fixture fixture;
  std::atomic<int> requests = 0;
  ScriptedTarget& target =
      fixture.AddTarget("one", [&requests](const std::string& header) -> TargetAction {
        if (requests++ == 0) {
          return {
              "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nRetry-After: 0.03\r\n"
              "Content-Length: 0\r\n\r\n"};
        }
        return {Answer(FieldOf(header, "Request-Id"), "notes")};
      });
  fixture.Publish({SingleRoute(Repeatability::kIdempotent)});
  CHECK(fixture.MakeCaller().Get("single.example", "/one/1", "a").result_int() == 503);
  CHECK(fixture.MakeCaller().Get("single.example", "/one/1", "b").result_int() == 200);
  CHECK(target.requests() == 2);
}

TEST_CASE("a target that says it is leaving gets no further request and no idle connection") {
  Fixture fixture;
  const auto script = [](const std::string& name) {
    return [name](const std::string& header) -> TargetAction {
      return {Answer(FieldOf(header, "Request-Id"), name,
                     name == "leaving" ? "Server-Leaving: 1\r\n" : "")};
    };
  };
  ScriptedTarget& leaving = fixture.AddTarget("one", script("leaving"));
  fixture.Publish({SingleRoute(Repeatability::kIdempotent)});
  CHECK(fixture.MakeCaller().Get("single.example", "/one/1", "a").body() == "leaving");
  CHECK(fixture.MakeCaller().Get("single.example", "/one/1", "b").result_int() == 503);
  fixture.AddTarget("one", script("staying"));
  fixture.store->Push(std::exchange(fixture.pending, {}));
  Response response;
  for (int i = 0; i < 200 && response.body() != "staying"; ++i) {
    std::this_thread::sleep_for(milliseconds(5));
    response = fixture.MakeCaller().Get("single.example", "/one/1", "c" + std::to_string(i));
  }
  for (int i = 0; i < 50; ++i) {
    CHECK(fixture.MakeCaller().Get("single.example", "/one/1", "d" + std::to_string(i)).body() ==
          "staying");
  }
  CHECK(leaving.requests() == 1);
  const Response metrics = Caller(fixture.gateway->metrics_address()).Get("x", "/metrics", "");
  CHECK(metrics.body().find("peridotfork_connections 1\n") != std::string::npos);
}

TEST_CASE("a gathered answer leaves out a shard all of whose targets are leaving") {
  Fixture fixture;
  fixture.AddTarget("shard-0", ShardAnswer("p0", Record('a')));
  fixture.AddTarget("shard-1", ShardAnswer("p1", Record('b')));
  ScriptedTarget& leaving =
      fixture.AddTarget("shard-2", [](const std::string& header) -> TargetAction {
        return {Answer(FieldOf(header, "Request-Id"), Record('c'), "Server-Leaving: 1\r\n")};
      });
  fixture.Publish({GatherRoute(3, 0.6)});
  CHECK(fixture.MakeCaller().Get("gather.example", "/all/1", "a")["Missing-Parts"] == "0");
  const Response response = fixture.MakeCaller().Get("gather.example", "/all/1", "b");
  CHECK(response.result_int() == 200);
  CHECK(response["Missing-Parts"] == "1");
  CHECK(leaving.requests() == 1);
}

// A host that has restarted knows nothing of the hold; the first rejection tells it again.
TEST_CASE("a restarted gateway learns anew which targets want no requests") {
  std::atomic<int> requests = 0;
  const auto script = [&requests](const std::string&) -> TargetAction {
    ++requests;
    return {"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nRetry-After: 5\r\nContent-Length: 0\r\n\r\n"};
  };
  for (int start = 1; start <= 2; ++start) {
    Fixture fixture;
    fixture.AddTarget("one", script);
    fixture.Publish({SingleRoute(Repeatability::kIdempotent)});
    for (int i = 0; i < 10; ++i) {
      fixture.MakeCaller().Get("single.example", "/one/1", "a" + std::to_string(i));
    }
    CHECK(requests == start);
  }
}

TEST_CASE("a success without a signature, or with a content-encoded body, is not forwarded") {
  for (const char* fields : {"Content-Encoding: gzip\r\nResponse-Stamp: s\r\n", ""}) {
    Fixture fixture;
    fixture.AddTarget("one", [fields](const std::string& header) -> TargetAction {
      return {"HTTP/1.1 200 OK\r\nRequest-Id: " + FieldOf(header, "Request-Id") + "\r\n" + fields +
              "Content-Length: 2\r\n\r\nhi"};
    });
    fixture.Publish({SingleRoute(Repeatability::kIdempotent)});
    CHECK(fixture.MakeCaller().Get("single.example", "/one/1", "a").result_int() == 502);
  }
}

TEST_CASE("a target's own failure is forwarded with its status") {
  Fixture fixture;
  fixture.AddTarget("one", [](const std::string& header) -> TargetAction {
    return {Answer(FieldOf(header, "Request-Id"), "broken", "", 500)};
  });
  fixture.Publish({SingleRoute(Repeatability::kIdempotent)});
  const Response response = fixture.MakeCaller().Get("single.example", "/one/1", "a");
  CHECK(response.result_int() == 500);
  CHECK(response["Response-Stamp"] == "stamp-a");
}

TEST_CASE("a request that is not answered in time gets 504 at the route's timeout") {
  Fixture fixture;
  fixture.AddTarget("one", Answering("notes", milliseconds(1500)));
  Route route = SingleRoute(Repeatability::kAtMostOnce);
  route.timeout = milliseconds(200);
  fixture.Publish({route});
  const auto begin = std::chrono::steady_clock::now();
  CHECK(fixture.MakeCaller().Get("single.example", "/one/1", "a").result_int() == 504);
  const auto elapsed = std::chrono::steady_clock::now() - begin;
  CHECK(elapsed >= milliseconds(180));
  CHECK(elapsed < milliseconds(700));
}

TEST_CASE("a caller that disconnects ends the work on its idempotent request") {
  Fixture fixture;
  std::atomic<bool> disconnected = false;
  fixture.AddTarget("one", Answering("notes", milliseconds(700)));
  fixture.Publish({SingleRoute(Repeatability::kIdempotent)});
  Caller caller = fixture.MakeCaller();
  caller.Send("single.example", "/one/1", "a");
  std::this_thread::sleep_for(milliseconds(100));
  caller.Close();
  for (int i = 0; i < 100 && !disconnected; ++i) {
    std::this_thread::sleep_for(milliseconds(5));
    const Response metrics = Caller(fixture.gateway->metrics_address()).Get("x", "/metrics", "");
    disconnected = metrics.body().find("peridotfork_connections 0\n") != std::string::npos;
  }
  CHECK(disconnected);
}

TEST_CASE("requests that can't be read are refused with a status for the fault") {
  Fixture fixture;
  fixture.Publish({SingleRoute(Repeatability::kIdempotent)});
  Caller malformed = fixture.MakeCaller();
  malformed.SendRaw("NO HTTP\r\n\r\n");
  CHECK(malformed.Receive().result_int() == 400);
  Caller header = fixture.MakeCaller();
  header.SendRaw("GET /one/1 HTTP/1.1\r\nX: " + std::string(3000, 'x') + "\r\n\r\n");
  CHECK(header.Receive().result_int() == 431);
  Caller body = fixture.MakeCaller();
  body.SendRaw("POST /one/1 HTTP/1.1\r\nHost: single.example\r\nContent-Length: 5000\r\n\r\n");
  CHECK(body.Receive().result_int() == 413);
}

TEST_CASE("a body in chunked transfer encoding is forwarded complete") {
  Fixture fixture;
  fixture.AddTarget("one", [](const std::string& header) -> TargetAction {
    CHECK(FieldOf(header, "Content-Length") == "5");
    return {Answer(FieldOf(header, "Request-Id"), "notes"), milliseconds(0), After::kClose};
  });
  fixture.Publish({SingleRoute(Repeatability::kIdempotent)});
  Caller caller = fixture.MakeCaller();
  caller.SendRaw(
      "POST /one/1 HTTP/1.1\r\nHost: single.example\r\nRequest-Id: a\r\n"
      "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n");
  CHECK(caller.Receive().result_int() == 200);
}

TEST_CASE("a graceful shutdown interrupts no request") {
  Fixture fixture;
  fixture.AddTarget("one", Answering("notes", milliseconds(300)));
  fixture.Publish({SingleRoute(Repeatability::kIdempotent)});
  Caller busy = fixture.MakeCaller();
  Caller idle = fixture.MakeCaller();
  busy.Send("single.example", "/one/1", "a");
  std::this_thread::sleep_for(milliseconds(50));
  fixture.gateway->BeginDrain();
  CHECK(fixture.ReadyStatus() == 503);
  const Response answer = busy.Receive();
  CHECK(answer.result_int() == 200);
  CHECK_FALSE(answer.keep_alive());
  // The load balancer may still open new connections.
  CHECK(fixture.MakeCaller().Get("single.example", "/one/1", "b").result_int() == 200);
  CHECK_FALSE(fixture.gateway->drained());
  for (int i = 0; i < 800 && !fixture.gateway->drained(); ++i) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  CHECK(fixture.gateway->drained());
  CHECK(idle.Receive().result_int() == 0);
}

GatewaySettings SettingsWithDrain(milliseconds timeout) {
  GatewaySettings settings = Settings();
  settings.drain_timeout = timeout;
  return settings;
}

std::string RawRequest(const std::string& path, const std::string& timeout_ms) {
  return "GET " + path +
         " HTTP/1.1\r\nHost: single.example\r\nRequest-Id: a\r\nTimeout-Ms: " + timeout_ms + "\r\n";
}

// Guards against requests that a planned stop cuts off because they arrived late in it.
TEST_CASE("a graceful shutdown refuses a request that may not end before the process does") {
  Route once = SingleRoute(Repeatability::kAtMostOnce);
  Route repeatable = SingleRoute(Repeatability::kIdempotent);
  repeatable.prefix = "/two/";
  Fixture fixture(SettingsWithDrain(milliseconds(1600)));
  ScriptedTarget& target = fixture.AddTarget("one", Answering("notes", milliseconds(100)));
  fixture.Publish({once, repeatable});
  Caller late_once = fixture.MakeCaller();
  Caller late_repeatable = fixture.MakeCaller();
  std::this_thread::sleep_for(milliseconds(50));
  fixture.gateway->BeginDrain();
  CHECK(fixture.MakeCaller().Get("single.example", "/one/1", "b").result_int() == 200);
  CHECK(target.requests() == 1);
  std::this_thread::sleep_for(milliseconds(500));
  late_once.SendRaw(RawRequest("/one/1", "900") + "\r\n");
  const Response refused = late_once.Receive();
  CHECK(refused.result_int() == 503);
  CHECK_FALSE(refused["Retry-After"].empty());
  CHECK_FALSE(refused.keep_alive());
  CHECK(target.requests() == 1);
  late_repeatable.SendRaw(RawRequest("/two/1", "900") + "\r\n");
  CHECK(late_repeatable.Receive().result_int() == 200);
  CHECK(target.requests() == 2);
}

// Guards against requests that end without an answer because the process does.
TEST_CASE("a graceful shutdown answers the requests that still run before it ends") {
  constexpr milliseconds kDrain{1500};
  for (const Repeatability kind : {Repeatability::kIdempotent, Repeatability::kAtMostOnce}) {
    Fixture fixture(SettingsWithDrain(kDrain));
    fixture.AddTarget("one", Answering("notes", milliseconds(2200)));
    Route route = SingleRoute(kind);
    route.timeout = milliseconds(5000);
    fixture.Publish({route});
    Caller caller = fixture.MakeCaller();
    caller.SendRaw(RawRequest("/one/1", "5000") + "\r\n");
    std::this_thread::sleep_for(milliseconds(50));
    const auto begin = std::chrono::steady_clock::now();
    fixture.gateway->BeginDrain();
    const Response response = caller.Receive();
    CHECK(response.result_int() == 504);
    CHECK_FALSE(response.keep_alive());
    CHECK(std::chrono::steady_clock::now() - begin < kDrain);
    while (!fixture.gateway->drained() && std::chrono::steady_clock::now() - begin < kDrain) {
      std::this_thread::sleep_for(milliseconds(5));
    }
    CHECK(fixture.gateway->drained());
  }
}

// Guards against requests that are cut off because they were accepted just after the stop began.
TEST_CASE("a graceful shutdown under load answers each request that it has accepted") {
  Fixture fixture;
  fixture.AddTarget("one", Answering("notes", milliseconds(5)));
  ServiceSpec service{ServiceId("one"), Connections(200), Rate(0)};
  fixture.Publish({SingleRoute(Repeatability::kIdempotent)}, 1, {service});
  constexpr int kCallers = 6;
  std::atomic<int> answered = 0;
  std::atomic<int> lost = 0;
  std::atomic<bool> drain_begun = false;
  std::vector<std::thread> threads;
  threads.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    threads.emplace_back([&, i] {
      // New connections are accepted until the load balancer has noticed the stop.
      const auto end = std::chrono::steady_clock::now() + milliseconds(2700);
      for (int n = 0; std::chrono::steady_clock::now() < end; ++n) {
        Caller caller = fixture.MakeCaller();
        bool keep = true;
        for (int j = 0; keep && std::chrono::steady_clock::now() < end; ++j) {
          const std::string id =
              std::to_string(i) + "-" + std::to_string(n) + "-" + std::to_string(j);
          const Response response = caller.Get("single.example", "/one/1", id);
          ++(response.result_int() == 200 && response.body() == "notes" ? answered : lost);
          keep = response.result_int() == 200 && response.keep_alive();
          CHECK((keep || drain_begun));
        }
      }
    });
  }
  std::this_thread::sleep_for(milliseconds(200));
  drain_begun = true;
  fixture.gateway->BeginDrain();
  for (std::thread& thread : threads) {
    thread.join();
  }
  CHECK(lost == 0);
  CHECK(answered > 200);
  for (int i = 0; i < 800 && !fixture.gateway->drained(); ++i) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  CHECK(fixture.gateway->drained());
}

TEST_CASE("an answer that breaks off halfway is no success") {
  for (const After after : {After::kClose, After::kReset}) {
    Fixture fixture;
    fixture.AddTarget("one", [after](const std::string& header) -> TargetAction {
      const std::string whole = Answer(FieldOf(header, "Request-Id"), std::string(100, 'x'));
      return {whole.substr(0, whole.size() - 1), milliseconds(0), after};
    });
    fixture.Publish({SingleRoute(Repeatability::kIdempotent)});
    const Response response = fixture.MakeCaller().Get("single.example", "/one/1", "a");
    CHECK(response.result_int() == 502);
    CHECK(response.find("Response-Stamp") == response.end());
  }
}

// Guards against a part of a head that is forwarded as a whole answer with an empty or short body.
TEST_CASE("an answer that breaks off in its head is no success and no part of a gathered answer") {
  const std::string head =
      "\r\nResponse-Stamp: s\r\nContent-Type: text/plain\r\nContent-Length: 16\r\n\r\n";
  for (std::size_t cut = 0; cut < head.size(); cut += 3) {
    CAPTURE(head.substr(0, cut));
    const auto broken = [&head, cut](const std::string& header) -> TargetAction {
      return {
          "HTTP/1.1 200 OK\r\nRequest-Id: " + FieldOf(header, "Request-Id") + head.substr(0, cut),
          milliseconds(0), After::kClose};
    };
    Fixture fixture;
    fixture.AddTarget("one", broken);
    fixture.AddTarget("shard-0", ShardAnswer("p0", Record('a')));
    fixture.AddTarget("shard-1", ShardAnswer("p1", Record('b')));
    fixture.AddTarget("shard-2", broken);
    fixture.Publish({SingleRoute(Repeatability::kAtMostOnce), GatherRoute(3, 0.6)});
    const Response single = fixture.MakeCaller().Get("single.example", "/one/1", "a");
    CHECK(single.result_int() == 502);
    CHECK(single.find("Response-Stamp") == single.end());
    const Response gathered = fixture.MakeCaller().Get("gather.example", "/all/1", "b");
    CHECK(gathered.result_int() == 200);
    CHECK(gathered["Part-Stamps"] == "p0, p1");
    CHECK(gathered["Missing-Parts"] == "1");
  }
}

// A target that the store no longer lists may only have been slow to report.
TEST_CASE(
    "a request in progress on a target that leaves the store is neither repeated nor given up") {
  Fixture fixture;
  ScriptedTarget& running = fixture.AddTarget("one", Answering("notes", milliseconds(300)));
  fixture.Publish({SingleRoute(Repeatability::kAtMostOnce)});
  Caller caller = fixture.MakeCaller();
  caller.Send("single.example", "/one/1", "a");
  std::this_thread::sleep_for(milliseconds(50));
  ScriptedTarget& other = fixture.AddTarget("one", Answering("other"));
  fixture.pending.emplace_back(TargetRemoved{TargetId("i-1")});
  fixture.store->Push(std::exchange(fixture.pending, {}));
  const Response response = caller.Receive();
  CHECK(response.result_int() == 200);
  CHECK(response.body() == "notes");
  CHECK(running.requests() == 1);
  CHECK(other.requests() == 0);
}

TEST_CASE("a restarted gateway uses no target that has left meanwhile") {
  for (int start = 0; start < 2; ++start) {
    Fixture fixture;
    ScriptedTarget& leaving = fixture.AddTarget("one", Answering("leaving"));
    fixture.AddTarget("one", Answering("staying"));
    std::get<TargetReported>(fixture.pending.front()).entry.draining = true;
    fixture.Publish({SingleRoute(Repeatability::kIdempotent)});
    for (int i = 0; i < 10; ++i) {
      CHECK(fixture.MakeCaller().Get("single.example", "/one/1", std::to_string(i)).body() ==
            "staying");
    }
    CHECK(leaving.requests() == 0);
  }
}

TEST_CASE("a new configuration version applies to the next request") {
  Fixture fixture;
  fixture.AddTarget("one", Answering("old"));
  fixture.AddTarget("two", Answering("new"));
  fixture.Publish({SingleRoute(Repeatability::kIdempotent)});
  Caller caller = fixture.MakeCaller();
  CHECK(caller.Get("single.example", "/one/1", "a").body() == "old");
  Route route = SingleRoute(Repeatability::kIdempotent);
  route.services = {{ServiceId("two"), 1}};
  fixture.Publish({route}, 2);
  std::string body;
  for (int i = 0; i < 200 && body != "new"; ++i) {
    std::this_thread::sleep_for(milliseconds(5));
    body = caller.Get("single.example", "/one/1", "b" + std::to_string(i)).body();
  }
  CHECK(body == "new");
  fixture.Publish({SingleRoute(Repeatability::kIdempotent)}, 1);
  std::this_thread::sleep_for(milliseconds(50));
  CHECK(caller.Get("single.example", "/one/1", "z").body() == "new");
}

std::vector<TenantSpec> OneTenant(std::vector<std::string> keys, double rate = 0) {
  TenantSpec spec;
  spec.tenant.id = TenantId("north");
  spec.tenant.quota_rate = Rate(rate);
  spec.tenant.quota_burst = 1;
  spec.api_keys = std::move(keys);
  return {spec};
}

std::string KeyedRequest(const std::string& key, const std::string& fields = "") {
  return "GET /one/1 HTTP/1.1\r\nHost: single.example\r\nRequest-Id: a\r\nTimeout-Ms: 900\r\n"
         "Authorization: Bearer " +
         key + "\r\n" + fields + "\r\n";
}

TEST_CASE("a target learns the tenant of a key, and neither the key nor a forged tenant") {
  Fixture fixture;
  fixture.AddTarget("one", [](const std::string& header) -> TargetAction {
    CHECK(FieldOf(header, "Tenant") == "north");
    CHECK(header.find("k1") == std::string::npos);
    CHECK(header.find("forged") == std::string::npos);
    return {Answer(FieldOf(header, "Request-Id"), "notes")};
  });
  fixture.Publish({SingleRoute(Repeatability::kIdempotent)}, 1, {}, OneTenant({"k1"}));
  Caller caller = fixture.MakeCaller();
  caller.SendRaw(KeyedRequest("k1", "Tenant: forged\r\nTENANT: forged-too\r\n"));
  CHECK(caller.Receive().result_int() == 200);
  caller.SendRaw(KeyedRequest("k2"));
  CHECK(caller.Receive().result_int() == 401);
  CHECK(caller.Get("single.example", "/one/1", "b").result_int() == 401);
}

TEST_CASE("a request without a valid key is refused before its body is read") {
  Fixture fixture;
  fixture.Publish({SingleRoute(Repeatability::kIdempotent)}, 1, {}, OneTenant({"k1"}));
  Caller caller = fixture.MakeCaller();
  caller.SendRaw(
      "POST /one/1 HTTP/1.1\r\nHost: single.example\r\nRequest-Id: a\r\n"
      "Content-Length: 500\r\n\r\n");
  CHECK(caller.Receive().result_int() == 401);
  CHECK(caller.Receive().result_int() == 0);
}

TEST_CASE("a key that is taken away ends on kept connections, and its successor holds") {
  Fixture fixture;
  fixture.AddTarget("one", Answering("notes"));
  fixture.Publish({SingleRoute(Repeatability::kIdempotent)}, 1, {}, OneTenant({"k1", "k2"}));
  Caller first = fixture.MakeCaller();
  Caller second = fixture.MakeCaller();
  first.SendRaw(KeyedRequest("k1"));
  CHECK(first.Receive().result_int() == 200);
  second.SendRaw(KeyedRequest("k2"));
  CHECK(second.Receive().result_int() == 200);
  fixture.Publish({SingleRoute(Repeatability::kIdempotent)}, 2, {}, OneTenant({"k2"}));
  // The follower pauses for up to 0.9 s after it has read changes.
  unsigned status = 200;
  for (int i = 0; i < 1000 && status == 200; ++i) {
    std::this_thread::sleep_for(milliseconds(5));
    first.SendRaw(KeyedRequest("k1"));
    status = first.Receive().result_int();
  }
  CHECK(status == 401);
  second.SendRaw(KeyedRequest("k2"));
  CHECK(second.Receive().result_int() == 200);
}

// The store of the fixture leaves its watches unanswered.
TEST_CASE("keys are refused when the store has not confirmed them for too long") {
  GatewaySettings settings = Settings();
  settings.store_revoke_after = milliseconds(400);
  Fixture fixture(settings);
  fixture.AddTarget("one", Answering("notes"));
  Route open = SingleRoute(Repeatability::kIdempotent);
  open.id = RouteId("open");
  open.host = "open.example";
  open.is_public = true;
  fixture.Publish({SingleRoute(Repeatability::kIdempotent), open}, 1, {}, OneTenant({"k1"}));
  std::this_thread::sleep_for(milliseconds(450));
  Caller caller = fixture.MakeCaller();
  caller.SendRaw(KeyedRequest("k1"));
  const Response refused = caller.Receive();
  CHECK(refused.result_int() == 503);
  CHECK_FALSE(refused["Retry-After"].empty());
  // A key that is not known here may have been published meanwhile.
  caller.SendRaw(KeyedRequest("k2"));
  CHECK(caller.Receive().result_int() == 503);
  CHECK(caller.Get("open.example", "/one/1", "b").result_int() == 200);
}

TEST_CASE("a request beyond the quota of its tenant gets 429 with a time to come back") {
  Fixture fixture;
  fixture.AddTarget("one", Answering("notes"));
  fixture.Publish({SingleRoute(Repeatability::kIdempotent)}, 1, {}, OneTenant({"k1"}, 0.5));
  Caller caller = fixture.MakeCaller();
  caller.SendRaw(KeyedRequest("k1"));
  CHECK(caller.Receive().result_int() == 200);
  caller.SendRaw(KeyedRequest("k1"));
  const Response refused = caller.Receive();
  CHECK(refused.result_int() == 429);
  CHECK(std::stod(std::string(refused["Retry-After"])) > 0);
}

// Guards against a tenant that pays with its quota for requests that nothing could run.
TEST_CASE("a request that reached no target gives its permit back") {
  Fixture fixture;
  fixture.AddTarget("one", Answering("notes"));
  fixture.AddTarget("down", Answering("notes"));
  fixture.targets.pop_back();
  Route down = SingleRoute(Repeatability::kIdempotent);
  down.id = RouteId("down");
  down.host = "down.example";
  down.services = {{ServiceId("down"), 1}};
  fixture.Publish({SingleRoute(Repeatability::kIdempotent), down}, 1, {}, OneTenant({"k1"}, 0.01));
  Caller caller = fixture.MakeCaller();
  std::string to_down = KeyedRequest("k1");
  to_down.replace(to_down.find("single.example"), 14, "down.example");
  caller.SendRaw(to_down);
  CHECK(caller.Receive().result_int() == 503);
  std::this_thread::sleep_for(milliseconds(50));
  caller.SendRaw(KeyedRequest("k1"));
  CHECK(caller.Receive().result_int() == 200);
  caller.SendRaw(KeyedRequest("k1"));
  CHECK(caller.Receive().result_int() == 429);
}

// Guards against review/2: the body of a request read as a second one.
TEST_CASE("a request whose end is not certain gets 400 and runs nothing") {
  Fixture fixture;
  ScriptedTarget& target = fixture.AddTarget("one", Answering("notes"));
  fixture.Publish({SingleRoute(Repeatability::kAtMostOnce)});
  const std::string inner =
      "POST /one/2 HTTP/1.1\r\nHost: single.example\r\nRequest-Id: b\r\n"
      "Content-Length: 0\r\n\r\n";
  for (const char* framing : {"Transfer-Encoding: gzip", "Transfer-Encoding: chunked, identity",
                              "Transfer-Encoding : chunked", "Content-Length: +5"}) {
    CAPTURE(framing);
    Caller caller = fixture.MakeCaller();
    caller.SendRaw("POST /one/1 HTTP/1.1\r\nHost: single.example\r\nRequest-Id: a\r\n" +
                   std::string(framing) + "\r\n\r\n" + inner);
    CHECK(caller.Receive().result_int() == 400);
    CHECK(caller.Receive().result_int() == 0);
  }
  CHECK(target.connections() == 0);
}

TEST_CASE("the fields of a chunk trailer do not reach a target") {
  Fixture fixture;
  fixture.AddTarget("one", [](const std::string& header) -> TargetAction {
    CHECK(header.find("X-Late") == std::string::npos);
    CHECK(FieldOf(header, "Request-Id") == "a");
    return {Answer(FieldOf(header, "Request-Id"), "notes")};
  });
  fixture.Publish({SingleRoute(Repeatability::kIdempotent)});
  Caller caller = fixture.MakeCaller();
  caller.SendRaw(
      "POST /one/1 HTTP/1.1\r\nHost: single.example\r\nRequest-Id: a\r\n"
      "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Late: 1\r\nRequest-Id: z\r\n\r\n");
  CHECK(caller.Receive().result_int() == 200);
}

// Guards against a caller that repeats a request which may run once only.
TEST_CASE("a target's 503 after a run is not passed on where the request may run once only") {
  Fixture fixture;
  fixture.AddTarget("one", [](const std::string& header) -> TargetAction {
    return {"HTTP/1.1 503 Busy\r\nRequest-Id: " + FieldOf(header, "Request-Id") +
            "\r\nResponse-Stamp: s\r\nContent-Length: 0\r\n\r\n"};
  });
  fixture.Publish({SingleRoute(Repeatability::kAtMostOnce)});
  const Response response = fixture.MakeCaller().Get("single.example", "/one/1", "a");
  CHECK(response.result_int() == 502);
  CHECK(response.find("Response-Stamp") == response.end());
}

TEST_CASE("an answer to HEAD has no body, and none is awaited from the target") {
  Fixture fixture;
  fixture.AddTarget("one", [](const std::string& header) -> TargetAction {
    CHECK(header.starts_with("HEAD "));
    return {"HTTP/1.1 200 OK\r\nRequest-Id: " + FieldOf(header, "Request-Id") +
            "\r\nResponse-Stamp: s\r\nContent-Length: 5\r\n\r\n"};
  });
  fixture.Publish({SingleRoute(Repeatability::kIdempotent)});
  for (const char* path : {"/one/1", "/none/1"}) {
    CAPTURE(path);
    Caller caller = fixture.MakeCaller();
    caller.SendRaw("HEAD " + std::string(path) +
                   " HTTP/1.1\r\nHost: single.example\r\nRequest-Id: a\r\n"
                   "Connection: close\r\n\r\n");
    const std::string bytes = caller.ReceiveAll();
    CHECK(bytes.starts_with("HTTP/1.1 "));
    CHECK(bytes.ends_with("\r\n\r\n"));
    CHECK(bytes.find("Content-Length: ") != std::string::npos);
    CHECK(bytes.find("Content-Length: 0\r\n") == std::string::npos);
  }
}

}  // namespace
}  // namespace peridotfork
