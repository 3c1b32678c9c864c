#include "peridotfork/upstream/connection.h"

#include <doctest/doctest.h>

#include <boost/beast/http.hpp>
#include <future>
#include <optional>

#include "peridotfork/runtime/worker_pool.h"
#include "peridotfork/upstream/connection_pool.h"
#include "upstream/scripted_target.h"

namespace peridotfork {
namespace {

using After = TargetAction::After;
using std::chrono::milliseconds;

class Fixture {
 public:
  explicit Fixture(ScriptedTarget::Script script) : target(std::move(script)) {
    TargetEntry entry;
    entry.id = TargetId("i-1");
    entry.address = target.address();
    endpoint.reset(new Target(entry));
    connections.Start();
  }

  ~Fixture() {
    connections.Stop();
    pool.Stop();
  }

  struct Started {
    ConnectionPtr connection;
    std::uint64_t number;
    std::future<ExchangeResult> result;
  };

  Started Start(const std::string& id, http::SharedBytesPtr body = nullptr) {
    auto promise = std::make_shared<std::promise<ExchangeResult>>();
    Exchange exchange;
    exchange.request.method(boost::beast::http::verb::get);
    exchange.request.target("/x");
    exchange.request.version(11);
    exchange.request.set("Request-Id", id);
    exchange.request.content_length(http::SharedBody::size(body));
    exchange.request.body() = std::move(body);
    exchange.matches = [id](const http::RawResponse& response) {
      return response["Request-Id"] == id;
    };
    exchange.done = [promise](ExchangeResult result) { promise->set_value(std::move(result)); };
    ConnectionPtr connection = connections.Take(endpoint);
    const std::uint64_t number = connection->Start(std::move(exchange));
    return {connection, number, promise->get_future()};
  }

  ExchangeResult Run(const std::string& id) { return Start(id).result.get(); }

  ScriptedTarget target;
  SystemClock clock;
  WorkerPool pool{1};
  TargetPtr endpoint;
  ConnectionPool connections{pool, clock, Bytes(1 << 20)};
};

TEST_CASE("a connection is kept open for the next exchange") {
  Fixture fixture([](const std::string& header) -> TargetAction {
    return {Answer(FieldOf(header, "Request-Id"), "body")};
  });
  for (const char* id : {"a", "b", "c"}) {
    const ExchangeResult result = fixture.Run(id);
    CHECK(result.state == ExchangeState::kAnswered);
    CHECK(result.response["Response-Stamp"] == std::string("stamp-") + id);
  }
  CHECK(fixture.target.connections() == 1);
}

TEST_CASE("a second answer to an earlier request is ignored") {
  std::string last;
  Fixture fixture([&last](const std::string& header) -> TargetAction {
    const std::string id = FieldOf(header, "Request-Id");
    const std::string late = last.empty() ? "" : Answer(last, "late");
    last = id;
    return {late + Answer(id, "own")};
  });
  CHECK(fixture.Run("a").response.body() == "own");
  const ExchangeResult second = fixture.Run("b");
  CHECK(second.state == ExchangeState::kAnswered);
  CHECK(second.response["Request-Id"] == "b");
  CHECK(second.response.body() == "own");
  fixture.Run("c");
  CHECK(fixture.target.connections() == 2);
}

TEST_CASE("extra bytes after an answer end the connection") {
  Fixture fixture([](const std::string& header) -> TargetAction {
    return {Answer(FieldOf(header, "Request-Id"), "own") + "HTTP/1.1 200 OK\r\n"};
  });
  CHECK(fixture.Run("a").response.body() == "own");
  CHECK(fixture.Run("b").response.body() == "own");
  CHECK(fixture.target.connections() == 2);
}

TEST_CASE("an answer without a length is ended by the close of its connection alone") {
  Fixture fixture([](const std::string& header) -> TargetAction {
    return {"HTTP/1.1 200 OK\r\nRequest-Id: " + FieldOf(header, "Request-Id") + "\r\n\r\nwhole",
            milliseconds(0), After::kClose};
  });
  const ExchangeResult result = fixture.Run("a");
  CHECK(result.state == ExchangeState::kAnswered);
  CHECK(result.response.body() == "whole");
}

TEST_CASE("an answer that is cut short or reset on the way counts as lost") {
  for (const After after : {After::kClose, After::kReset}) {
    Fixture fixture([after](const std::string& header) -> TargetAction {
      const std::string whole = Answer(FieldOf(header, "Request-Id"), std::string(100, 'x'));
      return {whole.substr(0, whole.size() - 10), milliseconds(0), after};
    });
    CHECK(fixture.Run("a").state == ExchangeState::kLost);
  }
  Fixture unframed([](const std::string& header) -> TargetAction {
    return {"HTTP/1.1 200 OK\r\nRequest-Id: " + FieldOf(header, "Request-Id") + "\r\n\r\npart",
            milliseconds(0), After::kReset};
  });
  CHECK(unframed.Run("a").state == ExchangeState::kLost);
}

// Guards against a part of a head that is taken for a whole answer with an empty or short body.
TEST_CASE("an answer whose head is cut short at any byte counts as lost") {
  const std::string heads[] = {
      "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nResponse-Stamp: s\r\nContent-Length: 100\r\n\r\n",
      "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nResponse-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n",
      "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nResponse-Stamp: s\r\nConnection: close\r\n\r\n",
      "HTTP/1.0 200 OK\r\nRequest-Id: a\r\nResponse-Stamp: s\r\n\r\n",
      "HTTP/1.1 204 No Content\r\nRequest-Id: a\r\nResponse-Stamp: s\r\n\r\n",
  };
  const std::string earlier[] = {"", "HTTP/1.1 103 Early\r\nX: y\r\n\r\n", Answer("z", "late")};
  for (const std::string& head : heads) {
    for (const std::string& first : earlier) {
      std::size_t cut = 0;
      Fixture fixture([&](const std::string&) -> TargetAction {
        return {first + head.substr(0, cut), milliseconds(0),
                cut % 2 == 0 ? After::kClose : After::kReset};
      });
      for (; cut < head.size(); ++cut) {
        CAPTURE(head.substr(0, cut));
        CHECK(fixture.Run("a").state == ExchangeState::kLost);
      }
    }
  }
}

TEST_CASE("an exchange whose answer is not HTTP counts as lost") {
  Fixture fixture([](const std::string&) -> TargetAction {
    return {"\x01\x02 this is no answer\r\n\r\n", milliseconds(0), After::kKeep};
  });
  CHECK(fixture.Run("a").state == ExchangeState::kLost);
}

TEST_CASE("a kept connection that was closed by the target is replaced without a loss") {
  Fixture fixture([](const std::string& header) -> TargetAction {
    return {Answer(FieldOf(header, "Request-Id"), "own"), milliseconds(0), After::kClose};
  });
  CHECK(fixture.Run("a").state == ExchangeState::kAnswered);
  std::this_thread::sleep_for(milliseconds(50));
  CHECK(fixture.Run("b").state == ExchangeState::kAnswered);
  CHECK(fixture.target.connections() == 2);
}

// Bytes without end, in each place of an answer where a target in trouble may send them.
TEST_CASE("an answer that never ends is cut off and its memory is released") {
  const std::string ok = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n";
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string block(10000, 'x');
  struct Case {
    const char* name;
    std::string bytes;
    std::string endless;
  };
  const Case cases[] = {
      {"no HTTP", "", block},
      {"status line", "HTTP/1.1 200 ", block},
      {"field", ok + "X: ", block},
      {"fields", ok, "X: y\r\n"},
      {"body without a length", ok + "\r\n", block},
      {"body with a length", ok + "Content-Length: 99999999999\r\n\r\n", block},
      {"chunks", chunked, "2710\r\n" + block + "\r\n"},
      {"small chunks", chunked, "1\r\nx\r\n"},
      {"chunk size", chunked, "0000000000"},
      {"chunk extension", chunked + "1;", block},
      {"trailer", chunked + "0\r\nX: ", block},
      {"trailers", chunked + "0\r\n", "X: y\r\n"},
      {"informational responses", "", "HTTP/1.1 103 Early\r\n\r\n"},
      {"answers to another request", "", Answer("b", block)},
  };
  for (const Case& test : cases) {
    CAPTURE(test.name);
    Fixture fixture([&test](const std::string&) -> TargetAction {
      return {test.bytes, milliseconds(0), After::kClose, test.endless};
    });
    CHECK(fixture.Run("a").state == ExchangeState::kLost);
    CHECK(fixture.connections.memory().reserved() == Bytes(0));
    CHECK(fixture.connections.size() == 0);
  }
}

TEST_CASE("an answer whose status is none of HTTP counts as lost at once") {
  for (const std::string status : {"000", "001", "099", "600", "999"}) {
    CAPTURE(status);
    Fixture fixture([&status](const std::string&) -> TargetAction {
      return {"HTTP/1.1 " + status +
              " OK\r\nRequest-Id: a\r\nResponse-Stamp: s\r\nContent-Length: 3\r\n\r\nown"};
    });
    Fixture::Started started = fixture.Start("a");
    REQUIRE(started.result.wait_for(std::chrono::seconds(2)) == std::future_status::ready);
    CHECK(started.result.get().state == ExchangeState::kLost);
    CHECK(fixture.connections.size() == 0);
  }
}

TEST_CASE("bytes after an answer are not read without end") {
  Fixture fixture([](const std::string& header) -> TargetAction {
    return {Answer(FieldOf(header, "Request-Id"), "own"), milliseconds(0), After::kClose,
            std::string(10000, 'x')};
  });
  CHECK(fixture.Run("a").response.body() == "own");
  CHECK(fixture.Run("b").response.body() == "own");
}

TEST_CASE("an answer that drips ends when it is abandoned") {
  Fixture fixture([](const std::string&) -> TargetAction {
    return {"HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\n", milliseconds(0), After::kClose, "x",
            milliseconds(5)};
  });
  Fixture::Started started = fixture.Start("a");
  started.connection->Abandon(started.number, fixture.clock.now() + milliseconds(150));
  CHECK(started.result.get().state == ExchangeState::kAbandoned);
}

TEST_CASE("informational responses before an answer are skipped") {
  Fixture fixture([](const std::string& header) -> TargetAction {
    return {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nX: y\r\n\r\n" +
            Answer(FieldOf(header, "Request-Id"), "own")};
  });
  CHECK(fixture.Run("a").response.body() == "own");
  CHECK(fixture.Run("b").response.body() == "own");
  CHECK(fixture.target.connections() == 1);
}

TEST_CASE("an answer that finds no memory is read when another one has released some") {
  constexpr std::size_t kSize = 700'000;
  Fixture fixture([](const std::string& header) -> TargetAction {
    return {Answer(FieldOf(header, "Request-Id"), std::string(kSize, 'x'))};
  });
  std::optional<ExchangeResult> first = fixture.Run("a");
  REQUIRE(first->state == ExchangeState::kAnswered);
  CHECK(first->memory.size() >= Bytes(kSize));
  Fixture::Started second = fixture.Start("b");
  Fixture::Started third = fixture.Start("c");
  CHECK(second.result.wait_for(milliseconds(100)) == std::future_status::timeout);
  CHECK(fixture.connections.memory().waiting() == 2);
  first.reset();
  const bool second_first = second.result.wait_for(milliseconds(500)) == std::future_status::ready;
  std::optional<ExchangeResult> next = second_first ? second.result.get() : third.result.get();
  CHECK(next->state == ExchangeState::kAnswered);
  next.reset();
  CHECK((second_first ? third : second).result.get().state == ExchangeState::kAnswered);
}

TEST_CASE("an exchange with a target that refuses connections reports not connected") {
  Fixture fixture([](const std::string&) -> TargetAction { return {}; });
  TargetEntry entry;
  entry.address = Address("127.0.0.1:1");
  fixture.endpoint.reset(new Target(entry));
  CHECK(fixture.Run("a").state == ExchangeState::kNotConnected);
}

TEST_CASE("an exchange that is abandoned at once ends even if its write completes later") {
  Fixture fixture([](const std::string& header) -> TargetAction {
    return {Answer(FieldOf(header, "Request-Id"), "own"), milliseconds(5)};
  });
  fixture.Run("warm");
  // The write of the exchange is still in progress when the exchange ends.
  for (int i = 0; i < 200; ++i) {
    Fixture::Started started = fixture.Start("a" + std::to_string(i));
    started.connection->Abandon(started.number, fixture.clock.now());
    CHECK(started.result.get().state == ExchangeState::kAbandoned);
  }
}

TEST_CASE("an exchange that no one waits for is closed after its end time") {
  Fixture fixture([](const std::string& header) -> TargetAction {
    return {Answer(FieldOf(header, "Request-Id"), "own"), milliseconds(1500)};
  });
  Fixture::Started started = fixture.Start("a");
  started.connection->Abandon(started.number, fixture.clock.now() + milliseconds(100));
  const BootTime begin = fixture.clock.now();
  CHECK(started.result.get().state == ExchangeState::kAbandoned);
  CHECK(fixture.clock.now() - begin >= milliseconds(90));
  CHECK(fixture.clock.now() - begin < milliseconds(1000));
}

TEST_CASE("abandoning an earlier exchange does not affect the next one") {
  Fixture fixture([](const std::string& header) -> TargetAction {
    return {Answer(FieldOf(header, "Request-Id"), "own"), milliseconds(20)};
  });
  Fixture::Started first = fixture.Start("a");
  CHECK(first.result.get().state == ExchangeState::kAnswered);
  Fixture::Started second = fixture.Start("b");
  REQUIRE(second.connection == first.connection);
  first.connection->Abandon(first.number, fixture.clock.now());
  CHECK(second.result.get().state == ExchangeState::kAnswered);
}

// Guards against idle connections that keep the bodies of the requests that they have carried
// (review/6).
TEST_CASE("a body that many connections send is held once, and by none that is idle") {
  std::atomic<int> received = 0;
  Fixture fixture([&received](const std::string& header) -> TargetAction {
    ++received;
    return {Answer(FieldOf(header, "Request-Id"), "notes"), milliseconds(300)};
  });
  const http::SharedBytesPtr body(new http::SharedBytes(std::string(1000, 'b')));
  std::vector<Fixture::Started> started;
  started.reserve(5);
  for (int i = 0; i < 5; ++i) {
    started.push_back(fixture.Start("r" + std::to_string(i), body));
  }
  for (Fixture::Started& exchange : started) {
    CHECK(exchange.result.get().state == ExchangeState::kAnswered);
  }
  CHECK(received == 5);
  CHECK(body->use_count() == 1);
}

}  // namespace
}  // namespace peridotfork
