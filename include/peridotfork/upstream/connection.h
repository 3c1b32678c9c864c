#ifndef PERIDOTFORK_UPSTREAM_CONNECTION_H_
#define PERIDOTFORK_UPSTREAM_CONNECTION_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "peridotfork/balance/target.h"
#include "peridotfork/core/clock.h"
#include "peridotfork/http/raw_message.h"

namespace peridotfork {

enum class ExchangeState {
  kAnswered,
  // Nothing was sent.
  kNotConnected,
  // The connection ended, or carried no answer to this request, after the
  // request may have been received.
  kLost,
  // Closed by its user or for its age.
  kAbandoned,
};

struct ExchangeResult {
  ExchangeState state = ExchangeState::kNotConnected;
  http::RawResponse response;
  std::string detail;
};

// One request and its answer.
struct Exchange {
  http::RawRequest request;
  // Whether an answer belongs to the request. Targets may send a second answer
  // to an earlier one.
  std::function<bool(const http::RawResponse&)> matches;
  // Called once, on a worker.
  std::function<void(ExchangeResult)> done;
};

class ConnectionPool;

// One kept connection to a target; one exchange at a time. Methods may be called
// from any thread; the work is done on the connection's strand.
class Connection : public boost::intrusive_ref_counter<Connection> {
 public:
  Connection(boost::asio::io_context& context, TargetPtr target, ConnectionPool& pool);

  // Connects first if the connection is new, or if the target has ended it.
  // Returns the number of the exchange.
  std::uint64_t Start(Exchange exchange);

  // The answer of this exchange is no longer waited for: the connection is closed
  // if it does not come until `end`, so that the target drops the request.
  void Abandon(std::uint64_t number, BootTime end);

  // Closes the connection if it is overdue.
  void CloseIfOverdue();

  const TargetPtr& target() const { return target_; }
  // End of the exchange or of the idle time; zero for none.
  BootTime close_at() const { return close_at_; }

 private:
  using Tcp = boost::asio::ip::tcp;
  using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

  void Connect();
  void OnConnected(const boost::system::error_code& error);
  void Write();
  void WaitForBytes();
  void ReadBytes();
  void OnEof();
  void OnMessage();
  void Finish(ExchangeState state, std::string detail);
  void Deliver(ExchangeResult result);
  void Close();
  bool IsSilentAndOpen();

  boost::asio::strand<boost::asio::io_context::executor_type> strand_;
  Tcp::socket socket_;
  boost::asio::steady_timer connect_timer_;
  const TargetPtr target_;
  ConnectionPool& pool_;
  std::atomic<BootTime> close_at_{BootTime()};
  std::atomic<std::uint64_t> last_number_ = 0;

  // Used on the strand only.
  std::optional<Exchange> exchange_;
  // Outlives the exchange, since a write of it may still be under way.
  http::RawRequest request_;
  std::uint64_t number_ = 0;
  bool connected_ = false;
  bool reusable_ = true;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
};

using ConnectionPtr = boost::intrusive_ptr<Connection>;

}  // namespace peridotfork

#endif  // PERIDOTFORK_UPSTREAM_CONNECTION_H_
