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

// Opens, binds and listens. Port 0 selects a free port.
Result<void> OpenAcceptor(const Address& address, boost::asio::ip::tcp::acceptor& acceptor);

// Address on which an acceptor listens.
Address LocalAddress(const boost::asio::ip::tcp::acceptor& acceptor);

struct ServerOptions {
  // A larger body is refused with 413.
  std::uint64_t body_limit = std::uint64_t{64} * 1024;
  // A request that takes longer to arrive is refused with 408. Also limits the
  // time for writing a response.
  std::chrono::milliseconds read_timeout{5000};
  // How long an idle connection is kept open.
  std::chrono::milliseconds idle_timeout{60000};
  // Connections above this number are closed on acceptance.
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

  // Binds and accepts connections. Port 0 selects a free port; see address().
  Result<void> Listen(const Address& address);

  Address address() const;

  // Stops accepting connections, and adds "Connection: close" to all further
  // responses. Requests already received are answered. Thread-safe.
  void Stop();

  // Number of requests passed to the handler whose responses have not been written completely.
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
