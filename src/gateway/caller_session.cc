#include "peridotfork/gateway/caller_session.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <limits>
#include <string>
#include <string_view>
#include <utility>

#include "peridotfork/gateway/request_runner.h"
#include "peridotfork/http/client.h"
#include "peridotfork/http/framing.h"

namespace peridotfork {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;

constexpr std::size_t kReadSize = 8192;
// If the first request arrives within this time after its connection was accepted, the connection
// was opened for it and the caller has been waiting since: the request starts at the accept time.
constexpr std::chrono::milliseconds kFirstRequestWindow{100};
// A connection whose caller takes nothing of a response for so long is closed. The kernel reports a
// full send buffer as writable when a third of it is free: 10 s would close a steady reader at
// 64 kbit/s.
constexpr std::chrono::seconds kWriteTimeout{30};
// Size of the kernel's send buffer of a connection. Without a limit the kernel takes several
// megabytes of an answer that its caller does not read.
constexpr int kSendBuffer = 128 * 1024;
// A body whose length is not known occupies up to twice its size while it is read.
constexpr std::size_t kBodyGrowth = 2;
// Time limit for reading the body of a request, as a multiple of the limit for its header.
constexpr int kBodyTimeFactor = 3;
// Input that follows a refused request is discarded for so long and up to so much before the
// connection is closed: closing with unread input resets the connection, and a caller that still
// sends its body then loses the refusal.
constexpr std::chrono::seconds kLingerTime{1};
constexpr std::size_t kMaxDiscarded = 1 << 20;

std::string_view View(const beast::flat_buffer& buffer) {
  const auto bytes = buffer.cdata();
  return {static_cast<const char*>(bytes.data()), bytes.size()};
}

}  // namespace

CallerSession::CallerSession(Tcp::socket socket,
                             RequestSink& sink,
                             std::function<void(CallerSession&)> on_end)
    : stream_(std::move(socket)),
      sink_(sink),
      on_end_(std::move(on_end)),
      accepted_(sink.clock().now()),
      idle_since_(accepted_),
      body_memory_(sink.caller_memory()),
      response_memory_(sink.caller_memory()) {
  beast::error_code ignored;
  stream_.socket().set_option(asio::socket_base::send_buffer_size(kSendBuffer), ignored);
  stream_.socket().set_option(Tcp::no_delay(true), ignored);
  http::EnableDeadPeerDetection(stream_.socket());
}

void CallerSession::Run() {
  asio::dispatch(stream_.get_executor(), [self = Self()] { self->WaitForRequest(); });
}

void CallerSession::CloseIfIdle() {
  asio::dispatch(stream_.get_executor(), [self = Self()] {
    if (!self->busy_) {
      self->Close();
    }
  });
}

void CallerSession::CloseIfSlow() {
  asio::dispatch(stream_.get_executor(), [self = Self()] {
    if (self->held_ > 0) {
      self->Close();
    }
  });
}

void CallerSession::AnswerNow() {
  asio::dispatch(stream_.get_executor(), [self = Self()] {
    if (self->runner_ != nullptr) {
      self->runner_->OnShutdown();
    }
  });
}

void CallerSession::WaitForRequest() {
  busy_ = false;
  idle_since_ = sink_.clock().now();
  is_head_request_ = false;
  if (buffer_.size() > 0) {
    request_start_ = sink_.clock().now();
    BeginRequest();
    return;
  }
  stream_.expires_after(sink_.limits().idle_timeout);
  stream_.async_read_some(buffer_.prepare(kReadSize),
                          [self = Self()](const ErrorCode& error, std::size_t count) {
                            self->OnFirstBytes(error, count);
                          });
}

void CallerSession::OnFirstBytes(const ErrorCode& error, std::size_t count) {
  if (error || closed_) {
    Close();
    return;
  }
  buffer_.commit(count);
  request_start_ = sink_.clock().now();
  if (first_request_ && request_start_ - accepted_ < kFirstRequestWindow) {
    request_start_ = accepted_;
  }
  first_request_ = false;
  BeginRequest();
}

void CallerSession::BeginRequest() {
  busy_ = true;
  limits_ = sink_.limits();
  parser_.emplace();
  parser_->header_limit(static_cast<std::uint32_t>(std::min<std::uint64_t>(
      limits_.max_header.value(), std::numeric_limits<std::uint32_t>::max())));
  parser_->body_limit(limits_.max_body.value());
  // Bounds what is kept while it can't be parsed, such as a chunk extension without end.
  buffer_.max_size(std::max(buffer_.size(), limits_.max_header.value() + kReadSize));
  stream_.expires_after(limits_.header_timeout);
  ReadHead();
}

void CallerSession::ReadHead() {
  std::string_view bytes = View(buffer_);
  // Empty lines before a request are ignored.
  while (bytes.starts_with("\r\n")) {
    buffer_.consume(2);
    bytes.remove_prefix(2);
  }
  const std::size_t size = http::HeadSize(bytes);
  if (size > 0) {
    const Result<http::RequestFraming> framing = http::DecideRequestFraming(bytes.substr(0, size));
    if (framing.has_value()) {
      ParseHead();
    } else {
      RefuseMalformed(400, framing.error());
    }
  } else if (http::HasBareLineEnd(bytes)) {
    RefuseMalformed(400, MakeError(ErrorKind::kMalformed, "request", "a bare line end in a head"));
  } else if (bytes.size() > limits_.max_header.value()) {
    RefuseMalformed(431, MakeError(ErrorKind::kTooLarge, "header", "the head is too large"));
  } else {
    stream_.async_read_some(
        buffer_.prepare(std::min(kReadSize, buffer_.max_size() - buffer_.size())),
        [self = Self()](const ErrorCode& error, std::size_t count) {
          self->OnHeadBytes(error, count);
        });
  }
}

void CallerSession::OnHeadBytes(const ErrorCode& error, std::size_t count) {
  if (error || closed_) {
    Close();
    return;
  }
  buffer_.commit(count);
  ReadHead();
}

void CallerSession::RefuseMalformed(unsigned status, const Error& error) {
  RefuseUnread(sink_.Refuse(status, error));
}

void CallerSession::RefuseUnread(http::RawResponse response) {
  input_left_ = true;
  Write({std::move(response), {}}, false);
}

void CallerSession::ParseHead() {
  bhttp::async_read_header(
      stream_, buffer_, *parser_,
      [self = Self()](const ErrorCode& error, std::size_t) { self->OnHeader(error); });
}

void CallerSession::OnHeader(const ErrorCode& error) {
  if (closed_) {
    return;
  }
  if (error) {
    OnReadError(error);
    return;
  }
  is_head_request_ = parser_->get().method() == bhttp::verb::head;
  chunked_header_.reset();
  if (parser_->chunked()) {
    chunked_header_ = parser_->get().base();
  }
  if (parser_->is_done()) {
    DispatchRequest();
  } else if (std::optional<http::RawResponse> refusal = sink_.RefuseHead(parser_->get())) {
    RefuseUnread(std::move(*refusal));
  } else {
    ReadBody();
  }
}

CallerProgress CallerSession::Progress() const {
  return {held_, passed_, progress_since_};
}

void CallerSession::BeginProgress(std::size_t size) {
  // In the reverse order of Progress(): a reader in between sees a caller that has just begun.
  progress_since_ = sink_.clock().now();
  passed_ = 0;
  held_ = size;
}

void CallerSession::EndProgress() {
  held_ = 0;
}

void CallerSession::CloseForRoom() {
  asio::dispatch(stream_.get_executor(), [self = Self()] {
    if (self->runner_ == nullptr) {
      self->Close();
    }
  });
}

void CallerSession::ReadBody() {
  const std::uint64_t length =
      std::min(parser_->content_length().value_or(0), limits_.max_body.value());
  const std::size_t size = kBodyGrowth * static_cast<std::size_t>(length);
  if (!body_memory_.TrySet(size)) {
    RefuseUnread(sink_.RefuseForMemory(parser_->get()));
    return;
  }
  if (beast::iequals(parser_->get()[bhttp::field::expect], "100-continue")) {
    // The caller sends the body only after it has received 100 Continue.
    response_.emplace(bhttp::status::continue_, 11);
    bhttp::async_write(stream_, *response_, [self = Self()](const ErrorCode& error, std::size_t) {
      if (error || self->closed_) {
        self->Close();
        return;
      }
      self->parser_->get().erase(bhttp::field::expect);
      self->ReadBody();
    });
    return;
  }
  BeginProgress(size);
  stream_.expires_after(limits_.header_timeout * kBodyTimeFactor);
  ReadBodyBytes();
}

void CallerSession::ReadBodyBytes() {
  bhttp::async_read_some(
      stream_, buffer_, *parser_,
      [self = Self()](const ErrorCode& error, std::size_t count) { self->OnBody(error, count); });
}

void CallerSession::OnBody(const ErrorCode& error, std::size_t count) {
  passed_ += count;
  if (closed_) {
    EndProgress();
  } else if (error) {
    EndProgress();
    OnReadError(error);
  } else if (parser_->is_done()) {
    EndProgress();
    body_memory_.Set(kBodyGrowth * parser_->get().body().size());
    DispatchRequest();
  } else if (chunked_header_ && !GrowBodyMemory()) {
    EndProgress();
    RefuseUnread(sink_.RefuseForMemory(parser_->get()));
  } else {
    ReadBodyBytes();
  }
}

bool CallerSession::GrowBodyMemory() {
  // The length of a chunked body is not known before its end.
  const std::size_t size = kBodyGrowth * (parser_->get().body().size() + kReadSize);
  held_ = size;
  return body_memory_.TrySet(size);
}

void CallerSession::OnReadError(const ErrorCode& error) {
  if (error == bhttp::error::body_limit) {
    RefuseUnread(sink_.Refuse(413, MakeError(ErrorKind::kTooLarge, "body", error.message())));
  } else if (error == bhttp::error::header_limit) {
    RefuseUnread(sink_.Refuse(431, MakeError(ErrorKind::kTooLarge, "header", error.message())));
  } else if (error != bhttp::error::end_of_stream && error != bhttp::error::partial_message &&
             error.category() == bhttp::make_error_code(bhttp::error::bad_method).category()) {
    RefuseUnread(sink_.Refuse(400, MakeError(ErrorKind::kMalformed, "request", error.message())));
  } else {
    Close();
  }
}

void CallerSession::DispatchRequest() {
  http::RawRequest request = parser_->release();
  if (chunked_header_) {
    // The fields of a trailer are those of the body, not of the request.
    request.base() = std::move(*chunked_header_);
    chunked_header_.reset();
  }
  keep_alive_ = request.keep_alive();
  stream_.expires_never();
  // The request counts its body itself from here on.
  body_memory_.Set(0);
  RequestRunnerPtr runner = sink_.Handle(
      std::move(request), request_start_, [self = Self()](CallerResponse response) mutable {
        asio::post(self->stream_.get_executor(), [self, response = std::move(response)]() mutable {
          self->Write(std::move(response), self->keep_alive_);
        });
      });
  if (runner != nullptr) {
    runner_ = runner;
    WatchForClose();
    runner->Start();
  }
}

void CallerSession::WatchForClose() {
  stream_.socket().async_wait(Tcp::socket::wait_read,
                              [self = Self()](const ErrorCode& error) { self->OnReadable(error); });
}

void CallerSession::OnReadable(const ErrorCode& error) {
  if (error || runner_ == nullptr) {
    return;
  }
  char byte = 0;
  const ssize_t count = recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  const bool ended = count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  if (ended) {
    std::exchange(runner_, nullptr)->OnCallerDisconnected();
    Close();
  }
}

void CallerSession::Write(CallerResponse response, bool keep_alive) {
  runner_.reset();
  // Frees what was read of the body of a refused request.
  parser_.reset();
  body_memory_.Set(0);
  if (closed_) {
    return;
  }
  ErrorCode ignored;
  // Cancels the wait started by WatchForClose().
  stream_.socket().cancel(ignored);
  keep_alive_ = keep_alive && !sink_.draining();
  response_.emplace(std::move(response.message));
  answer_memory_ = std::move(response.memory);
  response_->keep_alive(keep_alive_);
  if (is_head_request_) {
    // The length that was set stays, unless it is only that of the body left out by a target.
    response_->body().clear();
    if ((*response_)[bhttp::field::content_length] == "0") {
      response_->erase(bhttp::field::content_length);
    }
  }
  response_memory_.Set(response_->body().size());
  BeginProgress(response_->body().size());
  serializer_.emplace(*response_);
  WriteBytes();
}

void CallerSession::WriteBytes() {
  stream_.expires_after(kWriteTimeout);
  bhttp::async_write_some(stream_, *serializer_,
                          [self = Self()](const ErrorCode& error, std::size_t count) {
                            self->OnWritten(error, count);
                          });
}

void CallerSession::OnWritten(const ErrorCode& error, std::size_t count) {
  passed_ += count;
  if (!error && !closed_ && !serializer_->is_done()) {
    WriteBytes();
    return;
  }
  EndProgress();
  serializer_.reset();
  response_.reset();
  response_memory_.Set(0);
  answer_memory_.clear();
  const bool is_open = !error && !closed_;
  if (is_open && keep_alive_) {
    WaitForRequest();
  } else if (is_open && input_left_) {
    Linger();
  } else {
    Close();
  }
}

void CallerSession::Linger() {
  ErrorCode ignored;
  stream_.socket().shutdown(Tcp::socket::shutdown_send, ignored);
  buffer_.clear();
  stream_.expires_after(kLingerTime);
  DiscardInput();
}

void CallerSession::DiscardInput() {
  stream_.async_read_some(buffer_.prepare(kReadSize),
                          [self = Self()](const ErrorCode& error, std::size_t count) {
                            self->discarded_ += count;
                            if (error || self->closed_ || self->discarded_ > kMaxDiscarded) {
                              self->Close();
                            } else {
                              self->DiscardInput();
                            }
                          });
}

void CallerSession::Close() {
  busy_ = false;
  if (std::exchange(closed_, true)) {
    return;
  }
  ErrorCode ignored;
  stream_.socket().shutdown(Tcp::socket::shutdown_send, ignored);
  stream_.close();
  on_end_(*this);
}

}  // namespace peridotfork
