#include "peridotfork/agent/agent.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "peridotfork/membership/placement.h"
#include "peridotfork/publication/host_list.h"

namespace peridotfork {
namespace {

// Interval at which lease ends are sent to the dispatcher. It is well below the
// lease renewal interval.
constexpr std::chrono::milliseconds kOwnershipInterval{250};

// A local process that has sent no LocalHello for this long is considered stopped.
constexpr std::chrono::seconds kLocalProcessTimeout{2};

// Time for which the agent keeps running after it has released its last home, so that
// its releases and heartbeats arrive and its entry receives the routes to the next
// holders.
constexpr std::chrono::milliseconds kDrainLinger{1500};

LeaseOptions MakeLeaseOptions(const AgentSettings& settings) {
  LeaseOptions options;
  options.duration = settings.lease_length;
  options.renew_interval = settings.lease_renew_interval;
  options.max_clock_skew = settings.max_clock_skew;
  return options;
}

PeerOptions MakePeerOptions(const AgentSettings& settings) {
  PeerOptions options;
  options.heartbeat_interval = settings.heartbeat_interval;
  options.reader_count = settings.reader_count;
  return options;
}

}  // namespace

const MessageTable<Agent> Agent::kMessages = MessageTable<Agent>()
                                                 .On<&Agent::OnHeartbeat>()
                                                 .On<&Agent::OnLeaseRequest>()
                                                 .On<&Agent::OnLeaseReply>()
                                                 .On<&Agent::OnLeaseRelease>()
                                                 .On<&Agent::OnConfigPull>()
                                                 .On<&Agent::OnConfigSections>()
                                                 .On<&Agent::OnHostList>()
                                                 .On<&Agent::OnLocalHello>();

Agent::Agent(const DaemonContext& context, AgentSettings settings)
    : pool_(context.pool),
      clock_(context.clock),
      log_(context.log),
      settings_(std::move(settings)),
      self_{settings_.id, Role::kAgent, context.incarnation},
      lease_options_(MakeLeaseOptions(settings_)),
      endpoint_(
          pool_,
          self_,
          [this](const protocol::Envelope& envelope) { Receive(envelope); },
          [this](const Error& error) {
            log_.Warning("An invalid message was refused.", {{"error", ToString(error)}});
          }),
      config_(clock_, endpoint_, log_),
      document_reader_(
          pool_,
          {settings_.platform_address, "/v1/document"},
          [this](std::uint64_t revision, const std::string& text) {
            if (Revision(revision) != config_.position().revision &&
                config_.ApplyPublished(Revision(revision), text)) {
              OnDocumentChanged();
            }
          },
          log_),
      hosts_reader_(
          pool_,
          {settings_.platform_address, "/v1/hosts"},
          [this](std::uint64_t version, const std::string& text) {
            AdoptHostList(ViewVersion(version), text);
          },
          log_),
      server_(pool_.context(), {}, *this),
      history_(clock_, lease_options_, settings_.id, clock_.now()),
      grantor_(clock_, lease_options_, history_),
      holder_(clock_, lease_options_, history_),
      peers_(clock_, MakePeerOptions(settings_), settings_.id) {}

Result<void> Agent::Start() {
  if (auto listening = endpoint_.Listen(settings_.inner_address); !listening.has_value()) {
    return listening;
  }
  if (auto listening = server_.Listen(settings_.http_address); !listening.has_value()) {
    return listening;
  }
  hosts_reader_.SetActive(true);
  document_reader_.SetActive(true);
  tasks_.push_back(PeriodicTask::Start(pool_, settings_.heartbeat_interval, [this] { Tick(); }));
  tasks_.push_back(
      PeriodicTask::Start(pool_, settings_.lease_renew_interval, [this] { RenewLeases(); }));
  tasks_.push_back(
      PeriodicTask::Start(pool_, kOwnershipInterval, [this] { UpdateLocalProcesses(); }));
  return boost::outcome_v2::success();
}

void Agent::BeginDrain() {
  draining_ = true;
  {
    const RankedLock lock(mutex_);
    peers_.SetDraining(true);
  }
  Tick();
}

bool Agent::drained() const {
  const RankedLock lock(mutex_);
  if (!holder_.held().empty()) {
    idle_since_.reset();
    return false;
  }
  idle_since_ = idle_since_.value_or(clock_.now());
  return clock_.now() - *idle_since_ >= kDrainLinger;
}

void Agent::Close() {
  for (const auto& task : tasks_) {
    task->Cancel();
  }
  server_.Stop();
  endpoint_.Close();
}

void Agent::Receive(const protocol::Envelope& envelope) {
  if (envelope.to_incarnation != Incarnation(0) && envelope.to_incarnation != self_.incarnation) {
    return;
  }
  if (!kMessages.Dispatch(*this, envelope)) {
    log_.Warning("An agent received a message type that it does not handle.",
                 {{"type", protocol::MessageName(envelope.message)}});
  }
}

void Agent::OnHeartbeat(const protocol::Envelope& envelope, const protocol::Heartbeat& heartbeat) {
  ViewVersion own_view;
  {
    const RankedLock lock(mutex_);
    if (peers_.RecordHeartbeat(envelope.from, heartbeat)) {
      routes_.Record(envelope.from, heartbeat);
    }
    own_view = view_version();
  }
  if (config_.IsBehind({heartbeat.document, heartbeat.document_digest}) ||
      heartbeat.view > own_view) {
    config_.Pull(envelope.reply_to, own_view);
  }
}

void Agent::OnLeaseRequest(const protocol::Envelope& envelope,
                           const protocol::LeaseRequest& request) {
  protocol::LeaseReply reply;
  {
    const RankedLock lock(mutex_);
    peers_.RecordRequest(envelope.from, request);
    reply = grantor_.Handle(envelope.from, request);
  }
  static_cast<void>(endpoint_.Send(envelope.reply_to, envelope.from.incarnation, std::move(reply)));
}

void Agent::OnLeaseReply(const protocol::Envelope& envelope, const protocol::LeaseReply& reply) {
  const RankedLock lock(mutex_);
  holder_.Handle(envelope.from.host, reply);
}

void Agent::OnLeaseRelease(const protocol::Envelope& envelope,
                           const protocol::LeaseRelease& release) {
  const RankedLock lock(mutex_);
  grantor_.Release(envelope.from, release);
}

void Agent::OnConfigPull(const protocol::Envelope& envelope, const protocol::ConfigPull& pull) {
  config_.OnPull(envelope.reply_to, pull);
  protocol::HostList list;
  {
    const RankedLock lock(mutex_);
    list = {view_version(), host_list_};
  }
  if (list.version > pull.view) {
    static_cast<void>(endpoint_.Send(envelope.reply_to, Incarnation(0), std::move(list)));
  }
}

void Agent::OnConfigSections(const protocol::Envelope& envelope,
                             const protocol::ConfigSections& sections) {
  const bool changed = config_.OnSections(sections);
  {
    const RankedLock lock(mutex_);
    config_repliers_.insert(envelope.from.host);
  }
  if (changed) {
    OnDocumentChanged();
  }
  UpdateJoined();
}

void Agent::OnHostList(const protocol::Envelope&, const protocol::HostList& list) {
  AdoptHostList(list.version, list.text);
}

void Agent::AdoptHostList(ViewVersion version, const std::string& text) {
  auto view = ParseHostList(version, text);
  if (!view.has_value()) {
    log_.Warning("An invalid host list was refused.", {{"error", ToString(view.error())}});
    return;
  }
  std::vector<Address> peers;
  {
    const RankedLock lock(mutex_);
    if (version <= view_version()) {
      return;
    }
    holder_.AdoptView(view.value());
    peers_.AdoptView(view.value());
    host_list_ = text;
    for (const ViewMember& member : view.value().members) {
      addresses_[member.id] = member.agent;
    }
    first_view_time_ = first_view_time_.value_or(clock_.now());
    peers = PeerAddresses();
  }
  hosts_reader_.SetKnownRevision(version.value());
  log_.Info("A new host list was adopted.",
            {{"version", std::to_string(version.value())},
             {"hosts", std::to_string(view.value().members.size())}});
  if (!joined_) {
    for (const Address& peer : peers) {
      config_.Pull(peer, version);
    }
  }
  SendHeartbeats();
}

void Agent::OnDocumentChanged() {
  document_reader_.SetKnownRevision(config_.position().revision.value());
  if (const DocumentPtr document = config_.document(); document != nullptr) {
    const RankedLock lock(mutex_);
    history_.SetRetired({document->fleet().retired.begin(), document->fleet().retired.end()});
  }
  SendHeartbeats();
}

void Agent::UpdateJoined() {
  if (joined_ || config_.document() == nullptr) {
    return;
  }
  const RankedLock lock(mutex_);
  const View* const view = history_.view();
  if (view == nullptr || !first_view_time_.has_value()) {
    return;
  }
  std::size_t others = 0;
  std::size_t answers = 0;
  for (const ViewMember& member : view->members) {
    others += member.id == settings_.id ? 0 : 1;
    answers += config_repliers_.contains(member.id) ? 1 : 0;
  }
  const bool waited = clock_.now() - *first_view_time_ >= settings_.join_wait;
  if (2 * answers > others || others == 0 || (waited && document_reader_.answered())) {
    joined_ = true;
  }
}

void Agent::Tick() {
  UpdateJoined();
  SendHeartbeats();
  bool reads_platform = true;
  {
    const RankedLock lock(mutex_);
    reads_platform = !joined_ || peers_.IsReader();
  }
  document_reader_.SetActive(reads_platform);
  hosts_reader_.SetActive(reads_platform);
}

void Agent::RenewLeases() {
  Outbox outbox;
  {
    const RankedLock lock(mutex_);
    AddLeaseRequests(&outbox);
  }
  Send(outbox);
}

void Agent::SendHeartbeats() {
  Outbox outbox;
  {
    // The lock of the configuration has the lower rank, so it is taken first.
    const ConfigPosition position = config_.position();
    const RankedLock lock(mutex_);
    protocol::Heartbeat heartbeat = MakeHeartbeat();
    heartbeat.document = position.revision;
    heartbeat.document_digest = position.digest;
    routes_.Record(self_, heartbeat);
    for (const Address& peer : PeerAddresses()) {
      outbox.push_back({peer, heartbeat});
    }
    for (const auto* process : {&dispatcher_, &entry_}) {
      if (joined_ && IsLive(*process)) {
        outbox.push_back({process->value().address.address, heartbeat});
      }
    }
  }
  Send(outbox);
}

void Agent::Send(const Outbox& outbox) {
  for (const Outgoing& outgoing : outbox) {
    static_cast<void>(endpoint_.Send(outgoing.to, Incarnation(0), outgoing.message));
  }
}

protocol::Heartbeat Agent::MakeHeartbeat() const {
  protocol::Heartbeat heartbeat;
  heartbeat.data_centre = settings_.data_centre;
  heartbeat.view = view_version();
  heartbeat.homes_held = HomesServed();
  heartbeat.dispatcher = LiveAddress(dispatcher_).value_or(protocol::ProcessAddress());
  heartbeat.entry = LiveAddress(entry_).value_or(protocol::ProcessAddress());
  heartbeat.draining = draining_ || !DispatcherMayServe();
  return heartbeat;
}

void Agent::AddLeaseRequests(Outbox* outbox) {
  const View* const view = history_.view();
  if (view == nullptr || view->Find(settings_.id) == nullptr) {
    return;
  }
  // Without a dispatcher that can use the leases, they are left to expire so that
  // other hosts take over the homes. During a planned stop, held homes are renewed
  // until the dispatcher has finished their work.
  std::vector<HostId> homes;
  if (DispatcherMayServe()) {
    homes = draining_ ? holder_.held() : peers_.HomesToRequest(holder_.held());
  } else if (IsLive(dispatcher_) && dispatcher_->hello.draining) {
    homes = holder_.held();
  }
  const protocol::LeaseRequest request = holder_.MakeRequest(homes);
  for (const HostId& host : holder_.Recipients()) {
    if (const auto address = addresses_.find(host); address != addresses_.end()) {
      outbox->push_back({address->second, request});
    }
  }
}

std::vector<Address> Agent::PeerAddresses() const {
  std::vector<Address> peers;
  if (const View* const view = history_.view(); view != nullptr) {
    for (const ViewMember& member : view->members) {
      if (member.id != settings_.id) {
        peers.push_back(member.agent);
      }
    }
  }
  return peers;
}

ViewVersion Agent::view_version() const {
  const View* const view = history_.view();
  return view == nullptr ? ViewVersion(0) : view->version;
}

void Agent::OnLocalHello(const protocol::Envelope& envelope, const protocol::LocalHello& hello) {
  const RankedLock lock(mutex_);
  auto& process = envelope.from.role == Role::kDispatcher ? dispatcher_ : entry_;
  if (process.has_value() && process->address.incarnation > envelope.from.incarnation) {
    return;
  }
  const bool known =
      process.has_value() && process->address.incarnation == envelope.from.incarnation;
  const BootTime first_heard = known ? process->first_heard : clock_.now();
  process = LocalProcess{
      {envelope.reply_to, envelope.from.incarnation}, first_heard, clock_.now(), hello};
}

bool Agent::IsLive(const std::optional<LocalProcess>& process) const {
  return process.has_value() && clock_.now() - process->last_heard <= kLocalProcessTimeout;
}

std::optional<protocol::ProcessAddress> Agent::LiveAddress(
    const std::optional<LocalProcess>& process) const {
  if (!IsLive(process)) {
    return std::nullopt;
  }
  return process->address;
}

bool Agent::DispatcherMayServe() const {
  // Attempts of the previous dispatcher process may still run until their deadlines,
  // which are within one lease duration.
  return IsLive(dispatcher_) && !dispatcher_->hello.draining &&
         clock_.now() - dispatcher_->first_heard >= lease_options_.max_grant_duration();
}

}  // namespace peridotfork
