#ifndef PERIDOTFORK_DISCOVERY_FLEET_DIRECTORY_H_
#define PERIDOTFORK_DISCOVERY_FLEET_DIRECTORY_H_

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "peridotfork/core/clock.h"
#include "peridotfork/discovery/metadata_store.h"

namespace peridotfork {

// What the store said last: the configuration in force, the targets and the
// drained data centres. Not thread-safe.
class FleetDirectory {
 public:
  // A target whose entry lapsed while the store was away reports again within
  // two seconds of its return; the rest is the delay of the watch.
  static constexpr std::chrono::milliseconds kLapseGrace{2200};
  // Removals of so many targets that were not draining, and of such a share of
  // all, in one reply are taken for entries that lapsed while the store was away.
  static constexpr std::size_t kMassRemoval = 4;
  static constexpr double kMassRemovalShare = 0.2;

  explicit FleetDirectory(const Clock& clock);

  // Applies one reply of a watch.
  void Apply(const std::vector<StoreChange>& changes);

  // Applies a complete listing: what it does not name is gone.
  void Replace(const std::vector<StoreChange>& changes);

  // The store answers again after an outage. Removals that it reports from now
  // on for kLapseGrace are held back until the end of that time.
  void OnStoreReturned();

  // Drops the targets whose removal was held back and is due. True if any was.
  bool DropLapsed();

  // When DropLapsed() is due; none if no removal is held back.
  std::optional<BootTime> next_lapse() const;

  // Null until the first one arrives. Its version never goes back.
  const CataloguePtr& catalogue() const { return catalogue_; }
  std::vector<TargetEntry> targets() const;
  const std::set<DataCentreId>& drained() const { return drained_; }

 private:
  void On(const CataloguePublished& change);
  void On(const TargetReported& change);
  void On(const TargetRemoved& change);
  void On(const DataCentreDrain& change);
  void Remove(const TargetId& id);
  bool IsMassRemoval(const std::vector<TargetId>& removed) const;

  const Clock& clock_;
  CataloguePtr catalogue_;
  std::map<TargetId, TargetEntry> targets_;
  std::set<DataCentreId> drained_;
  // Targets whose removal is held back.
  std::set<TargetId> lapsed_;
  std::optional<BootTime> grace_end_;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_DISCOVERY_FLEET_DIRECTORY_H_
