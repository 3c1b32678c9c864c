#include "peridotfork/query/booking_ledger.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <random>
#include <vector>

namespace peridotfork::query {
namespace {

using std::chrono::minutes;

const HostId kSelf("entry-1.hartford");
constexpr Incarnation kIncarnation(0xabc);
const CallerId kCaller("clerk-desk");
constexpr BodyHash kBody(1);

struct Ledger {
  Ledger() = default;
  explicit Ledger(BookingLedgerOptions options) : ledger(clock, kSelf, kIncarnation, options) {}

  template <typename Decision>
  std::optional<Decision> Begin(const Ticket& ticket,
                                const CallerId& caller = kCaller,
                                BodyHash body = kBody) {
    const BookingDecision decision = ledger.Begin(ticket, caller, body);
    const auto* wanted = std::get_if<Decision>(&decision);
    return wanted == nullptr ? std::nullopt : std::optional(*wanted);
  }

  ManualClock clock;
  BookingLedger ledger{clock, kSelf, kIncarnation};
};

TEST_CASE("a ticket keeps its value when it is formatted as text and parsed") {
  Ledger f;
  const Ticket ticket = f.ledger.Issue(kCaller).value();
  CHECK(ParseTicket(FormatTicket(ticket)).value() == ticket);
  CHECK(FormatTicket({HostId("h:1"), Incarnation(255), TicketSerial(0), 16}) == "t1:ff:0:10:h:1");
}

TEST_CASE("parsing a text that is no ticket returns an error of the matching kind") {
  const std::vector<std::pair<std::string, ErrorKind>> cases{
      {"", ErrorKind::kMissingField},
      {"t2:1:1:1:h", ErrorKind::kUnsupportedVersion},
      {"t1:1:1:1", ErrorKind::kMissingField},
      {"t1:1:1:1:", ErrorKind::kMissingField},
      {"t1:1:x:1:h", ErrorKind::kMalformed},
      {"t1:1::1:h", ErrorKind::kMalformed},
      {"t1:01:1:1:h", ErrorKind::kMalformed},
      {"t1:A:1:1:h", ErrorKind::kMalformed},
      {"t1:1:1:11111111111111111:h", ErrorKind::kMalformed},
      {"t1:1:1:1:h h", ErrorKind::kMalformed},
      {std::string(321, 'a'), ErrorKind::kTooLarge}};
  for (const auto& test : cases) {
    CAPTURE(test.first);
    REQUIRE_FALSE(ParseTicket(test.first));
    CHECK(ParseTicket(test.first).error().kind() == test.second);
  }
}

TEST_CASE("a second send waits for the first and gets its outcome") {
  Ledger f;
  const Ticket ticket = f.ledger.Issue(kCaller).value();
  const auto run = f.Begin<RunBooking>(ticket);
  REQUIRE(run);
  CHECK(f.Begin<WaitForBooking>(ticket));
  REQUIRE(f.ledger.Finish(ticket, run->run, BookingResult::kDone, "seat 4"));
  const auto known = f.Begin<KnownBooking>(ticket);
  REQUIRE(known);
  CHECK(known->result == BookingResult::kDone);
  CHECK(known->body == "seat 4");
  CHECK_FALSE(f.ledger.Finish(ticket, run->run, BookingResult::kNotRun, ""));
  CHECK(f.Begin<KnownBooking>(ticket)->result == BookingResult::kDone);
}

TEST_CASE("a ticket is valid only for its process, caller and body") {
  Ledger f;
  const Ticket ticket = f.ledger.Issue(kCaller).value();
  Ticket other = ticket;
  other.incarnation = Incarnation(1);
  CHECK(f.Begin<ForeignBooking>(other)->same_host);
  other.host = HostId("entry-2");
  CHECK_FALSE(f.Begin<ForeignBooking>(other)->same_host);
  Ticket forged = ticket;
  ++forged.nonce;
  CHECK(f.Begin<RefuseBooking>(forged)->error.kind() == ErrorKind::kUnknownName);
  forged.serial = TicketSerial(99);
  CHECK(f.Begin<RefuseBooking>(forged)->error.kind() == ErrorKind::kUnknownName);
  CHECK(f.Begin<RefuseBooking>(ticket, CallerId("x"))->error.kind() == ErrorKind::kUnknownName);
  CHECK(f.Begin<RunBooking>(ticket));
  CHECK(f.Begin<RefuseBooking>(ticket, kCaller, BodyHash(2))->error.kind() ==
        ErrorKind::kDuplicate);
}

// Guards against a duplicated late "not run" result of one run that releases the
// ticket while the next run is in progress.
TEST_CASE("a ticket runs again only after a run that did not start") {
  Ledger f;
  const Ticket ticket = f.ledger.Issue(kCaller).value();
  const RunNumber first = f.Begin<RunBooking>(ticket)->run;
  REQUIRE(f.ledger.Finish(ticket, first, BookingResult::kUnknown, ""));
  CHECK(f.Begin<KnownBooking>(ticket)->result == BookingResult::kUnknown);
  REQUIRE(f.ledger.Finish(ticket, first, BookingResult::kNotRun, ""));
  CHECK(f.Begin<RunBooking>(ticket));
  CHECK_FALSE(f.ledger.Finish(ticket, first, BookingResult::kNotRun, ""));
  CHECK(f.Begin<WaitForBooking>(ticket));
}

TEST_CASE("a full ledger refuses tickets until the oldest expire") {
  Ledger f({.max_tickets = 2});
  const Ticket first = f.ledger.Issue(kCaller).value();
  f.clock.Advance(minutes(5));
  REQUIRE(f.ledger.Issue(kCaller));
  CHECK(f.ledger.Issue(kCaller).error().kind() == ErrorKind::kQueueFull);
  f.clock.Advance(minutes(5) - std::chrono::nanoseconds(1));
  CHECK(f.Begin<RunBooking>(first));
  f.clock.Advance(std::chrono::nanoseconds(1));
  CHECK(f.ledger.Issue(kCaller).error().kind() == ErrorKind::kQueueFull);
  REQUIRE(f.ledger.Finish(first, RunNumber(1), BookingResult::kNotRun, ""));
  CHECK(f.ledger.size() == 1);
  CHECK(f.Begin<KnownBooking>(first)->result == BookingResult::kUnknown);
}

// Applies sends, outcomes and clock advances in random order, and records which runs
// the target really started.
class LedgerModel {
 public:
  explicit LedgerModel(std::uint32_t seed)
      : random_(seed), ledger_(clock_, kSelf, kIncarnation, {.max_tickets = 20}) {}

  void Step() {
    const std::uint32_t kind = random_() % 8;
    if (kind == 0 || tickets_.empty()) {
      const Result<Ticket> ticket = ledger_.Issue(kCaller);
      CHECK(ledger_.size() <= 20);
      if (ticket) {
        tickets_.push_back({ticket.value()});
      }
    } else if (kind == 1) {
      clock_.Advance(std::chrono::seconds(random_() % 90));
    } else if (kind < 5) {
      Send(tickets_[random_() % tickets_.size()]);
    } else {
      Reply(tickets_[random_() % tickets_.size()]);
    }
  }

 private:
  struct Booking {
    Ticket ticket;
    // For each run, whether the target started it.
    std::vector<bool> runs{};
    bool told_unknown = false;

    int started() const { return static_cast<int>(std::count(runs.begin(), runs.end(), true)); }
  };

  void Send(Booking& booking) {
    const BookingDecision decision = ledger_.Begin(booking.ticket, kCaller, kBody);
    if (const auto* run = std::get_if<RunBooking>(&decision)) {
      CHECK(run->run.value() == booking.runs.size() + 1);
      booking.runs.push_back(random_() % 2 == 0);
      CHECK(booking.started() <= 1);
    } else if (const auto* known = std::get_if<KnownBooking>(&decision)) {
      CHECK(known->result != BookingResult::kNotRun);
      CHECK((known->result != BookingResult::kDone || booking.started() == 1));
    } else {
      CHECK(std::holds_alternative<WaitForBooking>(decision));
    }
  }

  // Reports the true outcome of any earlier run, or an unknown one. Late and repeated
  // reports occur as well.
  void Reply(Booking& booking) {
    if (booking.runs.empty()) {
      return;
    }
    const std::size_t run = random_() % booking.runs.size();
    const BookingResult truth = booking.runs[run] ? BookingResult::kDone : BookingResult::kNotRun;
    const BookingResult result = random_() % 3 == 0 ? BookingResult::kUnknown : truth;
    (void)ledger_.Finish(booking.ticket, RunNumber(static_cast<std::uint32_t>(run + 1)), result,
                         "");
  }

  std::mt19937 random_;
  ManualClock clock_;
  BookingLedger ledger_;
  std::vector<Booking> tickets_;
};

// Guards invariant 7 of the design: a booking is started at most once.
TEST_CASE("a booking starts at most once in any order of sends and outcomes") {
  for (std::uint32_t seed = 1; seed <= 400; ++seed) {
    CAPTURE(seed);
    LedgerModel model(seed);
    for (int i = 0; i < 1000; ++i) {
      model.Step();
    }
  }
}

}  // namespace
}  // namespace peridotfork::query
