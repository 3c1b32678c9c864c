#include "peridotfork/agent/ownership.h"

#include <utility>

#include "peridotfork/membership/placement.h"

namespace peridotfork {

void OwnershipTable::Rebuild(const View& view, DocumentPtr document) {
  targets_by_home_.clear();
  view_ = view.version;
  document_ = std::move(document);
  if (document_ == nullptr) {
    return;
  }
  const Placement placement(view);
  for (const TargetConfig& target : document_->targets()) {
    targets_by_home_[placement.HomeOf(target.id, target.data_centre)].push_back(&target);
  }
}

bool OwnershipTable::BuiltFrom(ViewVersion view, const DocumentPtr& document) const {
  return view_ == view && document_ == document;
}

std::vector<protocol::OwnedTarget> OwnershipTable::OwnedTargets(const View& view,
                                                                const LeaseHolder& holder,
                                                                const HostId& home,
                                                                BootTime lease_end) const {
  std::vector<protocol::OwnedTarget> owned;
  const auto targets = targets_by_home_.find(home);
  if (targets == targets_by_home_.end()) {
    return owned;
  }
  const Coverage coverage(view, holder, home);
  for (const TargetConfig* target : targets->second) {
    if (coverage.Covers(target->id, target->data_centre)) {
      owned.push_back({target->id, lease_end});
    }
  }
  return owned;
}

}  // namespace peridotfork
