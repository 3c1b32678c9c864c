#include "peridotfork/query/booking_ledger.h"

#include <utility>

namespace peridotfork::query {

const char* BookingResultName(BookingResult result) {
  switch (result) {
    case BookingResult::kDone:
      return "done";
    case BookingResult::kNotRun:
      return "not_run";
    case BookingResult::kUnknown:
      return "unknown";
  }
  return "unknown";
}

BookingLedger::BookingLedger(const Clock& clock,
                             HostId self,
                             Incarnation incarnation,
                             BookingLedgerOptions options)
    : clock_(clock),
      self_(std::move(self)),
      incarnation_(incarnation),
      options_(options),
      nonces_(options.nonce_seed) {}

Result<Ticket> BookingLedger::Issue(const CallerId& caller) {
  RemoveExpired();
  if (entries_.size() >= options_.max_tickets) {
    return MakeError(ErrorKind::kQueueFull, "booking ledger",
                     std::to_string(options_.max_tickets) + " tickets are in use");
  }
  last_serial_ = TicketSerial(last_serial_.value() + 1);
  Entry& entry = entries_[last_serial_];
  entry.ticket = Ticket{self_, incarnation_, last_serial_, nonces_()};
  entry.caller = caller;
  entry.expires = clock_.now() + options_.lifetime;
  by_expiry_.push_back(entry);
  return entry.ticket;
}

BookingDecision BookingLedger::Begin(const Ticket& ticket, const CallerId& caller, BodyHash body) {
  if (ticket.host != self_ || ticket.incarnation != incarnation_) {
    return ForeignBooking{ticket.host, ticket.incarnation, ticket.host == self_};
  }
  RemoveExpired();
  const auto found = entries_.find(ticket.serial);
  if (found == entries_.end() && WasIssued(ticket)) {
    return KnownBooking{BookingResult::kUnknown, {}};
  }
  if (found == entries_.end() || found->second.ticket != ticket || found->second.caller != caller) {
    return RefuseBooking{MakeError(ErrorKind::kUnknownName, "ticket")};
  }
  Entry& entry = found->second;
  const bool bound = entry.run.value() > 0;
  if (bound && entry.body_hash != body) {
    return RefuseBooking{MakeError(ErrorKind::kDuplicate, "booking",
                                   "the ticket was already sent with another booking")};
  }
  switch (entry.state) {
    case State::kIssued:
      return StartRun(entry, body);
    case State::kRunning:
      return WaitForBooking{entry.run};
    case State::kDone:
      return KnownBooking{BookingResult::kDone, entry.body};
    case State::kUnknown:
      return KnownBooking{BookingResult::kUnknown, entry.body};
  }
  return RefuseBooking{MakeError(ErrorKind::kInternal, "booking ledger")};
}

BookingDecision BookingLedger::StartRun(Entry& entry, BodyHash body) {
  entry.state = State::kRunning;
  entry.run = RunNumber(entry.run.value() + 1);
  entry.body_hash = body;
  return RunBooking{entry.run};
}

Result<void> BookingLedger::Finish(const Ticket& ticket,
                                   RunNumber run,
                                   BookingResult result,
                                   std::string body) {
  const auto found = entries_.find(ticket.serial);
  if (found == entries_.end() || found->second.ticket != ticket) {
    return MakeError(ErrorKind::kUnknownName, "ticket");
  }
  Entry& entry = found->second;
  const bool open = entry.state == State::kRunning || entry.state == State::kUnknown;
  if (!open || entry.run != run) {
    return MakeError(ErrorKind::kDuplicate, "booking run");
  }
  static constexpr State kNext[] = {State::kDone, State::kIssued, State::kUnknown};
  entry.state = kNext[static_cast<std::size_t>(result)];
  entry.body = std::move(body);
  if (!entry.is_linked()) {
    entries_.erase(found);
  }
  return boost::outcome_v2::success();
}

void BookingLedger::RemoveExpired() {
  const BootTime now = clock_.now();
  while (!by_expiry_.empty() && by_expiry_.front().expires <= now) {
    Entry& entry = by_expiry_.front();
    by_expiry_.pop_front();
    if (entry.state != State::kRunning) {
      const TicketSerial serial = entry.ticket.serial;
      entries_.erase(serial);
    }
  }
}

bool BookingLedger::WasIssued(const Ticket& ticket) const {
  return ticket.serial.value() > 0 && ticket.serial <= last_serial_;
}

}  // namespace peridotfork::query
