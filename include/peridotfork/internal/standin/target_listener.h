#ifndef PERIDOTFORK_INTERNAL_STANDIN_TARGET_LISTENER_H_
#define PERIDOTFORK_INTERNAL_STANDIN_TARGET_LISTENER_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <chrono>
#include <optional>
#include <vector>

#include "peridotfork/core/error.h"
#include "peridotfork/core/ids.h"
#include "peridotfork/http/message.h"
#include "peridotfork/runtime/ranked_mutex.h"

namespace peridotfork::standin {

// Interface from the listener to its target. Called concurrently on worker
// threads.
class TargetFrontEnd : public http::Handler {
 public:
  // Returns whether to accept one more connection. If so, OnDisconnect() is called
  // when it closes.
  virtual bool OnConnect() = 0;
  virtual void OnDisconnect() = 0;
  virtual std::chrono::microseconds connect_cost() const = 0;
};

class TargetListener;

// One connection of a target. Its handlers run on the strand of its stream.
class TargetSession : public boost::intrusive_ref_counter<TargetSession>,
                      public boost::intrusive::list_base_hook<> {
 public:
  TargetSession(boost::asio::ip::tcp::socket socket, boost::intrusive_ptr<TargetListener> listener);

  // Starts serving requests after a delay of `connect_cost`.
  void Start(std::chrono::microseconds connect_cost);

  // Stops sending responses. The connection stays open until the peer closes it.
  // Has no effect on a connection that has carried a control or journal request.
  void Silence();

  // Resets the connection immediately.
  void Abort();

  // Resets the connection if it is silent.
  void AbortIfSilent();

 private:
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
  using Message = boost::beast::http::response<boost::beast::http::string_body>;

  void Read();
  void Dispatch();
  void Write(http::Response response, bool keep_alive);
  // Reads and discards incoming data, to detect when the peer closes.
  void Drain();
  void Reset();
  void Close();

  boost::beast::tcp_stream stream_;
  const boost::intrusive_ptr<TargetListener> listener_;
  boost::asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  Message message_;
  bool silent_ = false;
  bool control_connection_ = false;
  bool closed_ = false;
};

// Accepts the connections of one target and keeps a list of them, so that the
// target can refuse, silence or reset them. http::Server does not offer control
// of single connections. The front end must outlive all running handlers.
class TargetListener : public boost::intrusive_ref_counter<TargetListener> {
 public:
  TargetListener(boost::asio::io_context& context, TargetFrontEnd& front_end);

  // Binds the port and starts to accept. Port 0 lets the system choose the port;
  // address() then holds it for reopening. All calls but the first must run on
  // executor().
  Result<void> Open(const Address& address);

  // Stops accepting and resets the open connections. Runs on executor().
  void CloseAndReset();

  // The strand that serializes access to the acceptor.
  boost::asio::any_io_executor executor() { return acceptor_.get_executor(); }

  bool is_open() const { return acceptor_.is_open(); }
  Address address() const { return address_; }

  // If true, silences the open connections; if false, resets the silent ones.
  void SetSilent(bool silent);

  // Drops all connections without notifying the front end. Call only after the
  // workers have stopped.
  void Clear();

 private:
  friend class TargetSession;
  using Sessions = boost::intrusive::list<TargetSession>;

  void Accept();
  void OnAccepted(boost::asio::ip::tcp::socket socket);
  void Remove(TargetSession& session);
  std::vector<boost::intrusive_ptr<TargetSession>> Snapshot();

  boost::asio::io_context& context_;
  TargetFrontEnd& front_end_;
  boost::asio::ip::tcp::acceptor acceptor_;
  Address address_;
  RankedMutex mutex_{LockRank::kTransport};
  // The list holds one reference to each session.
  Sessions sessions_;
};

}  // namespace peridotfork::standin

#endif  // PERIDOTFORK_INTERNAL_STANDIN_TARGET_LISTENER_H_
