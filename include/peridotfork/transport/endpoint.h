#ifndef PERIDOTFORK_TRANSPORT_ENDPOINT_H_
#define PERIDOTFORK_TRANSPORT_ENDPOINT_H_

#include <nng/nng.h>

#include <atomic>
#include <cstdint>
#include <map>

#include "peridotfork/core/error.h"
#include "peridotfork/core/ids.h"
#include "peridotfork/internal/transport/message_receiver.h"
#include "peridotfork/protocol/message.h"
#include "peridotfork/runtime/ranked_mutex.h"
#include "peridotfork/runtime/worker_pool.h"

namespace peridotfork {

// Counters of sent messages since the start of an endpoint.
struct EndpointCounters {
  std::atomic<std::uint64_t> messages_sent = 0;
  std::atomic<std::uint64_t> bytes_sent = 0;
  std::atomic<std::uint64_t> dropped_on_send = 0;
};

// Sends and receives the internal messages of one process over nng. Messages are
// one-way and may be lost, but are never sent twice. Thread-safe.
class Endpoint {
 public:
  using Handler = MessageReceiver::Handler;
  using DecodeErrorHandler = MessageReceiver::DecodeErrorHandler;

  // Maximum number of messages queued for one peer. Send() drops further messages.
  static constexpr int kSendQueueLength = 512;

  // The handlers run on the worker threads, several at a time. `on_decode_error` is called
  // for messages that cannot be decoded.
  Endpoint(WorkerPool& pool, ProcessId self, Handler handler, DecodeErrorHandler on_decode_error);
  ~Endpoint();
  Endpoint(const Endpoint&) = delete;
  Endpoint& operator=(const Endpoint&) = delete;

  // Opens the listener and starts receiving. If the port is 0, the system chooses one;
  // see address().
  Result<void> Listen(const Address& address);

  // Queues a message for the process at `to`. Unless `to_incarnation` is zero, a process
  // with another incarnation does not handle the message.
  Result<void> Send(const Address& to, Incarnation to_incarnation, protocol::Message message);

  // Stops receiving and sending.
  void Close();

  const Address& address() const { return address_; }
  const ProcessId& self() const { return self_; }
  const EndpointCounters& counters() const { return counters_; }

 private:
  Result<nng_socket> SocketFor(const Address& to);

  const ProcessId self_;
  MessageReceiver receiver_;
  Address address_;
  nng_socket listener_ = NNG_SOCKET_INITIALIZER;
  EndpointCounters counters_;

  RankedMutex mutex_{LockRank::kTransport};
  bool closed_ = false;
  std::map<Address, nng_socket> peers_;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_TRANSPORT_ENDPOINT_H_
