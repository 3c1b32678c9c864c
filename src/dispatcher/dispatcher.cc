#include "peridotfork/dispatcher/dispatcher.h"

#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace peridotfork {
namespace {

using dispatcher::Sender;
using dispatcher::TargetChannel;
using Json = nlohmann::json;

constexpr std::chrono::milliseconds kHelloInterval{500};
constexpr std::chrono::milliseconds kTickInterval{25};
constexpr std::chrono::milliseconds kPollInterval{500};
constexpr std::chrono::milliseconds kChangeReportInterval{100};
constexpr std::chrono::milliseconds kFullReportInterval{2000};

// Time for which the dispatcher keeps running after its last attempt, so that its
// replies arrive and entries with outdated routes receive a kNotOwner reply.
constexpr std::chrono::milliseconds kDrainLinger{1500};

// True if the difference must be reported to the entries before the next full report.
bool DiffersForEntries(const protocol::TargetCondition& a, const protocol::TargetCondition& b) {
  return a.state != b.state || a.allowance != b.allowance || a.snapshots != b.snapshots ||
         (a.queued > 0) != (b.queued > 0);
}

}  // namespace

const MessageTable<Dispatcher> Dispatcher::kMessages = MessageTable<Dispatcher>()
                                                           .On<&Dispatcher::OnHeartbeat>()
                                                           .On<&Dispatcher::OnConfigSections>()
                                                           .On<&Dispatcher::OnOwnershipUpdate>()
                                                           .On<&Dispatcher::OnRouteUpdate>()
                                                           .On<&Dispatcher::OnSubRequest>()
                                                           .On<&Dispatcher::OnSubCancel>();

const http::Router<Dispatcher> Dispatcher::kRoutes = {
    {"GET", "/healthz", &Dispatcher::HandleHealth},
    {"GET", "/readyz", &Dispatcher::HandleReady},
    {"GET", "/admin/status", &Dispatcher::HandleStatus},
};

Dispatcher::Dispatcher(const DaemonContext& context, DispatcherSettings settings)
    : pool_(context.pool),
      clock_(context.clock),
      log_(context.log),
      settings_(std::move(settings)),
      self_{settings_.id, Role::kDispatcher, context.incarnation},
      endpoint_(
          pool_,
          self_,
          [this](const protocol::Envelope& envelope) { Receive(envelope); },
          [this](const Error& error) {
            log_.Warning("An invalid message was refused.", {{"error", ToString(error)}});
          }),
      config_(clock_, endpoint_, log_),
      server_(pool_.context(), {}, *this) {}

Result<void> Dispatcher::Start() {
  if (auto listening = endpoint_.Listen(settings_.inner_address); !listening.has_value()) {
    return listening;
  }
  if (auto listening = server_.Listen(settings_.http_address); !listening.has_value()) {
    return listening;
  }
  SendHello();
  tasks_.push_back(PeriodicTask::Start(pool_, kHelloInterval, [this] { SendHello(); }));
  tasks_.push_back(PeriodicTask::Start(pool_, kTickInterval, [this] { TickChannels(); }));
  tasks_.push_back(PeriodicTask::Start(pool_, kPollInterval, [this] { PollChannels(); }));
  tasks_.push_back(PeriodicTask::Start(pool_, kChangeReportInterval,
                                       [this] { ReportConditions(/*full=*/false); }));
  tasks_.push_back(
      PeriodicTask::Start(pool_, kFullReportInterval, [this] { ReportConditions(/*full=*/true); }));
  return boost::outcome_v2::success();
}

void Dispatcher::BeginDrain() {
  draining_ = true;
  SendHello();
}

bool Dispatcher::drained() const {
  for (const ChannelPtr& channel : Channels()) {
    if (channel->HasLease() || channel->in_flight() > 0) {
      idle_since_ = BootTime();
      return false;
    }
  }
  if (idle_since_ == BootTime()) {
    idle_since_ = clock_.now();
  }
  return clock_.now() - idle_since_ >= kDrainLinger;
}

void Dispatcher::Close() {
  for (const auto& task : tasks_) {
    task->Cancel();
  }
  server_.Stop();
  endpoint_.Close();
}

void Dispatcher::Reply(const Sender& to, protocol::SubReply reply) {
  static_cast<void>(endpoint_.Send(to.reply_to, to.process.incarnation, std::move(reply)));
}

void Dispatcher::Receive(const protocol::Envelope& envelope) {
  if (envelope.to_incarnation != Incarnation(0) && envelope.to_incarnation != self_.incarnation) {
    // The request is addressed to a previous process at this address. It has not run
    // here, and only this process can report that to the sender.
    if (const auto* request = std::get_if<protocol::SubRequest>(&envelope.message)) {
      protocol::SubReply refusal;
      refusal.attempt = request->attempt;
      refusal.outcome = ErrorKind::kNotOwner;
      Reply({envelope.from, envelope.reply_to}, std::move(refusal));
    }
    return;
  }
  if (!kMessages.Dispatch(*this, envelope)) {
    log_.Warning("A dispatcher received a message type that it does not handle.",
                 {{"type", protocol::MessageName(envelope.message)}});
  }
}

void Dispatcher::OnHeartbeat(const protocol::Envelope& envelope,
                             const protocol::Heartbeat& heartbeat) {
  if (config_.IsBehind({heartbeat.document, heartbeat.document_digest})) {
    config_.Pull(envelope.reply_to, ViewVersion(UINT64_MAX));
  }
}

void Dispatcher::OnConfigSections(const protocol::Envelope&,
                                  const protocol::ConfigSections& sections) {
  if (!config_.OnSections(sections)) {
    return;
  }
  const DocumentPtr document = config_.document();
  for (const ChannelPtr& channel : Channels()) {
    const TargetConfig* const target = document->FindTarget(channel->id());
    if (target != nullptr) {
      channel->Configure(*document->FindService(target->group.service));
    }
  }
}

void Dispatcher::OnOwnershipUpdate(const protocol::Envelope& envelope,
                                   const protocol::OwnershipUpdate& update) {
  if (envelope.from.host != settings_.id) {
    return;
  }
  const DocumentPtr document = config_.document();
  std::vector<std::pair<ChannelPtr, BootTime>> changes;
  {
    const RankedLock lock(mutex_);
    if (document == nullptr || update.number <= ownership_number_) {
      return;
    }
    ownership_number_ = update.number;
    std::set<TargetId> owned;
    for (const protocol::OwnedTarget& target : update.targets) {
      ChannelPtr& channel = channels_[target.target];
      if (channel == nullptr) {
        channel = MakeChannel(*document, target.target);
      }
      if (channel != nullptr) {
        owned.insert(target.target);
        changes.emplace_back(channel, target.lease_end);
      }
    }
    std::erase_if(channels_, [](const auto& entry) { return entry.second == nullptr; });
    for (const auto& [id, channel] : channels_) {
      if (!owned.contains(id)) {
        changes.emplace_back(channel, BootTime());
      }
    }
  }
  for (const auto& [channel, lease_end] : changes) {
    channel->SetLeaseEnd(lease_end);
  }
  SendHello();
}

void Dispatcher::OnRouteUpdate(const protocol::Envelope& envelope,
                               const protocol::RouteUpdate& update) {
  if (envelope.from.host != settings_.id) {
    return;
  }
  const RankedLock lock(mutex_);
  entries_ = update.entries;
}

void Dispatcher::OnSubRequest(const protocol::Envelope& envelope,
                              const protocol::SubRequest& request) {
  const Sender sender{envelope.from, envelope.reply_to};
  if (const ChannelPtr channel = FindChannel(request.target); channel != nullptr) {
    channel->Submit(sender, request);
    return;
  }
  protocol::SubReply refusal;
  refusal.attempt = request.attempt;
  refusal.outcome = ErrorKind::kNotOwner;
  Reply(sender, std::move(refusal));
}

void Dispatcher::OnSubCancel(const protocol::Envelope& envelope,
                             const protocol::SubCancel& cancel) {
  // The message holds no target id, to keep it small. Attempt ids are unique per
  // sender, so at most one channel has the attempt.
  for (const ChannelPtr& channel : Channels()) {
    channel->Cancel(envelope.from, cancel.attempt);
  }
}

void Dispatcher::SendHello() {
  protocol::LocalHello hello;
  hello.draining = draining_;
  hello.unowned_in_flight = UnownedInFlight();
  {
    const RankedLock lock(mutex_);
    hello.ownership_number = ownership_number_;
  }
  static_cast<void>(endpoint_.Send(settings_.agent_address, Incarnation(0), hello));
}

void Dispatcher::TickChannels() {
  for (const ChannelPtr& channel : Channels()) {
    channel->Tick();
  }
}

void Dispatcher::PollChannels() {
  for (const ChannelPtr& channel : Channels()) {
    channel->Poll();
  }
}

void Dispatcher::ReportConditions(bool full) {
  std::vector<protocol::TargetCondition> conditions;
  for (const ChannelPtr& channel : Channels()) {
    if (channel->HasLease()) {
      conditions.push_back(channel->Condition());
    }
  }
  protocol::TargetStatus status;
  std::vector<protocol::ProcessAddress> entries;
  {
    const RankedLock lock(mutex_);
    entries = entries_;
    for (const protocol::TargetCondition& condition : conditions) {
      const auto [known, added] = reported_.try_emplace(condition.target, condition);
      if (added || full || DiffersForEntries(known->second, condition)) {
        known->second = condition;
        status.targets.push_back(condition);
      }
    }
  }
  if (status.targets.empty()) {
    return;
  }
  for (const protocol::ProcessAddress& entry : entries) {
    static_cast<void>(endpoint_.Send(entry.address, entry.incarnation, status));
  }
}

Dispatcher::ChannelPtr Dispatcher::FindChannel(const TargetId& target) const {
  const RankedLock lock(mutex_);
  const auto found = channels_.find(target);
  return found == channels_.end() ? nullptr : found->second;
}

std::vector<Dispatcher::ChannelPtr> Dispatcher::Channels() const {
  const RankedLock lock(mutex_);
  std::vector<ChannelPtr> channels;
  channels.reserve(channels_.size());
  for (const auto& [id, channel] : channels_) {
    channels.push_back(channel);
  }
  return channels;
}

Dispatcher::ChannelPtr Dispatcher::MakeChannel(const Document& document, const TargetId& target) {
  const TargetConfig* const config = document.FindTarget(target);
  if (config == nullptr) {
    return nullptr;
  }
  return {new TargetChannel(pool_, clock_, *this, *config,
                            *document.FindService(config->group.service))};
}

std::uint32_t Dispatcher::UnownedInFlight() const {
  std::size_t count = 0;
  for (const ChannelPtr& channel : Channels()) {
    count += channel->HasLease() ? 0 : channel->in_flight();
  }
  return static_cast<std::uint32_t>(count);
}

void Dispatcher::Handle(http::Request request, http::Responder respond) {
  kRoutes.Dispatch(*this, request, respond);
}

void Dispatcher::HandleHealth(const http::Request&, const http::Responder& respond) {
  respond(http::JsonResponse(R"({"status":"alive"})"));
}

void Dispatcher::HandleReady(const http::Request&, const http::Responder& respond) {
  if (config_.document() != nullptr && !draining_) {
    respond(http::JsonResponse(R"({"status":"ready"})"));
    return;
  }
  respond(http::ErrorResponse(
      503,
      MakeError(draining_ ? ErrorKind::kDraining : ErrorKind::kNoConfiguration, "dispatcher")));
}

void Dispatcher::HandleStatus(const http::Request&, const http::Responder& respond) {
  Json json = {{"host", settings_.id.value()},
               {"incarnation", self_.incarnation.value()},
               {"draining", draining_.load()},
               {"document", config_.position().revision.value()},
               {"messages_sent", endpoint_.counters().messages_sent.load()},
               {"bytes_sent", endpoint_.counters().bytes_sent.load()},
               {"targets", Json::array()}};
  static constexpr const char* kStates[] = {"unknown", "cold", "warm", "draining", "suspect"};
  for (const ChannelPtr& channel : Channels()) {
    const protocol::TargetCondition condition = channel->Condition();
    json["targets"].push_back({{"target", condition.target.value()},
                               {"owned", channel->HasLease()},
                               {"state", kStates[static_cast<int>(condition.state)]},
                               {"allowance", condition.allowance.value()},
                               {"in_use", condition.in_use},
                               {"queued", condition.queued},
                               {"reported_load", condition.reported_load},
                               {"reported_age_ms", condition.reported_age.count()}});
  }
  respond(http::JsonResponse(json.dump()));
}

}  // namespace peridotfork
