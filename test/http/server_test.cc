#include "peridotfork/http/server.h"

#include <doctest/doctest.h>
#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <future>

#include "peridotfork/http/client.h"
#include "peridotfork/runtime/worker_pool.h"

namespace peridotfork::http {
namespace {

// Echoes the parts of the request.
class EchoHandler final : public Handler {
 public:
  void Handle(Request request, Responder respond) override {
    Response response;
    response.body =
        request.method + " " + request.path + " " + request.query["q"] + " " + request.body;
    response.headers.emplace_back("X-Revision", "7");
    respond(std::move(response));
  }
};

struct Fixture {
  explicit Fixture(ServerOptions options = {}) : server(pool.context(), options, handler) {
    REQUIRE(server.Listen(Address("127.0.0.1:0")).has_value());
  }
  ~Fixture() { pool.Stop(); }

  std::pair<std::optional<ClientError>, Response> Call(Request request) {
    std::promise<std::pair<std::optional<ClientError>, Response>> promise;
    Fetch(pool.context(), server.address(), std::move(request), std::chrono::seconds(5), 1 << 20,
          [&](const std::optional<ClientError>& error, Response response) {
            promise.set_value({error, std::move(response)});
          });
    return promise.get_future().get();
  }

  // Sends raw bytes and reads until the server closes the connection.
  std::string Raw(const std::string& bytes) {
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    socket.connect(ParseEndpoint(server.address()).value());
    boost::asio::write(socket, boost::asio::buffer(bytes));
    std::string answer;
    boost::system::error_code error;
    boost::asio::read(socket, boost::asio::dynamic_buffer(answer), error);
    return answer;
  }

  WorkerPool pool{2};
  EchoHandler handler;
  Server server;
};

TEST_CASE("a request reaches the handler with its path, query and body") {
  Fixture fixture;
  const auto [error, response] = fixture.Call({"POST", "/v1/search", {{"q", "levy"}}, "payload"});
  REQUIRE_FALSE(error.has_value());
  CHECK(response.body == "POST /v1/search levy payload");
  CHECK(response.Header("x-revision") == "7");
}

// Guards against a request line that is malformed because a value of the query is sent unencoded.
TEST_CASE("any bytes in the path and the query of a request arrive unchanged") {
  Fixture fixture;
  std::string all_bytes;
  for (int byte = 0; byte < 256; ++byte) {
    all_bytes += static_cast<char>(byte);
  }
  for (const std::string& value :
       {std::string("a copy of i-1"), std::string("a+b&c=d#e?f"), std::string("100%41"),
        std::string("\r\n\r\nGET / HTTP/1.1"), std::string("\xc3\xa9"), all_bytes}) {
    CAPTURE(value);
    const auto [error, response] = fixture.Call({"GET", "/a b?c/%41", {{"q", value}}, ""});
    REQUIRE_FALSE(error.has_value());
    CHECK(response.body == "GET /a b?c/%41 " + value + " ");
  }
}

// Guards against unbounded buffering of a request.
TEST_CASE("a body over the limit is refused with 413 and its limit") {
  Fixture fixture({.body_limit = 10});
  const std::string answer =
      fixture.Raw("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\n01234567890");
  CHECK(answer.find("413") != std::string::npos);
  CHECK(answer.find("too_large") != std::string::npos);
}

TEST_CASE("a header over the limit is refused with 431") {
  Fixture fixture;
  const std::string answer =
      fixture.Raw("GET / HTTP/1.1\r\nX: " + std::string(20000, 'a') + "\r\n\r\n");
  CHECK(answer.find("431") != std::string::npos);
}

TEST_CASE("bytes that are not HTTP are refused with 400") {
  Fixture fixture;
  CHECK(fixture.Raw("\x01\x02 nonsense\r\n\r\n").find("400") != std::string::npos);
}

// Guards against connections held open by a slow sender.
TEST_CASE("a request that does not arrive in time is refused with 408") {
  Fixture fixture({.read_timeout = std::chrono::milliseconds(50)});
  CHECK(fixture.Raw("GET / HT").find("408") != std::string::npos);
}

TEST_CASE("a refused connection is reported as not sent") {
  Fixture fixture;
  std::promise<ClientError> promise;
  Fetch(fixture.pool.context(), Address("127.0.0.1:1"), {"GET", "/", {}, ""},
        std::chrono::seconds(5), 100,
        [&](const std::optional<ClientError>& error, const Response&) {
          promise.set_value(error.value());
        });
  const ClientError error = promise.get_future().get();
  CHECK(error.sent == SendState::kNotSent);
  CHECK(error.error.kind() == ErrorKind::kTransport);
}

TEST_CASE("an address with a host name is refused") {
  CHECK(ParseEndpoint(Address("example:80")).error().kind() == ErrorKind::kMalformed);
  CHECK(ParseEndpoint(Address("127.0.0.1:")).error().kind() == ErrorKind::kMalformed);
  CHECK(ParseEndpoint(Address("127.0.0.1:70000")).error().kind() == ErrorKind::kMalformed);
}

}  // namespace
}  // namespace peridotfork::http
