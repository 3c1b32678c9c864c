#include "peridotfork/entry/booking_service.h"

#include <algorithm>
#include <random>
#include <utility>

#include "peridotfork/limits/quarantine.h"

namespace peridotfork::entry {
namespace {

// The deadline given to the target is this much earlier than that of the caller, so that
// the answer arrives in time.
constexpr std::chrono::milliseconds kBookingAnswerMargin{20};

query::BookingLedgerOptions LedgerOptions() {
  query::BookingLedgerOptions options;
  options.nonce_seed = (std::uint64_t{std::random_device{}()} << 32) | std::random_device{}();
  return options;
}

query::BodyHash HashOf(const BookingRequest& request) {
  return query::BodyHash(Quarantine::Fingerprint(request.caller, request.service, request.booking));
}

}  // namespace

BookingService::BookingService(WorkerPool& pool,
                               const Clock& clock,
                               Endpoint& endpoint,
                               QueryRunner& runner,
                               Logger& log)
    : pool_(pool),
      clock_(clock),
      endpoint_(endpoint),
      runner_(runner),
      log_(log),
      ledger_(clock, endpoint.self().host, endpoint.self().incarnation, LedgerOptions()) {}

Result<query::Ticket> BookingService::IssueTicket(const CallerId& caller) {
  const RankedLock lock(mutex_);
  return ledger_.Issue(caller);
}

std::chrono::seconds BookingService::ticket_lifetime() const {
  return std::chrono::duration_cast<std::chrono::seconds>(query::BookingLedgerOptions().lifetime);
}

void BookingService::Book(const BookingRequest& request, WallTime deadline, Done done) {
  const auto ticket = query::ParseTicket(request.ticket);
  if (!ticket.has_value()) {
    done(EncodeRefusal(ticket.error()));
    return;
  }
  const WaiterPtr waiter(new Waiter);
  waiter->ticket = request.ticket;
  waiter->done = std::move(done);
  ++unanswered_;
  const RunPtr run(new Run);
  run->request = request;
  run->ticket = ticket.value();
  run->deadline = deadline;
  const query::BookingDecision decision = [&] {
    const RankedLock lock(mutex_);
    auto decided = ledger_.Begin(run->ticket, request.caller, HashOf(request));
    const bool waits = std::holds_alternative<query::RunBooking>(decided) ||
                       std::holds_alternative<query::WaitForBooking>(decided);
    if (waits) {
      waiters_[run->ticket].push_back(waiter);
    }
    return decided;
  }();
  std::visit([&](const auto& body) { HandleDecision(body, run, waiter); }, decision);
}

void BookingService::HandleDecision(const query::RunBooking& decision,
                                    const RunPtr& run,
                                    const WaiterPtr& waiter) {
  run->number = decision.run;
  pool_.After(run->deadline - clock_.wall_now(), [this, run] {
    Conclude(run, query::BookingResult::kUnknown, ErrorKind::kTimedOut, "");
  });
  AnswerUnknownAt(run->deadline, waiter);
  SendAttempt(run);
}

void BookingService::HandleDecision(const query::WaitForBooking&,
                                    const RunPtr& run,
                                    const WaiterPtr& waiter) {
  AnswerUnknownAt(run->deadline, waiter);
}

void BookingService::HandleDecision(const query::KnownBooking& decision,
                                    const RunPtr&,
                                    const WaiterPtr& waiter) {
  const ErrorKind reason =
      decision.result == query::BookingResult::kDone ? ErrorKind::kOk : ErrorKind::kTimedOut;
  Answer(waiter, EncodeBookingAnswer(waiter->ticket, {decision.result, reason, decision.body}));
}

void BookingService::HandleDecision(const query::ForeignBooking& decision,
                                    const RunPtr& run,
                                    const WaiterPtr& waiter) {
  protocol::BookingForward forward{0,
                                   run->request.ticket,
                                   run->request.caller,
                                   run->request.service,
                                   run->request.booking,
                                   run->deadline};
  std::optional<protocol::ProcessAddress> owner;
  {
    const RankedLock lock(mutex_);
    const auto entry = entries_.find(decision.host);
    if (!decision.same_host && entry != entries_.end() &&
        entry->second.incarnation == decision.incarnation) {
      owner = entry->second;
      forward.number = ++last_forward_;
      forwards_.emplace(forward.number, waiter);
    }
  }
  if (!owner.has_value()) {
    // The only process that could know the outcome no longer exists, or is not yet known
    // to this entry.
    Answer(waiter, EncodeBookingAnswer(waiter->ticket, {query::BookingResult::kUnknown,
                                                        ErrorKind::kUnavailable, ""}));
    return;
  }
  AnswerUnknownAt(run->deadline, waiter);
  pool_.After(run->deadline - clock_.wall_now(), [this, number = forward.number] {
    const RankedLock lock(mutex_);
    forwards_.erase(number);
  });
  static_cast<void>(endpoint_.Send(owner->address, owner->incarnation, std::move(forward)));
}

void BookingService::HandleDecision(const query::RefuseBooking& decision,
                                    const RunPtr&,
                                    const WaiterPtr& waiter) {
  Answer(waiter, EncodeRefusal(decision.error));
}

void BookingService::SendAttempt(const RunPtr& run) {
  ++run->attempts;
  const auto target = runner_.SendBooking(
      run->request, run->deadline - kBookingAnswerMargin, run->tried,
      [this, run](const TargetId& tried, ErrorKind outcome, const std::string& result) {
        run->tried.push_back(tried);
        OnAttemptEnded(run, outcome, result);
      });
  if (!target.has_value()) {
    Conclude(run, query::BookingResult::kNotRun, target.error().kind(), "");
  }
}

void BookingService::OnAttemptEnded(const RunPtr& run,
                                    ErrorKind outcome,
                                    const std::string& result) {
  if (outcome == ErrorKind::kOk) {
    Conclude(run, query::BookingResult::kDone, outcome, result);
    return;
  }
  if (!ProvesNotStarted(outcome)) {
    Conclude(run, query::BookingResult::kUnknown, outcome, "");
    return;
  }
  const bool in_time = clock_.wall_now() + kBookingAnswerMargin < run->deadline;
  if (run->concluded || !in_time || run->attempts >= kMaxAttempts) {
    Conclude(run, query::BookingResult::kNotRun, outcome, "");
    return;
  }
  SendAttempt(run);
}

void BookingService::Conclude(const RunPtr& run,
                              query::BookingResult result,
                              ErrorKind reason,
                              const std::string& body) {
  if (result == query::BookingResult::kUnknown && run->concluded) {
    return;
  }
  run->concluded = true;
  std::vector<WaiterPtr> waiters;
  {
    const RankedLock lock(mutex_);
    if (!ledger_.Finish(run->ticket, run->number, result, body).has_value()) {
      return;
    }
    const auto found = waiters_.find(run->ticket);
    if (found != waiters_.end()) {
      waiters = std::move(found->second);
      waiters_.erase(found);
    }
  }
  if (result == query::BookingResult::kUnknown) {
    log_.Warning("The outcome of a booking is unknown.",
                 {{"service", run->request.service.value()},
                  {"reason", std::string(ErrorKindName(reason))}});
  }
  for (const WaiterPtr& waiter : waiters) {
    Answer(waiter, EncodeBookingAnswer(waiter->ticket, {result, reason, body}));
  }
}

void BookingService::AnswerUnknownAt(WallTime deadline, const WaiterPtr& waiter) {
  pool_.After(deadline - clock_.wall_now(), [this, waiter] {
    Answer(waiter, EncodeBookingAnswer(waiter->ticket,
                                       {query::BookingResult::kUnknown, ErrorKind::kTimedOut, ""}));
  });
}

void BookingService::Answer(const WaiterPtr& waiter, http::Response response) {
  if (waiter->answered.exchange(true)) {
    return;
  }
  --unanswered_;
  waiter->done(std::move(response));
}

void BookingService::SetEntries(const protocol::RouteUpdate& update) {
  const RankedLock lock(mutex_);
  entries_.clear();
  const std::size_t count = std::min(update.entry_hosts.size(), update.entries.size());
  for (std::size_t i = 0; i < count; ++i) {
    entries_.emplace(update.entry_hosts[i], update.entries[i]);
  }
}

void BookingService::OnForward(const protocol::Envelope& envelope,
                               const protocol::BookingForward& forward) {
  BookingRequest request;
  request.caller = forward.caller;
  request.service = forward.service;
  request.ticket = forward.ticket;
  request.booking = forward.body;
  Book(request, forward.deadline,
       [this, number = forward.number, to = envelope.reply_to,
        incarnation = envelope.from.incarnation](http::Response response) {
         protocol::BookingOutcome outcome{number, response.status, std::move(response.body)};
         static_cast<void>(endpoint_.Send(to, incarnation, std::move(outcome)));
       });
}

void BookingService::OnOutcome(const protocol::BookingOutcome& outcome) {
  WaiterPtr waiter;
  {
    const RankedLock lock(mutex_);
    const auto found = forwards_.find(outcome.number);
    if (found == forwards_.end()) {
      return;
    }
    waiter = std::move(found->second);
    forwards_.erase(found);
  }
  http::Response response = http::JsonResponse(outcome.body);
  response.status = outcome.http_status;
  Answer(waiter, std::move(response));
}

std::size_t BookingService::unanswered() const {
  return unanswered_;
}

}  // namespace peridotfork::entry
