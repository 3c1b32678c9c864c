#include "peridotfork/standin/target_journal.h"

#include <algorithm>
#include <utility>

namespace peridotfork::standin {

void TargetJournal::Started(JournalEntry entry) {
  entries_.push_back(std::move(entry));
  if (entries_.size() > kMaxEntries) {
    entries_.pop_front();
    ++dropped_;
  }
}

void TargetJournal::Ended(WorkId work, WorkOutcome outcome, WallTime when) {
  // Searches backwards, because running work is near the end of the journal.
  const auto found = std::find_if(entries_.rbegin(), entries_.rend(),
                                  [work](const JournalEntry& entry) { return entry.work == work; });
  if (found != entries_.rend()) {
    found->outcome = outcome;
    found->end = when;
  }
}

void TargetJournal::Refused(ErrorKind reason) {
  ++refused_.at(static_cast<std::size_t>(reason));
}

}  // namespace peridotfork::standin
