#ifndef PERIDOTFORK_MEMBERSHIP_PLACEMENT_H_
#define PERIDOTFORK_MEMBERSHIP_PLACEMENT_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "peridotfork/core/ids.h"
#include "peridotfork/lease/lease_holder.h"
#include "peridotfork/lease/view.h"

namespace peridotfork {

// Rendezvous hash of a key and a host: 64-bit FNV-1a over the bytes of `key`, a
// zero byte and the bytes of `host`, followed by the 64-bit finalizer of
// MurmurHash3, because FNV-1a alone gives correlated scores to similar names.
// Agents of different releases must compute the same scores, so this function
// must never change.
std::uint64_t RendezvousScore(std::string_view key, std::string_view host);

// Assigns targets to homes by rendezvous hashing. Each host of the view has a home:
// the set of targets assigned to it, named by its host id. Another host may hold
// the home while that host is down or draining. The assignment depends only on
// the view, the target id and the target's data centre. Immutable, hence
// thread-safe.
class Placement {
 public:
  explicit Placement(const View& view) : members_(view.members) {}

  // Returns the host with the highest score for the target id. Hosts that are not
  // leaving are preferred, then hosts in the target's data centre. Returns the
  // empty id if the view has no members.
  HostId HomeOf(const TargetId& target, const DataCentreId& data_centre) const;

  // Returns the hosts that may take over `home`, most preferred first. Leaving
  // hosts are included only if there are no others.
  std::vector<HostId> CandidatesFor(const HostId& home) const;

 private:
  std::vector<ViewMember> members_;
};

// Determines which targets of one home this host may use under its current lease.
// Must be rebuilt after each change of the view or the lease.
class Coverage {
 public:
  // `view` must be the current view of `holder`.
  Coverage(const View& view, const LeaseHolder& holder, const HostId& home);

  // True if placement assigns the target to the home in the current view and in
  // all older views still relevant to the lease (see LeaseHolder::CarriedFrom()).
  bool Covers(const TargetId& target, const DataCentreId& data_centre) const;

 private:
  HostId home_;
  std::vector<Placement> placements_;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_MEMBERSHIP_PLACEMENT_H_
