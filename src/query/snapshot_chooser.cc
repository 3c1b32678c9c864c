#include "peridotfork/query/snapshot_chooser.h"

#include <algorithm>
#include <set>

namespace peridotfork::query {
namespace {

// Number of newest maps that are kept; older ones are no longer in use.
constexpr std::size_t kMaxMaps = 16;

std::set<PartitionMapVersion> ReportedMaps(const GroupReplicas& replicas) {
  std::set<PartitionMapVersion> maps;
  for (const ReplicaSnapshots& replica : replicas) {
    for (const Snapshot& snapshot : replica.snapshots) {
      maps.insert(snapshot.map);
    }
  }
  return maps;
}

// Groups that currently report one map: their number, and the highest index plus one.
struct MapReports {
  std::uint32_t groups = 0;
  std::uint32_t group_bound = 0;
};

std::set<Snapshot> UsableSnapshots(const GroupReplicas& replicas) {
  std::set<Snapshot> usable;
  for (const ReplicaSnapshots& replica : replicas) {
    if (replica.usable) {
      usable.insert(replica.snapshots.begin(), replica.snapshots.end());
    }
  }
  return usable;
}

bool IsBetter(const SnapshotChoice& choice, const SnapshotChoice& than) {
  const bool full = choice.groups_covered == choice.groups_total;
  const bool than_full = than.groups_covered == than.groups_total;
  if (full != than_full) {
    return full;
  }
  if (!full && choice.groups_covered != than.groups_covered) {
    return choice.groups_covered > than.groups_covered;
  }
  return choice.snapshot > than.snapshot;
}

}  // namespace

void PartitionMaps::Observe(std::span<const GroupReplicas> groups) {
  std::map<PartitionMapVersion, MapReports> reports;
  for (std::uint32_t i = 0; i < groups.size(); ++i) {
    for (const PartitionMapVersion map : ReportedMaps(groups[i])) {
      MapReports& map_reports = reports[map];
      ++map_reports.groups;
      map_reports.group_bound = i + 1;
    }
  }
  for (const auto& [map, map_reports] : reports) {
    const auto known = established_.find(map);
    if (known != established_.end()) {
      known->second = std::max(known->second, map_reports.group_bound);
    } else if (map_reports.groups == groups.size()) {
      established_[map] = map_reports.group_bound;
    }
  }
  while (established_.size() > kMaxMaps) {
    established_.erase(established_.begin());
  }
}

std::uint32_t PartitionMaps::GroupCount(PartitionMapVersion map, std::uint32_t listed) const {
  const auto known = established_.find(map);
  return known == established_.end() ? listed : known->second;
}

SnapshotChooser::SnapshotChooser(const PartitionMaps& maps) : maps_(maps) {}

std::optional<SnapshotChoice> SnapshotChooser::Choose(std::span<const GroupReplicas> groups) const {
  return Best(groups, std::nullopt);
}

std::optional<SnapshotChoice> SnapshotChooser::ChooseNewer(std::span<const GroupReplicas> groups,
                                                           Snapshot than) const {
  return Best(groups, than);
}

std::optional<SnapshotChoice> SnapshotChooser::Best(std::span<const GroupReplicas> groups,
                                                    std::optional<Snapshot> than) const {
  std::map<Snapshot, SnapshotChoice> choices;
  for (std::uint32_t i = 0; i < groups.size(); ++i) {
    for (const Snapshot& snapshot : UsableSnapshots(groups[i])) {
      SnapshotChoice& choice = choices[snapshot];
      choice.snapshot = snapshot;
      choice.groups_total =
          maps_.GroupCount(snapshot.map, static_cast<std::uint32_t>(groups.size()));
      choice.groups_covered += i < choice.groups_total ? 1 : 0;
    }
  }
  std::optional<SnapshotChoice> best;
  for (const auto& [snapshot, choice] : choices) {
    if ((!than || snapshot > *than) && (!best || IsBetter(choice, *best))) {
      best = choice;
    }
  }
  return best;
}

}  // namespace peridotfork::query
