#include "peridotfork/query/snapshot_chooser.h"

#include <doctest/doctest.h>

#include <random>

namespace peridotfork::query {
namespace {

Snapshot At(std::uint64_t index, std::uint64_t map) {
  return {IndexVersion(index), PartitionMapVersion(map)};
}

GroupReplicas MakeGroup(const std::vector<Snapshot>& snapshots, bool usable = true) {
  return {{usable, snapshots}};
}

using Groups = std::vector<GroupReplicas>;

TEST_CASE("the newest snapshot in all groups is preferred to a newer one in some groups") {
  const PartitionMaps maps;
  const SnapshotChooser chooser(maps);
  const Groups groups{MakeGroup({At(1, 1), At(2, 1), At(3, 1)}), MakeGroup({At(1, 1), At(2, 1)})};
  CHECK(chooser.Choose(groups) == SnapshotChoice{At(2, 1), 2, 2});
  CHECK(chooser.ChooseNewer(groups, At(2, 1)) == SnapshotChoice{At(3, 1), 2, 1});
  CHECK_FALSE(chooser.ChooseNewer(groups, At(3, 1)));
}

TEST_CASE("if no snapshot is in all groups, the one with most groups is chosen, then the newest") {
  const PartitionMaps maps;
  const SnapshotChooser chooser(maps);
  Groups groups{MakeGroup({At(1, 1), At(2, 1)}), MakeGroup({At(1, 1), At(2, 1)}),
                MakeGroup({At(3, 1)})};
  CHECK(chooser.Choose(groups) == SnapshotChoice{At(2, 1), 3, 2});
  groups[1][0].usable = false;
  CHECK(chooser.Choose(groups) == SnapshotChoice{At(3, 1), 3, 1});
  CHECK_FALSE(chooser.Choose(Groups{MakeGroup({At(1, 1)}, false), MakeGroup({})}));
}

// Guards against an answer that is reported as complete although it covers fewer groups
// than the map has, while targets do not report or do not have the new map yet.
TEST_CASE("a map has all groups of the document until its count is established") {
  PartitionMaps maps;
  Groups groups{MakeGroup({At(1, 1)}), MakeGroup({At(1, 1)}), MakeGroup({})};
  maps.Observe(groups);
  CHECK(SnapshotChooser(maps).Choose(groups) == SnapshotChoice{At(1, 1), 3, 2});
  groups[2] = MakeGroup({At(1, 1)});
  maps.Observe(groups);
  groups[2] = MakeGroup({}, false);
  CHECK(SnapshotChooser(maps).Choose(groups) == SnapshotChoice{At(1, 1), 3, 2});
}

// Guards against refused queries while the document already lists the groups of the
// next map and the targets still serve the previous one.
TEST_CASE("groups added for a newer map are not missing from the old one") {
  PartitionMaps maps;
  Groups groups{MakeGroup({At(1, 1)}), MakeGroup({At(1, 1)})};
  maps.Observe(groups);
  groups[0] = MakeGroup({At(1, 1), At(1, 2)});
  groups.push_back(MakeGroup({At(1, 2)}));
  maps.Observe(groups);
  CHECK(SnapshotChooser(maps).Choose(groups) == SnapshotChoice{At(1, 1), 2, 2});
  groups[1] = MakeGroup({At(1, 1), At(1, 2)});
  maps.Observe(groups);
  CHECK(SnapshotChooser(maps).Choose(groups) == SnapshotChoice{At(1, 2), 3, 3});
}

TEST_CASE("a map with fewer groups is complete once the document drops the others") {
  PartitionMaps maps;
  Groups groups{MakeGroup({At(1, 1), At(1, 2)}), MakeGroup({At(1, 1), At(1, 2)}),
                MakeGroup({At(1, 1)})};
  maps.Observe(groups);
  CHECK(SnapshotChooser(maps).Choose(groups) == SnapshotChoice{At(1, 1), 3, 3});
  groups.pop_back();
  maps.Observe(groups);
  CHECK(SnapshotChooser(maps).Choose(groups) == SnapshotChoice{At(1, 2), 2, 2});
}

// Compares the choice with a straightforward implementation of the rule.
TEST_CASE("no snapshot is better than the chosen one") {
  for (std::uint32_t seed = 1; seed <= 300; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    Groups groups(1 + random() % 5);
    for (GroupReplicas& group : groups) {
      group.resize(1 + random() % 3);
      for (ReplicaSnapshots& replica : group) {
        replica.usable = random() % 4 != 0;
        for (std::uint32_t i = random() % 4; i > 0; --i) {
          replica.snapshots.push_back(At(1 + random() % 4, 1));
        }
      }
    }
    std::optional<SnapshotChoice> expected;
    const auto total = static_cast<std::uint32_t>(groups.size());
    for (std::uint64_t index = 1; index <= 4; ++index) {
      std::uint32_t covered = 0;
      for (const GroupReplicas& group : groups) {
        bool holds = false;
        for (const ReplicaSnapshots& replica : group) {
          for (const Snapshot& snapshot : replica.snapshots) {
            holds = holds || (replica.usable && snapshot == At(index, 1));
          }
        }
        covered += holds ? 1 : 0;
      }
      if (covered > 0 && (!expected || covered >= expected->groups_covered)) {
        expected = SnapshotChoice{At(index, 1), total, covered};
      }
    }
    CHECK(SnapshotChooser(PartitionMaps()).Choose(groups) == expected);
  }
}

}  // namespace
}  // namespace peridotfork::query
