#ifndef PERIDOTFORK_LIMITS_CONNECTION_BUDGET_H_
#define PERIDOTFORK_LIMITS_CONNECTION_BUDGET_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "peridotfork/core/clock.h"
#include "peridotfork/core/units.h"
#include "peridotfork/internal/limits/latency_window.h"

namespace peridotfork {

// Identifies one connection of a dispatcher. Assigned by the user of ConnectionBudget.
using ConnectionId = StrongValue<struct ConnectionIdTag, std::uint64_t>;

struct ConnectionOptions {
  // Maximum number of connections that the target accepts.
  Connections cap{1};
  // Open connections in addition to the allowance. They carry health polls and cancellations, and
  // are available at once when a connection has to be replaced.
  Connections spares{3};
  // A connection counts as silent after this multiple of the p99 latency without a byte.
  double silence_factor = 2;
  // Lower bound for that time, so that a slow request on a fast target is not mistaken for a silent
  // connection.
  std::chrono::nanoseconds min_silence{0};
  // Before an answer counts as missing, this many attempts that were sent later on other
  // connections must have been answered within the p99. Later attempts can also be answered first
  // when a target turns cold, but their latency then exceeds the p99.
  std::uint32_t min_later_answers = 2;
  // Time for which the target may still count a silent connection after it was closed: its FIN may
  // have to be retransmitted.
  std::chrono::nanoseconds linger = std::chrono::seconds(1);
  std::chrono::nanoseconds first_backoff = std::chrono::milliseconds(20);
  std::chrono::nanoseconds longest_backoff = std::chrono::seconds(1);
  std::size_t window = 128;
  std::size_t min_samples = 20;
};

// Sizes the connection pool to one target and detects silent connections, which stay open but no
// longer deliver answers. A connection carries one attempt at a time. Not thread-safe.
class ConnectionBudget {
 public:
  ConnectionBudget(const Clock& clock, ConnectionOptions options);

  // Returns the number of connections to open now to cover `allowance` and the spares. They count
  // against the cap from this call on; the result of each is reported with OnOpened() or
  // OnOpenFailed().
  Connections ToOpen(Slots allowance);

  void OnOpened(ConnectionId id);
  // Starts or extends an exponential back-off, during which ToOpen() returns 0. After it, ToOpen()
  // returns one connection at a time until a byte arrives on any connection.
  void OnOpenFailed();
  // Either side closed the connection normally. Counts as a failure to open if no byte was received
  // on it: a target may accept connections and close them at once.
  void OnClosed(ConnectionId id);
  // The user of this class closed the connection because it is silent.
  void OnSilent(ConnectionId id);

  // An attempt with this deadline was sent on the connection. Must not be called for health polls:
  // they are faster than attempts and would lower the p99.
  void OnSent(ConnectionId id, WallTime deadline);
  // Bytes arrived on the connection.
  void OnBytes(ConnectionId id);
  // The answer to the attempt was received completely.
  void OnAnswered(ConnectionId id);

  // Returns the silent connections: those that received no byte for twice the p99 while other
  // connections of the target deliver answers, or no complete answer by the deadline of the
  // attempt. The user closes them and calls OnSilent() for each.
  std::vector<ConnectionId> FindSilent() const;

  // Returns idle connections to close after the cap was lowered.
  std::vector<ConnectionId> ToClose() const;

  void SetCap(Connections cap) { options_.cap = cap; }

  // Number of connections that are open or being opened.
  Connections usable() const;
  // Upper bound of the connections that the target counts, including closed ones that linger. Never
  // exceeds the cap, unless the cap was lowered.
  Connections counted() const;

  // Next time at which the result of FindSilent() or ToOpen() can change without an event.
  std::optional<BootTime> wake_time() const;

 private:
  struct Connection {
    bool received_bytes = false;
    // True while an attempt is in flight on the connection.
    bool busy = false;
    BootTime sent;
    BootTime last_byte;
    WallTime deadline;
    std::uint64_t number = 0;
  };

  void BackOff();
  void RecordLaterAnswer(std::uint64_t number);
  bool IsSilent(const Connection& connection) const;
  bool HasLaterAnswers(const Connection& connection) const;
  std::optional<std::chrono::nanoseconds> SilenceLimit() const;
  std::uint32_t Lingering() const;

  const Clock& clock_;
  ConnectionOptions options_;
  LatencyWindow latencies_;
  std::map<ConnectionId, Connection> open_;
  std::uint32_t opening_ = 0;
  // Times at which closed connections stop counting against the cap, in ascending order.
  std::deque<BootTime> lingering_until_;
  // Attempts are numbered in the order in which they are sent.
  std::uint64_t sent_count_ = 0;
  // The highest numbers of attempts that were answered within the p99; at most
  // `options_.min_later_answers` of them.
  std::set<std::uint64_t> later_answers_;
  std::chrono::nanoseconds backoff_{0};
  BootTime open_after_;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_LIMITS_CONNECTION_BUDGET_H_
