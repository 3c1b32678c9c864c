#ifndef PERIDOTFORK_ENTRY_TARGET_STATUS_TABLE_H_
#define PERIDOTFORK_ENTRY_TARGET_STATUS_TABLE_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "peridotfork/config/document.h"
#include "peridotfork/core/clock.h"
#include "peridotfork/protocol/message.h"
#include "peridotfork/query/snapshot_chooser.h"
#include "peridotfork/routing/candidate.h"
#include "peridotfork/routing/latency_tracker.h"

namespace peridotfork::entry {

// Status of the targets as known to an entry: their dispatchers, their reported
// conditions, and the latencies that the entry has observed itself. Not thread-safe.
class TargetStatusTable {
 public:
  explicit TargetStatusTable(const Clock& clock);

  void SetDocument(DocumentPtr document) { document_ = std::move(document); }
  const Document* document() const { return document_.get(); }

  void SetRoutes(const protocol::RouteUpdate& update);
  // Records a report. It comes from the dispatcher that owns the targets, so it also
  // updates their routes.
  void OnStatus(const protocol::ProcessAddress& dispatcher, const protocol::TargetStatus& status);

  bool has_routes() const { return has_routes_; }

  // Returns the dispatcher of a target, if known.
  std::optional<protocol::ProcessAddress> RouteOf(const TargetId& target) const;

  // Handles a dispatcher's reply that it does not own the target. The target has no route
  // until a new one is received.
  void OnNotOwner(const TargetId& target, const protocol::ProcessAddress& dispatcher);

  // Handles a target's reply that it no longer has a snapshot. The target is not used for
  // that snapshot until its next report.
  void OnSnapshotGone(const TargetId& target, Snapshot snapshot);

  // Record the start and the end of an attempt. `observed` is false if its duration must
  // not be used as a latency of the target.
  void OnSent(const TargetId& target, AttemptId attempt);
  void OnEnded(const TargetId& target, const GroupId& group, AttemptId attempt, bool observed);

  // Records that an attempt was cancelled. Its duration until now is a lower bound of the
  // latency that it would have had.
  void OnCancelled(const TargetId& target, const GroupId& group, AttemptId attempt);

  // Returns the replicas of a group that have a route and hold `snapshot`; without a
  // snapshot, all that have a route.
  std::vector<routing::Candidate> Candidates(const GroupId& group,
                                             std::optional<Snapshot> snapshot) const;

  std::optional<query::SnapshotChoice> ChooseSnapshot(const ServiceId& service,
                                                      std::optional<Snapshot> newer_than);

  routing::LatencyTracker& latencies() { return latencies_; }

 private:
  struct TargetInfo {
    std::optional<protocol::ProcessAddress> dispatcher;
    std::optional<protocol::TargetCondition> condition;
    BootTime condition_time;
    std::map<AttemptId, BootTime> in_flight;
    std::optional<BootTime> last_sent;
  };

  routing::Candidate MakeCandidate(const TargetConfig& target) const;
  std::vector<query::GroupReplicas> Replicas(const ServiceConfig& service) const;
  std::optional<std::chrono::nanoseconds> RemoveInFlight(const TargetId& target, AttemptId attempt);

  const Clock& clock_;
  DocumentPtr document_;
  bool has_routes_ = false;
  routing::LatencyTracker latencies_;
  std::map<TargetId, TargetInfo> targets_;
  std::map<ServiceId, query::PartitionMaps> maps_;
};

}  // namespace peridotfork::entry

#endif  // PERIDOTFORK_ENTRY_TARGET_STATUS_TABLE_H_
