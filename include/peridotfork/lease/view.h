#ifndef PERIDOTFORK_LEASE_VIEW_H_
#define PERIDOTFORK_LEASE_VIEW_H_

#include <cstddef>
#include <vector>

#include "peridotfork/core/ids.h"

namespace peridotfork {

// One host in the platform's host list. `agent` is the address at which its
// agent receives internal messages. A leaving host is still running but is
// assigned no new work.
struct ViewMember {
  HostId id;
  DataCentreId data_centre;
  Address agent;
  bool leaving = false;

  friend bool operator==(const ViewMember&, const ViewMember&) = default;
};

// The hosts of one cell (a group of hosts that grant leases to each other), in one
// version of the platform's host list.
struct View {
  ViewVersion version;
  std::vector<ViewMember> members;

  // Smallest number of members that forms a majority.
  std::size_t majority() const { return members.size() / 2 + 1; }

  // Returns the member with this id, or null. The pointer stays valid until the
  // view is modified.
  const ViewMember* Find(const HostId& id) const;

  // Returns the member ids in the order of `members`.
  std::vector<HostId> ids() const;

  friend bool operator==(const View&, const View&) = default;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_LEASE_VIEW_H_
