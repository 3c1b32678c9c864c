#include "peridotfork/query/merger.h"

#include <doctest/doctest.h>

#include <limits>

namespace peridotfork::query {
namespace {

constexpr Snapshot kNow{IndexVersion(7), PartitionMapVersion(2)};
constexpr Snapshot kOther{IndexVersion(7), PartitionMapVersion(3)};

Record MakeRecord(const char* id, double rank, const char* json = "{}") {
  return {RecordId(id), rank, json};
}

// Guards against an answer with duplicate records, which two groups may both hold
// after shards were moved.
TEST_CASE("the first of two records with one id is kept") {
  Merger merger(kNow, 2);
  REQUIRE(merger.Add(GroupIndex(1), kNow, {MakeRecord("a", 1, "first")}));
  REQUIRE(merger.Add(GroupIndex(0), kNow, {MakeRecord("a", 9, "second"), MakeRecord("b", 2)}));
  const std::vector<Record> expected{MakeRecord("b", 2), MakeRecord("a", 1, "first")};
  CHECK(merger.coverage() == Coverage{2, 2, 2});
  CHECK(merger.TakeRecords(0) == expected);
}

TEST_CASE("records are sorted by descending rank, then by id, up to the limit") {
  Merger merger(kNow, 1);
  REQUIRE(merger.Add(GroupIndex(0), kNow,
                     {MakeRecord("c", 1), MakeRecord("b", 5), MakeRecord("a", 1)}));
  const std::vector<Record> expected{MakeRecord("b", 5), MakeRecord("a", 1)};
  CHECK(merger.TakeRecords(2) == expected);
  CHECK(merger.coverage().records == 3);
}

// Guards against an answer that mixes snapshots or counts a group twice.
TEST_CASE("a reply that does not belong to the answer is refused and changes nothing") {
  Merger merger(kNow, 2);
  REQUIRE(merger.Add(GroupIndex(0), kNow, {}));
  const auto kind_of = [&](GroupIndex group, Snapshot snapshot, double rank) {
    return merger.Add(group, snapshot, {MakeRecord("a", rank)}).error().kind();
  };
  CHECK(kind_of(GroupIndex(1), kOther, 0) == ErrorKind::kSnapshotGone);
  CHECK(kind_of(GroupIndex(2), kNow, 0) == ErrorKind::kOutOfRange);
  CHECK(kind_of(GroupIndex(0), kNow, 0) == ErrorKind::kDuplicate);
  CHECK(kind_of(GroupIndex(1), kNow, std::numeric_limits<double>::quiet_NaN()) ==
        ErrorKind::kMalformed);
  CHECK(merger.coverage() == Coverage{2, 1, 0});
}

}  // namespace
}  // namespace peridotfork::query
