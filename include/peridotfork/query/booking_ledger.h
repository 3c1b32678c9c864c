#ifndef PERIDOTFORK_QUERY_BOOKING_LEDGER_H_
#define PERIDOTFORK_QUERY_BOOKING_LEDGER_H_

#include <boost/intrusive/list.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <variant>

#include "peridotfork/core/clock.h"
#include "peridotfork/core/error.h"
#include "peridotfork/core/ids.h"
#include "peridotfork/query/booking_ticket.h"

namespace peridotfork::query {

// Hash of the body of a booking. Distinguishes a repeated send of the same booking
// from a different booking with the same ticket.
using BodyHash = StrongValue<struct BodyHashTag, std::uint64_t>;

// Number of a run of one ticket. A further run begins only after proof that the
// previous one did not start.
using RunNumber = StrongValue<struct RunNumberTag, std::uint32_t>;

enum class BookingResult { kDone, kNotRun, kUnknown };

// Wire name of a result, such as "not_run".
const char* BookingResultName(BookingResult result);

struct BookingLedgerOptions {
  // Time after its issue for which a ticket is kept.
  std::chrono::nanoseconds lifetime = std::chrono::minutes(10);
  // Maximum number of tickets kept at the same time.
  std::size_t max_tickets = 100'000;
  // Seed of the nonce sequence; must differ for each process.
  std::uint64_t nonce_seed = 0;
};

// Decisions about a received booking. The booking is to be run now, as number `run`.
struct RunBooking {
  RunNumber run;
};
// The booking is running already; wait for the outcome of that run.
struct WaitForBooking {
  RunNumber run;
};
// The result is recorded already.
struct KnownBooking {
  BookingResult result = BookingResult::kUnknown;
  std::string body;
};
// The ticket was issued by another process. If `same_host` is true, only the
// incarnation differs: that process has ended, so the outcome cannot be determined.
struct ForeignBooking {
  HostId host;
  Incarnation incarnation;
  bool same_host = false;
};
// The send is not valid for the ticket.
struct RefuseBooking {
  Error error;
};
using BookingDecision =
    std::variant<RunBooking, WaitForBooking, KnownBooking, ForeignBooking, RefuseBooking>;

// Decides which sends of a booking are run. Each ticket has at most one run at a
// time, and a further run only after proof that the previous one did not start.
// Not thread-safe.
class BookingLedger {
 public:
  BookingLedger(const Clock& clock,
                HostId self,
                Incarnation incarnation,
                BookingLedgerOptions options = {});
  BookingLedger(const BookingLedger&) = delete;
  BookingLedger& operator=(const BookingLedger&) = delete;

  // Fails with kQueueFull when the ledger is full: no ticket is evicted before it
  // expires.
  Result<Ticket> Issue(const CallerId& caller);

  // Decides about one send. Refuses with kUnknownName a ticket that was not issued
  // or belongs to another caller, and with kDuplicate a body that differs from that
  // of the first run. An expired ticket has the result kUnknown.
  BookingDecision Begin(const Ticket& ticket, const CallerId& caller, BodyHash body);

  // Records the result of `run`. A later result may replace kUnknown but not kDone.
  // Fails with kDuplicate for a run that is not the latest one or that already has a
  // final result, and with kUnknownName for a ticket that is not in the ledger.
  Result<void> Finish(const Ticket& ticket, RunNumber run, BookingResult result, std::string body);

  std::size_t size() const { return entries_.size(); }

 private:
  enum class State { kIssued, kRunning, kDone, kUnknown };

  struct Entry : boost::intrusive::list_base_hook<
                     boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
    Ticket ticket;
    CallerId caller;
    BootTime expires;
    State state = State::kIssued;
    RunNumber run;
    BodyHash body_hash;
    std::string body;
  };

  void RemoveExpired();
  bool WasIssued(const Ticket& ticket) const;
  BookingDecision StartRun(Entry& entry, BodyHash body);

  const Clock& clock_;
  HostId self_;
  Incarnation incarnation_;
  BookingLedgerOptions options_;
  std::mt19937_64 nonces_;
  TicketSerial last_serial_;
  std::map<TicketSerial, Entry> entries_;
  // Entries in order of expiry. A running entry that expires is unlinked from this
  // list but stays in `entries_` until its run ends.
  boost::intrusive::list<Entry, boost::intrusive::constant_time_size<false>> by_expiry_;
};

}  // namespace peridotfork::query

#endif  // PERIDOTFORK_QUERY_BOOKING_LEDGER_H_
