#ifndef PERIDOTFORK_DISCOVERY_STORE_FOLLOWER_H_
#define PERIDOTFORK_DISCOVERY_STORE_FOLLOWER_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "peridotfork/core/clock.h"
#include "peridotfork/discovery/change_backlog.h"
#include "peridotfork/discovery/fleet_directory.h"
#include "peridotfork/discovery/freshness.h"
#include "peridotfork/discovery/metadata_store.h"
#include "peridotfork/runtime/log.h"
#include "peridotfork/runtime/ranked_mutex.h"
#include "peridotfork/runtime/worker_pool.h"

namespace peridotfork {

struct FollowerOptions {
  // Longest time for which the store may be unresponsive unnoticed. The platform expects a host to
  // act on the newest state again after this time.
  std::chrono::milliseconds max_silence{4000};
  // See FreshnessOptions.
  std::chrono::milliseconds max_age{0};
  // Time to connect anew and to read the changes after a silence was noticed.
  std::chrono::milliseconds catch_up{100};
  // How long the store holds a watch without changes.
  std::chrono::milliseconds watch_duration() const {
    return max_silence - MetadataStore::kReplyTimeout - catch_up;
  }
  // Delay between the reply with the last of the changes and the next watch, so that changes in
  // quick succession share a call, as a share of `max_silence`.
  double batch_share = 0.225;
  std::chrono::milliseconds batch_delay() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(max_silence * batch_share);
  }
  // Minimum interval between the start of a failed call and the retry; doubled for each consecutive
  // failure. A call that was given up only after its timeout is therefore retried at once.
  std::chrono::milliseconds initial_retry_delay{100};
  std::chrono::milliseconds max_retry_delay{800};
  // The same until the first configuration has arrived.
  std::chrono::milliseconds max_first_retry_delay{200};
};

// Keeps a FleetDirectory up to date with the store: lists all entries once and then watches for
// changes. Lists again if the store no longer has the history after the last revision seen, was
// restored from a copy, or has more changes to report than can be read sooner. Must not be
// destroyed before its pool has stopped. Thread-safe.
class StoreFollower {
 public:
  // Called on a worker after each change, with the directory locked.
  using Listener = std::function<void(const FleetDirectory& directory)>;

  StoreFollower(WorkerPool& pool,
                const Clock& clock,
                MetadataStore& store,
                Logger& log,
                Listener listener,
                FollowerOptions options = {});

  void Start();
  void Stop() { stopped_ = true; }

  // All changes that the store acknowledged until this time are known and have been published;
  // BootTime() before the first listing.
  BootTime current_as_of() const { return current_as_of_; }

  std::uint64_t calls() const { return calls_; }
  std::uint64_t failures() const { return failures_; }
  std::uint64_t refused_values() const { return refused_values_; }

 private:
  void ListPage();
  void OnPage(Result<StoreReply> reply);
  // Whether the page would be followed by itself, so that the listing would never end.
  bool BeginsNextPageAgain(const StoreReply& reply);
  void WatchNext();
  void Watch(std::chrono::milliseconds duration);
  void OnChanges(Result<StoreReply> reply);
  // Applies and publishes the changes. Requires the lock.
  NextRead ApplyChanges(const StoreReply& reply);
  // Makes the next call, if it is kPause after `pause`.
  void Continue(NextRead next, std::chrono::milliseconds pause);
  void OnAnswered();
  // Takes the era of a reply. Returns whether the store was restored from a copy since the last
  // one. Requires the lock.
  bool ObserveEra(const StoreReply& reply);
  // Forgets the pages of a listing in progress. Requires the lock.
  void ResetListing();
  void OnFailure(const Error& error);
  // Delay before the next call after `call_time`, the duration of the failed call. Requires the
  // lock.
  std::chrono::nanoseconds RetryDelay(std::chrono::nanoseconds call_time) const;
  void LogFaults(const StoreReply& reply);
  // Calls the listener and schedules the deferred removals. Requires the lock.
  void Publish();
  // Schedules the deferred removals if there are any. Requires the lock.
  void ScheduleRemovals();
  void RemoveExpired();

  WorkerPool& pool_;
  const Clock& clock_;
  MetadataStore& store_;
  Logger& log_;
  const Listener listener_;
  const FollowerOptions options_;
  std::atomic<bool> stopped_ = false;
  std::atomic<BootTime> current_as_of_{BootTime()};
  std::atomic<std::uint64_t> calls_ = 0;
  std::atomic<std::uint64_t> failures_ = 0;
  std::atomic<std::uint64_t> refused_values_ = 0;

  // Guards the members below. At most one store call is outstanding.
  RankedMutex mutex_{LockRank::kConfiguration};
  FleetDirectory directory_;
  bool removal_scheduled_ = false;
  // When the first failure since the last successful reply occurred; none while the store answers.
  std::optional<BootTime> failing_since_;
  std::uint32_t consecutive_failures_ = 0;
  // When the call in progress was started.
  BootTime call_start_;
  Freshness freshness_;
  ChangeBacklog backlog_;
  // How long the watch in progress waits.
  std::chrono::milliseconds watch_duration_{0};
  // Start of the first call of the listing in progress.
  BootTime listing_start_;
  std::optional<StoreRevision> revision_;
  std::optional<StoreEra> era_;
  // State of a listing in progress.
  std::optional<StoreRevision> listing_revision_;
  std::size_t listed_pages_ = 0;
  std::vector<StoreChange> listed_changes_;
  std::string next_page_;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_DISCOVERY_STORE_FOLLOWER_H_
