#include "peridotfork/http/server.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/version.hpp>
#include <optional>
#include <utility>

#include "peridotfork/http/client.h"
#include "peridotfork/http/request_target.h"

namespace peridotfork::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using Tcp = asio::ip::tcp;

constexpr std::uint32_t kHeaderLimit = 8 * 1024;
// Maximum number of received bytes that are not yet parsed, such as an incomplete chunk extension.
constexpr std::size_t kBufferLimit = 65536;

// One accepted connection; kept alive by its pending operations.
class Session : public boost::intrusive_ref_counter<Session> {
 public:
  Session(Tcp::socket socket, boost::intrusive_ptr<Server::Shared> shared)
      : stream_(std::move(socket)),
        read_timer_(stream_.get_executor()),
        shared_(std::move(shared)) {
    ++shared_->connections;
    stream_.socket().set_option(Tcp::no_delay(true));
  }
  ~Session() { --shared_->connections; }

  void Run() {
    asio::dispatch(stream_.get_executor(), [self = Self()] { self->WaitForRequest(); });
  }

 private:
  boost::intrusive_ptr<Session> Self() { return boost::intrusive_ptr<Session>(this); }

  // Waits for the first byte with the idle timeout, and then for the whole
  // request with the shorter read timeout.
  void WaitForRequest() {
    parser_.emplace();
    parser_->body_limit(shared_->options.body_limit);
    parser_->header_limit(kHeaderLimit);
    if (buffer_.size() > 0) {
      Read();
      return;
    }
    stream_.expires_after(shared_->options.idle_timeout);
    stream_.async_read_some(buffer_.prepare(4096),
                            [self = Self()](const beast::error_code& error, std::size_t count) {
                              if (!error) {
                                self->buffer_.commit(count);
                                self->Read();
                              }
                            });
  }

  void Read() {
    // The stream's own timeout would close it, so that no 408 could be sent.
    stream_.expires_never();
    read_timed_out_ = false;
    read_timer_.expires_after(shared_->options.read_timeout);
    read_timer_.async_wait([self = Self()](const beast::error_code& error) {
      if (!error) {
        self->read_timed_out_ = true;
        self->stream_.cancel();
      }
    });
    bhttp::async_read(stream_, buffer_, *parser_,
                      [self = Self()](const beast::error_code& error, std::size_t) {
                        self->read_timer_.cancel();
                        self->OnRead(error);
                      });
  }

  void OnRead(const beast::error_code& error) {
    if (error == bhttp::error::end_of_stream) {
      Close();
    } else if (error == bhttp::error::body_limit) {
      Refuse(413, ErrorKind::kTooLarge, "body",
             "the limit is " + std::to_string(shared_->options.body_limit) + " bytes");
    } else if (error == bhttp::error::header_limit) {
      Refuse(431, ErrorKind::kTooLarge, "header", "");
    } else if (error && read_timed_out_) {
      Refuse(408, ErrorKind::kTimedOut, "request", "it did not arrive in time");
    } else if (error.category() == bhttp::make_error_code(bhttp::error::bad_method).category()) {
      Refuse(400, ErrorKind::kMalformed, "request", error.message());
    } else if (!error) {
      PassToHandler();
    }
  }

  void PassToHandler() {
    const auto& message = parser_->get();
    keep_alive_ = message.keep_alive();
    Request request;
    request.method = std::string(message.method_string());
    DecodeTarget({message.target().data(), message.target().size()}, request);
    request.body = std::move(parser_->get().body());
    stream_.expires_never();
    ++shared_->in_flight;
    shared_->handler.Handle(std::move(request), [self = Self()](Response response) mutable {
      asio::post(self->stream_.get_executor(), [self, response = std::move(response)]() mutable {
        self->Write(std::move(response), /*counted=*/true);
      });
    });
  }

  void Refuse(unsigned status, ErrorKind kind, std::string where, std::string detail) {
    keep_alive_ = false;
    Write(ErrorResponse(status, MakeError(kind, std::move(where), std::move(detail))),
          /*counted=*/false);
  }

  void Write(Response response, bool counted) {
    message_ = {};
    message_.version(11);
    message_.result(response.status);
    message_.set(bhttp::field::content_type, response.content_type);
    for (const auto& [name, value] : response.headers) {
      message_.set(name, value);
    }
    message_.body() = std::move(response.body);
    keep_alive_ = keep_alive_ && !shared_->stopping;
    message_.keep_alive(keep_alive_);
    message_.prepare_payload();
    stream_.expires_after(shared_->options.read_timeout);
    bhttp::async_write(stream_, message_,
                       [self = Self(), counted](const beast::error_code& error, std::size_t) {
                         if (counted) {
                           --self->shared_->in_flight;
                         }
                         if (error || !self->keep_alive_) {
                           self->Close();
                           return;
                         }
                         self->WaitForRequest();
                       });
  }

  void Close() {
    beast::error_code ignored;
    stream_.socket().shutdown(Tcp::socket::shutdown_send, ignored);
  }

  beast::tcp_stream stream_;
  asio::steady_timer read_timer_;
  bool read_timed_out_ = false;
  const boost::intrusive_ptr<Server::Shared> shared_;
  beast::flat_buffer buffer_{kBufferLimit};
  std::optional<bhttp::request_parser<bhttp::string_body>> parser_;
  bhttp::response<bhttp::string_body> message_;
  bool keep_alive_ = false;
};

}  // namespace

Result<void> OpenAcceptor(const Address& address, Tcp::acceptor& acceptor) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint.has_value()) {
    return endpoint.error();
  }
  beast::error_code error;
  acceptor.open(endpoint.value().protocol(), error);
  if (!error) {
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    acceptor.bind(endpoint.value(), error);
  }
  if (!error) {
    acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return MakeError(ErrorKind::kTransport, "listen on " + address.value(), error.message());
  }
  return boost::outcome_v2::success();
}

Address LocalAddress(const Tcp::acceptor& acceptor) {
  beast::error_code error;
  const Tcp::endpoint endpoint = acceptor.local_endpoint(error);
  return Address(endpoint.address().to_string() + ":" + std::to_string(endpoint.port()));
}

Server::Server(asio::io_context& context, ServerOptions options, Handler& handler)
    : context_(context),
      acceptor_(asio::make_strand(context)),
      shared_(new Shared(options, handler)) {}

Server::~Server() {
  Stop();
}

Result<void> Server::Listen(const Address& address) {
  BOOST_OUTCOME_TRYV(OpenAcceptor(address, acceptor_));
  Accept();
  return boost::outcome_v2::success();
}

Address Server::address() const {
  return LocalAddress(acceptor_);
}

void Server::Stop() {
  shared_->stopping = true;
  beast::error_code ignored;
  // Closing from outside the acceptor's strand is safe only if no operation
  // starts concurrently, so the close is dispatched to the strand.
  if (context_.stopped()) {
    acceptor_.close(ignored);
    return;
  }
  asio::dispatch(acceptor_.get_executor(), [acceptor = &acceptor_] {
    beast::error_code error;
    acceptor->close(error);
  });
}

std::size_t Server::in_flight() const {
  return shared_->in_flight;
}

void Server::Accept() {
  acceptor_.async_accept(
      asio::make_strand(context_), [this](const beast::error_code& error, Tcp::socket socket) {
        if (error == asio::error::operation_aborted || shared_->stopping) {
          return;
        }
        if (!error && shared_->connections < shared_->options.max_connections) {
          boost::intrusive_ptr<Session>(new Session(std::move(socket), shared_))->Run();
        }
        Accept();
      });
}

}  // namespace peridotfork::http
