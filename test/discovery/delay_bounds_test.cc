// Adds up the delays between a change in the store and the last request that does not regard it.

#include <doctest/doctest.h>

#include "peridotfork/discovery/fleet_directory.h"
#include "peridotfork/discovery/freshness.h"
#include "peridotfork/discovery/store_follower.h"

namespace peridotfork {
namespace {

using std::chrono::milliseconds;

// The shortest time that the users' deployments allow.
constexpr milliseconds kConfigurationBound{3000};

TEST_CASE("the delays before a configuration is read add up to less than the time allowed") {
  const FollowerOptions options;
  // A change arrives at the start of a pause, and the next reply ends before it since it is large.
  CHECK(2 * options.batch_delay() + Freshness::kReplyAllowance <= kConfigurationBound);
  // A watch is lost without an error.
  CHECK(options.watch_duration() + MetadataStore::kReplyTimeout + options.catch_up <=
        options.max_silence);
}

}  // namespace
}  // namespace peridotfork
