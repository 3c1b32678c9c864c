#ifndef PERIDOTFORK_GATEWAY_REQUEST_RUNNER_H_
#define PERIDOTFORK_GATEWAY_REQUEST_RUNNER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "peridotfork/balance/target_table.h"
#include "peridotfork/catalogue/catalogue.h"
#include "peridotfork/core/clock.h"
#include "peridotfork/fanout/fan_out.h"
#include "peridotfork/gateway/caller_memory.h"
#include "peridotfork/gateway/caller_session.h"
#include "peridotfork/gateway/crash_guard.h"
#include "peridotfork/gateway/message_codec.h"
#include "peridotfork/gateway/request_log.h"
#include "peridotfork/runtime/ranked_mutex.h"
#include "peridotfork/upstream/connection_pool.h"

namespace peridotfork {

// Dependencies shared by all requests. The members must outlive the requests.
struct GatewayContext {
  boost::asio::io_context& io;
  const Clock& clock;
  const MessageCodec& codec;
  TargetTable& targets;
  ConnectionPool& connections;
  CrashGuard& guard;
  RequestLog& log;
  // Account of the bodies of requests.
  const boost::intrusive_ptr<CallerMemory>& caller_memory;
};

// A request that matched a route, with the configuration that applies to it.
struct RoutedRequest {
  IngressRequest ingress;
  http::RawRequest message;
  CataloguePtr catalogue;
  const Route* route = nullptr;
  CallerIdentity identity;
  // The services that run the request: all shards, or one service.
  std::vector<ServiceId> services;
  // When the caller began to wait, as observed on this host.
  BootTime start;
};

// Time for which a request of the route waits for a usable target.
std::chrono::nanoseconds PlacementWindow(const Route& route);

// Runs one request: sends the attempts requested by its FanOut and responds to the caller once.
// Lives until all its attempts have ended. Thread-safe.
class RequestRunner : public boost::intrusive_ref_counter<RequestRunner> {
 public:
  using Callback = RequestSink::Callback;

  // `done` is called once, on a worker, unless the request is cancelled because the caller
  // disconnected. `on_end` is called once, with the lock of the request held, when the request has
  // been answered or cancelled; it is told whether an attempt may have reached a target.
  RequestRunner(GatewayContext& context,
                RoutedRequest request,
                Callback done,
                std::function<void(bool reached_target)> on_end);

  void Start();

  // Handles the caller closing its connection: cancels the attempts of an idempotent request.
  void OnCallerDisconnected();

  // Answers now, as at the end of the request's time, because the process is about to end.
  void OnShutdown();

 private:
  struct ActiveAttempt {
    AttemptPtr attempt;
    ConnectionPtr connection;
    std::uint64_t exchange = 0;
  };
  struct Shard {
    std::vector<AttemptPtr> tried;
    std::vector<ActiveAttempt> active_attempts;
    std::optional<UpstreamAnswer> answer;
  };

  // Sends the attempts that are due now, and responds if the outcome is final. Requires the lock.
  void Advance();
  void Send(const FanOut::AttemptSpec& spec, BootTime now);
  // Maximum size of the answer of one target.
  Bytes MaxAnswer() const;
  void OnExchange(std::size_t shard, const AttemptPtr& attempt, ExchangeResult result);
  // Checks whether the target that lost the attempt still accepts connections. Done at most
  // twice for each request: after the first loss, and after the loss of an attempt that was sent
  // after the first loss was noticed.
  void CheckLostTarget(std::size_t shard, const Attempt& attempt);
  std::uint64_t Fingerprint();
  AttemptResult ProcessAnswer(std::size_t shard, Attempt& attempt, UpstreamAnswer answer);
  void ArmTimer();
  void Conclude(FanOutOutcome outcome);
  CallerResponse MakeResponse(FanOutOutcome outcome);
  CallerResponse EncodeSingle(UpstreamAnswer answer);
  // Lets the open attempts run until `end` at most, then abandons them.
  void AbandonAttempts(BootTime end);
  void LogOutcome(std::string_view outcome, unsigned status);

  GatewayContext& context_;
  // Its message has no body, which forwarded_ holds.
  RoutedRequest request_;
  // As sent to targets, but for the fields of each attempt. All attempts share its body.
  const http::SharedRequest forwarded_;
  Callback done_;
  const std::function<void(bool reached_target)> on_end_;
  RankedMutex mutex_{LockRank::kRequests};
  boost::asio::steady_timer timer_;
  BootTime armed_for_;
  FanOut fan_out_;
  std::vector<Shard> shards_;
  // The last failure response that carries a target's signature.
  std::optional<UpstreamAnswer> failure_;
  std::string last_fault_;
  std::uint32_t no_target_ = 0;
  std::uint32_t no_budget_ = 0;
  // Computed on first use.
  std::optional<std::uint64_t> fingerprint_;
  // Number of liveness checks for this request, and when its first loss was noticed.
  std::uint32_t liveness_checks_ = 0;
  BootTime first_loss_noticed_;
  // Attempts that were sent and did not fail to connect.
  std::size_t reached_ = 0;
  bool concluded_ = false;
  bool caller_gone_ = false;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_GATEWAY_REQUEST_RUNNER_H_
