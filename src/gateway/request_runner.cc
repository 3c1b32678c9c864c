#include "peridotfork/gateway/request_runner.h"

#include <algorithm>
#include <array>
#include <set>
#include <string_view>
#include <utility>

#include "peridotfork/fanout/answer_class.h"
#include "peridotfork/fanout/top_records.h"
#include "peridotfork/http/client.h"

namespace peridotfork {
namespace {

using std::chrono::milliseconds;

// Time for the request to reach this host, for the response to reach the caller, and for
// processing both. A response must be sent this much before the objective ends.
constexpr milliseconds kCallerTransit{10};
// Share of the objective during which a request waits for a usable target.
constexpr double kPlacementWindowShare = 0.18;
// A response is sent this much before the timeout of the caller or of the route expires.
constexpr milliseconds kAnswerDeadlineMargin{12};
// Time for a response from a target of another data centre to arrive; the deadline that targets
// receive is earlier by this margin.
constexpr milliseconds kTargetMargin{5};
// How long to wait for the response of an attempt that is no longer needed, so that its
// connection can be reused.
constexpr milliseconds kAbandonedAttemptGrace{300};
// The same for a request that is not idempotent and must not be interrupted.
constexpr std::chrono::seconds kNonIdempotentGrace{5};
// Retry-After of a refusal, as a share of the objective.
constexpr double kRetryAfterShare = 0.12;
constexpr milliseconds kMinRetryAfter{10};
// Number of requests whose answers of maximum size fit into the memory for answers.
constexpr std::uint64_t kAnswersInMemory = 4;
// Lower limit for the maximum size of the answer of one target, for routes with many shards.
constexpr Bytes kMinMaxAnswer{65536};
// A target that accepts no connection within this time is considered down.
constexpr milliseconds kCheckTimeout{350};
// A liveness check reads no response.
constexpr std::uint64_t kCheckBodyLimit = 1;
// Timeout of a caller whose request specifies none.
constexpr std::chrono::seconds kDefaultCallerTimeout{30};

constexpr std::array<std::string_view, 8> kAttemptOutcomeNames = {
    "answered", "failed", "shed", "misdirected", "not_connected", "lost", "timed_out", "cancelled"};

std::string_view AttemptOutcomeName(AttemptOutcome end) {
  return kAttemptOutcomeNames[static_cast<std::size_t>(end)];
}

std::chrono::nanoseconds Scale(std::chrono::nanoseconds time, double factor) {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(time * factor);
}

FanOutPlan MakePlan(const RoutedRequest& request, const TargetTable& targets) {
  const Route& route = *request.route;
  const std::chrono::nanoseconds caller_timeout =
      request.ingress.caller_timeout.value_or(kDefaultCallerTimeout);
  FanOutPlan plan;
  plan.shards = request.services.size();
  plan.max_attempts = route.max_attempts;
  plan.idempotent = route.idempotent();
  plan.required_coverage = route.gather ? route.gather->required_coverage : 1;
  plan.hedge_delay = targets.HedgeDelay(route);
  plan.partial_answer_at = request.start + route.objective - kCallerTransit;
  plan.placement_deadline = request.start + PlacementWindow(route);
  plan.answer_deadline = request.start +
                         std::min<std::chrono::nanoseconds>(caller_timeout, route.timeout) -
                         kAnswerDeadlineMargin;
  return plan;
}

// The body of a caller's request, in the account until the last attempt that uses it has ended.
class CallerBody final : public http::SharedBytes {
 public:
  CallerBody(std::string bytes, boost::intrusive_ptr<CallerMemory> account)
      : SharedBytes(std::move(bytes)), share_(std::move(account)) {
    share_.Set(this->bytes().capacity());
  }

 private:
  CallerMemory::Share share_;
};

// Moves the body out of the request.
http::SharedRequest MakeForwarded(const GatewayContext& context, RoutedRequest& request) {
  std::string body = std::exchange(request.message.body(), {});
  const http::RawRequest head = context.codec.MakeForwarded(request.message, request.identity);
  http::SharedRequest forwarded(head.base());
  if (!body.empty() || head.has_content_length()) {
    forwarded.content_length(body.size());
  }
  if (!body.empty()) {
    forwarded.body() = new CallerBody(std::move(body), context.caller_memory);
  }
  return forwarded;
}

AttemptOutcome ToAttemptOutcome(ExchangeState state) {
  switch (state) {
    case ExchangeState::kNotConnected:
      return AttemptOutcome::kNotConnected;
    case ExchangeState::kAbandoned:
      return AttemptOutcome::kTimedOut;
    default:
      return AttemptOutcome::kLost;
  }
}

}  // namespace

std::chrono::nanoseconds PlacementWindow(const Route& route) {
  return Scale(route.objective, kPlacementWindowShare);
}

RequestRunner::RequestRunner(GatewayContext& context,
                             RoutedRequest request,
                             Callback done,
                             std::function<void(bool reached_target)> on_end)
    : context_(context),
      request_(std::move(request)),
      forwarded_(MakeForwarded(context, request_)),
      done_(std::move(done)),
      on_end_(std::move(on_end)),
      timer_(context.io),
      fan_out_(MakePlan(request_, context.targets)),
      shards_(request_.services.size()) {}

void RequestRunner::Start() {
  const RankedLock lock(mutex_);
  Advance();
}

void RequestRunner::OnCallerDisconnected() {
  const RankedLock lock(mutex_);
  if (concluded_ || !fan_out_.plan().idempotent) {
    return;
  }
  concluded_ = true;
  caller_gone_ = true;
  timer_.cancel();
  AbandonAttempts(context_.clock.now());
  LogOutcome("caller_gone", 0);
  done_ = nullptr;
  on_end_(reached_ > 0);
}

void RequestRunner::OnShutdown() {
  const RankedLock lock(mutex_);
  if (!concluded_) {
    Conclude(*fan_out_.Outcome(fan_out_.plan().answer_deadline));
  }
}

void RequestRunner::Advance() {
  if (concluded_) {
    return;
  }
  const BootTime now = context_.clock.now();
  while (const std::optional<FanOut::AttemptSpec> spec = fan_out_.Next(now)) {
    Send(*spec, now);
  }
  if (const std::optional<FanOutOutcome> outcome = fan_out_.Outcome(now)) {
    Conclude(*outcome);
  } else {
    ArmTimer();
  }
}

void RequestRunner::Send(const FanOut::AttemptSpec& spec, BootTime now) {
  Shard& shard = shards_[spec.shard];
  const ServiceId& service = request_.services[spec.shard];
  PickFailure failure{};
  AttemptPtr attempt =
      context_.targets.Pick({request_.route, service, spec.purpose, shard.tried}, &failure);
  if (attempt == nullptr) {
    ++(failure == PickFailure::kNoTarget ? no_target_ : no_budget_);
    fan_out_.OnNoTarget(spec, now);
    return;
  }
  fan_out_.OnSent(spec.shard, now);
  ++reached_;
  if (spec.purpose != AttemptPurpose::kFirst) {
    context_.log.OnAttempt(request_.ingress.id,
                           spec.purpose == AttemptPurpose::kHedge ? "hedge" : "retry", service,
                           attempt->target->id(), now - request_.start, {});
  }
  Exchange exchange;
  exchange.request = forwarded_;
  const auto time_left = std::chrono::duration_cast<milliseconds>(
      fan_out_.plan().answer_deadline + kAnswerDeadlineMargin - kTargetMargin - now);
  context_.codec.AddAttemptFields(exchange.request, attempt->target->id(),
                                  std::max(time_left, milliseconds(1)));
  exchange.matches = [&codec = context_.codec, id = request_.ingress.id](
                         const http::RawResponse& response) { return codec.Matches(response, id); };
  exchange.max_body = MaxAnswer();
  exchange.done = [self = boost::intrusive_ptr(this), index = spec.shard,
                   attempt](ExchangeResult result) {
    self->OnExchange(index, attempt, std::move(result));
  };
  ConnectionPtr connection = context_.connections.Take(attempt->target);
  const std::uint64_t number = connection->Start(std::move(exchange));
  shard.tried.push_back(attempt);
  shard.active_attempts.push_back({std::move(attempt), std::move(connection), number});
}

Bytes RequestRunner::MaxAnswer() const {
  const std::uint64_t request = context_.connections.memory().capacity().value() / kAnswersInMemory;
  return Bytes(std::max<std::uint64_t>(kMinMaxAnswer.value(), request / shards_.size()));
}

void RequestRunner::OnExchange(std::size_t index,
                               const AttemptPtr& attempt,
                               ExchangeResult result) {
  const RankedLock lock(mutex_);
  Shard& shard = shards_[index];
  std::erase_if(shard.active_attempts,
                [&](const ActiveAttempt& active) { return active.attempt == attempt; });
  AttemptResult ended = AttemptResult::kMayHaveRun;
  if (result.state == ExchangeState::kAnswered) {
    UpstreamAnswer answer = context_.codec.DecodeAnswer(std::move(result.response));
    answer.memory = std::move(result.memory);
    ended = ProcessAnswer(index, *attempt, std::move(answer));
  } else {
    const AttemptOutcome end =
        caller_gone_ ? AttemptOutcome::kCancelled : ToAttemptOutcome(result.state);
    ended = result.state == ExchangeState::kNotConnected ? AttemptResult::kNotRun
                                                         : AttemptResult::kMayHaveRun;
    if (result.state == ExchangeState::kNotConnected) {
      --reached_;
    }
    context_.targets.Finish(*attempt, end);
    last_fault_ = AttemptOutcomeName(end);
    context_.log.OnAttempt(request_.ingress.id, AttemptOutcomeName(end), request_.services[index],
                           attempt->target->id(), context_.clock.now() - attempt->sent,
                           result.detail);
    if (end == AttemptOutcome::kLost) {
      CheckLostTarget(index, *attempt);
    }
  }
  fan_out_.OnEnd(index, ended);
  Advance();
}

void RequestRunner::CheckLostTarget(std::size_t index, const Attempt& attempt) {
  const BootTime now = context_.clock.now();
  const bool wanted =
      liveness_checks_ == 0 || (liveness_checks_ == 1 && attempt.sent >= first_loss_noticed_);
  if (!wanted || !context_.guard.TryAcquireCheck()) {
    return;
  }
  first_loss_noticed_ = liveness_checks_ == 0 ? now : first_loss_noticed_;
  ++liveness_checks_;
  const boost::intrusive_ptr<http::ClientConnection> check(
      new http::ClientConnection(context_.io, attempt.target->address(), kCheckBodyLimit));
  TargetLoss loss;
  loss.group = GroupIndex(static_cast<std::uint32_t>(index));
  loss.sent = attempt.sent;
  loss.noticed = now;
  check->Connect(kCheckTimeout,
                 [&guard = context_.guard, check, fingerprint = Fingerprint(), loss,
                  repeatable = request_.route->idempotent()](const Result<void>& connected) {
                   check->Close();
                   if (!connected.has_value()) {
                     guard.OnTargetDown(fingerprint, loss, repeatable);
                   }
                 });
}

std::uint64_t RequestRunner::Fingerprint() {
  if (!fingerprint_) {
    static const std::string kNoBody;
    const http::SharedBytesPtr& body = forwarded_.body();
    fingerprint_ = CrashGuard::Fingerprint(request_.message.base(), body ? body->bytes() : kNoBody,
                                           request_.identity);
  }
  return *fingerprint_;
}

AttemptResult RequestRunner::ProcessAnswer(std::size_t index,
                                           Attempt& attempt,
                                           UpstreamAnswer answer) {
  const std::chrono::nanoseconds time = context_.clock.now() - attempt.sent;
  const AnswerClass answer_class = ClassifyAnswer({.status = answer.message.result_int(),
                                                   .gather = request_.route->gather.has_value(),
                                                   .idempotent = request_.route->idempotent(),
                                                   .not_run = answer.not_run,
                                                   .has_signature = !answer.signature.empty(),
                                                   .transformed = answer.transformed});
  const bool usable = answer_class == AnswerClass::kUsable;
  const AttemptOutcome end = usable               ? AttemptOutcome::kAnswered
                             : answer.misdirected ? AttemptOutcome::kMisdirected
                             : answer.not_run     ? AttemptOutcome::kShed
                                                  : AttemptOutcome::kFailed;
  context_.targets.Finish(attempt, end, answer.signals);
  if (answer.signals.leaving) {
    context_.connections.CloseIdle(attempt.target);
  }
  if (usable) {
    context_.targets.ObserveRoute(*request_.route, time);
    if (context_.guard.has_suspects()) {
      context_.guard.OnAnswered(Fingerprint(), GroupIndex(static_cast<std::uint32_t>(index)));
    }
    if (!shards_[index].answer) {
      shards_[index].answer = std::move(answer);
    }
    return AttemptResult::kAnswered;
  }
  last_fault_ = AttemptOutcomeName(end);
  context_.log.OnAttempt(request_.ingress.id, AttemptOutcomeName(end), request_.services[index],
                         attempt.target->id(), time,
                         "status " + std::to_string(answer.message.result_int()));
  if (answer_class == AnswerClass::kFailure) {
    failure_ = std::move(answer);
  }
  return answer_class == AnswerClass::kNotRun ? AttemptResult::kNotRun : AttemptResult::kMayHaveRun;
}

void RequestRunner::ArmTimer() {
  const BootTime wake = fan_out_.wake_time();
  if (wake == armed_for_) {
    return;
  }
  armed_for_ = wake;
  timer_.expires_after(std::max(wake - context_.clock.now(), std::chrono::nanoseconds(0)));
  timer_.async_wait([self = boost::intrusive_ptr(this)](const boost::system::error_code& error) {
    if (!error) {
      const RankedLock lock(self->mutex_);
      self->armed_for_ = BootTime();
      self->Advance();
    }
  });
}

void RequestRunner::Conclude(FanOutOutcome outcome) {
  concluded_ = true;
  timer_.cancel();
  CallerResponse response = MakeResponse(outcome);
  LogOutcome(FanOutOutcomeName(outcome), response.message.result_int());
  AbandonAttempts(context_.clock.now() +
                  (fan_out_.plan().idempotent ? kAbandonedAttemptGrace : kNonIdempotentGrace));
  std::exchange(done_, nullptr)(std::move(response));
  on_end_(reached_ > 0);
}

CallerResponse RequestRunner::MakeResponse(FanOutOutcome outcome) {
  const Route& route = *request_.route;
  const std::string where = "route " + route.id.value();
  switch (outcome) {
    case FanOutOutcome::kComplete:
    case FanOutOutcome::kPartial:
      break;
    case FanOutOutcome::kRefused:
      return {context_.codec.EncodeError(
                  503,
                  MakeError(ErrorKind::kUnavailable, where,
                            "no target is available to run the request"),
                  std::max(kMinRetryAfter, std::chrono::duration_cast<milliseconds>(
                                               Scale(route.objective, kRetryAfterShare)))),
              {}};
    case FanOutOutcome::kFailed:
      if (!route.gather && failure_) {
        return EncodeSingle(std::move(*failure_));
      }
      return {context_.codec.EncodeError(
                  502,
                  MakeError(ErrorKind::kTargetLost, where,
                            "the request failed; the last failed attempt ended as " + last_fault_),
                  std::nullopt),
              {}};
    case FanOutOutcome::kTimedOut:
      return {context_.codec.EncodeError(
                  504, MakeError(ErrorKind::kTimedOut, where, "the targets did not answer in time"),
                  std::nullopt),
              {}};
  }
  if (!route.gather) {
    return EncodeSingle(std::move(*shards_.front().answer));
  }
  MergedAnswer merged;
  std::vector<std::string_view> parts;
  std::set<std::string> seen;
  for (const Shard& shard : shards_) {
    if (shard.answer && seen.insert(shard.answer->signature).second) {
      merged.signatures.push_back(shard.answer->signature);
      parts.emplace_back(shard.answer->message.body());
    }
  }
  merged.missing = shards_.size() - parts.size();
  merged.body = MergeTopRecords(parts, route.gather->top_records);
  // The merged body takes less memory than the answers of which it is made.
  CallerResponse response{context_.codec.Encode(merged), {}};
  for (Shard& shard : shards_) {
    if (shard.answer) {
      response.memory.push_back(std::move(shard.answer->memory));
    }
  }
  return response;
}

CallerResponse RequestRunner::EncodeSingle(UpstreamAnswer answer) {
  CallerResponse response;
  response.memory.push_back(std::move(answer.memory));
  response.message = context_.codec.Encode(std::move(answer));
  return response;
}

void RequestRunner::AbandonAttempts(BootTime end) {
  for (const Shard& shard : shards_) {
    for (const ActiveAttempt& active : shard.active_attempts) {
      active.connection->Abandon(active.exchange, end);
    }
  }
}

void RequestRunner::LogOutcome(std::string_view outcome, unsigned status) {
  RequestRecord record;
  record.id = request_.ingress.id;
  record.route = request_.route->id;
  record.version = request_.catalogue->version();
  record.outcome = outcome;
  record.status = status;
  record.elapsed = context_.clock.now() - request_.start;
  record.shards = shards_.size();
  record.answered = fan_out_.answered_count();
  record.hedges = fan_out_.hedges();
  record.retries = fan_out_.retries();
  record.no_target = no_target_;
  record.no_budget = no_budget_;
  record.fault = last_fault_;
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    if (fan_out_.answered(i)) {
      continue;
    }
    record.missing += (record.missing.empty() ? "" : ";") + request_.services[i].value() + ":";
    for (const AttemptPtr& attempt : shards_[i].tried) {
      record.missing += attempt->target->id().value() + ",";
    }
  }
  context_.log.OnEnd(record);
}

}  // namespace peridotfork
