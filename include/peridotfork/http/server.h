#ifndef PERIDOTFORK_HTTP_SERVER_H_
#define PERIDOTFORK_HTTP_SERVER_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "peridotfork/core/error.h"
#include "peridotfork/core/ids.h"
#include "peridotfork/http/message.h"

namespace peridotfork::http {

// Opens, binds and listens. Port 0 lets the system choose.
Result<void> OpenAcceptor(const Address& address, boost::asio::ip::tcp::acceptor& acceptor);

// Address on which an acceptor listens.
Address LocalAddress(const boost::asio::ip::tcp::acceptor& acceptor);

struct ServerOptions {
  // A larger body is refused with 413.
  std::uint64_t body_limit = std::uint64_t{64} * 1024;
  // A request that takes longer to arrive is refused with 408. It is also how
  // long an idle connection is kept.
  std::chrono::milliseconds read_timeout{5000};
  std::chrono::milliseconds idle_timeout{60000};
  // Connections over this number are closed when they are accepted.
  std::size_t max_connections = 10000;
};

// HTTP/1.1 server. One request at a time on each connection; keep-alive. The
// handler and the context must outlive the server and its connections.
class Server {
 public:
  Server(boost::asio::io_context& context, ServerOptions options, Handler& handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // Binds and accepts. Port 0 lets the system choose; see address().
  Result<void> Listen(const Address& address);

  Address address() const;

  // Stops accepting connections, and answers from now on with "Connection:
  // close". Requests that have arrived are answered. Thread-safe.
  void Stop();

  // Number of requests that were handed to the handler and are not answered.
  std::size_t in_flight() const;

  // State that the server shares with its connections.
  struct Shared : boost::intrusive_ref_counter<Shared> {
    Shared(ServerOptions server_options, Handler& request_handler)
        : options(server_options), handler(request_handler) {}

    const ServerOptions options;
    Handler& handler;
    std::atomic<std::size_t> connections = 0;
    std::atomic<std::size_t> in_flight = 0;
    std::atomic<bool> stopping = false;
  };

 private:
  void Accept();

  boost::asio::io_context& context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  const boost::intrusive_ptr<Shared> shared_;
};

}  // namespace peridotfork::http

#endif  // PERIDOTFORK_HTTP_SERVER_H_
