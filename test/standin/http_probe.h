#ifndef PERIDOTFORK_TEST_STANDIN_HTTP_PROBE_H_
#define PERIDOTFORK_TEST_STANDIN_HTTP_PROBE_H_

#include <doctest/doctest.h>
#include <chrono>
#include <future>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

#include "peridotfork/http/client.h"
#include "peridotfork/runtime/worker_pool.h"

namespace peridotfork::standin {

// Response to a call; status 0 if the connection failed or timed out.
struct Answer {
  unsigned status = 0;
  std::string body;
  std::string revision;

  nlohmann::json json() const { return nlohmann::json::parse(body); }
};

inline Answer MakeAnswer(const std::optional<http::ClientError>& error,
                         const http::Response& response) {
  if (error) {
    return {};
  }
  return {response.status, response.body, response.Header("X-Revision")};
}

// Sends a request over a new connection and returns without waiting.
inline std::future<Answer> CallAsync(WorkerPool& pool,
                                     const Address& address,
                                     http::Request request,
                                     std::chrono::milliseconds timeout = std::chrono::seconds(5)) {
  auto promise = std::make_shared<std::promise<Answer>>();
  std::future<Answer> future = promise->get_future();
  http::Fetch(pool.context(), address, std::move(request), timeout, 16 << 20,
              [promise](const auto& error, const http::Response& response) {
                promise->set_value(MakeAnswer(error, response));
              });
  return future;
}

inline Answer Call(WorkerPool& pool, const Address& address, http::Request request) {
  return CallAsync(pool, address, std::move(request)).get();
}

// One persistent connection.
class Connection {
 public:
  Connection(WorkerPool& pool, const Address& address)
      : client_(new http::ClientConnection(pool.context(), address, 16 << 20)) {
    std::promise<bool> connected;
    client_->Connect(std::chrono::seconds(5),
                     [&](const Result<void>& result) { connected.set_value(result.has_value()); });
    REQUIRE(connected.get_future().get());
  }
  ~Connection() { client_->Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  std::future<Answer> CallAsync(http::Request request,
                                std::chrono::milliseconds timeout = std::chrono::seconds(5)) {
    auto promise = std::make_shared<std::promise<Answer>>();
    std::future<Answer> future = promise->get_future();
    client_->RoundTrip(std::move(request), timeout,
                       [promise](const auto& error, const http::Response& response) {
                         promise->set_value(MakeAnswer(error, response));
                       });
    return future;
  }

  Answer Call(http::Request request) { return CallAsync(std::move(request)).get(); }

 private:
  boost::intrusive_ptr<http::ClientConnection> client_;
};

}  // namespace peridotfork::standin

#endif  // PERIDOTFORK_TEST_STANDIN_HTTP_PROBE_H_
