#ifndef PERIDOTFORK_STANDIN_TARGET_JOURNAL_H_
#define PERIDOTFORK_STANDIN_TARGET_JOURNAL_H_

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "peridotfork/core/clock.h"
#include "peridotfork/core/error.h"
#include "peridotfork/core/ids.h"

namespace peridotfork::standin {

// Identifies one unit of work on one target. Unique even if an attempt id is
// reused.
using WorkId = StrongValue<struct WorkIdTag, std::uint64_t>;

enum class WorkKind { kSearch, kBooking };

// State of a unit of work, or the reason why it ended.
enum class WorkOutcome { kRunning, kDone, kCancelled, kDeadline, kCrashed };

// One unit of work that was started.
struct JournalEntry {
  WorkId work;
  std::string attempt;
  WorkKind kind = WorkKind::kSearch;
  std::uint64_t body_hash = 0;
  std::string booking_key;
  Snapshot snapshot;
  WallTime start;
  WallTime end;
  WorkOutcome outcome = WorkOutcome::kRunning;
  // At the start of this work: the number of running and waiting requests,
  // including this one, and the target's concurrency limit.
  std::uint32_t in_flight = 0;
  std::uint32_t bound = 0;
};

// Ground-truth log of the work of one target. Kept across simulated crashes. Not
// thread-safe.
class TargetJournal {
 public:
  // Maximum number of entries; the oldest are dropped. Corresponds to about half
  // an hour of work on a saturated target.
  static constexpr std::size_t kMaxEntries = 200000;

  void Started(JournalEntry entry);
  void Ended(WorkId work, WorkOutcome outcome, WallTime when);
  void Refused(ErrorKind reason);
  void Crashed() { ++crashes_; }

  const std::deque<JournalEntry>& entries() const { return entries_; }
  std::uint64_t dropped() const { return dropped_; }
  std::uint64_t crashes() const { return crashes_; }
  std::uint64_t refused(ErrorKind reason) const {
    return refused_.at(static_cast<std::size_t>(reason));
  }

 private:
  std::deque<JournalEntry> entries_;
  std::uint64_t dropped_ = 0;
  std::uint64_t crashes_ = 0;
  std::array<std::uint64_t, static_cast<std::size_t>(ErrorKind::kInternal) + 1> refused_{};
};

}  // namespace peridotfork::standin

#endif  // PERIDOTFORK_STANDIN_TARGET_JOURNAL_H_
