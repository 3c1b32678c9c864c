#ifndef PERIDOTFORK_TEST_UPSTREAM_SCRIPTED_TARGET_H_
#define PERIDOTFORK_TEST_UPSTREAM_SCRIPTED_TARGET_H_

#include <sys/socket.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "peridotfork/core/ids.h"

namespace peridotfork {

// How a scripted target responds to one request.
struct TargetAction {
  // Written to the connection unchanged.
  std::string bytes;
  std::chrono::milliseconds delay{0};
  // What is done with the connection after the write.
  enum class After { kKeep, kClose, kReset } after = After::kKeep;
  // If not empty: written again and again after `bytes`, until the caller closes the connection.
  std::string endless{};
  // Pause between two writes of `endless`.
  std::chrono::milliseconds pause{0};
};

// A target that answers each request with the bytes that `script` returns for its header.
// This allows malformed responses. Uses one thread for each connection. Requests must have
// no body.
class ScriptedTarget {
 public:
  using Tcp = boost::asio::ip::tcp;
  using Script = std::function<TargetAction(const std::string& header)>;

  explicit ScriptedTarget(Script script)
      : script_(std::move(script)),
        acceptor_(context_, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
        thread_([this] { AcceptAll(); }) {}

  ~ScriptedTarget() {
    stopping_ = true;
    // Unblocks the accept call.
    boost::system::error_code ignored;
    Tcp::socket(context_).connect(acceptor_.local_endpoint(), ignored);
    thread_.join();
    {
      const std::lock_guard lock(close_mutex_);
      for (const auto& socket : sockets_) {
        socket->shutdown(Tcp::socket::shutdown_both, ignored);
      }
    }
    for (std::thread& worker : workers_) {
      worker.join();
    }
  }

  // Refuses connections from now on, like a target that has gone down.
  void StopListening() { ::shutdown(acceptor_.native_handle(), SHUT_RDWR); }

  Address address() const {
    return Address("127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()));
  }
  int connections() const { return connections_; }
  int requests() const { return requests_; }
  std::uint64_t endless_bytes() const { return endless_bytes_; }

 private:
  void AcceptAll() {
    for (;;) {
      auto socket = std::make_shared<Tcp::socket>(context_);
      boost::system::error_code error;
      acceptor_.accept(*socket, error);
      if (error || stopping_) {
        return;
      }
      ++connections_;
      sockets_.push_back(socket);
      workers_.emplace_back([this, socket] { Serve(*socket); });
    }
  }

  void Serve(Tcp::socket& socket) {
    std::string buffer;
    for (;;) {
      boost::system::error_code error;
      const std::size_t size =
          boost::asio::read_until(socket, boost::asio::dynamic_buffer(buffer), "\r\n\r\n", error);
      if (error) {
        return;
      }
      ++requests_;
      const TargetAction action = script_(buffer.substr(0, size));
      buffer.erase(0, size);
      std::this_thread::sleep_for(action.delay);
      boost::asio::write(socket, boost::asio::buffer(action.bytes), error);
      while (!action.endless.empty() && !error && !stopping_) {
        endless_bytes_ += boost::asio::write(socket, boost::asio::buffer(action.endless), error);
        std::this_thread::sleep_for(action.pause);
      }
      const std::lock_guard lock(close_mutex_);
      if (action.after == TargetAction::After::kReset) {
        socket.set_option(boost::asio::socket_base::linger(true, 0), error);
      }
      if (action.after != TargetAction::After::kKeep) {
        socket.close(error);
        return;
      }
    }
  }

  const Script script_;
  boost::asio::io_context context_;
  Tcp::acceptor acceptor_;
  // Serializes the closing of sockets.
  std::mutex close_mutex_;
  std::atomic<bool> stopping_ = false;
  std::atomic<int> connections_ = 0;
  std::atomic<int> requests_ = 0;
  std::atomic<std::uint64_t> endless_bytes_ = 0;
  std::vector<std::shared_ptr<Tcp::socket>> sockets_;
  std::vector<std::thread> workers_;
  std::thread thread_;
};

// Returns the value of a header field of a request, or an empty string.
inline std::string FieldOf(const std::string& header, const std::string& name) {
  const std::size_t at = header.find("\r\n" + name + ": ");
  if (at == std::string::npos) {
    return {};
  }
  const std::size_t begin = at + name.size() + 4;
  return header.substr(begin, header.find("\r\n", begin) - begin);
}

// Returns a valid answer to the request `id`.
inline std::string Answer(const std::string& id,
                          const std::string& body,
                          const std::string& fields = "",
                          int status = 200) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\nRequest-Id: " + id +
         "\r\nResponse-Stamp: stamp-" + id + "\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace peridotfork

#endif  // PERIDOTFORK_TEST_UPSTREAM_SCRIPTED_TARGET_H_
