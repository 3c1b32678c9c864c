#ifndef PERIDOTFORK_DISCOVERY_FLEET_DIRECTORY_H_
#define PERIDOTFORK_DISCOVERY_FLEET_DIRECTORY_H_

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "peridotfork/core/clock.h"
#include "peridotfork/discovery/metadata_store.h"

namespace peridotfork {

// Latest state known from the store: the active configuration, the targets and the drained data
// centres. Not thread-safe.
class FleetDirectory {
 public:
  // How long removals are deferred after the store has recovered. A target whose entry expired
  // during the outage reports again within two seconds of the recovery; the remainder covers the
  // delay of the watch.
  static constexpr std::chrono::milliseconds kRemovalGrace{2200};
  // A call of this duration may have met an outage of the store that went unnoticed. A store that
  // answers without waiting for a change takes less.
  static constexpr std::chrono::milliseconds kMinHiddenOutage{600};
  // If one reply removes at least this many targets that were not draining, and at least this
  // share of all targets, soon after such a call, their entries are assumed to have expired during
  // an outage.
  static constexpr std::size_t kMassRemovalCount = 4;
  static constexpr double kMassRemovalShare = 0.2;

  explicit FleetDirectory(const Clock& clock);

  // Reports a reply of the store to a call of `duration`, before the reply is applied. Until the
  // first one, each reply may follow an outage.
  void OnReply(std::chrono::nanoseconds duration);

  // Applies one reply of a watch.
  void Apply(const std::vector<StoreChange>& changes);

  // Applies a complete listing; targets and drains that it does not contain are removed.
  void Replace(const std::vector<StoreChange>& changes);

  // Reports that the store answers again after an outage. Removals that it reports during the
  // following kRemovalGrace are deferred until the end of that time, but for those of targets that
  // were draining.
  void OnStoreReturned();

  // Reports that the store was restored from a copy, before the first listing of its new contents
  // is applied. What it lacks or shows again is not taken for news, since its writers write again:
  // a target or drain that is missing is kept for kRemovalGrace, and a target that was removed
  // stays so until it reports anew.
  void OnStoreRestored();

  // Removes the targets and drains whose deferred removal is due. Returns whether there were any.
  bool RemoveExpired();

  // When RemoveExpired() is due; none if no removal is deferred.
  std::optional<BootTime> next_removal() const;

  // Null until the first one arrives. Its version never decreases.
  const CataloguePtr& catalogue() const { return catalogue_; }
  std::vector<TargetEntry> targets() const;
  const std::set<DataCentreId>& drained() const { return drained_; }

 private:
  void On(const CataloguePublished& change);
  void On(const TargetReported& change);
  void On(const TargetRemoved& change);
  void On(const DataCentreDrain& change);
  void Remove(const TargetId& id);
  void Erase(const TargetId& id);
  // Whether the entry says no more than that of a target which was removed.
  bool IsOfRemoved(const TargetEntry& entry) const;
  std::set<DataCentreId> ListedDrains(const std::vector<StoreChange>& changes);
  // Whether the target can have started and reported as the entry says. Another writer's entry
  // with a start in the future would make all reports of the real target look older.
  bool IsPlausible(const TargetEntry& entry) const;
  // Defers removals if so many of them suggest an outage that went unnoticed. Its end, and not the
  // time of this reply, begins kRemovalGrace: otherwise the delay of the reply would add to it.
  void CheckForHiddenOutage(const std::vector<TargetId>& removed);
  bool IsMassRemoval(const std::vector<TargetId>& removed) const;

  const Clock& clock_;
  CataloguePtr catalogue_;
  std::map<TargetId, TargetEntry> targets_;
  std::set<DataCentreId> drained_;
  // Targets and drains whose removal is deferred.
  std::set<TargetId> deferred_removals_;
  std::set<DataCentreId> deferred_drain_ends_;
  // The last entries of targets that were removed a short time ago, and the order of the removals.
  struct RemovedTarget {
    TargetEntry entry;
    BootTime at;
  };
  std::map<TargetId, RemovedTarget> removed_;
  std::deque<std::pair<BootTime, TargetId>> removal_order_;
  bool restored_ = false;
  // When the last outage that may have gone unnoticed had ended.
  std::optional<BootTime> hidden_outage_end_;
  std::optional<BootTime> grace_end_;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_DISCOVERY_FLEET_DIRECTORY_H_
