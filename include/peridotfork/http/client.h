#ifndef PERIDOTFORK_HTTP_CLIENT_H_
#define PERIDOTFORK_HTTP_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>

#include "peridotfork/core/error.h"
#include "peridotfork/core/ids.h"
#include "peridotfork/http/message.h"

namespace peridotfork::http {

// Parses "127.0.0.1:7001". Host names are refused.
Result<boost::asio::ip::tcp::endpoint> ParseEndpoint(const Address& address);

// Makes the kernel close a connection whose peer has acknowledged neither
// keep-alive probes nor data for a few seconds.
void EnableDeadPeerDetection(boost::asio::ip::tcp::socket& socket);

// Whether a failed request may have been sent.
enum class SendState { kNotSent, kMaybeSent };

struct ClientError {
  Error error;
  SendState sent = SendState::kNotSent;
};

// One HTTP/1.1 connection, one request at a time. Methods may be called from
// any thread; callbacks run on the workers, each exactly once.
class ClientConnection : public boost::intrusive_ref_counter<ClientConnection> {
 public:
  using ConnectCallback = std::function<void(Result<void>)>;
  using ResponseCallback =
      std::function<void(const std::optional<ClientError>& error, Response response)>;

  // `body_limit` is the maximum size of a response body.
  ClientConnection(boost::asio::io_context& context, Address address, std::uint64_t body_limit);

  void Connect(std::chrono::nanoseconds timeout, ConnectCallback done);

  // Sends a request and reads the response. The timeout covers both. After an
  // error the connection is closed.
  void RoundTrip(Request request, std::chrono::nanoseconds timeout, ResponseCallback done);

  // Whether the peer has neither closed the connection nor sent anything. Must
  // be called only while no operation is in progress.
  bool IsIdleAndOpen();

  // Closes the connection; a round trip in progress fails.
  void Close();

 private:
  // Maximum number of received bytes that are not yet parsed, such as an incomplete header.
  static constexpr std::size_t kBufferLimit = 65536;

  using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
  using HttpParser = boost::beast::http::response_parser<boost::beast::http::string_body>;

  void Write(HttpRequest request, std::chrono::nanoseconds timeout, ResponseCallback done);
  void Read(ResponseCallback done);
  void Fail(const boost::system::error_code& code, SendState sent, const ResponseCallback& done);

  const Address address_;
  const std::uint64_t body_limit_;
  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_{kBufferLimit};
  HttpRequest request_;
  std::optional<HttpParser> parser_;
};

// Connects, performs one round trip and closes the connection.
void Fetch(boost::asio::io_context& context,
           const Address& address,
           Request request,
           std::chrono::nanoseconds timeout,
           std::uint64_t body_limit,
           ClientConnection::ResponseCallback done);

}  // namespace peridotfork::http

#endif  // PERIDOTFORK_HTTP_CLIENT_H_
