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
#include "peridotfork/core/units.h"
#include "peridotfork/http/raw_message.h"
#include "peridotfork/http/shared_body.h"
#include "peridotfork/upstream/answer_memory.h"

namespace peridotfork {

enum class ExchangeState {
  kAnswered,
  // Nothing was sent.
  kNotConnected,
  // The connection ended without a valid answer to this request, although the target
  // may have received the request.
  kLost,
  // The exchange was abandoned by its user, or its connection was closed after
  // close_at().
  kAbandoned,
};

struct ExchangeResult {
  ExchangeState state = ExchangeState::kNotConnected;
  http::RawResponse response;
  // Memory that the response occupies beyond its first bytes, for as long as it is kept.
  AnswerMemory::Reservation memory;
  std::string detail;
};

// One request, with the functions that match and receive its answer.
struct Exchange {
  http::SharedRequest request;
  // Whether an answer belongs to this request. A target may send a second answer to an
  // earlier request on the same connection.
  std::function<bool(const http::RawResponse&)> matches;
  // A longer body ends the exchange as lost.
  Bytes max_body{1 << 20};
  // Called exactly once, on a worker thread.
  std::function<void(ExchangeResult)> done;
};

class ConnectionPool;

// A persistent connection to a target, for one exchange at a time. Methods may be
// called from any thread; the work is done on the strand of the connection.
class Connection : public boost::intrusive_ref_counter<Connection> {
 public:
  Connection(boost::asio::io_context& context, TargetPtr target, ConnectionPool& pool);

  // Starts an exchange and returns its number. Connects first if the connection is new
  // or if the target has closed it.
  std::uint64_t Start(Exchange exchange);

  // Declares that the answer of this exchange is no longer needed. If it does not arrive
  // by `end`, the connection is closed, so that the target drops the request.
  void Abandon(std::uint64_t number, BootTime end);

  // Closes the connection, which the pool has just stopped to offer for exchanges.
  void CloseIdle();

  // Closes the connection if close_at() has passed.
  void CloseIfOverdue();

  const TargetPtr& target() const { return target_; }
  // Time at which the abandoned exchange or the idle time ends; zero if there is none.
  BootTime close_at() const { return close_at_; }

 private:
  using Tcp = boost::asio::ip::tcp;
  using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

  void Connect();
  void OnConnected(const boost::system::error_code& error);
  void Write();
  void BeginAnswer();
  void WaitForBytes();
  // Memory that must be reserved before the next bytes are read: for the whole answer if its length
  // is known.
  std::size_t MemoryNeeded() const;
  // Whether the next bytes may be read now. If memory for answers is used up, reading continues
  // when some has been released.
  bool MayRead();
  void ReadBytes();
  void ParseBytes();
  void OnEof();
  void OnMessage();
  void Finish(ExchangeState state, std::string detail);
  void Deliver(ExchangeResult result);
  void Close();
  bool IsOpenWithoutInput();

  boost::asio::strand<boost::asio::io_context::executor_type> strand_;
  Tcp::socket socket_;
  boost::asio::steady_timer connect_timer_;
  const TargetPtr target_;
  ConnectionPool& pool_;
  std::atomic<BootTime> close_at_{BootTime()};
  std::atomic<std::uint64_t> last_exchange_number_ = 0;

  // Used on the strand only.
  std::optional<Exchange> exchange_;
  // Kept beyond the end of the exchange, since its write may still be in progress; without the body
  // after the write.
  http::SharedRequest request_;
  std::uint64_t exchange_number_ = 0;
  bool connected_ = false;
  bool reusable_ = true;
  // Bytes received for the exchange, and messages among them that were not its answer.
  std::size_t received_ = 0;
  std::size_t skipped_messages_ = 0;
  AnswerMemory::Reservation memory_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
};

using ConnectionPtr = boost::intrusive_ptr<Connection>;

}  // namespace peridotfork

#endif  // PERIDOTFORK_UPSTREAM_CONNECTION_H_
