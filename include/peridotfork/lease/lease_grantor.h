#ifndef PERIDOTFORK_LEASE_LEASE_GRANTOR_H_
#define PERIDOTFORK_LEASE_LEASE_GRANTOR_H_

#include <cstdint>
#include <map>
#include <vector>

#include "peridotfork/core/clock.h"
#include "peridotfork/core/ids.h"
#include "peridotfork/lease/lease_options.h"
#include "peridotfork/lease/view_history.h"
#include "peridotfork/protocol/message.h"

namespace peridotfork {

// A lease granted by this agent, as shown on the admin page.
struct LeaseGrant {
  HostId home;
  ViewVersion view;
  ProcessId holder;
  BootTime expiry;
};

// Grants home leases on behalf of one agent. The grants are kept in memory only.
// At any time a home is granted to at most one holder process, until the grant
// expires or is released, and only to requests made in the current view. Nothing
// is granted during the quiet period after the start, nor before the view
// history is informed (see ViewHistory). Not thread-safe.
//
// A grant made in an older view does not delay a grant to the same process in
// the current view: the holder itself does not use newly gained targets until
// its view is settled.
class LeaseGrantor {
 public:
  LeaseGrantor(const Clock& clock, LeaseOptions options, const ViewHistory& history);

  protocol::LeaseReply Handle(const ProcessId& from, const protocol::LeaseRequest& request);

  // Ignores a release that is older than the newest granted request of the same
  // process.
  void Release(const ProcessId& from, const protocol::LeaseRelease& release);

  // Returns the unexpired grants, ordered by home.
  std::vector<LeaseGrant> Grants() const;

 private:
  struct Entry {
    ViewVersion view;
    ProcessId holder;
    // Number of the newest granted request of `holder`.
    std::uint64_t newest_request = 0;
    BootTime expiry;
  };

  bool MayGrant(const ProcessId& from, const protocol::LeaseRequest& request) const;
  bool Grant(const ProcessId& from, const protocol::LeaseRequest& request, const HostId& home);

  const Clock& clock_;
  const LeaseOptions options_;
  const ViewHistory& history_;
  std::map<HostId, Entry> entries_;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_LEASE_LEASE_GRANTOR_H_
