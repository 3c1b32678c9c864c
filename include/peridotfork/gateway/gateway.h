#ifndef PERIDOTFORK_GATEWAY_GATEWAY_H_
#define PERIDOTFORK_GATEWAY_GATEWAY_H_

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <set>
#include <vector>

#include "peridotfork/balance/target_table.h"
#include "peridotfork/catalogue/catalogue.h"
#include "peridotfork/config/settings.h"
#include "peridotfork/discovery/store_follower.h"
#include "peridotfork/gateway/caller_session.h"
#include "peridotfork/gateway/crash_guard.h"
#include "peridotfork/gateway/message_codec.h"
#include "peridotfork/gateway/request_log.h"
#include "peridotfork/gateway/request_runner.h"
#include "peridotfork/gateway/suspect_exchange.h"
#include "peridotfork/http/router.h"
#include "peridotfork/http/server.h"
#include "peridotfork/membership/fleet_link.h"
#include "peridotfork/metrics/metrics.h"
#include "peridotfork/program/daemon.h"
#include "peridotfork/tenants/fleet_quotas.h"
#include "peridotfork/transport/message_table.h"
#include "peridotfork/upstream/connection_pool.h"

namespace peridotfork {

// Platform-specific parts of a gateway: its metadata store and its message codec.
struct GatewayAdapters {
  std::unique_ptr<MetadataStore> store;
  std::unique_ptr<MessageCodec> codec;
};

// Accepts requests from callers and runs each on the targets named by the published
// configuration. Persists no state. Thread-safe.
class Gateway final : public Service, private RequestSink, private http::Handler {
 public:
  Gateway(const DaemonContext& context, const GatewaySettings& settings, GatewayAdapters adapters);
  ~Gateway() override;

  Result<void> Start() override;
  // Applies the limit on requests in flight; all other settings need a restart.
  Result<void> Reload(const std::string& settings) override;
  void BeginDrain() override;
  bool drained() const override;
  void Close() override;

  // Address on which callers are accepted.
  Address ingress_address() const;
  Address status_address() const { return status_server_.address(); }
  Address metrics_address() const { return metrics_server_.address(); }
  // Address on which the other gateways are heard; empty without seeds.
  Address peers_address() const { return fleet_.self().address; }

 private:
  using Tcp = boost::asio::ip::tcp;

  static const MessageTable<Gateway> kMessages;

  // RequestSink:
  RequestRunnerPtr Handle(http::RawRequest request, BootTime start, Callback done) override;
  std::optional<http::RawResponse> RefuseHead(const http::RawRequest& head) override;
  http::RawResponse Refuse(unsigned status, const Error& error) override;
  http::RawResponse RefuseForMemory(const http::RawRequest& head) override;
  const boost::intrusive_ptr<CallerMemory>& caller_memory() const override {
    return caller_memory_;
  }
  IngressLimits limits() const override;
  const Clock& clock() const override { return context_.clock; }
  bool draining() const override { return draining_; }

  // http::Handler, for the readiness check and the metrics.
  void Handle(http::Request request, http::Responder respond) override;
  void AnswerReady(const http::Request& request, const http::Responder& respond);
  void AnswerMetrics(const http::Request& request, const http::Responder& respond);

  // Looks for the other gateways, if the settings name seeds.
  void JoinFleet();
  // Divides the limits that targets name by the number of gateways.
  void DivideLimits();
  void Accept();
  void OnAcceptFailed();
  // Closes the session that has been idle longest. Returns false if there is none.
  bool CloseOldestIdleSession();
  // Closes sessions whose callers hold memory and make little progress, if memory is short.
  void CloseSlowSessions();
  void OpenSession(Tcp::socket socket);
  void OnDirectory(const FleetDirectory& directory);
  std::vector<ServiceId> SelectServices(const Route& route);
  // Time until enough services of the request have targets that accept requests; zero if they
  // have some now or soon enough for the request to wait.
  std::chrono::milliseconds TimeToEnoughTargets(const RoutedRequest& request) const;
  // When a caller may come back to a host that has no configuration yet.
  std::chrono::milliseconds RetryAfterNoCatalogue(const IngressRequest& request) const;
  // Time for which the request stays quarantined for crashing targets; zero if it may run.
  std::chrono::nanoseconds QuarantineRemaining(const http::RawRequest& request,
                                               const CallerIdentity& identity) const;
  // Whether keys of a catalogue that is current as of `as_of` have not been taken away for longer
  // than the settings allow. `as_of` must be read before the catalogue.
  bool KeysAreCurrent(BootTime as_of) const;
  CataloguePtr catalogue() const;
  void OnPeerMessage(const protocol::Envelope& envelope);
  void OnTargetLoss(const protocol::Envelope& envelope, const protocol::TargetLossNotice& notice);
  void OnTargetAnswer(const protocol::Envelope& envelope,
                      const protocol::TargetAnswerNotice& notice);
  void OnSuspectQuery(const protocol::Envelope& envelope, const protocol::SuspectQuery& query);
  void OnSuspectReport(const protocol::Envelope& envelope, const protocol::SuspectReport& report);
  void OnQuotaUsage(const protocol::Envelope& envelope, const protocol::QuotaUsage& usage);
  void OnQuotaBalance(const protocol::Envelope& envelope, const protocol::QuotaBalance& balance);
  // Reports admitted requests to the owners of their quotas a short time from now.
  void ScheduleQuotaFlush();
  // False if a graceful shutdown may end the process before the request: at its deadline, or, for
  // an idempotent request, at the objective of its route.
  bool CanFinishBeforeStop(const RoutedRequest& request) const;
  std::set<CallerSessionPtr> Sessions() const;
  void CloseIdleSessions();
  // Answers the requests that still run at the end of a graceful shutdown.
  void AnswerRemaining();
  bool ready() const;

  const DaemonContext context_;
  const GatewaySettings settings_;
  const GatewayAdapters adapters_;
  MetricRegistry metrics_;
  RequestLog request_log_;
  const boost::intrusive_ptr<CallerMemory> caller_memory_;
  boost::intrusive_ptr<PeriodicTask> memory_task_;
  std::atomic<std::uint64_t> closed_for_room_ = 0;
  TargetTable targets_;
  ConnectionPool connections_;
  FleetLink fleet_;
  FleetQuotas quotas_;
  boost::intrusive_ptr<PeriodicTask> peer_task_;
  std::atomic<bool> quota_flush_pending_ = false;
  // Some target names a limit.
  std::atomic<bool> divides_limits_ = false;
  CrashGuard guard_;
  SuspectExchange suspects_;
  GatewayContext runner_context_;
  StoreFollower follower_;
  http::Server status_server_;
  http::Server metrics_server_;
  Tcp::acceptor acceptor_;
  BootTime started_;
  std::atomic<bool> draining_ = false;
  // When a graceful shutdown answers the requests that still run; the maximum if there is none.
  std::atomic<BootTime> final_answers_at_{BootTime::max()};
  std::atomic<bool> accepting_ = false;
  std::atomic<std::size_t> in_flight_ = 0;
  std::atomic<std::size_t> max_in_flight_;
  const std::size_t max_sessions_;
  // Number of the next request of a route with several services; see ChooseService().
  std::atomic<std::uint64_t> route_sequence_ = 0;

  // The ranks are shared with the agent's view and the entry's queries, which are not in this
  // process.
  mutable RankedMutex catalogue_mutex_{LockRank::kView};
  CataloguePtr catalogue_;

  mutable RankedMutex sessions_mutex_{LockRank::kQueries};
  std::set<CallerSessionPtr> sessions_;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_GATEWAY_GATEWAY_H_
