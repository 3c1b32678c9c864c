#include "peridotfork/transport/datagram_endpoint.h"

#include <boost/asio/buffer.hpp>
#include <span>
#include <string>
#include <utility>

#include "peridotfork/http/client.h"
#include "peridotfork/protocol/codec.h"

namespace peridotfork {
namespace {

namespace asio = boost::asio;

// Delay after a failed receive, so that an error that persists takes no processor time.
constexpr std::chrono::milliseconds kReceiveRetryDelay{100};

Result<asio::ip::udp::endpoint> ParseUdpEndpoint(const Address& address) {
  BOOST_OUTCOME_TRY(const auto endpoint, http::ParseEndpoint(address));
  return asio::ip::udp::endpoint(endpoint.address(), endpoint.port());
}

Address ToAddress(const asio::ip::udp::endpoint& endpoint) {
  return Address(endpoint.address().to_string() + ":" + std::to_string(endpoint.port()));
}

}  // namespace

DatagramEndpoint::DatagramEndpoint(WorkerPool& pool, ProcessId self, Handler handler)
    : pool_(pool),
      self_(std::move(self)),
      handler_(std::move(handler)),
      receiver_(std::make_shared<Receiver>(pool.context())) {}

Result<void> DatagramEndpoint::Open(const Address& address) {
  BOOST_OUTCOME_TRY(const auto endpoint, ParseUdpEndpoint(address));
  boost::system::error_code error;
  Udp::socket& socket = receiver_->socket;
  socket.open(endpoint.protocol(), error);
  if (!error) {
    socket.bind(endpoint, error);
  }
  if (!error) {
    socket.non_blocking(true, error);
  }
  if (error) {
    return MakeError(ErrorKind::kTransport, "datagrams at " + address.value(), error.message());
  }
  address_ = ToAddress(socket.local_endpoint(error));
  Receive();
  return boost::outcome_v2::success();
}

void DatagramEndpoint::Receive() {
  const RankedLock lock(receiver_->mutex);
  if (receiver_->closed) {
    return;
  }
  receiver_->socket.async_receive_from(
      asio::buffer(receiver_->buffer), receiver_->sender,
      [this, receiver = receiver_](const boost::system::error_code& error, std::size_t size) {
        if (receiver->closed || error == asio::error::operation_aborted) {
          return;
        }
        if (error) {
          OnReceiveError(error);
          return;
        }
        OnReceived(size);
        Receive();
      });
}

void DatagramEndpoint::OnReceiveError(const boost::system::error_code& error) {
  // Reports that an earlier datagram was not delivered.
  if (error == asio::error::connection_refused) {
    Receive();
    return;
  }
  pool_.After(kReceiveRetryDelay, [this, receiver = receiver_] {
    if (!receiver->closed) {
      Receive();
    }
  });
}

void DatagramEndpoint::OnReceived(std::size_t size) {
  const Result<protocol::Envelope> envelope =
      protocol::Decode(std::span(receiver_->buffer).first(size));
  if (!envelope.has_value()) {
    ++counters_.refused;
    return;
  }
  ++counters_.received;
  handler_(envelope.value(), ToAddress(receiver_->sender));
}

void DatagramEndpoint::Send(const Address& to, protocol::Message message) {
  const Result<Udp::endpoint> endpoint = ParseUdpEndpoint(to);
  if (!endpoint.has_value() || address_.value().empty() || receiver_->closed) {
    ++counters_.dropped;
    return;
  }
  const std::vector<std::uint8_t> bytes =
      protocol::Encode({self_, address_, Incarnation(0), std::move(message)});
  boost::system::error_code error;
  const RankedLock lock(receiver_->mutex);
  if (receiver_->closed) {
    return;
  }
  if (bytes.size() <= kMaxDatagram) {
    receiver_->socket.send_to(asio::buffer(bytes), endpoint.value(), 0, error);
  }
  if (error || bytes.size() > kMaxDatagram) {
    ++counters_.dropped;
    return;
  }
  ++counters_.sent;
  counters_.bytes_sent += bytes.size();
}

void DatagramEndpoint::Close() {
  const RankedLock lock(receiver_->mutex);
  if (!receiver_->closed.exchange(true)) {
    boost::system::error_code ignored;
    receiver_->socket.close(ignored);
  }
}

}  // namespace peridotfork
