#include "peridotfork/internal/standin/target_listener.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/socket_base.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

#include "peridotfork/http/client.h"
#include "peridotfork/http/request_target.h"

namespace peridotfork::standin {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

constexpr std::uint64_t kBodyLimit = 1U << 20U;

void ResetSocket(tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace

TargetSession::TargetSession(tcp::socket socket, boost::intrusive_ptr<TargetListener> listener)
    : stream_(std::move(socket)), listener_(std::move(listener)), timer_(stream_.get_executor()) {}

void TargetSession::Start(std::chrono::microseconds connect_cost) {
  timer_.expires_after(connect_cost);
  timer_.async_wait([self = boost::intrusive_ptr(this)](const boost::system::error_code& code) {
    if (!code) {
      self->Read();
    }
  });
}

void TargetSession::Silence() {
  asio::post(stream_.get_executor(),
             [self = boost::intrusive_ptr(this)] { self->silent_ = !self->control_connection_; });
}

void TargetSession::Abort() {
  asio::post(stream_.get_executor(), [self = boost::intrusive_ptr(this)] { self->Reset(); });
}

void TargetSession::AbortIfSilent() {
  asio::post(stream_.get_executor(), [self = boost::intrusive_ptr(this)] {
    if (self->silent_) {
      self->Reset();
    }
  });
}

void TargetSession::Read() {
  if (closed_) {
    return;
  }
  parser_.emplace();
  parser_->body_limit(kBodyLimit);
  beast::http::async_read(
      stream_, buffer_, *parser_,
      [self = boost::intrusive_ptr(this)](const beast::error_code& code, std::size_t /*bytes*/) {
        if (code) {
          self->Close();
        } else if (self->silent_) {
          self->Drain();
        } else {
          self->Dispatch();
        }
      });
}

void TargetSession::Dispatch() {
  auto message = parser_->release();
  http::Request request;
  request.method = std::string(message.method_string());
  http::DecodeTarget({message.target().data(), message.target().size()}, request);
  request.body = std::move(message.body());
  control_connection_ =
      control_connection_ || request.path == "/control" || request.path == "/journal";
  const bool keep_alive = message.keep_alive();
  listener_->front_end_.Handle(
      std::move(request), [self = boost::intrusive_ptr(this), keep_alive](http::Response response) {
        asio::post(self->stream_.get_executor(),
                   [self, keep_alive, response = std::move(response)]() mutable {
                     self->Write(std::move(response), keep_alive);
                   });
      });
}

void TargetSession::Write(http::Response response, bool keep_alive) {
  if (closed_) {
    return;
  }
  if (silent_) {
    Drain();
    return;
  }
  message_ = Message(beast::http::int_to_status(response.status), 11);
  message_.result(response.status);
  message_.set(beast::http::field::content_type, response.content_type);
  for (const auto& [name, value] : response.headers) {
    message_.set(name, value);
  }
  message_.body() = std::move(response.body);
  message_.keep_alive(keep_alive);
  message_.prepare_payload();
  beast::http::async_write(stream_, message_,
                           [self = boost::intrusive_ptr(this), keep_alive](
                               const beast::error_code& code, std::size_t /*bytes*/) {
                             if (code || !keep_alive) {
                               self->Close();
                             } else {
                               self->Read();
                             }
                           });
}

void TargetSession::Drain() {
  if (closed_) {
    return;
  }
  buffer_.clear();
  stream_.async_read_some(
      buffer_.prepare(4096),
      [self = boost::intrusive_ptr(this)](const beast::error_code& code, std::size_t /*bytes*/) {
        if (code) {
          self->Close();
        } else {
          self->Drain();
        }
      });
}

void TargetSession::Reset() {
  if (!closed_) {
    ResetSocket(stream_.socket());
    Close();
  }
}

void TargetSession::Close() {
  if (closed_) {
    return;
  }
  closed_ = true;
  timer_.cancel();
  boost::system::error_code ignored;
  stream_.socket().shutdown(tcp::socket::shutdown_both, ignored);
  stream_.socket().close(ignored);
  listener_->front_end_.OnDisconnect();
  listener_->Remove(*this);
}

TargetListener::TargetListener(asio::io_context& context, TargetFrontEnd& front_end)
    : context_(context), front_end_(front_end), acceptor_(asio::make_strand(context)) {}

Result<void> TargetListener::Open(const Address& address) {
  const Result<tcp::endpoint> endpoint = http::ParseEndpoint(address);
  if (!endpoint) {
    return endpoint.error();
  }
  boost::system::error_code code;
  acceptor_.open(tcp::v4(), code);
  if (!code) {
    acceptor_.set_option(tcp::acceptor::reuse_address(true), code);
  }
  if (!code) {
    acceptor_.bind(endpoint.value(), code);
  }
  if (!code) {
    acceptor_.listen(asio::socket_base::max_listen_connections, code);
  }
  if (code) {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    return MakeError(ErrorKind::kTransport, address.value(), code.message());
  }
  const tcp::endpoint bound = acceptor_.local_endpoint();
  address_ = Address(bound.address().to_string() + ":" + std::to_string(bound.port()));
  asio::dispatch(acceptor_.get_executor(), [self = boost::intrusive_ptr(this)] { self->Accept(); });
  return boost::outcome_v2::success();
}

void TargetListener::CloseAndReset() {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  for (const auto& session : Snapshot()) {
    session->Abort();
  }
}

void TargetListener::SetSilent(bool silent) {
  for (const auto& session : Snapshot()) {
    silent ? session->Silence() : session->AbortIfSilent();
  }
}

void TargetListener::Clear() {
  Sessions sessions;
  {
    const RankedLock lock(mutex_);
    sessions.swap(sessions_);
  }
  sessions.clear_and_dispose([](TargetSession* session) { intrusive_ptr_release(session); });
}

void TargetListener::Accept() {
  acceptor_.async_accept(
      asio::make_strand(context_), [self = boost::intrusive_ptr(this)](
                                       const boost::system::error_code& code, tcp::socket socket) {
        if (!code) {
          self->OnAccepted(std::move(socket));
        }
        if (code != asio::error::operation_aborted && self->acceptor_.is_open()) {
          self->Accept();
        }
      });
}

void TargetListener::OnAccepted(tcp::socket socket) {
  if (!front_end_.OnConnect()) {
    ResetSocket(socket);
    return;
  }
  boost::system::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  const boost::intrusive_ptr<TargetSession> session(new TargetSession(std::move(socket), this));
  {
    const RankedLock lock(mutex_);
    intrusive_ptr_add_ref(session.get());
    sessions_.push_back(*session);
  }
  session->Start(front_end_.connect_cost());
}

void TargetListener::Remove(TargetSession& session) {
  {
    const RankedLock lock(mutex_);
    if (!session.is_linked()) {
      return;
    }
    sessions_.erase(Sessions::s_iterator_to(session));
  }
  intrusive_ptr_release(&session);
}

std::vector<boost::intrusive_ptr<TargetSession>> TargetListener::Snapshot() {
  const RankedLock lock(mutex_);
  std::vector<boost::intrusive_ptr<TargetSession>> all;
  for (TargetSession& session : sessions_) {
    all.emplace_back(&session);
  }
  return all;
}

}  // namespace peridotfork::standin
