#include "peridotfork/discovery/fleet_directory.h"

#include <doctest/doctest.h>

namespace peridotfork {
namespace {

using std::chrono::milliseconds;

TargetEntry Entry(const std::string& id, std::uint64_t started, std::uint64_t sequence) {
  TargetEntry entry;
  entry.id = TargetId(id);
  entry.service = ServiceId("s");
  entry.started_ms = started;
  entry.sequence = sequence;
  return entry;
}

CataloguePtr Version(std::uint64_t version) {
  return CataloguePtr(new Catalogue(Revision(version), {}, {}, {}));
}

TEST_CASE("the configuration version never decreases") {
  const ManualClock clock;
  FleetDirectory directory(clock);
  directory.Apply({CataloguePublished{Version(5)}});
  directory.Apply({CataloguePublished{Version(4)}});
  CHECK(directory.catalogue()->version() == Revision(5));
  directory.Replace({CataloguePublished{Version(3)}});
  CHECK(directory.catalogue()->version() == Revision(5));
  directory.Apply({CataloguePublished{Version(9)}});
  CHECK(directory.catalogue()->version() == Revision(9));
}

TEST_CASE("an older report of a target changes nothing") {
  const ManualClock clock;
  FleetDirectory directory(clock);
  TargetEntry draining = Entry("a", 100, 7);
  draining.draining = true;
  directory.Apply({TargetReported{draining}});
  directory.Apply({TargetReported{Entry("a", 100, 6)}});
  CHECK(directory.targets().front().draining);
  directory.Apply({TargetReported{Entry("a", 90, 50)}});
  CHECK(directory.targets().front().draining);
}

// Another writer may leave an entry with numbers that are too large under the key of a target.
TEST_CASE("an entry with an impossible start or sequence number does not block later reports") {
  const ManualClock clock;
  for (const TargetEntry& odd : {Entry("a", std::uint64_t{1} << 53, 1), Entry("a", 100, 1ULL << 53),
                                 Entry("a", 3'000'000'000'000, 1)}) {
    FleetDirectory directory(clock);
    directory.Apply({TargetReported{Entry("a", 100, 6)}, TargetReported{Entry("b", 100, 6)}});
    directory.Apply({TargetReported{odd}});
    REQUIRE(directory.targets().size() == 1);
    CHECK(directory.targets().front().id == TargetId("b"));
    directory.Apply({TargetReported{Entry("a", 100, 7)}});
    REQUIRE(directory.targets().size() == 2);
    CHECK(directory.targets().front().sequence == 7);
  }
}

// A clock that has not been set yet; it shows a time close to the epoch.
class UnsetClock final : public Clock {
 public:
  BootTime now() const override { return BootTime(std::chrono::hours(1)); }
  WallTime wall_now() const override { return WallTime(std::chrono::hours(1)); }
};

TEST_CASE("a host whose clock is not set uses all targets") {
  const UnsetClock clock;
  FleetDirectory directory(clock);
  directory.Apply({TargetReported{Entry("a", 1'700'000'000'000, 6)}});
  CHECK(directory.targets().size() == 1);
}

TEST_CASE("a target restarted under its id may report a lower sequence number") {
  const ManualClock clock;
  FleetDirectory directory(clock);
  directory.Apply({TargetReported{Entry("a", 100, 7)}});
  directory.Apply({TargetReported{Entry("a", 200, 1)}});
  CHECK(directory.targets().front().started_ms == 200U);
}

TEST_CASE("a removed target is dropped at once") {
  const ManualClock clock;
  FleetDirectory directory(clock);
  directory.Apply({TargetReported{Entry("a", 1, 1)}, TargetReported{Entry("b", 1, 1)}});
  directory.Apply({TargetRemoved{TargetId("a")}});
  REQUIRE(directory.targets().size() == 1);
  CHECK(directory.targets().front().id == TargetId("b"));
}

TEST_CASE("entries that expired during an outage are kept until their targets can report again") {
  ManualClock clock;
  FleetDirectory directory(clock);
  directory.Apply({TargetReported{Entry("a", 1, 1)}, TargetReported{Entry("b", 1, 1)}});
  directory.OnStoreReturned();
  directory.Apply({TargetRemoved{TargetId("a")}, TargetRemoved{TargetId("b")}});
  CHECK(directory.targets().size() == 2);
  clock.Advance(milliseconds(1000));
  directory.Apply({TargetReported{Entry("a", 1, 2)}});
  CHECK_FALSE(directory.RemoveExpired());
  REQUIRE(directory.next_removal());
  clock.Advance(FleetDirectory::kRemovalGrace);
  CHECK(directory.RemoveExpired());
  REQUIRE(directory.targets().size() == 1);
  CHECK(directory.targets().front().id == TargetId("a"));
  CHECK_FALSE(directory.next_removal());
}

TEST_CASE("the removal of many targets at once is treated as expiry during an outage") {
  ManualClock clock;
  FleetDirectory directory(clock);
  std::vector<StoreChange> reports;
  std::vector<StoreChange> removals;
  for (int i = 0; i < 10; ++i) {
    reports.emplace_back(TargetReported{Entry(std::to_string(i), 1, 1)});
    removals.emplace_back(TargetRemoved{TargetId(std::to_string(i))});
  }
  directory.Apply(reports);
  directory.Apply(removals);
  CHECK(directory.targets().size() == 10);
  clock.Advance(FleetDirectory::kRemovalGrace);
  CHECK(directory.RemoveExpired());
  CHECK(directory.targets().empty());
}

TEST_CASE("targets that are removed while the store answers at once are dropped at once") {
  ManualClock clock;
  FleetDirectory directory(clock);
  std::vector<StoreChange> reports;
  std::vector<StoreChange> removals;
  for (int i = 0; i < 10; ++i) {
    reports.emplace_back(TargetReported{Entry(std::to_string(i), 1, 1)});
    removals.emplace_back(TargetRemoved{TargetId(std::to_string(i))});
  }
  directory.OnReply(milliseconds(4));
  directory.Apply(reports);
  for (int i = 0; i < 3; ++i) {
    clock.Advance(milliseconds(900));
    directory.OnReply(milliseconds(4));
  }
  directory.Apply(removals);
  CHECK(directory.targets().empty());
}

// Guards against an evacuated target that keeps its place in the table because others are lost.
TEST_CASE("a draining target that is removed after an outage is dropped at once") {
  const ManualClock clock;
  FleetDirectory directory(clock);
  TargetEntry entry = Entry("a", 1, 1);
  entry.draining = true;
  directory.Apply({TargetReported{entry}, TargetReported{Entry("b", 1, 1)}});
  directory.OnStoreReturned();
  directory.Apply({TargetRemoved{TargetId("a")}, TargetRemoved{TargetId("b")}});
  REQUIRE(directory.targets().size() == 1);
  CHECK(directory.targets().front().id == TargetId("b"));
}

TEST_CASE("draining targets that are removed together are dropped at once") {
  const ManualClock clock;
  FleetDirectory directory(clock);
  std::vector<StoreChange> reports;
  std::vector<StoreChange> removals;
  for (int i = 0; i < 10; ++i) {
    TargetEntry entry = Entry(std::to_string(i), 1, 1);
    entry.draining = true;
    reports.emplace_back(TargetReported{entry});
    removals.emplace_back(TargetRemoved{entry.id});
  }
  directory.Apply(reports);
  directory.Apply(removals);
  CHECK(directory.targets().empty());
}

TEST_CASE("a listing replaces all targets and drains") {
  const ManualClock clock;
  FleetDirectory directory(clock);
  directory.Apply({TargetReported{Entry("a", 1, 1)}, DataCentreDrain{DataCentreId("x"), true}});
  directory.Replace({TargetReported{Entry("b", 1, 1)}, DataCentreDrain{DataCentreId("y"), true}});
  REQUIRE(directory.targets().size() == 1);
  CHECK(directory.targets().front().id == TargetId("b"));
  CHECK(directory.drained() == std::set<DataCentreId>{DataCentreId("y")});
  directory.Apply({DataCentreDrain{DataCentreId("y"), false}});
  CHECK(directory.drained().empty());
}

TEST_CASE("a restored store brings back no target that was removed or is draining") {
  ManualClock clock;
  FleetDirectory directory(clock);
  TargetEntry draining = Entry("draining", 100, 8);
  draining.draining = true;
  directory.Apply({TargetReported{Entry("gone", 100, 7)}, TargetReported{draining}});
  directory.Apply({TargetRemoved{TargetId("gone")}});
  const std::vector<StoreChange> copy = {TargetReported{Entry("gone", 100, 7)},
                                         TargetReported{Entry("draining", 100, 6)}};
  directory.OnStoreRestored();
  directory.Replace(copy);
  REQUIRE(directory.targets().size() == 1);
  CHECK(directory.targets().front().draining);
  // It was alive after all.
  directory.Apply({TargetReported{Entry("gone", 100, 8)}});
  CHECK(directory.targets().size() == 2);
}

TEST_CASE("a target that restarted after its removal is in use after a restore") {
  ManualClock clock;
  FleetDirectory directory(clock);
  directory.Apply({TargetReported{Entry("a", 100, 7)}});
  directory.Apply({TargetRemoved{TargetId("a")}});
  directory.OnStoreRestored();
  directory.Replace({TargetReported{Entry("a", 200, 1)}});
  CHECK(directory.targets().size() == 1);
}

TEST_CASE("targets and drains that a restored store lacks are kept until they are written again") {
  ManualClock clock;
  FleetDirectory directory(clock);
  const DataCentreId kept("kept");
  const DataCentreId ended("ended");
  directory.Apply({TargetReported{Entry("a", 100, 7)}, TargetReported{Entry("b", 100, 7)},
                   DataCentreDrain{kept, true}, DataCentreDrain{ended, true}});
  directory.OnStoreRestored();
  directory.Replace({});
  CHECK(directory.targets().size() == 2);
  CHECK(directory.drained() == std::set{kept, ended});
  REQUIRE(directory.next_removal());
  directory.Apply({TargetReported{Entry("a", 100, 8)}, DataCentreDrain{kept, true}});
  clock.Advance(FleetDirectory::kRemovalGrace);
  CHECK(directory.RemoveExpired());
  CHECK(directory.targets().size() == 1);
  CHECK(directory.drained() == std::set{kept});
}

TEST_CASE("a drain that ends after a restore ends at once") {
  ManualClock clock;
  FleetDirectory directory(clock);
  const DataCentreId drained("a");
  directory.Apply({DataCentreDrain{drained, true}});
  directory.OnStoreRestored();
  directory.Replace({});
  directory.Apply({DataCentreDrain{drained, false}});
  CHECK(directory.drained().empty());
}

}  // namespace
}  // namespace peridotfork
