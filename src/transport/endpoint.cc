#include "peridotfork/transport/endpoint.h"

#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <utility>
#include <vector>

#include "peridotfork/protocol/codec.h"

namespace peridotfork {
namespace {

constexpr nng_duration kReconnectMinMs = 20;
constexpr nng_duration kReconnectMaxMs = 500;

}  // namespace

Endpoint::Endpoint(WorkerPool& pool,
                   ProcessId self,
                   Handler handler,
                   DecodeErrorHandler on_decode_error)
    : self_(std::move(self)), receiver_(pool, std::move(handler), std::move(on_decode_error)) {}

Endpoint::~Endpoint() {
  Close();
}

Result<void> Endpoint::Listen(const Address& address) {
  if (const int code = nng_pull0_open(&listener_); code != 0) {
    return TransportError("listen on " + address.value(), code);
  }
  BOOST_OUTCOME_TRY(address_, ListenForMessages(listener_, address));
  return receiver_.Start(listener_);
}

Result<void> Endpoint::Send(const Address& to,
                            Incarnation to_incarnation,
                            protocol::Message message) {
  std::vector<std::uint8_t> bytes =
      protocol::Encode({self_, address_, to_incarnation, std::move(message)});
  const auto socket = SocketFor(to);
  if (!socket.has_value()) {
    return socket.error();
  }
  const int code = nng_send(socket.value(), bytes.data(), bytes.size(), NNG_FLAG_NONBLOCK);
  if (code != 0) {
    ++counters_.dropped_on_send;
    return TransportError("send to " + to.value(), code);
  }
  ++counters_.messages_sent;
  counters_.bytes_sent += bytes.size();
  return boost::outcome_v2::success();
}

void Endpoint::Close() {
  {
    const RankedLock lock(mutex_);
    if (closed_) {
      return;
    }
    closed_ = true;
    for (const auto& [address, socket] : peers_) {
      nng_close(socket);
    }
  }
  receiver_.Stop();
  nng_close(listener_);
}

Result<nng_socket> Endpoint::SocketFor(const Address& to) {
  const RankedLock lock(mutex_);
  if (closed_) {
    return MakeError(ErrorKind::kTransport, "send to " + to.value(), "the endpoint is closed");
  }
  const auto known = peers_.find(to);
  if (known != peers_.end()) {
    return known->second;
  }
  nng_socket socket = NNG_SOCKET_INITIALIZER;
  int code = nng_push0_open(&socket);
  if (code != 0) {
    return TransportError("open", code);
  }
  nng_socket_set_int(socket, NNG_OPT_SENDBUF, kSendQueueLength);
  if (const auto dialled = DialPeer(socket, to, kReconnectMinMs, kReconnectMaxMs); !dialled) {
    nng_close(socket);
    return dialled.error();
  }
  peers_.emplace(to, socket);
  return socket;
}

}  // namespace peridotfork
