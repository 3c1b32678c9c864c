#include "peridotfork/discovery/fleet_directory.h"

#include <algorithm>
#include <utility>

namespace peridotfork {
namespace {

// Tolerance for the difference between the clocks of this host and of targets.
constexpr std::chrono::hours kMaxClockDifference{24};
// A clock that shows an earlier time, 45 years after the epoch, is not set.
constexpr std::chrono::hours kEarliestClock{24 * 365 * 45};

// Whether `entry` is an older report than `known` of the same target.
bool IsOlder(const TargetEntry& entry, const TargetEntry& known) {
  if (entry.started_ms != known.started_ms) {
    return entry.started_ms && known.started_ms && *entry.started_ms < *known.started_ms;
  }
  return entry.sequence < known.sequence;
}

}  // namespace

FleetDirectory::FleetDirectory(const Clock& clock) : clock_(clock) {}

void FleetDirectory::Apply(const std::vector<StoreChange>& changes) {
  std::vector<TargetId> removed;
  for (const StoreChange& change : changes) {
    if (const auto* removal = std::get_if<TargetRemoved>(&change)) {
      removed.push_back(removal->id);
    }
  }
  if (IsMassRemoval(removed)) {
    OnStoreReturned();
  }
  for (const StoreChange& change : changes) {
    std::visit([this](const auto& kind) { On(kind); }, change);
  }
}

void FleetDirectory::Replace(const std::vector<StoreChange>& changes) {
  std::set<TargetId> listed;
  std::set<DataCentreId> drained;
  for (const StoreChange& change : changes) {
    if (const auto* reported = std::get_if<TargetReported>(&change)) {
      listed.insert(reported->entry.id);
    } else if (const auto* drain = std::get_if<DataCentreDrain>(&change)) {
      drained.insert(drain->data_centre);
    }
  }
  std::vector<TargetId> missing;
  for (const auto& [id, entry] : targets_) {
    if (!listed.contains(id)) {
      missing.push_back(id);
    }
  }
  if (IsMassRemoval(missing)) {
    OnStoreReturned();
  }
  for (const TargetId& id : missing) {
    Remove(id);
  }
  drained_ = std::move(drained);
  Apply(changes);
}

void FleetDirectory::OnStoreReturned() {
  grace_end_ = clock_.now() + kRemovalGrace;
}

bool FleetDirectory::RemoveExpired() {
  if (!grace_end_ || clock_.now() < *grace_end_) {
    return false;
  }
  grace_end_.reset();
  for (const TargetId& id : deferred_removals_) {
    targets_.erase(id);
  }
  return !std::exchange(deferred_removals_, {}).empty();
}

std::optional<BootTime> FleetDirectory::next_removal() const {
  return deferred_removals_.empty() ? std::nullopt : grace_end_;
}

std::vector<TargetEntry> FleetDirectory::targets() const {
  std::vector<TargetEntry> targets;
  targets.reserve(targets_.size());
  for (const auto& [id, entry] : targets_) {
    targets.push_back(entry);
  }
  return targets;
}

void FleetDirectory::On(const CataloguePublished& change) {
  if (catalogue_ == nullptr || change.catalogue->version() > catalogue_->version()) {
    catalogue_ = change.catalogue;
  }
}

bool FleetDirectory::IsPlausible(const TargetEntry& entry) const {
  using std::chrono::milliseconds;
  const bool clock_is_set = clock_.wall_now().time_since_epoch() >= kEarliestClock;
  if (!entry.started_ms || !clock_is_set) {
    return true;
  }
  const auto now = std::chrono::duration_cast<milliseconds>(clock_.wall_now().time_since_epoch() +
                                                            kMaxClockDifference);
  const auto latest = static_cast<std::uint64_t>(std::max<std::int64_t>(0, now.count()));
  // A target reports at most once a millisecond.
  return *entry.started_ms <= latest && entry.sequence <= latest - *entry.started_ms;
}

void FleetDirectory::On(const TargetReported& change) {
  if (!IsPlausible(change.entry)) {
    Remove(change.entry.id);
    return;
  }
  const auto known = targets_.find(change.entry.id);
  if (known == targets_.end()) {
    targets_.emplace(change.entry.id, change.entry);
  } else if (!IsOlder(change.entry, known->second)) {
    known->second = change.entry;
  }
  deferred_removals_.erase(change.entry.id);
}

void FleetDirectory::On(const TargetRemoved& change) {
  Remove(change.id);
}

void FleetDirectory::On(const DataCentreDrain& change) {
  if (change.drained) {
    drained_.insert(change.data_centre);
  } else {
    drained_.erase(change.data_centre);
  }
}

void FleetDirectory::Remove(const TargetId& id) {
  const bool in_grace = grace_end_ && clock_.now() < *grace_end_;
  if (in_grace && targets_.contains(id)) {
    deferred_removals_.insert(id);
  } else {
    targets_.erase(id);
    deferred_removals_.erase(id);
  }
}

bool FleetDirectory::IsMassRemoval(const std::vector<TargetId>& removed) const {
  std::size_t unannounced = 0;
  for (const TargetId& id : removed) {
    const auto known = targets_.find(id);
    unannounced += known != targets_.end() && !known->second.draining ? 1 : 0;
  }
  return unannounced >= kMassRemovalCount &&
         static_cast<double>(unannounced) >=
             kMassRemovalShare * static_cast<double>(targets_.size());
}

}  // namespace peridotfork
