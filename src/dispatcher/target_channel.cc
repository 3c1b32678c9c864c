#include "peridotfork/dispatcher/target_channel.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace peridotfork::dispatcher {
namespace {

constexpr std::chrono::seconds kConnectTimeout{1};
constexpr std::chrono::milliseconds kControlTimeout{500};

// Stragglers and cold targets take up to about 10 times the usual latency. Hedged
// attempts reply sooner than this on their behalf.
constexpr std::chrono::milliseconds kMinSilence{300};

// Time allowed for the response after the deadline, at which the target ends an
// attempt.
constexpr std::chrono::milliseconds kAnswerGracePeriod{200};

ColdRampOptions RampOptions(const ServiceConfig& service) {
  ColdRampOptions options;
  options.slots = service.slots;
  return options;
}

// A frozen dispatcher may keep its connections open after its lease has expired.
// Therefore one dispatcher uses at most half of the target's connection limit.
Connections ConnectionCap(const ServiceConfig& service) {
  return Connections(std::max(service.connections.value() / 2, 1U));
}

ConnectionOptions BudgetOptions(const ServiceConfig& service) {
  ConnectionOptions options;
  options.cap = ConnectionCap(service);
  options.min_silence = kMinSilence;
  return options;
}

}  // namespace

TargetChannel::TargetChannel(WorkerPool& pool,
                             const Clock& clock,
                             ReplySink& sink,
                             const TargetConfig& target,
                             const ServiceConfig& service)
    : pool_(pool),
      clock_(clock),
      sink_(sink),
      id_(target.id),
      address_(target.address),
      ramp_(clock, RampOptions(service)),
      queue_(clock, {.slots = service.slots}),
      budget_(clock, BudgetOptions(service)) {}

void TargetChannel::Configure(const ServiceConfig& service) {
  const RankedLock lock(mutex_);
  ramp_.SetSlots(service.slots);
  queue_.SetSlots(service.slots);
  budget_.SetCap(ConnectionCap(service));
}

void TargetChannel::SetLeaseEnd(BootTime lease_end) {
  Effects effects;
  {
    const RankedLock lock(mutex_);
    lease_end_ = lease_end;
    StartQueuedAttempts(&effects);
  }
  Apply(std::move(effects));
}

void TargetChannel::Submit(const Sender& from, protocol::SubRequest request) {
  Effects effects;
  {
    const RankedLock lock(mutex_);
    const Attempt attempt{request.attempt, from.process, request.booking, request.deadline,
                          request.alone};
    const AttemptKey key{from.process, request.attempt};
    const Result<void> queued = queue_.Enqueue(attempt, Limits());
    if (!queued.has_value() && queued.error().kind() == ErrorKind::kDuplicate) {
      return;
    }
    pending_.insert_or_assign(key, PendingAttempt{from, std::move(request)});
    if (!queued.has_value()) {
      AddRefusal(key, queued.error().kind(), &effects);
    }
    StartQueuedAttempts(&effects);
  }
  Apply(std::move(effects));
}

void TargetChannel::Cancel(const ProcessId& from, AttemptId attempt) {
  Effects effects;
  std::optional<http::Request> cancel;
  {
    const RankedLock lock(mutex_);
    const AttemptKey key{from, attempt};
    switch (queue_.Cancel(from, attempt)) {
      case CancelResult::kRemoved:
        AddRefusal(key, ErrorKind::kCancelled, &effects);
        break;
      case CancelResult::kRunning:
        cancel = EncodeCancel(AttemptName(key));
        break;
      case CancelResult::kUnknown:
        break;
    }
  }
  Apply(std::move(effects));
  if (cancel.has_value()) {
    SendControlRequest(std::move(*cancel),
                       [](const std::optional<http::ClientError>&, const http::Response&) {});
  }
}

void TargetChannel::Tick() {
  Effects effects;
  {
    const RankedLock lock(mutex_);
    for (const ConnectionId& id : budget_.FindSilent()) {
      budget_.OnSilent(id);
      const auto found = busy_.find(id);
      if (found == busy_.end()) {
        continue;
      }
      const BusyConnection busy = found->second;
      busy_.erase(found);
      effects.closes.push_back(busy.connection);
      ramp_.OnTimedOut(clock_.now() - busy.sent);
      queue_.Abandon(busy.attempt.first, busy.attempt.second);
      AddRefusal(busy.attempt, ErrorKind::kTimedOut, &effects);
    }
    DropClosedIdle(&effects);
    StartQueuedAttempts(&effects);
  }
  Apply(std::move(effects));
}

void TargetChannel::Poll() {
  SendControlRequest({"GET", "/health", {}, ""}, [self = TargetChannelPtr(this)](
                                                     const std::optional<http::ClientError>& error,
                                                     const http::Response& response) {
    if (error.has_value()) {
      return;
    }
    const auto health = DecodeHealth(response);
    if (!health.has_value()) {
      return;
    }
    Effects effects;
    {
      const RankedLock lock(self->mutex_);
      self->ramp_.OnReported(health.value().state, health.value().bears, health.value().slots);
      self->snapshots_ = health.value().snapshots;
      self->StartQueuedAttempts(&effects);
    }
    self->Apply(std::move(effects));
  });
}

protocol::TargetCondition TargetChannel::Condition() const {
  const RankedLock lock(mutex_);
  protocol::TargetCondition condition;
  condition.target = id_;
  condition.state = ramp_.state();
  condition.allowance = ramp_.level();
  condition.in_use = static_cast<std::uint32_t>(queue_.in_flight());
  condition.queued = static_cast<std::uint32_t>(queue_.waiting());
  condition.reported_load = reported_load_;
  if (reported_at_ != BootTime()) {
    condition.reported_age =
        std::chrono::duration_cast<std::chrono::milliseconds>(clock_.now() - reported_at_);
  }
  condition.snapshots = snapshots_;
  return condition;
}

bool TargetChannel::HasLease() const {
  const RankedLock lock(mutex_);
  return lease_end_ > clock_.now();
}

std::size_t TargetChannel::in_flight() const {
  const RankedLock lock(mutex_);
  return queue_.in_flight();
}

void TargetChannel::Apply(Effects effects) {
  for (auto& [to, reply] : effects.replies) {
    sink_.Reply(to, std::move(reply));
  }
  for (const ConnectionPtr& connection : effects.closes) {
    connection->Close();
  }
  for (std::uint32_t i = 0; i < effects.connects; ++i) {
    OpenConnection();
  }
  for (Effects::Start& start : effects.starts) {
    start.connection->RoundTrip(
        std::move(start.request), start.timeout,
        [self = TargetChannelPtr(this), id = start.id, booking = start.booking](
            const std::optional<http::ClientError>& error, const http::Response& response) {
          self->OnAnswer(id, error,
                         error.has_value() ? TargetAnswer() : DecodeAnswer(response, booking));
        });
  }
}

void TargetChannel::OpenConnection() {
  const ConnectionPtr connection(
      new http::ClientConnection(pool_.context(), address_, kMaxAnswerBytes));
  connection->Connect(kConnectTimeout,
                      [self = TargetChannelPtr(this), connection](const Result<void>& connected) {
                        self->OnConnected(connection, connected.has_value());
                      });
}

void TargetChannel::OnConnected(const ConnectionPtr& connection, bool connected) {
  Effects effects;
  {
    const RankedLock lock(mutex_);
    if (connected) {
      const ConnectionId id(++last_connection_);
      budget_.OnOpened(id);
      idle_.emplace(id, connection);
    } else {
      budget_.OnOpenFailed();
      ramp_.OnLost();
    }
    StartQueuedAttempts(&effects);
  }
  Apply(std::move(effects));
}

void TargetChannel::OnAnswer(ConnectionId id,
                             const std::optional<http::ClientError>& error,
                             TargetAnswer answer) {
  Effects effects;
  {
    const RankedLock lock(mutex_);
    const auto found = busy_.find(id);
    if (found == busy_.end()) {
      // Tick() has closed the unresponsive connection and replied to its attempt.
      return;
    }
    const BusyConnection busy = found->second;
    busy_.erase(found);
    const bool sent = error.has_value() && error->sent == http::SendState::kMaybeSent;
    // If the connection failed after the request may have been sent, the attempt may
    // still be running on the target, so its slot stays occupied until its deadline.
    const auto finished = sent ? queue_.Abandon(busy.attempt.first, busy.attempt.second)
                               : queue_.Finish(busy.attempt.first, busy.attempt.second);
    if (error.has_value()) {
      budget_.OnClosed(id);
      effects.closes.push_back(busy.connection);
      answer.outcome = sent ? ErrorKind::kTargetLost : ErrorKind::kUnavailable;
      ramp_.OnLost();
    } else {
      budget_.OnAnswered(id);
      idle_.emplace(id, busy.connection);
      RecordAnswer(answer, clock_.now() - busy.sent);
    }
    protocol::SubReply reply;
    reply.outcome = answer.outcome;
    reply.alone = finished.has_value() && finished->alone;
    reply.snapshot = answer.snapshot;
    reply.records = std::move(answer.records);
    reply.result = std::move(answer.result);
    AddReply(busy.attempt, std::move(reply), &effects);
    StartQueuedAttempts(&effects);
  }
  Apply(std::move(effects));
}

WorkLimits TargetChannel::Limits() const {
  return {ramp_.allowance(), lease_end_, ramp_.median().value_or(std::chrono::nanoseconds(0))};
}

void TargetChannel::StartQueuedAttempts(Effects* effects) {
  if (lease_end_ <= clock_.now()) {
    for (const DroppedAttempt& dropped : queue_.DropWaiting(ErrorKind::kNotOwner)) {
      AddRefusal({dropped.attempt.from, dropped.attempt.id}, dropped.reason, effects);
    }
    // Frees the slots of abandoned attempts whose deadlines have passed. A planned stop
    // waits until these slots are free.
    WorkLimits limits = Limits();
    limits.allowance = Slots(0);
    static_cast<void>(queue_.Next(limits));
    CloseAllIdle(effects);
    return;
  }
  effects->connects += budget_.ToOpen(ramp_.allowance()).value();
  bool more = true;
  while (more) {
    // Checks only the connection that is used next, because each check is a system call.
    while (!idle_.empty() && !idle_.begin()->second->IsIdleAndOpen()) {
      DropIdle(idle_.begin(), effects);
    }
    WorkLimits limits = Limits();
    if (idle_.empty()) {
      // Without a connection nothing can start, but attempts that cannot finish in time
      // are still dropped.
      limits.allowance = Slots(0);
    }
    const NextWork next = queue_.Next(limits);
    for (const DroppedAttempt& dropped : next.dropped) {
      AddRefusal({dropped.attempt.from, dropped.attempt.id}, dropped.reason, effects);
    }
    more = next.start.has_value();
    if (more) {
      StartNext(*next.start, effects);
    }
  }
}

void TargetChannel::StartNext(const StartedAttempt& started, Effects* effects) {
  const AttemptKey key{started.attempt.from, started.attempt.id};
  const auto idle = idle_.begin();
  const ConnectionId id = idle->first;
  const ConnectionPtr connection = idle->second;
  idle_.erase(idle);
  const PendingAttempt& pending = pending_.at(key);
  budget_.OnSent(id, started.deadline + kAnswerGracePeriod);
  busy_.emplace(id, BusyConnection{connection, key, clock_.now()});
  effects->starts.push_back(
      {id, connection, EncodeAttempt(pending.request, AttemptName(key), started.deadline),
       started.deadline - clock_.wall_now() + kAnswerGracePeriod, pending.request.booking});
}

void TargetChannel::AddReply(const AttemptKey& key, protocol::SubReply reply, Effects* effects) {
  const auto pending = pending_.find(key);
  if (pending == pending_.end()) {
    return;
  }
  reply.attempt = key.second;
  effects->replies.emplace_back(pending->second.from, std::move(reply));
  pending_.erase(pending);
}

void TargetChannel::AddRefusal(const AttemptKey& key, ErrorKind reason, Effects* effects) {
  protocol::SubReply reply;
  reply.outcome = reason;
  AddReply(key, std::move(reply), effects);
}

void TargetChannel::DropClosedIdle(Effects* effects) {
  for (auto idle = idle_.begin(); idle != idle_.end();) {
    if (idle->second->IsIdleAndOpen()) {
      ++idle;
      continue;
    }
    idle = DropIdle(idle, effects);
  }
}

TargetChannel::IdleConnections::iterator TargetChannel::DropIdle(IdleConnections::iterator idle,
                                                                 Effects* effects) {
  budget_.OnClosed(idle->first);
  effects->closes.push_back(idle->second);
  return idle_.erase(idle);
}

void TargetChannel::CloseAllIdle(Effects* effects) {
  for (auto idle = idle_.begin(); idle != idle_.end();) {
    idle = DropIdle(idle, effects);
  }
}

void TargetChannel::RecordAnswer(const TargetAnswer& answer, std::chrono::nanoseconds latency) {
  if (!answer.snapshots.empty()) {
    snapshots_ = answer.snapshots;
  }
  if (answer.load.has_value()) {
    reported_load_ = *answer.load;
    reported_at_ = clock_.now();
  }
  switch (answer.outcome) {
    case ErrorKind::kOk:
    case ErrorKind::kDraining:
      ramp_.OnAnswer(latency, answer.state);
      break;
    case ErrorKind::kShed:
      ramp_.OnShed();
      break;
    case ErrorKind::kTimedOut:
      ramp_.OnTimedOut(latency);
      break;
    default:
      ramp_.OnRefused();
      break;
  }
}

std::string TargetChannel::AttemptName(const AttemptKey& key) const {
  const ProcessId& from = key.first;
  char name[48];
  std::snprintf(name, sizeof(name), "%llx.%llx.",
                static_cast<unsigned long long>(from.incarnation.value()),
                static_cast<unsigned long long>(key.second.value()));
  return name + from.host.value();
}

std::optional<std::pair<ConnectionId, TargetChannel::ConnectionPtr>> TargetChannel::BorrowIdle() {
  if (idle_.empty() || lease_end_ <= clock_.now()) {
    return std::nullopt;
  }
  const auto last = std::prev(idle_.end());
  auto borrowed = std::make_pair(last->first, last->second);
  idle_.erase(last);
  return borrowed;
}

void TargetChannel::SendControlRequest(http::Request request,
                                       http::ClientConnection::ResponseCallback done) {
  const auto borrowed = [this] {
    const RankedLock lock(mutex_);
    return BorrowIdle();
  }();
  if (!borrowed.has_value()) {
    return;
  }
  borrowed->second->RoundTrip(
      std::move(request), kControlTimeout,
      [self = TargetChannelPtr(this), borrowed = *borrowed, done = std::move(done)](
          const std::optional<http::ClientError>& error, http::Response response) {
        {
          const RankedLock lock(self->mutex_);
          if (error.has_value()) {
            self->budget_.OnSilent(borrowed.first);
          } else {
            self->idle_.emplace(borrowed.first, borrowed.second);
          }
        }
        done(error, std::move(response));
      });
}

}  // namespace peridotfork::dispatcher
