#include <algorithm>
#include <utility>

#include "peridotfork/agent/agent.h"
#include "peridotfork/membership/placement.h"

// Messages from the agent to the dispatcher and the entry of its host, and the release
// of homes.
namespace peridotfork {
namespace {

// Interval at which unchanged routes are sent again, because messages can be lost.
constexpr std::chrono::seconds kRouteRepeatInterval{2};

bool SameRoutes(const protocol::RouteUpdate& a, const protocol::RouteUpdate& b) {
  const auto same_route = [](const protocol::TargetRoute& x, const protocol::TargetRoute& y) {
    return x.target == y.target && x.dispatcher == y.dispatcher;
  };
  return a.entry_hosts == b.entry_hosts && a.entries == b.entries &&
         std::equal(a.routes.begin(), a.routes.end(), b.routes.begin(), b.routes.end(), same_route);
}

}  // namespace

void Agent::UpdateLocalProcesses() {
  const DocumentPtr document = config_.document();
  Outbox outbox;
  {
    const RankedLock lock(mutex_);
    const View* const view = history_.view();
    if (view == nullptr || !joined_) {
      return;
    }
    if (!ownership_.BuiltFrom(view->version, document)) {
      ownership_.Rebuild(*view, document);
    }
    AddOwnership(&outbox);
    AddReleases(&outbox);
    AddRoutes(&outbox);
  }
  Send(outbox);
}

void Agent::AddOwnership(Outbox* outbox) {
  const std::vector<HostId> held = holder_.held();
  ++ownership_number_;
  std::vector<HostId> to_release = peers_.HomesToRelease(held);
  if (IsLive(dispatcher_) && dispatcher_->hello.draining) {
    to_release = held;
  }
  for (const HostId& home : to_release) {
    pending_releases_.emplace(home, ownership_number_);
  }
  if (!IsLive(dispatcher_)) {
    return;
  }
  protocol::OwnershipUpdate update;
  update.number = ownership_number_;
  for (const HostId& home : HomesServed()) {
    const auto end = holder_.ExpiryOf(home);
    if (!end.has_value()) {
      continue;
    }
    for (auto& owned : ownership_.OwnedTargets(*history_.view(), holder_, home, *end)) {
      update.targets.push_back(std::move(owned));
    }
  }
  outbox->push_back({dispatcher_->address.address, std::move(update)});
}

void Agent::AddReleases(Outbox* outbox) {
  std::vector<HostId> finished;
  for (auto home = pending_releases_.begin(); home != pending_releases_.end();) {
    const std::vector<HostId> held = holder_.held();
    if (std::find(held.begin(), held.end(), home->first) == held.end()) {
      home = pending_releases_.erase(home);
      continue;
    }
    const bool done =
        !IsLive(dispatcher_) || (dispatcher_->hello.ownership_number >= home->second &&
                                 dispatcher_->hello.unowned_in_flight == 0);
    if (done) {
      finished.push_back(home->first);
    }
    ++home;
  }
  if (finished.empty()) {
    return;
  }
  const protocol::LeaseRelease release = holder_.Release(finished);
  for (const HostId& host : holder_.Recipients()) {
    if (const auto address = addresses_.find(host); address != addresses_.end()) {
      outbox->push_back({address->second, release});
    }
  }
  for (const HostId& home : finished) {
    pending_releases_.erase(home);
  }
}

bool Agent::RoutesAreDue(const protocol::RouteUpdate& update) {
  const auto address = [](const std::optional<LocalProcess>& process) {
    return process.has_value() ? process->address : protocol::ProcessAddress();
  };
  const std::vector<protocol::ProcessAddress> receivers = {address(dispatcher_), address(entry_)};
  const bool changed = receivers != route_receivers_ || !SameRoutes(update, last_routes_);
  if (!changed && clock_.now() - routes_sent_ < kRouteRepeatInterval) {
    return false;
  }
  route_receivers_ = receivers;
  last_routes_ = update;
  routes_sent_ = clock_.now();
  return true;
}

void Agent::AddRoutes(Outbox* outbox) {
  protocol::RouteUpdate update;
  for (const auto& [home, targets] : ownership_.targets_by_home()) {
    const auto dispatcher = routes_.RouteOf(home);
    if (!dispatcher.has_value() || dispatcher->incarnation == Incarnation(0)) {
      continue;
    }
    for (const TargetConfig* target : targets) {
      update.routes.push_back({target->id, *dispatcher});
    }
  }
  if (const auto own = LiveAddress(entry_); own.has_value()) {
    update.entry_hosts.push_back(settings_.id);
    update.entries.push_back(*own);
  }
  for (const auto& [host, peer] : peers_.peers()) {
    if (peer.heartbeat.entry.incarnation != Incarnation(0)) {
      update.entry_hosts.push_back(host);
      update.entries.push_back(peer.heartbeat.entry);
    }
  }
  if (!RoutesAreDue(update)) {
    return;
  }
  for (const auto* process : {&dispatcher_, &entry_}) {
    if (IsLive(*process)) {
      outbox->push_back({process->value().address.address, update});
    }
  }
}

std::vector<HostId> Agent::HomesServed() const {
  std::vector<HostId> homes;
  if (!DispatcherMayServe()) {
    return homes;
  }
  for (const HostId& home : holder_.held()) {
    if (!pending_releases_.contains(home)) {
      homes.push_back(home);
    }
  }
  return homes;
}

}  // namespace peridotfork
