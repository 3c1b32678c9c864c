#include "peridotfork/discovery/fleet_directory.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace peridotfork {
namespace {

// Tolerance for the difference between the clocks of this host and of targets.
constexpr std::chrono::hours kMaxClockDifference{24};
// A clock that shows an earlier time, 45 years after the epoch, is not set.
constexpr std::chrono::hours kEarliestClock{24 * 365 * 45};

// A copy from which the store is restored is seconds old.
constexpr std::chrono::minutes kMaxCopyAge{2};
constexpr std::size_t kMaxRemoved = 65536;

// Whether `entry` is an older report than `known` of the same target.
bool IsOlder(const TargetEntry& entry, const TargetEntry& known) {
  if (entry.started_ms != known.started_ms) {
    return entry.started_ms && known.started_ms && *entry.started_ms < *known.started_ms;
  }
  return entry.sequence < known.sequence;
}

}  // namespace

FleetDirectory::FleetDirectory(const Clock& clock) : clock_(clock) {}

void FleetDirectory::OnReply(std::chrono::nanoseconds duration) {
  if (duration >= kMinHiddenOutage || !hidden_outage_end_) {
    hidden_outage_end_ = clock_.now();
  }
}

void FleetDirectory::Apply(const std::vector<StoreChange>& changes) {
  std::vector<TargetId> removed;
  for (const StoreChange& change : changes) {
    if (const auto* removal = std::get_if<TargetRemoved>(&change)) {
      removed.push_back(removal->id);
    }
  }
  CheckForHiddenOutage(removed);
  for (const StoreChange& change : changes) {
    std::visit([this](const auto& kind) { On(kind); }, change);
  }
}

void FleetDirectory::Replace(const std::vector<StoreChange>& changes) {
  std::set<TargetId> listed;
  for (const StoreChange& change : changes) {
    if (const auto* reported = std::get_if<TargetReported>(&change)) {
      listed.insert(reported->entry.id);
    }
  }
  std::vector<TargetId> missing;
  for (const auto& [id, entry] : targets_) {
    if (!listed.contains(id)) {
      missing.push_back(id);
    }
  }
  CheckForHiddenOutage(missing);
  for (const TargetId& id : missing) {
    Remove(id);
  }
  drained_ = ListedDrains(changes);
  if (!std::exchange(restored_, false)) {
    Apply(changes);
    return;
  }
  std::vector<StoreChange> news = changes;
  std::erase_if(news, [this](const StoreChange& change) {
    const auto* const reported = std::get_if<TargetReported>(&change);
    return reported != nullptr && IsOfRemoved(reported->entry);
  });
  Apply(news);
}

std::set<DataCentreId> FleetDirectory::ListedDrains(const std::vector<StoreChange>& changes) {
  std::set<DataCentreId> listed;
  for (const StoreChange& change : changes) {
    if (const auto* drain = std::get_if<DataCentreDrain>(&change)) {
      listed.insert(drain->data_centre);
    }
  }
  if (restored_) {
    std::ranges::set_difference(drained_, listed,
                                std::inserter(deferred_drain_ends_, deferred_drain_ends_.end()));
  }
  listed.insert(deferred_drain_ends_.begin(), deferred_drain_ends_.end());
  return listed;
}

void FleetDirectory::OnStoreReturned() {
  grace_end_ = clock_.now() + kRemovalGrace;
}

void FleetDirectory::OnStoreRestored() {
  OnStoreReturned();
  restored_ = true;
}

bool FleetDirectory::RemoveExpired() {
  if (!grace_end_ || clock_.now() < *grace_end_) {
    return false;
  }
  grace_end_.reset();
  const std::set<TargetId> targets = std::exchange(deferred_removals_, {});
  const std::set<DataCentreId> drains = std::exchange(deferred_drain_ends_, {});
  std::ranges::for_each(targets, [this](const TargetId& id) { Erase(id); });
  std::ranges::for_each(drains, [this](const DataCentreId& id) { drained_.erase(id); });
  return !targets.empty() || !drains.empty();
}

std::optional<BootTime> FleetDirectory::next_removal() const {
  return deferred_removals_.empty() && deferred_drain_ends_.empty() ? std::nullopt : grace_end_;
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
  deferred_drain_ends_.erase(change.data_centre);
  if (change.drained) {
    drained_.insert(change.data_centre);
  } else {
    drained_.erase(change.data_centre);
  }
}

void FleetDirectory::Remove(const TargetId& id) {
  const bool in_grace = grace_end_ && clock_.now() < *grace_end_;
  const auto known = targets_.find(id);
  if (in_grace && known != targets_.end() && !known->second.draining) {
    deferred_removals_.insert(id);
  } else {
    Erase(id);
    deferred_removals_.erase(id);
  }
}

void FleetDirectory::Erase(const TargetId& id) {
  const auto known = targets_.find(id);
  if (known == targets_.end()) {
    return;
  }
  const BootTime now = clock_.now();
  removed_.insert_or_assign(id, RemovedTarget{std::move(known->second), now});
  removal_order_.emplace_back(now, id);
  targets_.erase(known);
  while (now - removal_order_.front().first > kMaxCopyAge || removal_order_.size() > kMaxRemoved) {
    const auto [at, oldest] = removal_order_.front();
    const auto remembered = removed_.find(oldest);
    if (remembered != removed_.end() && remembered->second.at == at) {
      removed_.erase(remembered);
    }
    removal_order_.pop_front();
  }
}

bool FleetDirectory::IsOfRemoved(const TargetEntry& entry) const {
  const auto found = removed_.find(entry.id);
  if (found == removed_.end() || targets_.contains(entry.id)) {
    return false;
  }
  const TargetEntry& last = found->second.entry;
  const bool is_repeated = entry.started_ms == last.started_ms && entry.sequence == last.sequence;
  return is_repeated || IsOlder(entry, last);
}

void FleetDirectory::CheckForHiddenOutage(const std::vector<TargetId>& removed) {
  // A new outage does not prolong a removal that is due.
  RemoveExpired();
  if (IsMassRemoval(removed)) {
    const BootTime end = hidden_outage_end_.value_or(clock_.now()) + kRemovalGrace;
    grace_end_ = std::max(grace_end_.value_or(end), end);
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
