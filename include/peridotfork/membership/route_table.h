#ifndef PERIDOTFORK_MEMBERSHIP_ROUTE_TABLE_H_
#define PERIDOTFORK_MEMBERSHIP_ROUTE_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>

#include "peridotfork/core/ids.h"
#include "peridotfork/protocol/message.h"

namespace peridotfork {

// Maps each home to the dispatcher that serves it, according to the heartbeats. A
// host claims the homes that its heartbeats list as held. If several hosts claim a
// home, the claim whose first heartbeat arrived last is used, because a host that
// has lost the home may still list it in a delayed heartbeat. A route is kept when
// its host stops sending heartbeats. Not thread-safe.
class RouteTable {
 public:
  // Records a heartbeat of this or another host. Older incarnations are ignored.
  void Record(const ProcessId& from, const protocol::Heartbeat& heartbeat);

  // Returns the dispatcher that serves `home`, or nullopt if none has claimed it.
  std::optional<protocol::ProcessAddress> RouteOf(const HostId& home) const;

  // Incremented whenever a claim or a dispatcher address changes.
  std::uint64_t revision() const { return revision_; }

 private:
  struct Claimer {
    Incarnation incarnation;
    protocol::ProcessAddress dispatcher;
    // Sequence number of the beginning of each claim, by home.
    std::map<HostId, std::uint64_t> claims;
  };

  std::map<HostId, Claimer> claimers_;
  std::uint64_t last_claim_ = 0;
  std::uint64_t revision_ = 0;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_MEMBERSHIP_ROUTE_TABLE_H_
