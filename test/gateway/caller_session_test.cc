#include "peridotfork/gateway/caller_session.h"

#include <doctest/doctest.h>

#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <future>
#include <mutex>
#include <thread>

#include "peridotfork/gateway/request_runner.h"

namespace peridotfork {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using std::chrono::milliseconds;
using Tcp = asio::ip::tcp;

http::RawResponse MakeAnswer(unsigned status, const std::string& body) {
  http::RawResponse response(bhttp::int_to_status(status), 11);
  response.body() = body;
  response.prepare_payload();
  return response;
}

// Answers each request at once with the size of its body.
class AnsweringSink final : public RequestSink {
 public:
  explicit AnsweringSink(std::size_t memory) : memory_(new CallerMemory(Bytes(memory))) {}

  RequestRunnerPtr Handle(http::RawRequest request, BootTime, Callback done) override {
    ++handled;
    done({MakeAnswer(200, std::to_string(request.body().size())), {}});
    return nullptr;
  }
  std::optional<http::RawResponse> RefuseHead(const http::RawRequest&) override {
    return std::nullopt;
  }
  http::RawResponse Refuse(unsigned status, const Error&) override {
    return MakeAnswer(status, "refused");
  }
  http::RawResponse RefuseForMemory(const http::RawRequest&) override {
    return MakeAnswer(503, "memory");
  }
  const boost::intrusive_ptr<CallerMemory>& caller_memory() const override { return memory_; }
  IngressLimits limits() const override {
    const std::lock_guard lock(mutex_);
    return limits_;
  }
  const Clock& clock() const override { return clock_; }
  bool draining() const override { return false; }

  void SetLimits(const IngressLimits& limits) {
    const std::lock_guard lock(mutex_);
    limits_ = limits;
  }

  std::atomic<int> handled = 0;

 private:
  const boost::intrusive_ptr<CallerMemory> memory_;
  SystemClock clock_;
  mutable std::mutex mutex_;
  IngressLimits limits_;
};

// One session with its caller.
class Fixture {
 public:
  explicit Fixture(std::size_t memory, const IngressLimits& limits = {}) : sink(memory) {
    sink.SetLimits(limits);
    Tcp::acceptor acceptor(context, Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    caller.connect(acceptor.local_endpoint());
    Tcp::socket accepted(asio::make_strand(context));
    acceptor.accept(accepted);
    session = CallerSessionPtr(new CallerSession(std::move(accepted), sink,
                                                 [this](CallerSession&) { ended.set_value(); }));
    session->Run();
    worker = std::thread([this] { context.run(); });
  }

  ~Fixture() {
    caller.close();
    worker.join();
  }

  bool Send(const std::string& bytes) {
    beast::error_code error;
    asio::write(caller, asio::buffer(bytes), error);
    return !error;
  }

  // Reads a response to `method`; status 0 if the connection ends without one.
  http::RawResponse Receive(bhttp::verb method = bhttp::verb::get) {
    bhttp::response_parser<bhttp::string_body> parser;
    parser.skip(method == bhttp::verb::head);
    beast::error_code error;
    bhttp::read(caller, buffer, parser, error);
    http::RawResponse response = parser.release();
    if (error) {
      response.result(0U);
    }
    return response;
  }

  bool HasEnded() {
    return ended.get_future().wait_for(std::chrono::seconds(10)) == std::future_status::ready;
  }

  // Whether the account becomes empty; the session may still have to see that it was closed.
  bool ReleasesMemory() {
    for (int i = 0; i < 500 && sink.caller_memory()->used() != Bytes(0); ++i) {
      std::this_thread::sleep_for(milliseconds(5));
    }
    return sink.caller_memory()->used() == Bytes(0);
  }

  asio::io_context context;
  AnsweringSink sink;
  asio::io_context caller_context;
  Tcp::socket caller{caller_context};
  beast::flat_buffer buffer;
  std::promise<void> ended;
  CallerSessionPtr session;
  std::thread worker;
};

std::string Post(std::size_t length, const std::string& fields = "") {
  return "POST /a HTTP/1.1\r\nHost: a\r\n" + fields + "Content-Length: " + std::to_string(length) +
         "\r\n\r\n";
}

// Guards against a reset in place of the refusal while the caller still sends.
TEST_CASE("a caller receives a refusal that precedes the end of its body") {
  constexpr std::size_t kSize = 900'000;
  IngressLimits limits;
  limits.max_body = Bytes(kSize);
  for (const std::size_t length : {kSize, kSize + 1}) {
    Fixture fixture(/*memory=*/1000, limits);
    CHECK(fixture.Send(Post(length)));
    for (std::size_t sent = 0; sent < kSize; sent += kSize / 10) {
      CHECK(fixture.Send(std::string(kSize / 10, 'x')));
      std::this_thread::sleep_for(milliseconds(10));
    }
    CHECK(fixture.Receive().result_int() == (length > kSize ? 413 : 503));
    fixture.caller.close();
    CHECK(fixture.HasEnded());
    CHECK(fixture.sink.handled == 0);
    CHECK(fixture.ReleasesMemory());
  }
}

// Guards against a connection that stays open because its caller never ends.
TEST_CASE("a refused caller that neither sends nor closes is closed") {
  Fixture fixture(/*memory=*/1000);
  CHECK(fixture.Send(Post(1000)));
  CHECK(fixture.Receive().result_int() == 503);
  CHECK(fixture.HasEnded());
}

// Guards against reading into a full buffer in a loop.
TEST_CASE("a limit on heads that is raised on an open connection applies to its next request") {
  Fixture fixture(/*memory=*/1000);
  CHECK(fixture.Send("GET /a HTTP/1.1\r\nHost: a\r\n\r\n"));
  CHECK(fixture.Receive().result_int() == 200);
  IngressLimits limits;
  limits.max_header = Bytes(100'000);
  fixture.sink.SetLimits(limits);
  CHECK(fixture.Send("GET /a HTTP/1.1\r\nHost: a\r\nX: " + std::string(60'000, 'x') + "\r\n\r\n"));
  CHECK(fixture.Receive().result_int() == 200);
}

TEST_CASE("only a connection whose caller is to send or to read is closed as slow") {
  Fixture fixture(/*memory=*/1000);
  CHECK(fixture.Send("GET /a HTTP/1.1\r\nHost: a\r\n\r\n"));
  CHECK(fixture.Receive().result_int() == 200);
  // The response may arrive before the session has seen that it was written.
  for (int i = 0; i < 500 && fixture.session->busy(); ++i) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  CHECK(fixture.session->Progress().held == 0);
  fixture.session->CloseIfSlow();
  CHECK(fixture.Send(Post(100) + "x"));
  for (int i = 0; i < 500 && fixture.session->Progress().held == 0; ++i) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  CHECK(fixture.session->Progress().held == 200);
  CHECK(fixture.sink.caller_memory()->used() == Bytes(200));
  fixture.session->CloseIfSlow();
  CHECK(fixture.HasEnded());
  CHECK(fixture.Receive().result_int() == 0);
  CHECK(fixture.sink.handled == 1);
  fixture.session.reset();
  CHECK(fixture.ReleasesMemory());
}

TEST_CASE("requests with bodies of all kinds are answered on one connection") {
  Fixture fixture(/*memory=*/100'000);
  CHECK(fixture.Send(Post(0) + Post(3) + "abc" +
                     "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                     "2\r\nab\r\n0\r\n\r\n"
                     "HEAD /a HTTP/1.1\r\nHost: a\r\n\r\n"));
  CHECK(fixture.Receive().body() == "0");
  CHECK(fixture.Receive().body() == "3");
  CHECK(fixture.Receive().body() == "2");
  CHECK(fixture.Receive(bhttp::verb::head).result_int() == 200);
  CHECK(fixture.Send(Post(4, "Expect: 100-continue\r\n")));
  CHECK(fixture.Receive().result_int() == 100);
  CHECK(fixture.Send("abcd"));
  CHECK(fixture.Receive().body() == "4");
  CHECK(fixture.ReleasesMemory());
}

}  // namespace
}  // namespace peridotfork
