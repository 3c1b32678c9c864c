#ifndef PERIDOTFORK_QUERY_SNAPSHOT_CHOOSER_H_
#define PERIDOTFORK_QUERY_SNAPSHOT_CHOOSER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "peridotfork/core/ids.h"

namespace peridotfork::query {

// Snapshots that one replica reported; empty if it has not reported yet.
struct ReplicaSnapshots {
  bool usable = false;
  std::vector<Snapshot> snapshots;
};

// The replicas of one group of the document. Sequences of these are indexed by group.
using GroupReplicas = std::vector<ReplicaSnapshots>;

// Number of groups that one service has in each partition map. Targets report only
// map versions, so the counts are inferred from the reports.
//
// A map is assumed to have all groups of the document until its count is established,
// which happens when every group of the document reports the map at the same time.
// Therefore, groups that the document adds for a newer map are not counted as missing
// from the map that was in use before. A group that merely does not report is always
// counted, so the number of groups is never too low and coverage never too high.
// Not thread-safe.
class PartitionMaps {
 public:
  // Updates the counts from the current reports.
  void Observe(std::span<const GroupReplicas> groups);

  // Returns the number of groups in `map` while the document lists `listed` groups.
  std::uint32_t GroupCount(PartitionMapVersion map, std::uint32_t listed) const;

 private:
  std::map<PartitionMapVersion, std::uint32_t> established_;
};

struct SnapshotChoice {
  Snapshot snapshot;
  std::uint32_t groups_total = 0;
  std::uint32_t groups_covered = 0;

  friend bool operator==(const SnapshotChoice&, const SnapshotChoice&) = default;
};

// Chooses the snapshot of a query: the newest one with a usable replica in every
// group. If there is none, the one that covers the most groups, and of several such
// the newest. Thread-safe if `maps` is not modified concurrently.
class SnapshotChooser {
 public:
  explicit SnapshotChooser(const PartitionMaps& maps);

  // Returns nothing if no usable replica reports a snapshot.
  std::optional<SnapshotChoice> Choose(std::span<const GroupReplicas> groups) const;

  // Like Choose(), among the snapshots newer than `than`.
  std::optional<SnapshotChoice> ChooseNewer(std::span<const GroupReplicas> groups,
                                            Snapshot than) const;

 private:
  std::optional<SnapshotChoice> Best(std::span<const GroupReplicas> groups,
                                     std::optional<Snapshot> than) const;

  const PartitionMaps& maps_;
};

}  // namespace peridotfork::query

#endif  // PERIDOTFORK_QUERY_SNAPSHOT_CHOOSER_H_
