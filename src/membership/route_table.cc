#include "peridotfork/membership/route_table.h"

#include <algorithm>
#include <utility>

namespace peridotfork {

void RouteTable::Record(const ProcessId& from, const protocol::Heartbeat& heartbeat) {
  Claimer& claimer = claimers_[from.host];
  if (from.incarnation < claimer.incarnation) {
    return;
  }
  Claimer next{from.incarnation, heartbeat.dispatcher, {}};
  const bool same_process = from.incarnation == claimer.incarnation;
  if (!heartbeat.dispatcher.address.value().empty()) {
    for (const HostId& home : heartbeat.homes_held) {
      const auto claim = claimer.claims.find(home);
      const bool known = same_process && claim != claimer.claims.end();
      next.claims[home] = known ? claim->second : ++last_claim_;
    }
  }
  if (next.claims != claimer.claims || next.dispatcher != claimer.dispatcher) {
    ++revision_;
  }
  claimer = std::move(next);
}

std::optional<protocol::ProcessAddress> RouteTable::RouteOf(const HostId& home) const {
  std::optional<protocol::ProcessAddress> result;
  std::uint64_t newest = 0;
  for (const auto& [host, claimer] : claimers_) {
    const auto claim = claimer.claims.find(home);
    if (claim != claimer.claims.end() && claim->second > newest) {
      newest = claim->second;
      result = claimer.dispatcher;
    }
  }
  return result;
}

}  // namespace peridotfork
