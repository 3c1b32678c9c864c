#ifndef PERIDOTFORK_LEASE_LEASE_HOLDER_H_
#define PERIDOTFORK_LEASE_LEASE_HOLDER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "peridotfork/core/clock.h"
#include "peridotfork/core/ids.h"
#include "peridotfork/lease/lease_options.h"
#include "peridotfork/lease/view.h"
#include "peridotfork/lease/view_history.h"
#include "peridotfork/protocol/message.h"

namespace peridotfork {

// Holds home leases on behalf of one agent. A home is held while a majority of
// the view has granted it, and either
// - the view is settled (see ViewHistory): the holder may use all targets of the
//   home, or
// - the home is *carried over*: this process has held it without interruption
//   in every older view that has not expired yet, and a majority of each of
//   these views has granted it again in the current view. The holder may then
//   use only the targets that placement assigns to the home in all of these
//   views, see CarriedFrom(). Targets that are new to the home may still be in
//   use by their holder in an older view.
// Not thread-safe.
class LeaseHolder {
 public:
  LeaseHolder(const Clock& clock, LeaseOptions options, ViewHistory& history);

  // Makes `view` the current view, here and in the history. Ignored unless its
  // version is newer.
  void AdoptView(const View& view);

  // Creates the next request, to be sent to all Recipients() immediately. Send it
  // even if `homes` is empty, because the replies also settle the view.
  protocol::LeaseRequest MakeRequest(const std::vector<HostId>& homes);

  // Hosts of the current view, including this one, and of all older views that
  // have not expired, without the retired hosts.
  std::vector<HostId> Recipients() const;

  // Records a reply. Its grants run from the time at which the request with the
  // same number was sent. The caller must drop replies that are addressed to
  // other incarnations of this agent.
  void Handle(const HostId& grantor, const protocol::LeaseReply& reply);

  // Time until which this host may use the home, with clock drift and clock skew
  // already deducted; nullopt if the home is not held now.
  std::optional<BootTime> ExpiryOf(const HostId& home) const;

  // Older views in which a target must also belong to the home for this host to
  // use it; empty if this host may use all targets of the home.
  std::vector<View> CarriedFrom(const HostId& home) const;

  // Homes that this host may use now.
  std::vector<HostId> held() const;

  // Drops the leases and returns the message to send to all Recipients(). All
  // work under these leases must have finished before, including work on targets
  // that belonged to the homes in older views.
  protocol::LeaseRelease Release(const std::vector<HostId>& homes);

 private:
  struct Lease {
    // Expiry of each grantor's grant in the current view.
    std::map<HostId, BootTime> grants;
    // Grants for requests up to this number are ignored: the requests were sent
    // before the last release.
    std::uint64_t released_through = 0;
    // Older views from which the home is carried over, and the time until which
    // it is held on that basis.
    std::vector<View> carried_from;
    BootTime carried_expiry;
  };

  void ExtendCarriedExpiry(Lease& lease) const;
  BootTime Expiry(const Lease& lease) const;
  BootTime MajorityExpiry(const Lease& lease, const std::vector<HostId>& members) const;

  const Clock& clock_;
  const LeaseOptions options_;
  ViewHistory& history_;
  std::map<HostId, Lease> leases_;
  std::uint64_t last_request_number_ = 0;
  // Send times, by request number, of requests whose grants can still be valid.
  std::map<std::uint64_t, BootTime> request_times_;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_LEASE_LEASE_HOLDER_H_
