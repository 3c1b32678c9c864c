#ifndef PERIDOTFORK_DISPATCHER_TARGET_CHANNEL_H_
#define PERIDOTFORK_DISPATCHER_TARGET_CHANNEL_H_

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "peridotfork/config/document.h"
#include "peridotfork/dispatcher/target_protocol.h"
#include "peridotfork/http/client.h"
#include "peridotfork/limits/cold_ramp.h"
#include "peridotfork/limits/connection_budget.h"
#include "peridotfork/limits/target_queue.h"
#include "peridotfork/runtime/ranked_mutex.h"
#include "peridotfork/runtime/worker_pool.h"

namespace peridotfork::dispatcher {

// The process that has sent a sub-request, and the address for the reply.
struct Sender {
  ProcessId process;
  Address reply_to;
};

// Receives the replies of a TargetChannel. Called without locks held.
class ReplySink {
 public:
  virtual ~ReplySink() = default;
  virtual void Reply(const Sender& to, protocol::SubReply reply) = 0;
};

// Manages the connections, slots and attempts of one target. Sends requests to the
// target only before the lease set by SetLeaseEnd() expires. Thread-safe.
class TargetChannel
    : public boost::intrusive_ref_counter<TargetChannel, boost::thread_safe_counter> {
 public:
  // Maximum size of a target's response.
  static constexpr std::uint64_t kMaxAnswerBytes = std::uint64_t{4} << 20;

  TargetChannel(WorkerPool& pool,
                const Clock& clock,
                ReplySink& sink,
                const TargetConfig& target,
                const ServiceConfig& service);

  const TargetId& id() const { return id_; }

  // Applies the limits of a changed configuration document.
  void Configure(const ServiceConfig& service);

  // Sets the end of the lease; a time in the past ends the lease. Queued attempts are
  // refused when there is no lease.
  void SetLeaseEnd(BootTime lease_end);

  void Submit(const Sender& from, protocol::SubRequest request);
  void Cancel(const ProcessId& from, AttemptId attempt);

  // Detects unresponsive connections and overdue attempts. Must be called every few
  // tens of milliseconds.
  void Tick();

  // Requests the target's health status.
  void Poll();

  protocol::TargetCondition Condition() const;

  bool HasLease() const;
  std::size_t in_flight() const;

 private:
  using ConnectionPtr = boost::intrusive_ptr<http::ClientConnection>;
  using IdleConnections = std::map<ConnectionId, ConnectionPtr>;

  struct PendingAttempt {
    Sender from;
    protocol::SubRequest request;
  };
  struct BusyConnection {
    ConnectionPtr connection;
    AttemptKey attempt;
    BootTime sent;
  };

  // Actions that are chosen under the lock and executed after it is released.
  struct Effects {
    struct Start {
      ConnectionId id;
      ConnectionPtr connection;
      http::Request request;
      std::chrono::nanoseconds timeout;
      bool booking = false;
    };
    std::vector<std::pair<Sender, protocol::SubReply>> replies;
    std::vector<Start> starts;
    std::vector<ConnectionPtr> closes;
    std::uint32_t connects = 0;
  };

  void Apply(Effects effects);
  void OpenConnection();
  void OnConnected(const ConnectionPtr& connection, bool connected);
  void OnAnswer(ConnectionId id,
                const std::optional<http::ClientError>& error,
                TargetAnswer answer);

  // The following methods require mutex_ to be held.
  WorkLimits Limits() const;
  // Starts queued attempts as far as slots and connections allow, and drops those that
  // cannot finish in time.
  void StartQueuedAttempts(Effects* effects);
  void StartNext(const StartedAttempt& started, Effects* effects);
  void AddReply(const AttemptKey& key, protocol::SubReply reply, Effects* effects);
  void AddRefusal(const AttemptKey& key, ErrorKind reason, Effects* effects);
  void DropClosedIdle(Effects* effects);
  void CloseAllIdle(Effects* effects);
  IdleConnections::iterator DropIdle(IdleConnections::iterator idle, Effects* effects);
  void RecordAnswer(const TargetAnswer& answer, std::chrono::nanoseconds latency);
  std::string AttemptName(const AttemptKey& key) const;
  // Takes an idle connection for a control request, that is, one that is not an
  // attempt. Returns nullopt if there is no idle connection or no lease.
  std::optional<std::pair<ConnectionId, ConnectionPtr>> BorrowIdle();

  // Sends a control request on an idle connection. Does nothing if there is none. Takes
  // the lock itself.
  void SendControlRequest(http::Request request, http::ClientConnection::ResponseCallback done);

  WorkerPool& pool_;
  const Clock& clock_;
  ReplySink& sink_;
  const TargetId id_;
  const Address address_;

  mutable RankedMutex mutex_{LockRank::kTargets};
  ColdRamp ramp_;
  TargetQueue queue_;
  ConnectionBudget budget_;
  BootTime lease_end_;
  std::map<AttemptKey, PendingAttempt> pending_;
  IdleConnections idle_;
  std::map<ConnectionId, BusyConnection> busy_;
  std::uint64_t last_connection_ = 0;
  std::vector<Snapshot> snapshots_;
  std::uint32_t reported_load_ = 0;
  BootTime reported_at_;
};

using TargetChannelPtr = boost::intrusive_ptr<TargetChannel>;

}  // namespace peridotfork::dispatcher

#endif  // PERIDOTFORK_DISPATCHER_TARGET_CHANNEL_H_
