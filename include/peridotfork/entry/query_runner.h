#ifndef PERIDOTFORK_ENTRY_QUERY_RUNNER_H_
#define PERIDOTFORK_ENTRY_QUERY_RUNNER_H_

#include <boost/asio/steady_timer.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "peridotfork/entry/caller_protocol.h"
#include "peridotfork/entry/target_status_table.h"
#include "peridotfork/limits/admission.h"
#include "peridotfork/limits/quarantine.h"
#include "peridotfork/query/query_execution.h"
#include "peridotfork/routing/budget.h"
#include "peridotfork/routing/hedge_policy.h"
#include "peridotfork/routing/replica_chooser.h"
#include "peridotfork/runtime/ranked_mutex.h"
#include "peridotfork/transport/endpoint.h"

namespace peridotfork::entry {

struct QueryRunnerOptions {
  DataCentreId data_centre;
  std::uint32_t max_in_flight = 0;
  // If false, replicas are chosen at random, without hedges and without retries of
  // overdue attempts. For comparison measurements.
  bool adaptive_routing = true;
};

// Totals of finished searches since the start of the process. `late_replies` counts
// replies to attempts no longer outstanding, including bookings.
struct QueryCounters {
  std::uint64_t complete = 0;
  std::uint64_t partial = 0;
  std::uint64_t refused = 0;
  std::uint64_t first_attempts = 0;
  std::uint64_t hedges = 0;
  std::uint64_t retries = 0;
  std::uint64_t late_replies = 0;
};

// Runs the searches and the booking attempts of an entry. Performs the actions that
// QueryExecution decides on. Thread-safe; callbacks are called without locks held.
class QueryRunner : private query::QueryEnvironment {
 public:
  using SearchCallback = std::function<void(query::QueryOutcome)>;
  using AttemptCallback =
      std::function<void(const TargetId& target, ErrorKind outcome, const std::string& result)>;

  QueryRunner(WorkerPool& pool,
              const Clock& clock,
              Endpoint& endpoint,
              const QueryRunnerOptions& options);

  void SetDocument(const DocumentPtr& document);
  void SetRoutes(const protocol::RouteUpdate& update);
  void OnStatus(const protocol::ProcessAddress& dispatcher, const protocol::TargetStatus& status);
  void OnReply(const protocol::SubReply& reply);
  void OnQuarantineNotice(const protocol::QuarantineNotice& notice);

  // Admits and starts a search. On success, `done` is called exactly once; on error,
  // nothing was started.
  Result<void> Search(const SearchRequest& request, SearchCallback done);

  // Admits a request other than a search. Each successful call must be followed by one
  // call of Release().
  Result<void> Admit(const CallerId& caller);
  void Release(const CallerId& caller);

  // Sends one booking attempt and returns its target: a replica not in `tried`. A hash
  // of the service and the booking selects the group. On error, nothing was sent.
  // `done` is called with the reply, if one arrives.
  Result<TargetId> SendBooking(const BookingRequest& request,
                               WallTime deadline,
                               const std::vector<TargetId>& tried,
                               AttemptCallback done);

  // Returns the requested time limit, or the default of the service; an error if the
  // service is unknown or no configuration has arrived.
  Result<std::chrono::milliseconds> TimeLimitFor(
      const ServiceId& service,
      std::optional<std::chrono::milliseconds> requested) const;

  // Whether the dispatcher of at least one target is known.
  bool HasRoutes() const;

  QueryCounters counters() const;
  std::uint32_t in_flight() const;

 private:
  struct ActiveQuery : boost::intrusive_ref_counter<ActiveQuery, boost::thread_safe_counter> {
    ActiveQuery(boost::asio::io_context& context,
                query::QueryDependencies dependencies,
                query::QueryPlan plan)
        : service(plan.service), execution(dependencies, std::move(plan)), timer(context) {}

    ServiceId service;
    CallerId caller;
    std::uint64_t fingerprint = 0;
    std::string body;
    std::uint32_t limit = 0;
    WallTime deadline;
    SearchCallback done;
    query::QueryExecution execution;
    boost::asio::steady_timer timer;
  };
  using ActiveQueryPtr = boost::intrusive_ptr<ActiveQuery>;

  // An outstanding attempt of a query or of a booking.
  struct AttemptInfo {
    ActiveQueryPtr query;
    AttemptCallback booking_done;
    TargetId target;
    GroupId group;
    Snapshot snapshot;
    BootTime sent;
    protocol::ProcessAddress dispatcher;
  };

  // Side effects that are determined under the lock and performed after its release.
  struct Effects {
    struct Outgoing {
      protocol::ProcessAddress to;
      protocol::Message message;
    };
    std::vector<Outgoing> outgoing;
    std::vector<std::function<void()>> callbacks;
  };

  // Implement query::QueryEnvironment; called with the lock held.
  AttemptId NewAttempt() override;
  std::vector<routing::Candidate> Candidates(const GroupId& group, Snapshot snapshot) override;
  std::optional<query::SnapshotChoice> NewerSnapshot(const ServiceId& service,
                                                     Snapshot current) override;

  // Must be called with the lock held.
  void PerformActions(const ActiveQueryPtr& query, query::QueryActions actions, Effects* effects);
  void PerformAction(const ActiveQueryPtr& query,
                     query::SendAttempt& action,
                     std::vector<AttemptId>* unroutable,
                     Effects* effects);
  void PerformAction(const ActiveQueryPtr& query,
                     query::CancelAttempt& action,
                     std::vector<AttemptId>* unroutable,
                     Effects* effects);
  void PerformAction(const ActiveQueryPtr& query,
                     query::FinishQuery& action,
                     std::vector<AttemptId>* unroutable,
                     Effects* effects);
  void ArmTimer(const ActiveQueryPtr& query);
  void RecordAttemptOutcome(const AttemptInfo& info,
                            const protocol::SubReply& reply,
                            Effects* effects);
  void CountOutcome(const query::QueryOutcome& outcome);
  Result<TargetId> ChooseForBooking(const BookingRequest& request,
                                    const std::vector<TargetId>& tried,
                                    GroupId* group,
                                    Snapshot* snapshot);

  void OnTimer(const ActiveQueryPtr& query);
  void Apply(Effects effects);

  WorkerPool& pool_;
  const Clock& clock_;
  Endpoint& endpoint_;

  mutable RankedMutex mutex_{LockRank::kQueries};
  TargetStatusTable target_status_;
  const bool adaptive_routing_;
  const std::unique_ptr<routing::ReplicaChooser> chooser_;
  const std::unique_ptr<routing::HedgePolicy> hedging_;
  routing::Budget hedges_;
  routing::Budget retries_;
  Admission admission_;
  Quarantine quarantine_;
  std::mt19937_64 random_;
  AttemptId last_attempt_;
  std::map<AttemptId, AttemptInfo> attempts_;
  std::vector<protocol::ProcessAddress> other_entries_;
  std::size_t entry_count_ = 1;
  QueryCounters counters_;
};

}  // namespace peridotfork::entry

#endif  // PERIDOTFORK_ENTRY_QUERY_RUNNER_H_
