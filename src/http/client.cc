#include "peridotfork/http/client.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <charconv>
#include <utility>

#include "peridotfork/http/request_target.h"

namespace peridotfork::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;

}  // namespace

Result<asio::ip::tcp::endpoint> ParseEndpoint(const Address& address) {
  const std::string& text = address.value();
  const std::size_t colon = text.rfind(':');
  beast::error_code error;
  const auto ip = asio::ip::make_address_v4(text.substr(0, colon), error);
  std::uint16_t port = 0;
  const char* const end = text.data() + text.size();
  const char* const begin = colon == std::string::npos ? end : text.data() + colon + 1;
  const auto parsed = std::from_chars(begin, end, port);
  if (error || begin == end || parsed.ec != std::errc() || parsed.ptr != end) {
    return MakeError(ErrorKind::kMalformed, "address " + text,
                     "expected an IPv4 address and a port, such as 127.0.0.1:7001");
  }
  return asio::ip::tcp::endpoint(ip, port);
}

void EnableDeadPeerDetection(asio::ip::tcp::socket& socket) {
  // Two probes, one second apart, after one second without data.
  constexpr int kProbeSeconds = 1;
  constexpr int kProbes = 2;
  constexpr unsigned kUnackedMilliseconds = 3000;
  const int on = 1;
  const int handle = socket.native_handle();
  // Errors are ignored, since the socket also works without these options.
  static_cast<void>(setsockopt(handle, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on));
  for (const int option : {TCP_KEEPIDLE, TCP_KEEPINTVL}) {
    static_cast<void>(
        setsockopt(handle, IPPROTO_TCP, option, &kProbeSeconds, sizeof kProbeSeconds));
  }
  static_cast<void>(setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &kProbes, sizeof kProbes));
  static_cast<void>(setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUnackedMilliseconds,
                               sizeof kUnackedMilliseconds));
}

ClientConnection::ClientConnection(asio::io_context& context,
                                   Address address,
                                   std::uint64_t body_limit)
    : address_(std::move(address)), body_limit_(body_limit), stream_(asio::make_strand(context)) {}

void ClientConnection::Connect(std::chrono::nanoseconds timeout, ConnectCallback done) {
  const auto endpoint = ParseEndpoint(address_);
  asio::dispatch(stream_.get_executor(), [self = boost::intrusive_ptr(this), endpoint, timeout,
                                          done = std::move(done)]() mutable {
    if (!endpoint.has_value()) {
      done(endpoint.error());
      return;
    }
    self->stream_.expires_after(timeout);
    self->stream_.async_connect(
        endpoint.value(), [self, done = std::move(done)](const beast::error_code& error) {
          if (error) {
            done(MakeError(ErrorKind::kTransport, "connect to " + self->address_.value(),
                           error.message()));
            return;
          }
          beast::error_code ignored;
          self->stream_.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
          EnableDeadPeerDetection(self->stream_.socket());
          self->stream_.expires_never();
          done(boost::outcome_v2::success());
        });
  });
}

void ClientConnection::RoundTrip(Request request,
                                 std::chrono::nanoseconds timeout,
                                 ResponseCallback done) {
  HttpRequest message;
  message.version(11);
  message.method_string(request.method);
  message.target(EncodeTarget(request));
  message.set(bhttp::field::host, address_.value());
  message.keep_alive(true);
  if (!request.body.empty()) {
    message.set(bhttp::field::content_type, "application/json");
  }
  message.body() = std::move(request.body);
  message.prepare_payload();
  asio::dispatch(stream_.get_executor(),
                 [self = boost::intrusive_ptr(this), message = std::move(message), timeout,
                  done = std::move(done)]() mutable {
                   self->Write(std::move(message), timeout, std::move(done));
                 });
}

void ClientConnection::Write(HttpRequest request,
                             std::chrono::nanoseconds timeout,
                             ResponseCallback done) {
  request_ = std::move(request);
  stream_.expires_after(timeout);
  bhttp::async_write(stream_, request_,
                     [self = boost::intrusive_ptr(this), done = std::move(done)](
                         const beast::error_code& error, std::size_t count) mutable {
                       if (error) {
                         // Some bytes may have been sent even if the count is zero.
                         const bool none = count == 0 && error == asio::error::bad_descriptor;
                         self->Fail(error, none ? SendState::kNotSent : SendState::kMaybeSent,
                                    done);
                         return;
                       }
                       self->Read(std::move(done));
                     });
}

void ClientConnection::Read(ResponseCallback done) {
  parser_.emplace();
  parser_->body_limit(body_limit_);
  bhttp::async_read(stream_, buffer_, *parser_,
                    [self = boost::intrusive_ptr(this), done = std::move(done)](
                        const beast::error_code& error, std::size_t) {
                      if (error) {
                        self->Fail(error, SendState::kMaybeSent, done);
                        return;
                      }
                      auto message = self->parser_->release();
                      Response response;
                      response.status = message.result_int();
                      response.body = std::move(message.body());
                      for (const auto& field : message) {
                        response.headers.emplace_back(field.name_string(), field.value());
                      }
                      if (message.keep_alive()) {
                        self->stream_.expires_never();
                      } else {
                        self->stream_.close();
                      }
                      done(std::nullopt, std::move(response));
                    });
}

bool ClientConnection::IsIdleAndOpen() {
  char byte = 0;
  const int socket = stream_.socket().native_handle();
  const ssize_t count = recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void ClientConnection::Close() {
  asio::dispatch(stream_.get_executor(),
                 [self = boost::intrusive_ptr(this)] { self->stream_.close(); });
}

void ClientConnection::Fail(const beast::error_code& code,
                            SendState sent,
                            const ResponseCallback& done) {
  stream_.close();
  const ErrorKind kind = code == beast::error::timeout      ? ErrorKind::kTimedOut
                         : code == bhttp::error::body_limit ? ErrorKind::kTooLarge
                                                            : ErrorKind::kTransport;
  done(ClientError{MakeError(kind, address_.value(), code.message()), sent}, Response());
}

void Fetch(asio::io_context& context,
           const Address& address,
           Request request,
           std::chrono::nanoseconds timeout,
           std::uint64_t body_limit,
           ClientConnection::ResponseCallback done) {
  boost::intrusive_ptr<ClientConnection> connection(
      new ClientConnection(context, address, body_limit));
  connection->Connect(timeout, [connection, request = std::move(request), timeout,
                                done = std::move(done)](const Result<void>& connected) mutable {
    if (!connected.has_value()) {
      done(ClientError{connected.error(), SendState::kNotSent}, Response());
      return;
    }
    connection->RoundTrip(std::move(request), timeout,
                          [connection, done = std::move(done)](
                              const std::optional<ClientError>& error, Response response) {
                            connection->Close();
                            done(error, std::move(response));
                          });
  });
}

}  // namespace peridotfork::http
