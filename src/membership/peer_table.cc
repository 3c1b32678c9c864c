#include "peridotfork/membership/peer_table.h"

#include <algorithm>
#include <utility>

#include "peridotfork/membership/placement.h"

namespace peridotfork {
namespace {

bool Contains(const std::vector<HostId>& hosts, const HostId& host) {
  return std::find(hosts.begin(), hosts.end(), host) != hosts.end();
}

}  // namespace

PeerTable::PeerTable(const Clock& clock, PeerOptions options, HostId self)
    : clock_(clock), options_(options), self_(std::move(self)) {}

void PeerTable::AdoptView(const View& view) {
  if (view_ && view.version <= view_->version) {
    return;
  }
  view_ = view;
  const auto not_listed = [&](const auto& entry) { return view.Find(entry.first) == nullptr; };
  std::erase_if(peers_, not_listed);
  std::erase_if(listed_since_, not_listed);
  std::erase_if(own_home_requests_, not_listed);
  for (const ViewMember& member : view.members) {
    listed_since_.try_emplace(member.id, clock_.now());
  }
}

bool PeerTable::RecordHeartbeat(const ProcessId& from, const protocol::Heartbeat& heartbeat) {
  if (!view_ || from.host == self_ || view_->Find(from.host) == nullptr) {
    return false;
  }
  Peer& peer = peers_[from.host];
  if (from.incarnation < peer.incarnation) {
    return false;
  }
  peer = Peer{from.incarnation, clock_.now(), heartbeat};
  return true;
}

void PeerTable::RecordRequest(const ProcessId& from, const protocol::LeaseRequest& request) {
  if (view_ && view_->Find(from.host) != nullptr && Contains(request.homes, from.host)) {
    own_home_requests_[from.host] = clock_.now();
  }
}

bool PeerTable::IsLive(const HostId& host) const {
  if (host == self_) {
    return true;
  }
  const auto peer = peers_.find(host);
  const auto listed = listed_since_.find(host);
  return (peer != peers_.end() && IsRecent(peer->second.last_heard)) ||
         (listed != listed_since_.end() && IsRecent(listed->second));
}

std::vector<HostId> PeerTable::LiveHosts() const {
  std::vector<HostId> result = view_ ? view_->ids() : std::vector<HostId>();
  std::erase_if(result, [&](const HostId& host) { return !IsLive(host); });
  std::sort(result.begin(), result.end());
  return result;
}

std::vector<HostId> PeerTable::HomesToRequest(const std::vector<HostId>& held) const {
  std::vector<HostId> result;
  if (!view_ || draining_ || view_->Find(self_) == nullptr) {
    return result;
  }
  for (const ViewMember& member : view_->members) {
    const HostId& home = member.id;
    const bool kept = Contains(held, home) && !ReclaimsHome(home);
    if (home == self_ || kept || (!IsAvailable(home) && IsFirstAvailableCandidate(home))) {
      result.push_back(home);
    }
  }
  return result;
}

std::vector<HostId> PeerTable::HomesToRelease(const std::vector<HostId>& held) const {
  std::vector<HostId> result;
  std::copy_if(held.begin(), held.end(), std::back_inserter(result),
               [&](const HostId& home) { return draining_ || ReclaimsHome(home); });
  return result;
}

bool PeerTable::IsReader() const {
  const std::vector<HostId> live = LiveHosts();
  const auto self = std::find(live.begin(), live.end(), self_);
  return self != live.end() &&
         static_cast<std::size_t>(self - live.begin()) < options_.reader_count;
}

bool PeerTable::IsRecent(BootTime time) const {
  return clock_.now() < time + options_.heartbeat_interval * options_.live_intervals;
}

bool PeerTable::IsAvailable(const HostId& host) const {
  const auto peer = peers_.find(host);
  const bool draining = peer != peers_.end() && peer->second.heartbeat.draining;
  return IsLive(host) && !draining;
}

bool PeerTable::IsFirstAvailableCandidate(const HostId& home) const {
  for (const HostId& candidate : Placement(*view_).CandidatesFor(home)) {
    if (candidate == self_) {
      return true;
    }
    if (IsAvailable(candidate)) {
      return false;
    }
  }
  return false;
}

bool PeerTable::ReclaimsHome(const HostId& home) const {
  const auto peer = peers_.find(home);
  const auto own_request = own_home_requests_.find(home);
  return home != self_ && peer != peers_.end() && IsAvailable(home) &&
         !peer->second.heartbeat.dispatcher.address.value().empty() &&
         own_request != own_home_requests_.end() && IsRecent(own_request->second);
}

}  // namespace peridotfork
