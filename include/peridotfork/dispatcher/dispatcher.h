#ifndef PERIDOTFORK_DISPATCHER_DISPATCHER_H_
#define PERIDOTFORK_DISPATCHER_DISPATCHER_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <vector>

#include "peridotfork/config/settings.h"
#include "peridotfork/dispatcher/target_channel.h"
#include "peridotfork/http/router.h"
#include "peridotfork/http/server.h"
#include "peridotfork/program/daemon.h"
#include "peridotfork/replication/config_replica.h"
#include "peridotfork/runtime/ranked_mutex.h"
#include "peridotfork/transport/endpoint.h"
#include "peridotfork/transport/message_table.h"

namespace peridotfork {

// The dispatcher of a host. It runs the attempts of all entries on the targets that
// this host owns according to its agent. Thread-safe.
class Dispatcher final : public Service, public http::Handler, public dispatcher::ReplySink {
 public:
  Dispatcher(const DaemonContext& context, DispatcherSettings settings);

  Result<void> Start() override;
  void BeginDrain() override;
  bool drained() const override;
  void Close() override;

  void Handle(http::Request request, http::Responder respond) override;
  void Reply(const dispatcher::Sender& to, protocol::SubReply reply) override;

 private:
  using ChannelPtr = dispatcher::TargetChannelPtr;

  void Receive(const protocol::Envelope& envelope);
  void OnHeartbeat(const protocol::Envelope& envelope, const protocol::Heartbeat& heartbeat);
  void OnConfigSections(const protocol::Envelope& envelope,
                        const protocol::ConfigSections& sections);
  void OnOwnershipUpdate(const protocol::Envelope& envelope,
                         const protocol::OwnershipUpdate& update);
  void OnRouteUpdate(const protocol::Envelope& envelope, const protocol::RouteUpdate& update);
  void OnSubRequest(const protocol::Envelope& envelope, const protocol::SubRequest& request);
  void OnSubCancel(const protocol::Envelope& envelope, const protocol::SubCancel& cancel);

  void HandleHealth(const http::Request& request, const http::Responder& respond);
  void HandleReady(const http::Request& request, const http::Responder& respond);
  void HandleStatus(const http::Request& request, const http::Responder& respond);

  void SendHello();
  void TickChannels();
  void PollChannels();
  // Sends the entries the conditions of all owned targets if `full`, otherwise only
  // those that have changed.
  void ReportConditions(bool full);

  // Returns the channel of a target that this host owns or has owned, or null if there
  // is none.
  ChannelPtr FindChannel(const TargetId& target) const;
  std::vector<ChannelPtr> Channels() const;
  ChannelPtr MakeChannel(const Document& document, const TargetId& target);
  // Number of attempts in flight on targets that this host no longer owns.
  std::uint32_t UnownedInFlight() const;

  static const MessageTable<Dispatcher> kMessages;
  static const http::Router<Dispatcher> kRoutes;

  WorkerPool& pool_;
  const Clock& clock_;
  Logger& log_;
  const DispatcherSettings settings_;
  const ProcessId self_;
  Endpoint endpoint_;
  ConfigReplica config_;
  http::Server server_;
  std::vector<boost::intrusive_ptr<PeriodicTask>> tasks_;
  std::atomic<bool> draining_ = false;
  // When drained() first found no lease and no attempt in flight. Accessed by the main
  // thread only.
  mutable BootTime idle_since_;

  mutable RankedMutex mutex_{LockRank::kRoutes};
  std::uint64_t ownership_number_ = 0;
  std::map<TargetId, ChannelPtr> channels_;
  std::vector<protocol::ProcessAddress> entries_;
  // Conditions last reported to the entries.
  std::map<TargetId, protocol::TargetCondition> reported_;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_DISPATCHER_DISPATCHER_H_
