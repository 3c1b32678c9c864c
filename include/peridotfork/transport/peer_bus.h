#ifndef PERIDOTFORK_TRANSPORT_PEER_BUS_H_
#define PERIDOTFORK_TRANSPORT_PEER_BUS_H_

#include <nng/nng.h>

#include <vector>

#include "peridotfork/core/error.h"
#include "peridotfork/core/ids.h"
#include "peridotfork/internal/transport/message_receiver.h"
#include "peridotfork/protocol/message.h"
#include "peridotfork/runtime/ranked_mutex.h"
#include "peridotfork/runtime/worker_pool.h"

namespace peridotfork {

// Broadcasts messages between processes that know only a few seed processes. Each
// process keeps a connection to every seed, and a message is sent to all directly
// connected processes. If receivers forward messages that they have not seen before, a
// message reaches all processes through any running seed. Messages may be lost.
// Thread-safe.
class PeerBus {
 public:
  // Minimum and maximum delay between attempts to connect to a seed.
  static constexpr nng_duration kReconnectMinMs = 500;
  static constexpr nng_duration kReconnectMaxMs = 4000;

  // The handlers run on the worker threads, several at a time.
  PeerBus(WorkerPool& pool,
          ProcessId self,
          MessageReceiver::Handler handler,
          MessageReceiver::DecodeErrorHandler on_decode_error);
  ~PeerBus();
  PeerBus(const PeerBus&) = delete;
  PeerBus& operator=(const PeerBus&) = delete;

  // Listens on `address` and connects to the seeds other than this process. Does
  // nothing after Close().
  Result<void> Start(const Address& address, const std::vector<Address>& seeds);

  // Sends to all connected processes; to none before Start().
  Result<void> Publish(protocol::Message message);

  // Stops sending and receiving.
  void Close();

  // Returns the address on which this process listens; empty before Start().
  Address address() const;

 private:
  const ProcessId self_;
  MessageReceiver receiver_;
  mutable RankedMutex mutex_{LockRank::kTransport};
  bool closed_ = false;
  nng_socket socket_ = NNG_SOCKET_INITIALIZER;
  Address address_;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_TRANSPORT_PEER_BUS_H_
