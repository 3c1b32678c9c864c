#ifndef PERIDOTFORK_AGENT_AGENT_H_
#define PERIDOTFORK_AGENT_AGENT_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "peridotfork/agent/ownership.h"
#include "peridotfork/config/settings.h"
#include "peridotfork/http/router.h"
#include "peridotfork/http/server.h"
#include "peridotfork/lease/lease_grantor.h"
#include "peridotfork/lease/lease_holder.h"
#include "peridotfork/lease/view_history.h"
#include "peridotfork/membership/peer_table.h"
#include "peridotfork/membership/route_table.h"
#include "peridotfork/program/daemon.h"
#include "peridotfork/publication/platform_reader.h"
#include "peridotfork/replication/config_replica.h"
#include "peridotfork/runtime/ranked_mutex.h"
#include "peridotfork/transport/endpoint.h"
#include "peridotfork/transport/message_table.h"

namespace peridotfork {

// The agent of a host. It reads the host list and the configuration from the
// platform, exchanges heartbeats, leases and configuration with the other agents,
// and sends ownership, routes and configuration to the dispatcher and the entry of
// its host. Thread-safe.
class Agent final : public Service, public http::Handler {
 public:
  Agent(const DaemonContext& context, AgentSettings settings);

  Result<void> Start() override;
  void BeginDrain() override;
  bool drained() const override;
  void Close() override;

  void Handle(http::Request request, http::Responder respond) override;

 private:
  // State of the dispatcher or the entry of this host.
  struct LocalProcess {
    protocol::ProcessAddress address;
    BootTime first_heard;
    BootTime last_heard;
    protocol::LocalHello hello;
  };

  // A message to send once the locks are released.
  struct Outgoing {
    Address to;
    protocol::Message message;
  };
  using Outbox = std::vector<Outgoing>;

  void Receive(const protocol::Envelope& envelope);
  void OnHeartbeat(const protocol::Envelope& envelope, const protocol::Heartbeat& heartbeat);
  void OnLeaseRequest(const protocol::Envelope& envelope, const protocol::LeaseRequest& request);
  void OnLeaseReply(const protocol::Envelope& envelope, const protocol::LeaseReply& reply);
  void OnLeaseRelease(const protocol::Envelope& envelope, const protocol::LeaseRelease& release);
  void OnConfigPull(const protocol::Envelope& envelope, const protocol::ConfigPull& pull);
  void OnConfigSections(const protocol::Envelope& envelope,
                        const protocol::ConfigSections& sections);
  void OnHostList(const protocol::Envelope& envelope, const protocol::HostList& list);
  void OnLocalHello(const protocol::Envelope& envelope, const protocol::LocalHello& hello);

  void HandleHealth(const http::Request& request, const http::Responder& respond);
  void HandleReady(const http::Request& request, const http::Responder& respond);
  void HandleStatus(const http::Request& request, const http::Responder& respond);

  // Called every heartbeat interval.
  void Tick();
  // Called every lease renewal interval.
  void RenewLeases();
  // Called every kOwnershipInterval.
  void UpdateLocalProcesses();

  void AdoptHostList(ViewVersion version, const std::string& text);
  void OnDocumentChanged();
  void UpdateJoined();
  void SendHeartbeats();
  void Send(const Outbox& outbox);

  // The following methods require mutex_ to be held.
  protocol::Heartbeat MakeHeartbeat() const;
  void AddLeaseRequests(Outbox* outbox);
  void AddReleases(Outbox* outbox);
  void AddOwnership(Outbox* outbox);
  void AddRoutes(Outbox* outbox);
  // True if the routes have changed or kRouteRepeatInterval has passed since they
  // were sent. In that case records them as sent.
  bool RoutesAreDue(const protocol::RouteUpdate& update);
  // Held homes that are not about to be released.
  std::vector<HostId> HomesServed() const;
  bool DispatcherMayServe() const;
  bool IsLive(const std::optional<LocalProcess>& process) const;
  std::optional<protocol::ProcessAddress> LiveAddress(
      const std::optional<LocalProcess>& process) const;
  std::vector<Address> PeerAddresses() const;
  ViewVersion view_version() const;

  static const MessageTable<Agent> kMessages;
  static const http::Router<Agent> kRoutes;

  WorkerPool& pool_;
  const Clock& clock_;
  Logger& log_;
  const AgentSettings settings_;
  const ProcessId self_;
  const LeaseOptions lease_options_;
  Endpoint endpoint_;
  ConfigReplica config_;
  PlatformReader document_reader_;
  PlatformReader hosts_reader_;
  http::Server server_;
  std::vector<boost::intrusive_ptr<PeriodicTask>> tasks_;
  std::atomic<bool> draining_ = false;
  std::atomic<bool> joined_ = false;

  mutable RankedMutex mutex_{LockRank::kView};
  std::string host_list_;
  ViewHistory history_;
  LeaseGrantor grantor_;
  LeaseHolder holder_;
  PeerTable peers_;
  RouteTable routes_;
  OwnershipTable ownership_;
  std::optional<LocalProcess> dispatcher_;
  std::optional<LocalProcess> entry_;
  // Agent addresses by host, from the current and older views.
  std::map<HostId, Address> addresses_;
  std::uint64_t ownership_number_ = 0;
  // Homes to be released once their work has finished, each with the number of the
  // first OwnershipUpdate that omits it.
  std::map<HostId, std::uint64_t> pending_releases_;
  protocol::RouteUpdate last_routes_;
  std::vector<protocol::ProcessAddress> route_receivers_;
  BootTime routes_sent_;
  // Hosts that have replied to a ConfigPull of this agent.
  std::set<HostId> config_repliers_;
  std::optional<BootTime> first_view_time_;
  // When drained() first found no held homes.
  mutable std::optional<BootTime> idle_since_;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_AGENT_AGENT_H_
