#include "peridotfork/upstream/connection.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <charconv>
#include <utility>

#include "peridotfork/http/client.h"
#include "peridotfork/upstream/connection_pool.h"

namespace peridotfork {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;

// A target accepts connections within a few milliseconds. If it does not, its accept
// queue is full, and the kernel would retry the connect only after a second.
constexpr std::chrono::milliseconds kConnectTimeout{350};
// Idle timeout if the target does not announce one.
constexpr std::chrono::seconds kDefaultIdleTimeout{4};
// Idle connections are closed this long before the timeout that the target announces.
constexpr std::chrono::milliseconds kIdleMargin{700};
// Range of the statuses that HTTP defines (RFC 9110, section 15).
constexpr unsigned kMinStatus = 100;
constexpr unsigned kMaxStatus = 599;
constexpr std::size_t kReadSize = 16384;
// Maximum size of the header of an answer.
constexpr std::uint32_t kMaxHeader = 16384;
// Bytes that are kept while they can't be parsed, such as an incomplete header or chunk extension.
constexpr std::size_t kMaxUnparsed = kMaxHeader + kReadSize;
// Bytes that may arrive for an answer beyond twice its body limit. The factor covers the framing of
// small chunks.
constexpr std::size_t kMaxFraming = 65536;
// Informational responses and answers to earlier requests that may arrive before the answer.
constexpr std::size_t kMaxSkippedMessages = 8;
// Answers up to this size need no reservation, so that short ones are read even if long ones use
// up the memory.
constexpr std::size_t kUnreservedBytes = 32768;
// A body of unknown length that grows occupies up to twice its size.
constexpr std::size_t kGrowthFactor = 2;
// Memory that an answer of unknown length may hold while it waits for more.
constexpr std::size_t kMaxReservedWhileWaiting = 131072;

// Returns the time for which an idle connection may be kept, from a header field such
// as "Keep-Alive: timeout=5, max=100".
std::chrono::nanoseconds IdleTimeout(const http::RawResponse& response) {
  constexpr std::string_view kTimeout = "timeout=";
  const auto field = response[bhttp::field::keep_alive];
  const std::string_view text(field.data(), field.size());
  const std::size_t at = text.find(kTimeout);
  unsigned seconds = 0;
  if (at == std::string_view::npos ||
      std::from_chars(text.data() + at + kTimeout.size(), text.data() + text.size(), seconds).ec !=
          std::errc()) {
    return kDefaultIdleTimeout;
  }
  return std::max<std::chrono::nanoseconds>(std::chrono::seconds(seconds) - kIdleMargin,
                                            std::chrono::nanoseconds(1));
}

}  // namespace

Connection::Connection(asio::io_context& context, TargetPtr target, ConnectionPool& pool)
    : strand_(asio::make_strand(context)),
      socket_(strand_),
      connect_timer_(strand_),
      target_(std::move(target)),
      pool_(pool) {}

std::uint64_t Connection::Start(Exchange exchange) {
  const std::uint64_t number = ++last_exchange_number_;
  close_at_ = BootTime();
  asio::post(strand_,
             [self = ConnectionPtr(this), number, exchange = std::move(exchange)]() mutable {
               self->request_ = std::move(exchange.request);
               self->exchange_ = std::move(exchange);
               self->exchange_number_ = number;
               self->received_ = 0;
               self->skipped_messages_ = 0;
               if (self->connected_ && self->IsOpenWithoutInput()) {
                 self->Write();
               } else {
                 self->Connect();
               }
             });
  return number;
}

void Connection::Abandon(std::uint64_t number, BootTime end) {
  asio::post(strand_, [self = ConnectionPtr(this), number, end] {
    if (self->exchange_ && self->exchange_number_ == number) {
      self->close_at_ = end;
      self->CloseIfOverdue();
    }
  });
}

void Connection::CloseIdle() {
  asio::post(strand_, [self = ConnectionPtr(this)] {
    if (!self->exchange_) {
      self->Close();
    }
  });
}

void Connection::CloseIfOverdue() {
  asio::dispatch(strand_, [self = ConnectionPtr(this)] {
    const BootTime end = self->close_at_;
    if (end != BootTime() && self->pool_.clock().now() >= end) {
      self->Finish(ExchangeState::kAbandoned,
                   "the exchange was abandoned before an answer arrived");
    }
  });
}

void Connection::Connect() {
  const auto endpoint = http::ParseEndpoint(target_->address());
  if (!endpoint.has_value()) {
    Finish(ExchangeState::kNotConnected, ToString(endpoint.error()));
    return;
  }
  // Discards the socket and the buffered bytes of an earlier connection that has ended.
  beast::error_code ignored;
  socket_.close(ignored);
  connected_ = false;
  buffer_.clear();
  connect_timer_.expires_after(kConnectTimeout);
  connect_timer_.async_wait([self = ConnectionPtr(this)](const beast::error_code& error) {
    if (!error && !self->connected_) {
      self->Finish(ExchangeState::kNotConnected, "the connect attempt timed out");
    }
  });
  socket_.async_connect(
      endpoint.value(),
      [self = ConnectionPtr(this)](const beast::error_code& error) { self->OnConnected(error); });
}

void Connection::OnConnected(const beast::error_code& error) {
  connect_timer_.cancel();
  if (!exchange_) {
    return;
  }
  if (error) {
    Finish(ExchangeState::kNotConnected, error.message());
    return;
  }
  connected_ = true;
  beast::error_code ignored;
  socket_.set_option(Tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  http::EnableDeadPeerDetection(socket_);
  Write();
}

void Connection::Write() {
  bhttp::async_write(socket_, request_,
                     [self = ConnectionPtr(this)](const beast::error_code& error, std::size_t) {
                       self->request_.body().reset();
                       if (!self->exchange_) {
                         return;
                       }
                       if (error) {
                         self->Finish(ExchangeState::kLost, error.message());
                       } else {
                         self->BeginAnswer();
                         self->WaitForBytes();
                       }
                     });
}

void Connection::BeginAnswer() {
  parser_.emplace();
  parser_->header_limit(kMaxHeader);
  // The length in an answer to HEAD is that of a body that is not sent.
  parser_->skip(request_.method() == bhttp::verb::head);
  parser_->body_limit(exchange_->max_body.value());
}

void Connection::WaitForBytes() {
  socket_.async_wait(Tcp::socket::wait_read,
                     [self = ConnectionPtr(this)](const beast::error_code& error) {
                       if (!self->exchange_) {
                         return;
                       }
                       if (error) {
                         self->Finish(ExchangeState::kLost, error.message());
                       } else {
                         self->ReadBytes();
                       }
                     });
}

std::size_t Connection::MemoryNeeded() const {
  const auto length = parser_->is_header_done() ? parser_->content_length() : boost::none;
  if (length) {
    const std::size_t whole = static_cast<std::size_t>(*length) + kReadSize;
    return whole <= kUnreservedBytes ? 0 : whole;
  }
  const std::size_t so_far = received_ + kReadSize;
  return so_far <= kUnreservedBytes ? 0 : so_far * kGrowthFactor;
}

bool Connection::MayRead() {
  const std::size_t needed = MemoryNeeded();
  const std::size_t reserved = memory_.size().value();
  if (needed <= reserved) {
    return true;
  }
  const bool granted = pool_.memory().TryReserve(
      memory_, Bytes(needed - reserved), [self = ConnectionPtr(this), number = exchange_number_] {
        asio::post(self->strand_, [self, number] {
          if (self->exchange_ && self->exchange_number_ == number) {
            self->WaitForBytes();
          }
        });
      });
  if (!granted && reserved > kMaxReservedWhileWaiting) {
    // Answers of unknown length that wait for each other's memory would not end.
    Finish(ExchangeState::kLost, "the memory for answers is used up");
  }
  return granted;
}

void Connection::ReadBytes() {
  if (!MayRead()) {
    return;
  }
  beast::error_code error;
  const std::size_t count = socket_.read_some(buffer_.prepare(kReadSize), error);
  buffer_.commit(count);
  if (error == asio::error::would_block) {
    WaitForBytes();
    return;
  }
  if (error == asio::error::eof) {
    OnEof();
    return;
  }
  if (error) {
    Finish(ExchangeState::kLost, error.message());
    return;
  }
  received_ += count;
  ParseBytes();
  if (!exchange_) {
    return;
  }
  if (buffer_.size() >= kMaxUnparsed || received_ > 2 * exchange_->max_body.value() + kMaxFraming) {
    Finish(ExchangeState::kLost, "the target sent more bytes than an answer may have");
    return;
  }
  WaitForBytes();
}

void Connection::ParseBytes() {
  beast::error_code error;
  while (exchange_ && buffer_.size() > 0) {
    const std::size_t used = parser_->put(buffer_.data(), error);
    buffer_.consume(used);
    if (error == bhttp::error::need_more) {
      break;
    }
    if (error) {
      Finish(ExchangeState::kLost, error.message());
      return;
    }
    if (parser_->is_done()) {
      OnMessage();
    } else if (used == 0) {
      break;
    }
  }
}

void Connection::OnEof() {
  beast::error_code error;
  reusable_ = false;
  if (parser_->got_some()) {
    parser_->put_eof(error);
    if (!error && parser_->is_done()) {
      OnMessage();
    }
  }
  if (exchange_) {
    Finish(ExchangeState::kLost, "the target closed the connection before the answer was complete");
  }
}

void Connection::OnMessage() {
  http::RawResponse response = parser_->release();
  parser_.reset();
  if (response.result_int() < kMinStatus || response.result_int() > kMaxStatus) {
    Finish(ExchangeState::kLost, "the status is not one of HTTP");
    return;
  }
  const bool informational = response.result_int() < 200;
  if (informational || !exchange_->matches(response)) {
    if (++skipped_messages_ > kMaxSkippedMessages) {
      Finish(ExchangeState::kLost, "the target sent too many messages before the answer");
      return;
    }
    // A second answer to an earlier request. The answer to this request may follow.
    reusable_ = reusable_ && informational;
    BeginAnswer();
    return;
  }
  reusable_ = reusable_ && response.keep_alive() && buffer_.size() == 0;
  ExchangeResult result{ExchangeState::kAnswered, std::move(response), std::move(memory_), {}};
  if (!reusable_) {
    Close();
    Deliver(std::move(result));
    return;
  }
  // Returns the connection to the pool before the answer is handled, so that the next
  // exchange can use it.
  auto done = std::move(exchange_->done);
  exchange_.reset();
  close_at_ = pool_.clock().now() + IdleTimeout(result.response);
  pool_.Return(*this);
  done(std::move(result));
}

void Connection::Finish(ExchangeState state, std::string detail) {
  Close();
  Deliver({state, {}, {}, std::move(detail)});
}

void Connection::Deliver(ExchangeResult result) {
  if (!exchange_) {
    return;
  }
  auto done = std::move(exchange_->done);
  exchange_.reset();
  done(std::move(result));
}

void Connection::Close() {
  const ConnectionPtr self(this);
  pool_.Remove(*this);
  beast::error_code ignored;
  connect_timer_.cancel();
  socket_.close(ignored);
  memory_ = {};
}

bool Connection::IsOpenWithoutInput() {
  char byte = 0;
  const ssize_t count = recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace peridotfork
