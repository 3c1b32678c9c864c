#ifndef PERIDOTFORK_GATEWAY_CALLER_SESSION_H_
#define PERIDOTFORK_GATEWAY_CALLER_SESSION_H_

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

#include "peridotfork/catalogue/catalogue.h"
#include "peridotfork/core/clock.h"
#include "peridotfork/gateway/caller_memory.h"
#include "peridotfork/gateway/message_codec.h"
#include "peridotfork/gateway/slow_callers.h"
#include "peridotfork/http/raw_message.h"

namespace peridotfork {

// Runs one request; the session keeps it to report that the caller has disconnected.
class RequestRunner;
using RequestRunnerPtr = boost::intrusive_ptr<RequestRunner>;

// A response to a caller, with the memory that was reserved for the targets' answers in it.
struct CallerResponse {
  http::RawResponse message;
  std::vector<AnswerMemory::Reservation> memory;
};

// Interface through which caller sessions pass requests to the gateway. Thread-safe.
class RequestSink {
 public:
  using Callback = std::function<void(CallerResponse)>;

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

  // Builds the response to a request that is refused because callers use too much memory.
  virtual http::RawResponse RefuseForMemory(const http::RawRequest& head) = 0;

  virtual const boost::intrusive_ptr<CallerMemory>& caller_memory() const = 0;
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

  // Memory that the session holds and the progress of its caller; holds nothing unless the caller
  // is to send or to read.
  CallerProgress Progress() const;
  // When the session began to wait for its next request.
  BootTime idle_since() const { return idle_since_; }

  // Closes the connection because its descriptor is needed, unless a request is running.
  void CloseForRoom();

  // Closes the connection because its memory is needed, if the caller is still to send or to read.
  void CloseIfSlow();

 private:
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
  using ErrorCode = boost::system::error_code;

  boost::intrusive_ptr<CallerSession> Self() { return {this}; }
  void WaitForRequest();
  // Starts to read a request of which the first bytes have arrived.
  void BeginRequest();
  void OnFirstBytes(const ErrorCode& error, std::size_t count);
  // Reads bytes until the buffer holds a whole head, and checks how its request is framed.
  void ReadHead();
  void OnHeadBytes(const ErrorCode& error, std::size_t count);
  void ParseHead();
  // Answers a request that can't be read, and closes the connection.
  void RefuseMalformed(unsigned status, const Error& error);
  // Answers a request that has not been read to its end, and closes the connection.
  void RefuseUnread(http::RawResponse response);
  void OnHeader(const ErrorCode& error);
  void ReadBody();
  void ReadBodyBytes();
  void OnBody(const ErrorCode& error, std::size_t count);
  // Reserves memory for what a chunked body may grow by.
  bool GrowBodyMemory();
  void OnReadError(const ErrorCode& error);
  void DispatchRequest();
  void WatchForClose();
  void OnReadable(const ErrorCode& error);
  void Write(CallerResponse response, bool keep_alive);
  void WriteBytes();
  // Starts to measure the progress of the caller, which has the session hold `size` bytes.
  void BeginProgress(std::size_t size);
  void EndProgress();
  void OnWritten(const ErrorCode& error, std::size_t count);
  // Ends the output, and closes the connection when the caller has done so, or after some time.
  void Linger();
  void DiscardInput();
  void Close();

  boost::beast::tcp_stream stream_;
  RequestSink& sink_;
  const std::function<void(CallerSession&)> on_end_;
  const BootTime accepted_;
  std::atomic<bool> busy_ = false;
  std::atomic<BootTime> idle_since_;
  // The progress of the caller; see CallerProgress.
  std::atomic<std::size_t> held_ = 0;
  std::atomic<std::size_t> passed_ = 0;
  std::atomic<BootTime> progress_since_{BootTime()};

  // Accessed only on the strand of the stream.
  boost::beast::flat_buffer buffer_;
  // Limits for the request that is being read: those in force when it began.
  IngressLimits limits_;
  std::optional<Parser> parser_;
  // The header fields of a chunked request before its trailer is added to them.
  std::optional<boost::beast::http::request_header<>> chunked_header_;
  bool is_head_request_ = false;
  std::optional<http::RawResponse> response_;
  std::optional<boost::beast::http::response_serializer<boost::beast::http::string_body>>
      serializer_;
  // Memory of the request's body, of the response, and of the targets' answers in the response.
  CallerMemory::Share body_memory_;
  CallerMemory::Share response_memory_;
  std::vector<AnswerMemory::Reservation> answer_memory_;
  RequestRunnerPtr runner_;
  BootTime request_start_;
  bool first_request_ = true;
  bool keep_alive_ = false;
  // Whether the connection ends with a request that was not read to its end.
  bool input_left_ = false;
  std::size_t discarded_ = 0;
  bool closed_ = false;
};

using CallerSessionPtr = boost::intrusive_ptr<CallerSession>;

}  // namespace peridotfork

#endif  // PERIDOTFORK_GATEWAY_CALLER_SESSION_H_
