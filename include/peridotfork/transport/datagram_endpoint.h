#ifndef PERIDOTFORK_TRANSPORT_DATAGRAM_ENDPOINT_H_
#define PERIDOTFORK_TRANSPORT_DATAGRAM_ENDPOINT_H_

#include <array>
#include <atomic>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <functional>
#include <memory>

#include "peridotfork/core/error.h"
#include "peridotfork/core/ids.h"
#include "peridotfork/protocol/message.h"
#include "peridotfork/runtime/ranked_mutex.h"
#include "peridotfork/runtime/worker_pool.h"

namespace peridotfork {

// Counters of the datagrams of one endpoint since its start.
struct DatagramCounters {
  std::atomic<std::uint64_t> sent = 0;
  std::atomic<std::uint64_t> bytes_sent = 0;
  std::atomic<std::uint64_t> received = 0;
  // Refused on receipt, and not sent because too large or because the system refused them.
  std::atomic<std::uint64_t> refused = 0;
  std::atomic<std::uint64_t> dropped = 0;
};

// Exchanges messages of the inner protocol as UDP datagrams, which may be lost, repeated or
// reordered. Thread-safe.
class DatagramEndpoint {
 public:
  // Larger messages are not sent, since the loss of one fragment loses a datagram.
  static constexpr std::size_t kMaxDatagram = 1200;

  // Called on a worker with a message and the address that it came from.
  using Handler = std::function<void(const protocol::Envelope&, const Address& from)>;

  DatagramEndpoint(WorkerPool& pool, ProcessId self, Handler handler);

  // Binds the socket and starts to receive.
  Result<void> Open(const Address& address);

  // Sends without waiting; drops the message if that is not possible.
  void Send(const Address& to, protocol::Message message);

  void Close();

  // The bound address; empty before Open().
  const Address& address() const { return address_; }
  const DatagramCounters& counters() const { return counters_; }

 private:
  using Udp = boost::asio::ip::udp;

  // What an outstanding receive uses; outlives the endpoint until the receive has ended.
  struct Receiver {
    explicit Receiver(boost::asio::io_context& context) : socket(context) {}

    Udp::socket socket;
    Udp::endpoint sender;
    // One byte more than the largest message, to recognize longer ones.
    std::array<std::uint8_t, 2048> buffer{};
    std::atomic<bool> closed = false;
    // Guards the socket.
    RankedMutex mutex{LockRank::kTransport};
  };

  void Receive();
  void OnReceiveError(const boost::system::error_code& error);
  void OnReceived(std::size_t size);

  WorkerPool& pool_;
  const ProcessId self_;
  const Handler handler_;
  std::shared_ptr<Receiver> receiver_;
  Address address_;
  DatagramCounters counters_;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_TRANSPORT_DATAGRAM_ENDPOINT_H_
