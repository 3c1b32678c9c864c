#ifndef PERIDOTFORK_INTERNAL_TRANSPORT_MESSAGE_RECEIVER_H_
#define PERIDOTFORK_INTERNAL_TRANSPORT_MESSAGE_RECEIVER_H_

#include <nng/nng.h>

#include <functional>
#include <string>

#include "peridotfork/core/error.h"
#include "peridotfork/protocol/codec.h"
#include "peridotfork/runtime/worker_pool.h"

namespace peridotfork {

// Receives the messages of one nng socket and decodes them on the worker threads. The
// handlers run there too, several at a time.
class MessageReceiver {
 public:
  using Handler = std::function<void(protocol::Envelope)>;
  using DecodeErrorHandler = std::function<void(const Error&)>;

  MessageReceiver(WorkerPool& pool, Handler handler, DecodeErrorHandler on_decode_error);
  ~MessageReceiver();
  MessageReceiver(const MessageReceiver&) = delete;
  MessageReceiver& operator=(const MessageReceiver&) = delete;

  // `socket` must stay open until Stop() returns.
  Result<void> Start(nng_socket socket);
  void Stop();

 private:
  static void OnReceived(void* receiver);
  void Receive(nng_msg* message);

  WorkerPool& pool_;
  const Handler handler_;
  const DecodeErrorHandler on_decode_error_;
  nng_socket socket_ = NNG_SOCKET_INITIALIZER;
  nng_aio* aio_ = nullptr;
};

// Opens a listener on `socket` for internal messages and returns its address. If the
// port is 0, the system chooses one.
Result<Address> ListenForMessages(nng_socket socket, const Address& address);

// Connects `socket` to a peer in the background, and reconnects whenever the connection
// is lost.
Result<void> DialPeer(nng_socket socket,
                      const Address& to,
                      nng_duration reconnect_min_ms,
                      nng_duration reconnect_max_ms);

// Converts an nng error code.
Error TransportError(const std::string& where, int code);

}  // namespace peridotfork

#endif  // PERIDOTFORK_INTERNAL_TRANSPORT_MESSAGE_RECEIVER_H_
