#ifndef PERIDOTFORK_LEASE_VIEW_HISTORY_H_
#define PERIDOTFORK_LEASE_VIEW_HISTORY_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "peridotfork/core/clock.h"
#include "peridotfork/core/ids.h"
#include "peridotfork/lease/lease_options.h"
#include "peridotfork/lease/view.h"
#include "peridotfork/protocol/message.h"

namespace peridotfork {

// Tracks the current view of one agent and the older views in which some host
// may still hold leases. The agent's LeaseGrantor and LeaseHolder share it. Not
// thread-safe; the caller guards all three with one lock.
//
// An older view is *expired* once
// - a majority of its hosts have replied in the current view, after which they
//   refuse requests made in older views, and
// - LeaseOptions::max_grant_duration() has passed since then, so that the grants
//   of these hosts have expired.
// The current view is *settled* when a majority of its hosts have replied and
// all older views that they report are expired.
//
// A newly started process does not know the older views. During a *quiet period*
// of one lease duration after its start it grants nothing, because it may have
// granted leases before a restart. After that, it becomes *informed* when
// informed hosts other than itself, as many as make a majority of the view, have
// reported their older views, or when all other hosts have replied. Fewer hosts
// might all have skipped a view that still has lease holders. See also
// LeaseOptions::cold_start_wait.
class ViewHistory {
 public:
  ViewHistory(const Clock& clock, LeaseOptions options, HostId self, BootTime start);

  // Makes `view` the current view. Ignored unless its version is newer. Called by
  // LeaseHolder::AdoptView().
  void AdoptView(const View& view);

  // Records the reply of `host` to a request that this agent sent at `sent`.
  // Called by LeaseHolder::Handle().
  void RecordReply(const HostId& host, const protocol::LeaseReply& reply, BootTime sent);

  // Sets the hosts that the operators have declared permanently lost. They are
  // excluded from every majority.
  void SetRetired(std::set<HostId> retired) { retired_ = std::move(retired); }

  // Returns the current view, or null before the first one.
  const View* view() const { return view_ ? &*view_ : nullptr; }

  // False during the quiet period. Grants from before a restart may still be valid
  // then.
  bool quiet_period_over() const;

  bool informed() const { return informed_; }

  bool settled() const;

  // Returns the older views in which some host may still hold leases; empty once
  // the current view is settled.
  std::vector<protocol::OlderView> older() const;

  // Returns the number of hosts that forms a majority of the members that are not
  // retired, or zero if all are retired.
  std::size_t MajorityOf(const std::vector<HostId>& members) const;

  bool IsRetired(const HostId& host) const { return retired_.count(host) != 0; }

 private:
  struct OlderViewState {
    std::vector<HostId> members;
    // When the view expires; unset until a majority of its hosts have replied.
    std::optional<BootTime> expiry;
  };
  struct Answer {
    BootTime sent;
    bool informed = false;
  };

  void UpdateInformed();
  void UpdateSettled();
  bool MajorityAnswered(const std::vector<HostId>& members) const;
  std::size_t CountAnswers(const std::vector<HostId>& members, bool informed_only) const;

  const Clock& clock_;
  const LeaseOptions options_;
  const HostId self_;
  const BootTime start_;
  std::optional<View> view_;
  std::map<ViewVersion, OlderViewState> older_;
  // Most recent reply of each host in the current view.
  std::map<HostId, Answer> answers_;
  std::set<HostId> retired_;
  bool informed_ = false;
  bool majority_answered_ = false;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_LEASE_VIEW_HISTORY_H_
