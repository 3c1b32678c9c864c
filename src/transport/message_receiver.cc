#include "peridotfork/internal/transport/message_receiver.h"

#include <arpa/inet.h>

#include <cstdint>
#include <memory>
#include <utility>

namespace peridotfork {
namespace {

std::string Url(const Address& address) {
  return "tcp://" + address.value();
}

}  // namespace

Error TransportError(const std::string& where, int code) {
  return MakeError(ErrorKind::kTransport, where, nng_strerror(code));
}

Result<Address> ListenForMessages(nng_socket socket, const Address& address) {
  nng_listener listener = NNG_LISTENER_INITIALIZER;
  nng_sockaddr bound{};
  int code = nng_socket_set_size(socket, NNG_OPT_RECVMAXSZ, protocol::kMaxMessageBytes);
  if (code == 0) {
    code = nng_listen(socket, Url(address).c_str(), &listener, 0);
  }
  if (code == 0) {
    code = nng_listener_get_addr(listener, NNG_OPT_LOCADDR, &bound);
  }
  if (code != 0) {
    return TransportError("listen on " + address.value(), code);
  }
  const std::string& text = address.value();
  return Address(text.substr(0, text.rfind(':') + 1) + std::to_string(ntohs(bound.s_in.sa_port)));
}

Result<void> DialPeer(nng_socket socket,
                      const Address& to,
                      nng_duration reconnect_min_ms,
                      nng_duration reconnect_max_ms) {
  nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, reconnect_min_ms);
  nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, reconnect_max_ms);
  const int code = nng_dial(socket, Url(to).c_str(), nullptr, NNG_FLAG_NONBLOCK);
  if (code != 0) {
    return TransportError("dial " + to.value(), code);
  }
  return boost::outcome_v2::success();
}

MessageReceiver::MessageReceiver(WorkerPool& pool,
                                 Handler handler,
                                 DecodeErrorHandler on_decode_error)
    : pool_(pool), handler_(std::move(handler)), on_decode_error_(std::move(on_decode_error)) {}

MessageReceiver::~MessageReceiver() {
  Stop();
}

Result<void> MessageReceiver::Start(nng_socket socket) {
  socket_ = socket;
  const int code = nng_aio_alloc(&aio_, &MessageReceiver::OnReceived, this);
  if (code != 0) {
    return TransportError("receive", code);
  }
  nng_recv_aio(socket_, aio_);
  return boost::outcome_v2::success();
}

void MessageReceiver::Stop() {
  if (aio_ != nullptr) {
    nng_aio_stop(aio_);
    nng_aio_free(std::exchange(aio_, nullptr));
  }
}

void MessageReceiver::OnReceived(void* receiver) {
  auto* const self = static_cast<MessageReceiver*>(receiver);
  const int code = nng_aio_result(self->aio_);
  if (code == NNG_ECLOSED || code == NNG_ECANCELED) {
    return;
  }
  if (code == 0) {
    self->Receive(nng_aio_get_msg(self->aio_));
  }
  nng_recv_aio(self->socket_, self->aio_);
}

void MessageReceiver::Receive(nng_msg* message) {
  const std::shared_ptr<nng_msg> owned(message, &nng_msg_free);
  pool_.Post([this, owned] {
    auto decoded = protocol::Decode(
        {static_cast<const std::uint8_t*>(nng_msg_body(owned.get())), nng_msg_len(owned.get())});
    if (!decoded.has_value()) {
      on_decode_error_(decoded.error());
      return;
    }
    handler_(std::move(decoded.value()));
  });
}

}  // namespace peridotfork
