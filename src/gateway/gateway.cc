#include "peridotfork/gateway/gateway.h"

#include <sys/resource.h>

#include <algorithm>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/strand.hpp>
#include <limits>
#include <string_view>
#include <utility>

namespace peridotfork {
namespace {

namespace asio = boost::asio;

// How long new connections are accepted after a graceful shutdown began: the load balancer
// checks readiness once a second and acts on the second failure.
constexpr std::chrono::milliseconds kDrainAcceptPeriod{2800};
// Delay after the end of that period until idle connections are first closed. Responses sent until
// then have announced the close.
constexpr std::chrono::milliseconds kFirstCloseIdleDelay{200};
// Upper limit for the period in which connections are accepted, as a share of the shutdown.
constexpr double kMaxDrainAcceptShare = 0.5;
// Requests that still run this long before the end of the shutdown are answered then, so that the
// answers are sent before the process ends.
constexpr std::chrono::milliseconds kFinalAnswerMargin{300};
// Retry-After of a request that can't finish before the end of the shutdown: another host can run
// it at once.
constexpr std::chrono::milliseconds kRetryAfterDraining{10};
// Interval at which connections that have become idle since are closed.
constexpr std::chrono::milliseconds kCloseIdleInterval{500};
// Delay before looking for the other gateways, so that callers are served first. Quotas and the
// limits that targets name need the others at once.
constexpr std::chrono::seconds kPeerConnectDelay{3};
// A host has its first listing of the store this long after its start, unless the store is away.
constexpr std::chrono::milliseconds kFirstListing{50};
// Retry-After until then.
constexpr std::chrono::milliseconds kRetryAfterStart{60};
// Retry-After without a configuration if the caller does not say how long it waits.
constexpr std::chrono::milliseconds kRetryAfterNoCatalogue{300};
// Retry-After of a refusal because of overload.
constexpr std::chrono::milliseconds kRetryAfterOverload{200};

// Retry-After of a refusal while the store is away or lacks targets, as a share of the caller's
// timeout. A caller comes back once or a few times only, so it should not come back too early.
constexpr double kRetryAfterOutage = 0.3;
// Upper limit for it without a configuration, since another host may have one.
constexpr std::chrono::milliseconds kMaxRetryAfterOutage{1000};

// Status of a request without the key of a tenant.
constexpr unsigned kUnauthorized = 401;
// Requests with keys are refused this long before the limit on the age of what the host knows.
constexpr std::chrono::milliseconds kRevokeMargin{100};
// Retry-After of such a refusal: one call to the store ends the state, and other hosts may serve.
constexpr std::chrono::milliseconds kRetryAfterStaleKeys{100};

// Status of a request beyond the quota of its tenant.
constexpr unsigned kTooManyRequests = 429;
// Admitted requests are reported to the owners of their quotas after this time, so that several
// share a message.
constexpr std::chrono::milliseconds kQuotaFlushDelay{5};
// Interval at which reports that were lost are sent again, and other hosts are asked what is due.
constexpr std::chrono::milliseconds kPeerInterval{100};

// Interval at which slow callers are looked for while memory is short.
constexpr std::chrono::milliseconds kMemoryInterval{500};
// Delay after a failed accept, so that a lack of descriptors takes no processor time.
constexpr std::chrono::milliseconds kAcceptRetryDelay{50};

// Without quotas and limits, the gateways tell each other of crashing requests only. Probes each
// second cost 0.04 of the worth of a quiet day of 118 hosts, for bytes between data centres.
constexpr std::chrono::seconds kSparsePeriod{5};
constexpr std::chrono::seconds kSparseFirstPeriod{1};

// Part of the memory of the process that is for the answers of targets.
constexpr std::uint64_t kAnswerMemoryDivisor = 16;

Bytes BytesOf(Mebibytes size) {
  return Bytes(static_cast<std::uint64_t>(size.value() * (1 << 20)));
}

Bytes AnswerMemoryOf(const GatewaySettings& settings) {
  return Bytes(BytesOf(settings.memory_mib).value() / kAnswerMemoryDivisor);
}

// Part of the memory of the process for what callers make it hold.
constexpr std::uint64_t kCallerMemoryDivisor = 4;

Bytes CallerMemoryOf(const GatewaySettings& settings) {
  return Bytes(BytesOf(settings.memory_mib).value() / kCallerMemoryDivisor);
}

// Number of callers' connections: what the limit of the process leaves beside targets, the store
// and the other gateways, or fewer by the settings.
std::size_t MaxSessions(const GatewaySettings& settings) {
  constexpr double kCallerShare = 0.75;
  rlimit limit{};
  std::size_t most = std::numeric_limits<std::size_t>::max();
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY) {
    most = static_cast<std::size_t>(kCallerShare * static_cast<double>(limit.rlim_cur));
  }
  return settings.max_connections == 0 ? most
                                       : std::min<std::size_t>(most, settings.max_connections);
}

std::string_view PathOf(const std::string& target) {
  return std::string_view(target).substr(0, target.find('?'));
}

}  // namespace

const MessageTable<Gateway> Gateway::kMessages = MessageTable<Gateway>()
                                                     .On<&Gateway::OnTargetLoss>()
                                                     .On<&Gateway::OnTargetAnswer>()
                                                     .On<&Gateway::OnSuspectQuery>()
                                                     .On<&Gateway::OnSuspectReport>()
                                                     .On<&Gateway::OnQuotaUsage>()
                                                     .On<&Gateway::OnQuotaBalance>();

Gateway::Gateway(const DaemonContext& context,
                 const GatewaySettings& settings,
                 GatewayAdapters adapters)
    : context_(context),
      settings_(settings),
      adapters_(std::move(adapters)),
      request_log_(metrics_, context.log),
      caller_memory_(new CallerMemory(CallerMemoryOf(settings))),
      targets_(context.clock, context.log, settings.id, settings.data_centre),
      connections_(context.pool, context.clock, AnswerMemoryOf(settings)),
      fleet_(
          context.pool,
          context.clock,
          context.log,
          {settings.id, Role::kGateway, context.incarnation},
          settings.data_centre,
          [this](const protocol::Envelope& envelope, const Address&) { OnPeerMessage(envelope); }),
      quotas_(context.clock,
              {settings.id, Role::kGateway, context.incarnation},
              fleet_,
              fleet_,
              static_cast<std::uint32_t>(settings.quota_slack.value())),
      guard_(context.clock,
             context.log,
             {settings.id, Role::kGateway, context.incarnation},
             [this](const protocol::TargetLossNotice& notice) { suspects_.Publish(notice); }),
      suspects_(context.clock,
                guard_,
                fleet_,
                fleet_,
                settings.seeds,
                std::hash<std::string>{}(settings.id.value()) ^ context.incarnation.value()),
      runner_context_{context.pool.context(), context.clock, *adapters_.codec, targets_,
                      connections_,           guard_,        request_log_,     caller_memory_},
      follower_(
          context.pool,
          context.clock,
          *adapters_.store,
          context.log,
          [this](const FleetDirectory& directory) { OnDirectory(directory); },
          {.max_silence = settings.store_max_silence, .max_age = settings.store_revoke_after}),
      status_server_(context.pool.context(), {}, *this),
      metrics_server_(context.pool.context(), {}, *this),
      acceptor_(asio::make_strand(context.pool.context())),
      max_in_flight_(settings.max_in_flight),
      max_sessions_(MaxSessions(settings)) {
  metrics_.AddGauge("peridotfork_targets", "Targets in the store.",
                    [this] { return static_cast<double>(targets_.size()); });
  metrics_.AddGauge("peridotfork_limited_targets",
                    "Targets that limit the requests from all gateways together.",
                    [this] { return static_cast<double>(targets_.limited()); });
  metrics_.AddGauge("peridotfork_connections", "Connections to targets.",
                    [this] { return static_cast<double>(connections_.size()); });
  metrics_.AddGauge("peridotfork_connections_opened", "Connections to targets since the start.",
                    [this] { return static_cast<double>(connections_.opened()); });
  metrics_.AddGauge(
      "peridotfork_answer_bytes", "Memory that is reserved for answers of targets.",
      [this] { return static_cast<double>(connections_.memory().reserved().value()); });
  metrics_.AddGauge("peridotfork_caller_bytes", "Memory that callers make this process hold.",
                    [this] { return static_cast<double>(caller_memory_->used().value()); });
  metrics_.AddGauge("peridotfork_closed_for_room",
                    "Connections closed since the start because memory or descriptors were short.",
                    [this] { return static_cast<double>(closed_for_room_); });
  metrics_.AddGauge("peridotfork_quota_refused", "Requests refused since the start for a quota.",
                    [this] { return static_cast<double>(quotas_.refused()); });
  metrics_.AddGauge("peridotfork_known_gateways", "Gateways that this one believes alive.",
                    [this] { return static_cast<double>(fleet_.Members().size()); });
  metrics_.AddGauge("peridotfork_suspected_requests", "Requests suspected of crashing targets.",
                    [this] { return static_cast<double>(guard_.suspects()); });
  metrics_.AddGauge("peridotfork_requests_in_flight", "Requests without an answer.",
                    [this] { return static_cast<double>(in_flight_); });
  metrics_.AddGauge("peridotfork_store_calls", "Calls to the store since the start.",
                    [this] { return static_cast<double>(follower_.calls()); });
  metrics_.AddGauge("peridotfork_store_failures", "Failed calls to the store since the start.",
                    [this] { return static_cast<double>(follower_.failures()); });
}

Gateway::~Gateway() = default;

Result<void> Gateway::Start() {
  BOOST_OUTCOME_TRYV(status_server_.Listen(settings_.http_address));
  BOOST_OUTCOME_TRYV(metrics_server_.Listen(settings_.metrics_address));
  BOOST_OUTCOME_TRYV(http::OpenAcceptor(settings_.ingress_address, acceptor_));
  started_ = context_.clock.now();
  accepting_ = true;
  Accept();
  connections_.Start();
  follower_.Start();
  if (!settings_.seeds.empty()) {
    if (const Result<void> opened = fleet_.Open(settings_.peers_address()); !opened.has_value()) {
      // Each host can decide alone.
      context_.log.Error("Listening to the other gateways failed.",
                         {{"error", ToString(opened.error())}});
    }
    suspects_.Tick();
    context_.pool.After(kPeerConnectDelay, [this] { JoinFleet(); });
  }
  peer_task_ = PeriodicTask::Start(context_.pool, kPeerInterval, [this] {
    if (quotas_.enabled()) {
      quotas_.Flush();
    }
    DivideLimits();
    if (!settings_.seeds.empty()) {
      suspects_.Tick();
    }
  });
  memory_task_ =
      PeriodicTask::Start(context_.pool, kMemoryInterval, [this] { CloseSlowSessions(); });
  return boost::outcome_v2::success();
}

void Gateway::JoinFleet() {
  if (settings_.seeds.empty()) {
    return;
  }
  SwimOptions options;
  if (!quotas_.enabled() && !divides_limits_) {
    options.period = kSparsePeriod;
    options.first_period = kSparseFirstPeriod;
    options.suspicion = 3 * kSparsePeriod;
  }
  fleet_.Join(settings_.seeds, options);
}

void Gateway::DivideLimits() {
  const bool is_limited = targets_.limited() > 0;
  if (is_limited) {
    targets_.SetHostCount(settings_.seeds.empty() ? kAssumedFleet : fleet_.size_bound());
  }
  if (divides_limits_.exchange(is_limited) != is_limited) {
    JoinFleet();
  }
}

Result<void> Gateway::Reload(const std::string& settings) {
  const SettingsResult<GatewaySettings> parsed = ParseSettings<GatewaySettings>(settings);
  if (!parsed.has_value()) {
    return parsed.error().front().ToError();
  }
  max_in_flight_ = parsed.value().max_in_flight;
  GatewaySettings applied = settings_;
  applied.max_in_flight = parsed.value().max_in_flight;
  if (ToIni(applied) != ToIni(parsed.value())) {
    context_.log.Warning("Some changed settings take effect at the next start only.");
  }
  return boost::outcome_v2::success();
}

Address Gateway::ingress_address() const {
  return http::LocalAddress(acceptor_);
}

void Gateway::Accept() {
  acceptor_.async_accept(asio::make_strand(context_.pool.context()),
                         [this](const boost::system::error_code& error, Tcp::socket socket) {
                           if (error == asio::error::operation_aborted || !accepting_) {
                             return;
                           }
                           if (error) {
                             OnAcceptFailed();
                             return;
                           }
                           OpenSession(std::move(socket));
                           Accept();
                         });
}

void Gateway::OnAcceptFailed() {
  // Descriptors or memory are used up, which does not end at once.
  CloseOldestIdleSession();
  context_.pool.After(kAcceptRetryDelay, [this] {
    asio::dispatch(acceptor_.get_executor(), [this] {
      if (accepting_) {
        Accept();
      }
    });
  });
}

bool Gateway::CloseOldestIdleSession() {
  CallerSessionPtr oldest;
  {
    // Without a copy of all sessions: with all connections in use, each new one gets here.
    const RankedLock lock(sessions_mutex_);
    for (const CallerSessionPtr& session : sessions_) {
      if (!session->busy() && (oldest == nullptr || session->idle_since() < oldest->idle_since())) {
        oldest = session;
      }
    }
  }
  if (oldest == nullptr) {
    return false;
  }
  ++closed_for_room_;
  oldest->CloseIfIdle();
  return true;
}

void Gateway::CloseSlowSessions() {
  if (!caller_memory_->TakeShortage() && connections_.memory().waiting() == 0) {
    return;
  }
  const std::set<CallerSessionPtr> all = Sessions();
  const std::vector<CallerSessionPtr> sessions(all.begin(), all.end());
  std::vector<CallerProgress> progress;
  progress.reserve(sessions.size());
  for (const CallerSessionPtr& session : sessions) {
    progress.push_back(session->Progress());
  }
  const std::vector<std::size_t> slow = ChooseSlowCallers(progress, context_.clock.now());
  for (const std::size_t index : slow) {
    sessions[index]->CloseIfSlow();
  }
  closed_for_room_ += slow.size();
  if (!slow.empty()) {
    context_.log.Warning("Connections of slow callers are closed, since memory is short.",
                         {{"closed", std::to_string(slow.size())},
                          {"caller_bytes", std::to_string(caller_memory_->used().value())},
                          {"waiting_answers", std::to_string(connections_.memory().waiting())}});
  }
}

http::RawResponse Gateway::RefuseForMemory(const http::RawRequest& head) {
  const Error error =
      MakeError(ErrorKind::kShed, "gateway", "the memory for callers' requests is used up");
  request_log_.OnRefused(adapters_.codec->DecodeRequest(head).id, 503, error);
  return adapters_.codec->EncodeError(503, error, kRetryAfterOverload);
}

void Gateway::OpenSession(Tcp::socket socket) {
  const CallerSessionPtr session(
      new CallerSession(std::move(socket), *this, [this](CallerSession& ended) {
        const RankedLock lock(sessions_mutex_);
        sessions_.erase(CallerSessionPtr(&ended));
      }));
  std::size_t count = 0;
  {
    const RankedLock lock(sessions_mutex_);
    sessions_.insert(session);
    count = sessions_.size();
  }
  session->Run();
  if (count > max_sessions_ && !CloseOldestIdleSession()) {
    session->CloseForRoom();
  }
}

void Gateway::BeginDrain() {
  const std::chrono::milliseconds timeout = settings_.drain_timeout;
  const auto accept_period = std::min(
      kDrainAcceptPeriod,
      std::chrono::duration_cast<std::chrono::milliseconds>(timeout * kMaxDrainAcceptShare));
  const auto final_answers = std::max(timeout - kFinalAnswerMargin, accept_period);
  final_answers_at_ = context_.clock.now() + final_answers;
  fleet_.Leave();
  draining_ = true;
  context_.pool.After(accept_period, [this] {
    asio::dispatch(acceptor_.get_executor(), [this] {
      accepting_ = false;
      boost::system::error_code ignored;
      acceptor_.close(ignored);
    });
  });
  context_.pool.After(accept_period + kFirstCloseIdleDelay, [this] { CloseIdleSessions(); });
  context_.pool.After(final_answers, [this] { AnswerRemaining(); });
}

std::set<CallerSessionPtr> Gateway::Sessions() const {
  const RankedLock lock(sessions_mutex_);
  return sessions_;
}

void Gateway::AnswerRemaining() {
  if (in_flight_ > 0) {
    context_.log.Warning("Requests that still run are answered before the process ends.",
                         {{"requests", std::to_string(in_flight_)}});
  }
  for (const CallerSessionPtr& session : Sessions()) {
    session->AnswerNow();
  }
}

void Gateway::CloseIdleSessions() {
  const std::set<CallerSessionPtr> sessions = Sessions();
  if (sessions.empty()) {
    return;
  }
  const auto busy = std::ranges::count_if(
      sessions, [](const CallerSessionPtr& session) { return session->busy(); });
  context_.log.Info("Idle connections of callers are closed.",
                    {{"connections", std::to_string(sessions.size())},
                     {"busy", std::to_string(busy)},
                     {"requests", std::to_string(in_flight_)}});
  for (const CallerSessionPtr& session : sessions) {
    session->CloseIfIdle();
  }
  context_.pool.After(kCloseIdleInterval, [this] { CloseIdleSessions(); });
}

bool Gateway::drained() const {
  const RankedLock lock(sessions_mutex_);
  return !accepting_ && in_flight_ == 0 && sessions_.empty();
}

void Gateway::Close() {
  peer_task_->Cancel();
  memory_task_->Cancel();
  fleet_.Close();
  follower_.Stop();
  connections_.Stop();
  status_server_.Stop();
  metrics_server_.Stop();
}

void Gateway::OnDirectory(const FleetDirectory& directory) {
  targets_.Update(directory.targets(), directory.drained(), directory.catalogue().get());
  CataloguePtr before = directory.catalogue();
  {
    const RankedLock lock(catalogue_mutex_);
    std::swap(catalogue_, before);
  }
  if (before != directory.catalogue() && directory.catalogue() != nullptr) {
    quotas_.Update(*directory.catalogue());
    if (quotas_.enabled()) {
      JoinFleet();
    }
    for (const std::string& digest : directory.catalogue()->duplicate_keys()) {
      context_.log.Warning("Several tenants hold the same API key; it belongs to the first.",
                           {{"key_digest", digest}});
    }
  }
}

RequestRunnerPtr Gateway::Handle(http::RawRequest request, BootTime start, Callback done) {
  RoutedRequest routed;
  routed.ingress = adapters_.codec->DecodeRequest(request);
  // Read before the catalogue: if this thread stops in between, the age must not be that of a newer
  // catalogue than the one that is used.
  const BootTime keys_as_of = follower_.current_as_of();
  routed.catalogue = catalogue();
  const RequestId id = routed.ingress.id;
  const auto refuse = [&](unsigned status, const Error& error,
                          std::optional<std::chrono::milliseconds> retry_after) {
    request_log_.OnRefused(id, status, error);
    done({adapters_.codec->EncodeError(status, error, retry_after), {}});
    return nullptr;
  };
  if (routed.catalogue == nullptr) {
    return refuse(
        503, MakeError(ErrorKind::kNoConfiguration, "gateway", "no configuration received yet"),
        RetryAfterNoCatalogue(routed.ingress));
  }
  routed.route = routed.catalogue->FindRoute(routed.ingress.host, routed.ingress.path);
  if (routed.route == nullptr) {
    return refuse(
        404, MakeError(ErrorKind::kUnknownName, "route", routed.ingress.host + routed.ingress.path),
        std::nullopt);
  }
  const Result<CallerIdentity> identity =
      IdentifyCaller(*routed.catalogue, *routed.route, adapters_.codec->Credentials(request));
  // A host that does not know the newest keys can't say that a key is unknown either.
  const bool has_key = identity.has_value() ? identity.value().tenant != nullptr
                                            : !adapters_.codec->Credentials(request).empty();
  if (has_key && !KeysAreCurrent(keys_as_of)) {
    return refuse(503,
                  MakeError(ErrorKind::kUnavailable, "gateway",
                            "the store has not confirmed the API keys recently enough"),
                  kRetryAfterStaleKeys);
  }
  if (!identity.has_value()) {
    return refuse(kUnauthorized, identity.error(), std::nullopt);
  }
  routed.identity = identity.value();
  routed.start = start;
  if (!CanFinishBeforeStop(routed)) {
    return refuse(503,
                  MakeError(ErrorKind::kDraining, "gateway",
                            "the request may not end before the process does"),
                  kRetryAfterDraining);
  }
  if (const auto wait = QuarantineRemaining(request, routed.identity);
      wait > std::chrono::nanoseconds(0)) {
    return refuse(503,
                  MakeError(ErrorKind::kQuarantined, "gateway",
                            "the request is quarantined because it crashes targets"),
                  std::chrono::ceil<std::chrono::milliseconds>(wait));
  }
  if (caller_memory_->full()) {
    return refuse(503, MakeError(ErrorKind::kShed, "gateway", "callers use too much memory"),
                  kRetryAfterOverload);
  }
  if (in_flight_ >= max_in_flight_) {
    return refuse(503, MakeError(ErrorKind::kShed, "gateway", "too many requests in flight"),
                  kRetryAfterOverload);
  }
  routed.services = SelectServices(*routed.route);
  if (const auto wait = TimeToEnoughTargets(routed); wait > std::chrono::milliseconds(0)) {
    return refuse(503,
                  MakeError(ErrorKind::kUnavailable, "route " + routed.route->id.value(),
                            "too few services of the route have targets that accept requests"),
                  wait);
  }
  if (routed.identity.tenant != nullptr) {
    if (const auto wait = quotas_.Admit(routed.identity.tenant->id)) {
      return refuse(
          kTooManyRequests,
          MakeError(ErrorKind::kCallerLimit, "tenant " + routed.identity.tenant->id.value(),
                    "the tenant has used up its quota"),
          std::chrono::ceil<std::chrono::milliseconds>(*wait));
    }
    ScheduleQuotaFlush();
  }
  routed.message = std::move(request);
  ++in_flight_;
  TenantId tenant = routed.identity.tenant == nullptr ? TenantId() : routed.identity.tenant->id;
  return RequestRunnerPtr(
      new RequestRunner(runner_context_, std::move(routed), std::move(done),
                        [this, tenant = std::move(tenant)](bool reached_target) {
                          --in_flight_;
                          if (!reached_target && !tenant.value().empty()) {
                            // Posted, since the lock of the request is held, which ranks above that
                            // of the quotas.
                            context_.pool.Post([this, tenant] { quotas_.Return(tenant); });
                          }
                        }));
}

bool Gateway::CanFinishBeforeStop(const RoutedRequest& request) const {
  const Route& route = *request.route;
  const auto caller_timeout = request.ingress.caller_timeout.value_or(route.timeout);
  const BootTime deadline = request.start + std::min(caller_timeout, route.timeout);
  const BootTime likely_end = std::min(context_.clock.now() + route.objective, deadline);
  return (route.idempotent() ? likely_end : deadline) <= final_answers_at_.load();
}

std::chrono::milliseconds Gateway::RetryAfterNoCatalogue(const IngressRequest& request) const {
  if (context_.clock.now() - started_ < kFirstListing) {
    return kRetryAfterStart;
  }
  if (!request.caller_timeout) {
    return kRetryAfterNoCatalogue;
  }
  return std::min(kMaxRetryAfterOutage, std::chrono::duration_cast<std::chrono::milliseconds>(
                                            *request.caller_timeout * kRetryAfterOutage));
}

std::chrono::nanoseconds Gateway::QuarantineRemaining(const http::RawRequest& request,
                                                      const CallerIdentity& identity) const {
  if (!guard_.has_suspects()) {
    return std::chrono::nanoseconds(0);
  }
  return guard_.Remaining(CrashGuard::Fingerprint(request, identity));
}

void Gateway::OnPeerMessage(const protocol::Envelope& envelope) {
  if (!kMessages.Dispatch(*this, envelope)) {
    context_.log.Warning(
        "Ignored a peer message of an unhandled kind.",
        {{"kind", protocol::MessageName(envelope.message)}, {"from", envelope.from.host.value()}});
  }
}

void Gateway::OnTargetLoss(const protocol::Envelope&, const protocol::TargetLossNotice& notice) {
  guard_.OnNotice(notice);
}

void Gateway::OnTargetAnswer(const protocol::Envelope&,
                             const protocol::TargetAnswerNotice& notice) {
  guard_.OnNotice(notice);
}

void Gateway::OnSuspectQuery(const protocol::Envelope& envelope,
                             const protocol::SuspectQuery& query) {
  suspects_.OnQuery(envelope.reply_to, query);
}

void Gateway::OnSuspectReport(const protocol::Envelope& envelope,
                              const protocol::SuspectReport& report) {
  suspects_.OnReport(envelope.from.host, report);
}

void Gateway::OnQuotaUsage(const protocol::Envelope& envelope, const protocol::QuotaUsage& usage) {
  quotas_.OnUsage(envelope.from, envelope.reply_to, usage);
}

void Gateway::OnQuotaBalance(const protocol::Envelope& envelope,
                             const protocol::QuotaBalance& balance) {
  quotas_.OnBalance(envelope.from, balance);
}

void Gateway::ScheduleQuotaFlush() {
  if (!quotas_.enabled() || quota_flush_pending_.exchange(true)) {
    return;
  }
  context_.pool.After(kQuotaFlushDelay, [this] {
    quota_flush_pending_ = false;
    quotas_.Flush();
  });
}

std::chrono::milliseconds Gateway::TimeToEnoughTargets(const RoutedRequest& request) const {
  std::vector<BootTime> opening;
  opening.reserve(request.services.size());
  for (const ServiceId& service : request.services) {
    opening.push_back(targets_.OpensAt(service));
  }
  const double coverage = request.route->gather ? request.route->gather->required_coverage : 1;
  const auto needed =
      static_cast<std::ptrdiff_t>(RequiredShards(request.services.size(), coverage));
  std::ranges::nth_element(opening, opening.begin() + needed - 1);
  const BootTime opens_at = opening[static_cast<std::size_t>(needed - 1)];
  if (opens_at == BootTime::max()) {
    const auto caller_timeout = request.ingress.caller_timeout.value_or(request.route->timeout);
    return std::chrono::duration_cast<std::chrono::milliseconds>(caller_timeout *
                                                                 kRetryAfterOutage);
  }
  // A hold that ends while the request may still be placed is waited for.
  const BootTime now = context_.clock.now();
  if (opens_at <= now + PlacementWindow(*request.route)) {
    return std::chrono::milliseconds(0);
  }
  return std::chrono::ceil<std::chrono::milliseconds>(opens_at - now);
}

std::vector<ServiceId> Gateway::SelectServices(const Route& route) {
  if (route.gather) {
    return route.gather->shards;
  }
  return {ChooseService(route, route.services.size() > 1 ? route_sequence_++ : 0)};
}

std::optional<http::RawResponse> Gateway::RefuseHead(const http::RawRequest& head) {
  const BootTime keys_as_of = follower_.current_as_of();
  const CataloguePtr known = catalogue();
  if (known == nullptr || !known->has_tenants()) {
    return std::nullopt;
  }
  const IngressRequest ingress = adapters_.codec->DecodeRequest(head);
  const Route* const route = known->FindRoute(ingress.host, ingress.path);
  if (route == nullptr) {
    return std::nullopt;
  }
  const std::vector<std::string_view> credentials = adapters_.codec->Credentials(head);
  const Result<CallerIdentity> identity = IdentifyCaller(*known, *route, credentials);
  // With keys that may be out of date, Handle() decides.
  if (identity.has_value() || (!credentials.empty() && !KeysAreCurrent(keys_as_of))) {
    return std::nullopt;
  }
  request_log_.OnRefused(ingress.id, kUnauthorized, identity.error());
  return adapters_.codec->EncodeError(kUnauthorized, identity.error(), std::nullopt);
}

bool Gateway::KeysAreCurrent(BootTime as_of) const {
  return settings_.store_revoke_after <= std::chrono::milliseconds(0) ||
         context_.clock.now() - as_of <= settings_.store_revoke_after - kRevokeMargin;
}

CataloguePtr Gateway::catalogue() const {
  const RankedLock lock(catalogue_mutex_);
  return catalogue_;
}

http::RawResponse Gateway::Refuse(unsigned status, const Error& error) {
  request_log_.OnRefused(RequestId(), status, error);
  return adapters_.codec->EncodeError(status, error, std::nullopt);
}

IngressLimits Gateway::limits() const {
  const CataloguePtr known = catalogue();
  return known == nullptr ? IngressLimits() : known->limits();
}

bool Gateway::ready() const {
  return !draining_ && catalogue() != nullptr;
}

void Gateway::Handle(http::Request request, http::Responder respond) {
  if (PathOf(request.path) == settings_.ready_path) {
    AnswerReady(request, respond);
  } else {
    static const http::Router<Gateway> kRouter{{"GET", "/metrics", &Gateway::AnswerMetrics}};
    kRouter.Dispatch(*this, request, respond);
  }
}

void Gateway::AnswerReady(const http::Request&, const http::Responder& respond) {
  if (ready()) {
    respond(http::JsonResponse(R"({"ready":true})"));
  } else {
    respond(http::ErrorResponse(
        503, MakeError(draining_ ? ErrorKind::kDraining : ErrorKind::kNoConfiguration, "gateway")));
  }
}

void Gateway::AnswerMetrics(const http::Request&, const http::Responder& respond) {
  http::Response response;
  response.content_type = "text/plain; version=0.0.4";
  response.body = metrics_.Print();
  respond(std::move(response));
}

}  // namespace peridotfork
