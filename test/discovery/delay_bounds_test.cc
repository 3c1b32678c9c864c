// Adds up the delays between a change in the store and the last request that does not regard it.

#include <doctest/doctest.h>

#include <algorithm>

#include "peridotfork/discovery/fleet_directory.h"
#include "peridotfork/discovery/freshness.h"
#include "peridotfork/discovery/store_follower.h"

namespace peridotfork {
namespace {

using std::chrono::milliseconds;

// The shortest times that the users' deployments allow.
constexpr milliseconds kConfigurationBound{3000};
constexpr milliseconds kRemovalBound{3000};

TEST_CASE("the delays before a configuration is read add up to less than the time allowed") {
  const FollowerOptions options;
  // A change arrives at the start of a pause, and the next reply ends before it since it is large.
  CHECK(2 * options.batch_delay() + Freshness::kReplyAllowance <= kConfigurationBound);
  // A watch is lost without an error.
  CHECK(options.watch_duration() + MetadataStore::kReplyTimeout + options.catch_up <=
        options.max_silence);
}

TEST_CASE("a removal is not deferred for so long that its bound is missed") {
  CHECK(FleetDirectory::kRemovalGrace + Freshness::kReplyAllowance <= kRemovalBound);
  CHECK(FollowerOptions().batch_delay() + Freshness::kReplyAllowance <= kRemovalBound);
  // Calls that don't wait for a change are not taken for hidden outages.
  CHECK(FleetDirectory::kMinHiddenOutage >= Freshness::kReplyAllowance);
}

StoreChange Target(int number) {
  TargetEntry entry;
  entry.id = TargetId(std::to_string(number));
  return TargetReported{entry};
}

// When a target is dropped that leaves unannounced at `leaves`, while the entries of ten others
// expire, one each `interval`. The first one ends a watch that has waited for a change.
milliseconds DropTime(milliseconds leaves, milliseconds interval) {
  constexpr int kLost = 10;
  constexpr milliseconds kStep{10};
  const StoreChange leaver = TargetRemoved{TargetId("40")};
  ManualClock clock;
  FleetDirectory directory(clock);
  std::vector<StoreChange> reports;
  for (int i = 0; i <= 40; ++i) {
    reports.push_back(Target(i));
  }
  directory.OnReply(milliseconds(4));
  directory.Apply(reports);
  const BootTime start = clock.now();
  BootTime next_reply = start;
  milliseconds read{-1};
  for (;; clock.Advance(kStep)) {
    const auto now = std::chrono::duration_cast<milliseconds>(clock.now() - start);
    directory.RemoveExpired();
    if (clock.now() >= next_reply) {
      std::vector<StoreChange> changes;
      for (int i = 0; i < kLost; ++i) {
        if (i * interval > read && i * interval <= now) {
          changes.emplace_back(TargetRemoved{TargetId(std::to_string(i))});
        }
      }
      if (leaves > read && leaves <= now) {
        changes.push_back(leaver);
      }
      directory.OnReply(clock.now() == start ? milliseconds(2000) : milliseconds(4));
      directory.Apply(changes);
      read = now;
      next_reply = clock.now() + FollowerOptions().batch_delay();
    }
    const auto targets = directory.targets();
    if (std::ranges::none_of(targets, [](const auto& entry) { return entry.id.value() == "40"; })) {
      return now;
    }
  }
}

// Guards against a hold of removals that begins only when the reply about them arrives (review/9).
TEST_CASE("a target that leaves while a data centre is lost is dropped in time") {
  for (milliseconds leaves{0}; leaves < milliseconds(4000); leaves += milliseconds(50)) {
    for (milliseconds interval{0}; interval <= milliseconds(300); interval += milliseconds(30)) {
      CAPTURE(leaves.count());
      CAPTURE(interval.count());
      CHECK(DropTime(leaves, interval) - leaves + Freshness::kReplyAllowance <= kRemovalBound);
    }
  }
}

}  // namespace
}  // namespace peridotfork
