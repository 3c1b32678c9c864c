#include "peridotfork/transport/peer_bus.h"

#include <nng/protocol/bus0/bus.h>

#include <cstdint>
#include <utility>

#include "peridotfork/protocol/codec.h"

namespace peridotfork {

PeerBus::PeerBus(WorkerPool& pool,
                 ProcessId self,
                 MessageReceiver::Handler handler,
                 MessageReceiver::DecodeErrorHandler on_decode_error)
    : self_(std::move(self)), receiver_(pool, std::move(handler), std::move(on_decode_error)) {}

PeerBus::~PeerBus() {
  Close();
}

Result<void> PeerBus::Start(const Address& address, const std::vector<Address>& seeds) {
  const RankedLock lock(mutex_);
  if (closed_) {
    return boost::outcome_v2::success();
  }
  if (const int code = nng_bus0_open(&socket_); code != 0) {
    return TransportError("open", code);
  }
  BOOST_OUTCOME_TRY(address_, ListenForMessages(socket_, address));
  BOOST_OUTCOME_TRYV(receiver_.Start(socket_));
  for (const Address& seed : seeds) {
    if (seed != address_) {
      BOOST_OUTCOME_TRYV(DialPeer(socket_, seed, kReconnectMinMs, kReconnectMaxMs));
    }
  }
  return boost::outcome_v2::success();
}

Result<void> PeerBus::Publish(protocol::Message message) {
  const RankedLock lock(mutex_);
  if (address_.value().empty() || closed_) {
    return boost::outcome_v2::success();
  }
  std::vector<std::uint8_t> bytes =
      protocol::Encode({self_, address_, Incarnation(0), std::move(message)});
  const int code = nng_send(socket_, bytes.data(), bytes.size(), NNG_FLAG_NONBLOCK);
  if (code != 0) {
    return TransportError("publish", code);
  }
  return boost::outcome_v2::success();
}

void PeerBus::Close() {
  {
    const RankedLock lock(mutex_);
    if (std::exchange(closed_, true)) {
      return;
    }
  }
  receiver_.Stop();
  nng_close(socket_);
}

Address PeerBus::address() const {
  const RankedLock lock(mutex_);
  return address_;
}

}  // namespace peridotfork
