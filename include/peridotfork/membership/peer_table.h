#ifndef PERIDOTFORK_MEMBERSHIP_PEER_TABLE_H_
#define PERIDOTFORK_MEMBERSHIP_PEER_TABLE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "peridotfork/core/clock.h"
#include "peridotfork/core/ids.h"
#include "peridotfork/lease/view.h"
#include "peridotfork/protocol/message.h"

namespace peridotfork {

struct PeerOptions {
  std::chrono::nanoseconds heartbeat_interval = std::chrono::milliseconds(500);

  // A peer is live if a heartbeat arrived within this many intervals. With fewer
  // intervals, two consecutive lost heartbeats would cause a takeover attempt.
  int live_intervals = 4;

  // Number of hosts of a cell that read the operators' document and the host list
  // from the platform.
  std::size_t reader_count = 2;
};

// The most recent heartbeat of a peer.
struct Peer {
  Incarnation incarnation;
  BootTime last_heard;
  protocol::Heartbeat heartbeat;
};

// Tracks the liveness of the other agents of the view and derives from it which
// homes (see Placement) this agent requests and releases and whether it reads the
// platform. Not thread-safe.
class PeerTable {
 public:
  PeerTable(const Clock& clock, PeerOptions options, HostId self);

  // Makes `view` the current view and removes peers that are not in it. Ignored
  // unless its version is newer.
  void AdoptView(const View& view);

  // Records a heartbeat. Returns false and changes nothing if `from` is not in
  // the view, is this host, or is an older incarnation than the known one. An
  // incarnation is a start time, so a higher one is newer.
  bool RecordHeartbeat(const ProcessId& from, const protocol::Heartbeat& heartbeat);

  // Records the time of a lease request in which a host of the view requests its own
  // home; ignores other requests.
  void RecordRequest(const ProcessId& from, const protocol::LeaseRequest& request);

  // While draining, this host requests no homes and releases all that it holds.
  void SetDraining(bool draining) { draining_ = draining; }

  // True if the host has sent a heartbeat or joined the view within
  // `live_intervals`. Always true for this host.
  bool IsLive(const HostId& host) const;

  // Returns the live hosts of the view, ordered by id.
  std::vector<HostId> LiveHosts() const;

  const std::map<HostId, Peer>& peers() const { return peers_; }

  // Returns the homes to list in the next lease request, given those held now:
  // - the home of this host,
  // - homes held on behalf of other hosts, except those to release, and
  // - homes whose own host is not live or is draining, if this host is the first
  //   candidate that is live and not draining.
  std::vector<HostId> HomesToRequest(const std::vector<HostId>& held) const;

  // Returns the held homes to release once their work has finished: all of them
  // while draining, otherwise those that their own host requests and is ready to
  // serve.
  std::vector<HostId> HomesToRelease(const std::vector<HostId>& held) const;

  // True if this host is among the `reader_count` live hosts with the lowest ids.
  bool IsReader() const;

 private:
  bool IsRecent(BootTime time) const;
  // True if the host is live and not draining.
  bool IsAvailable(const HostId& host) const;
  bool IsFirstAvailableCandidate(const HostId& home) const;
  bool ReclaimsHome(const HostId& home) const;

  const Clock& clock_;
  const PeerOptions options_;
  const HostId self_;
  std::optional<View> view_;
  std::map<HostId, Peer> peers_;
  // When each host first appeared in the view. A host counts as live for the first
  // `live_intervals` after that, so that a starting agent does not take over all
  // homes.
  std::map<HostId, BootTime> listed_since_;
  // When each host last requested its own home.
  std::map<HostId, BootTime> own_home_requests_;
  bool draining_ = false;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_MEMBERSHIP_PEER_TABLE_H_
