#ifndef PERIDOTFORK_AGENT_OWNERSHIP_H_
#define PERIDOTFORK_AGENT_OWNERSHIP_H_

#include <map>
#include <vector>

#include "peridotfork/config/document.h"
#include "peridotfork/core/ids.h"
#include "peridotfork/lease/lease_holder.h"
#include "peridotfork/lease/view.h"
#include "peridotfork/protocol/message.h"

namespace peridotfork {

// Caches which targets belong to each home (see Placement). Must be rebuilt when the
// view or the document changes. Not thread-safe.
class OwnershipTable {
 public:
  void Rebuild(const View& view, DocumentPtr document);

  // True if the table was built from this view and document.
  bool BuiltFrom(ViewVersion view, const DocumentPtr& document) const;

  // Returns the targets of `home` that this host may use until `lease_end`.
  std::vector<protocol::OwnedTarget> OwnedTargets(const View& view,
                                                  const LeaseHolder& holder,
                                                  const HostId& home,
                                                  BootTime lease_end) const;

  const std::map<HostId, std::vector<const TargetConfig*>>& targets_by_home() const {
    return targets_by_home_;
  }

 private:
  ViewVersion view_;
  // Keeps the target configurations alive.
  DocumentPtr document_;
  std::map<HostId, std::vector<const TargetConfig*>> targets_by_home_;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_AGENT_OWNERSHIP_H_
