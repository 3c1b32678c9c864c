#ifndef PERIDOTFORK_QUERY_MERGER_H_
#define PERIDOTFORK_QUERY_MERGER_H_

#include <cstdint>
#include <string>
#include <unordered_set>
#include <vector>

#include "peridotfork/core/error.h"
#include "peridotfork/core/ids.h"

namespace peridotfork::query {

// One record that a target found. `json` is passed through without being parsed.
struct Record {
  RecordId id;
  double rank = 0;
  std::string json;

  friend bool operator==(const Record&, const Record&) = default;
};

// Number of groups that contributed to an answer, and of distinct records that they
// found before the limit was applied.
struct Coverage {
  std::uint32_t groups_total = 0;
  std::uint32_t groups_answered = 0;
  std::uint64_t records = 0;

  friend bool operator==(const Coverage&, const Coverage&) = default;
};

// Merges the replies of the groups into one answer. Not thread-safe.
class Merger {
 public:
  Merger(Snapshot snapshot, std::uint32_t groups_total);

  // Adds the records of one group. Of several records with the same id, the first
  // one added is kept. Fails without any change for a reply from another snapshot
  // (kSnapshotGone), a group outside the snapshot's map (kOutOfRange), a group that
  // was already added (kDuplicate) and a rank that is NaN (kMalformed).
  Result<void> Add(GroupIndex group, Snapshot snapshot, std::vector<Record> records);

  Coverage coverage() const;
  Snapshot snapshot() const { return snapshot_; }

  // Returns at most `limit` records, or all if it is 0, in order of descending rank,
  // then ascending id. Removes the records from the merger but keeps its coverage.
  std::vector<Record> TakeRecords(std::uint32_t limit);

 private:
  Result<void> Check(GroupIndex group, Snapshot snapshot, const std::vector<Record>& records) const;

  Snapshot snapshot_;
  std::vector<bool> answered_;
  std::uint32_t groups_answered_ = 0;
  std::unordered_set<RecordId> ids_;
  std::vector<Record> records_;
};

}  // namespace peridotfork::query

#endif  // PERIDOTFORK_QUERY_MERGER_H_
