#include "peridotfork/entry/target_status_table.h"

#include <algorithm>
#include <utility>

namespace peridotfork::entry {
namespace {

// Age above which a report no longer takes precedence over a route update. Owners report
// each target at least every 2 s.
constexpr std::chrono::seconds kMaxReportAge{3};

}  // namespace

TargetStatusTable::TargetStatusTable(const Clock& clock) : clock_(clock), latencies_(clock) {}

void TargetStatusTable::SetRoutes(const protocol::RouteUpdate& update) {
  has_routes_ = !update.routes.empty();
  for (const protocol::TargetRoute& route : update.routes) {
    // A recent report from the owner itself is newer than the route that the agent sent.
    TargetInfo& info = targets_[route.target];
    if (!info.dispatcher.has_value() || clock_.now() - info.condition_time > kMaxReportAge) {
      info.dispatcher = route.dispatcher;
    }
  }
}

void TargetStatusTable::OnStatus(const protocol::ProcessAddress& dispatcher,
                                 const protocol::TargetStatus& status) {
  for (const protocol::TargetCondition& condition : status.targets) {
    TargetInfo& info = targets_[condition.target];
    info.dispatcher = dispatcher;
    info.condition = condition;
    info.condition_time = clock_.now();
  }
}

void TargetStatusTable::OnNotOwner(const TargetId& target,
                                   const protocol::ProcessAddress& dispatcher) {
  TargetInfo& info = targets_[target];
  if (info.dispatcher == dispatcher) {
    info.dispatcher.reset();
  }
}

void TargetStatusTable::OnSnapshotGone(const TargetId& target, Snapshot snapshot) {
  TargetInfo& info = targets_[target];
  if (info.condition.has_value()) {
    std::erase(info.condition->snapshots, snapshot);
  }
}

std::optional<protocol::ProcessAddress> TargetStatusTable::RouteOf(const TargetId& target) const {
  const auto found = targets_.find(target);
  return found == targets_.end() ? std::nullopt : found->second.dispatcher;
}

void TargetStatusTable::OnSent(const TargetId& target, AttemptId attempt) {
  TargetInfo& info = targets_[target];
  info.in_flight.emplace(attempt, clock_.now());
  info.last_sent = clock_.now();
}

void TargetStatusTable::OnEnded(const TargetId& target,
                                const GroupId& group,
                                AttemptId attempt,
                                bool observed) {
  const auto time = RemoveInFlight(target, attempt);
  if (time.has_value() && observed) {
    latencies_.Observe(target, group, *time);
  }
}

void TargetStatusTable::OnCancelled(const TargetId& target,
                                    const GroupId& group,
                                    AttemptId attempt) {
  const auto time = RemoveInFlight(target, attempt);
  const auto typical = latencies_.TargetQuantiles(target);
  if (time.has_value() && typical.has_value() && *time > typical->median) {
    latencies_.Observe(target, group, *time);
  }
}

std::vector<routing::Candidate> TargetStatusTable::Candidates(
    const GroupId& group,
    std::optional<Snapshot> snapshot) const {
  std::vector<routing::Candidate> candidates;
  const GroupConfig* const config = document_ == nullptr ? nullptr : document_->FindGroup(group);
  if (config == nullptr) {
    return candidates;
  }
  for (const TargetConfig& target : config->targets) {
    routing::Candidate candidate = MakeCandidate(target);
    const auto holds = [&] {
      const auto& held = candidate.condition->snapshots;
      return std::ranges::find(held, *snapshot) != held.end();
    };
    const bool reachable = RouteOf(target.id).has_value();
    if (reachable && (!snapshot.has_value() || (candidate.condition != nullptr && holds()))) {
      candidates.push_back(std::move(candidate));
    }
  }
  return candidates;
}

std::optional<query::SnapshotChoice> TargetStatusTable::ChooseSnapshot(
    const ServiceId& service,
    std::optional<Snapshot> newer_than) {
  const ServiceConfig* const config =
      document_ == nullptr ? nullptr : document_->FindService(service);
  if (config == nullptr) {
    return std::nullopt;
  }
  const std::vector<query::GroupReplicas> groups = Replicas(*config);
  query::PartitionMaps& maps = maps_[service];
  maps.Observe(groups);
  const query::SnapshotChooser chooser(maps);
  return newer_than.has_value() ? chooser.ChooseNewer(groups, *newer_than) : chooser.Choose(groups);
}

routing::Candidate TargetStatusTable::MakeCandidate(const TargetConfig& target) const {
  routing::Candidate candidate;
  candidate.target = target.id;
  candidate.data_centre = target.data_centre;
  candidate.leaving = target.leaving;
  candidate.drained = document_->IsDrained(target.data_centre);
  candidate.latency = latencies_.ExpectedLatency(target.id);
  const auto found = targets_.find(target.id);
  if (found == targets_.end()) {
    return candidate;
  }
  const TargetInfo& info = found->second;
  if (info.condition.has_value()) {
    candidate.condition = &*info.condition;
    candidate.condition_age = clock_.now() - info.condition_time;
  }
  candidate.own_in_flight = static_cast<std::uint32_t>(info.in_flight.size());
  candidate.last_sent = info.last_sent;
  for (const auto& [attempt, sent] : info.in_flight) {
    candidate.oldest_pending_age = std::max(candidate.oldest_pending_age, clock_.now() - sent);
  }
  return candidate;
}

std::vector<query::GroupReplicas> TargetStatusTable::Replicas(const ServiceConfig& service) const {
  std::vector<query::GroupReplicas> groups;
  for (const GroupConfig& group : service.groups) {
    groups.resize(std::max<std::size_t>(groups.size(), group.id.index.value() + 1));
    for (const TargetConfig& target : group.targets) {
      const routing::Candidate candidate = MakeCandidate(target);
      query::ReplicaSnapshots replica;
      replica.usable = routing::IsUsable(candidate) && RouteOf(target.id).has_value();
      if (candidate.condition != nullptr) {
        replica.snapshots = candidate.condition->snapshots;
      }
      groups[group.id.index.value()].push_back(std::move(replica));
    }
  }
  return groups;
}

std::optional<std::chrono::nanoseconds> TargetStatusTable::RemoveInFlight(const TargetId& target,
                                                                          AttemptId attempt) {
  TargetInfo& info = targets_[target];
  const auto found = info.in_flight.find(attempt);
  if (found == info.in_flight.end()) {
    return std::nullopt;
  }
  const std::chrono::nanoseconds time = clock_.now() - found->second;
  info.in_flight.erase(found);
  return time;
}

}  // namespace peridotfork::entry
