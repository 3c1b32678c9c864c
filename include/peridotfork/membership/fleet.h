#ifndef PERIDOTFORK_MEMBERSHIP_FLEET_H_
#define PERIDOTFORK_MEMBERSHIP_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "peridotfork/core/ids.h"
#include "peridotfork/protocol/message.h"

namespace peridotfork {

// One gateway process of the deployment.
struct FleetMember {
  HostId host;
  Incarnation incarnation;
  // Where it receives datagrams of its peers.
  Address address;
  DataCentreId data_centre;

  friend bool operator==(const FleetMember&, const FleetMember&) = default;
};

// Number of gateways of the largest deployment planned. Shares of a sum over all gateways are those
// of this number until the true one is known.
inline constexpr std::size_t kLargestFleet = 2500;

// Number that is assumed where the other gateways can't be found.
inline constexpr std::size_t kAssumedFleet = 40;

// The gateways of the deployment as this process sees them. Other processes may see others; no rule
// depends on agreement. Implementations are thread-safe.
class FleetView {
 public:
  virtual ~FleetView() = default;

  virtual FleetMember self() const = 0;

  // The members believed alive, this process included, sorted by host.
  virtual std::vector<FleetMember> Members() const = 0;

  // Number of members that were lost without announcing it a short time ago. They may be running
  // and serving callers where this process can't reach them.
  virtual std::size_t unaccounted() const = 0;

  // Changes whenever Members() does.
  virtual std::uint64_t version() const = 0;

  // How often this process has got in touch with the others: when it first heard of them, and each
  // time that one answered after another had not. In between, it may have missed messages.
  virtual std::uint64_t contacts() const = 0;

  // Whether other members have been found, so that the size of the fleet means something.
  virtual bool joined() const = 0;
};

// Sends messages to other gateways; they may be lost, repeated or reordered. Implementations are
// thread-safe.
class PeerSender {
 public:
  virtual ~PeerSender() = default;
  virtual void Send(const Address& to, protocol::Message message) = 0;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_MEMBERSHIP_FLEET_H_
