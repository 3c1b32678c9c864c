#ifndef PERIDOTFORK_GATEWAY_CALLER_SESSION_H_
#define PERIDOTFORK_GATEWAY_CALLER_SESSION_H_

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstddef>
#include <functional>
#include <optional>

#include "peridotfork/catalogue/catalogue.h"
#include "peridotfork/core/clock.h"
#include "peridotfork/gateway/message_codec.h"
#include "peridotfork/http/raw_message.h"

namespace peridotfork {

// Runs one request; the session keeps it to report that the caller has disconnected.
class RequestRunner;
using RequestRunnerPtr = boost::intrusive_ptr<RequestRunner>;

// Interface through which caller sessions pass requests to the gateway. Thread-safe.
class RequestSink {
 public:
  using Callback = std::function<void(http::RawResponse)>;

  virtual ~RequestSink() = default;

  // Handles a completely received request whose first bytes arrived at `start`. `done` is
  // called once, from any thread, unless the request is cancelled because the caller disconnected.
  // Returns null if the request was answered at once, without running on a target.
  virtual RequestRunnerPtr Handle(http::RawRequest request, BootTime start, Callback done) = 0;

  // The response to a request that is refused for its head alone, so that its body need not be
  // read; none if the body is to be read.
  virtual std::optional<http::RawResponse> RefuseHead(const http::RawRequest& head) = 0;

  // Builds the error response to a request that could not be read.
  virtual http::RawResponse Refuse(unsigned status, const Error& error) = 0;

  virtual IngressLimits limits() const = 0;
  virtual const Clock& clock() const = 0;

  // Whether a graceful shutdown is in progress; responses then close their connections.
  virtual bool draining() const = 0;
};

// One connection from a caller; handles one request at a time.
class CallerSession : public boost::intrusive_ref_counter<CallerSession> {
 public:
  using Tcp = boost::asio::ip::tcp;

  // `on_end` is called once, when the connection is closed.
  CallerSession(Tcp::socket socket, RequestSink& sink, std::function<void(CallerSession&)> on_end);

  void Run();

  // Closes the connection if no request is in progress.
  void CloseIfIdle();

  // Answers the request that is running, if any, because the process is about to end.
  void AnswerNow();

  bool busy() const { return busy_; }

 private:
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
  using ErrorCode = boost::system::error_code;

  boost::intrusive_ptr<CallerSession> Self() { return {this}; }
  void WaitForRequest();
  void OnFirstBytes(const ErrorCode& error, std::size_t count);
  // Reads bytes until the buffer holds a whole head, and checks how its request is framed.
  void ReadHead();
  void OnHeadBytes(const ErrorCode& error, std::size_t count);
  void ParseHead();
  // Answers a request that can't be read, and closes the connection.
  void RefuseMalformed(unsigned status, const Error& error);
  void OnHeader(const ErrorCode& error);
  void ReadBody();
  void OnBody(const ErrorCode& error);
  void OnReadError(const ErrorCode& error);
  void DispatchRequest();
  void WatchForClose();
  void OnReadable(const ErrorCode& error);
  void Write(http::RawResponse response, bool keep_alive);
  void OnWritten(const ErrorCode& error);
  void Close();

  boost::beast::tcp_stream stream_;
  RequestSink& sink_;
  const std::function<void(CallerSession&)> on_end_;
  const BootTime accepted_;
  std::atomic<bool> busy_ = false;

  // Accessed only on the strand of the stream.
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  // The header fields of a chunked request before its trailer is added to them.
  std::optional<boost::beast::http::request_header<>> chunked_header_;
  bool is_head_request_ = false;
  std::optional<http::RawResponse> response_;
  RequestRunnerPtr runner_;
  BootTime request_start_;
  bool first_request_ = true;
  bool keep_alive_ = false;
  bool closed_ = false;
};

using CallerSessionPtr = boost::intrusive_ptr<CallerSession>;

}  // namespace peridotfork

#endif  // PERIDOTFORK_GATEWAY_CALLER_SESSION_H_
