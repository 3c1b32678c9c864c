#ifndef PERIDOTFORK_ENTRY_BOOKING_SERVICE_H_
#define PERIDOTFORK_ENTRY_BOOKING_SERVICE_H_

#include <atomic>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "peridotfork/entry/caller_protocol.h"
#include "peridotfork/entry/query_runner.h"
#include "peridotfork/query/booking_ledger.h"
#include "peridotfork/runtime/log.h"
#include "peridotfork/runtime/ranked_mutex.h"
#include "peridotfork/transport/endpoint.h"

namespace peridotfork::entry {

// Runs bookings whose tickets this process has issued, and forwards bookings with
// tickets of other entries to them. Thread-safe; callbacks are called without locks
// held.
class BookingService {
 public:
  using Done = std::function<void(http::Response)>;

  // Maximum number of attempts for one run of a booking. A further attempt is made only
  // after proof that the previous one did not start.
  static constexpr std::size_t kMaxAttempts = 3;

  BookingService(WorkerPool& pool,
                 const Clock& clock,
                 Endpoint& endpoint,
                 QueryRunner& runner,
                 Logger& log);

  Result<query::Ticket> IssueTicket(const CallerId& caller);

  std::chrono::seconds ticket_lifetime() const;

  // Calls `done` with the answer exactly once, by the deadline.
  void Book(const BookingRequest& request, WallTime deadline, Done done);

  void SetEntries(const protocol::RouteUpdate& update);
  void OnForward(const protocol::Envelope& envelope, const protocol::BookingForward& forward);
  void OnOutcome(const protocol::BookingOutcome& outcome);

  // Number of bookings that have not been answered yet.
  std::size_t unanswered() const;

 private:
  // One received send of a booking that has not been answered yet.
  struct Waiter : boost::intrusive_ref_counter<Waiter, boost::thread_safe_counter> {
    std::string ticket;
    Done done;
    std::atomic<bool> answered = false;
  };
  using WaiterPtr = boost::intrusive_ptr<Waiter>;

  // One run of a booking.
  struct Run : boost::intrusive_ref_counter<Run, boost::thread_safe_counter> {
    BookingRequest request;
    query::Ticket ticket;
    query::RunNumber number;
    WallTime deadline;
    std::vector<TargetId> tried;
    std::size_t attempts = 0;
    std::atomic<bool> concluded = false;
  };
  using RunPtr = boost::intrusive_ptr<Run>;

  // Carry out a decision of the ledger.
  void HandleDecision(const query::RunBooking& decision,
                      const RunPtr& run,
                      const WaiterPtr& waiter);
  void HandleDecision(const query::WaitForBooking& decision,
                      const RunPtr& run,
                      const WaiterPtr& waiter);
  void HandleDecision(const query::KnownBooking& decision,
                      const RunPtr& run,
                      const WaiterPtr& waiter);
  void HandleDecision(const query::ForeignBooking& decision,
                      const RunPtr& run,
                      const WaiterPtr& waiter);
  void HandleDecision(const query::RefuseBooking& decision,
                      const RunPtr& run,
                      const WaiterPtr& waiter);

  void SendAttempt(const RunPtr& run);
  void OnAttemptEnded(const RunPtr& run, ErrorKind outcome, const std::string& result);
  void Conclude(const RunPtr& run,
                query::BookingResult result,
                ErrorKind reason,
                const std::string& body);
  void AnswerUnknownAt(WallTime deadline, const WaiterPtr& waiter);
  void Answer(const WaiterPtr& waiter, http::Response response);

  WorkerPool& pool_;
  const Clock& clock_;
  Endpoint& endpoint_;
  QueryRunner& runner_;
  Logger& log_;
  std::atomic<std::size_t> unanswered_ = 0;

  mutable RankedMutex mutex_{LockRank::kLedger};
  query::BookingLedger ledger_;
  std::map<query::Ticket, std::vector<WaiterPtr>> waiters_;
  std::map<HostId, protocol::ProcessAddress> entries_;
  std::uint64_t last_forward_ = 0;
  std::map<std::uint64_t, WaiterPtr> forwards_;
};

}  // namespace peridotfork::entry

#endif  // PERIDOTFORK_ENTRY_BOOKING_SERVICE_H_
