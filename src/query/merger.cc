#include "peridotfork/query/merger.h"

#include <algorithm>
#include <cmath>
#include <sstream>
#include <utility>

namespace peridotfork::query {
namespace {

std::string GroupText(GroupIndex group) {
  return "group " + std::to_string(group.value());
}

std::string SnapshotText(Snapshot snapshot) {
  std::ostringstream out;
  out << "index " << snapshot.index << ", map " << snapshot.map;
  return out.str();
}

bool RanksBefore(const Record& left, const Record& right) {
  return left.rank != right.rank ? left.rank > right.rank : left.id < right.id;
}

}  // namespace

Merger::Merger(Snapshot snapshot, std::uint32_t groups_total)
    : snapshot_(snapshot), answered_(groups_total, false) {}

Result<void> Merger::Add(GroupIndex group, Snapshot snapshot, std::vector<Record> records) {
  if (Result<void> check = Check(group, snapshot, records); !check) {
    return check;
  }
  answered_[group.value()] = true;
  ++groups_answered_;
  for (Record& record : records) {
    if (ids_.insert(record.id).second) {
      records_.push_back(std::move(record));
    }
  }
  return boost::outcome_v2::success();
}

Result<void> Merger::Check(GroupIndex group,
                           Snapshot snapshot,
                           const std::vector<Record>& records) const {
  if (group.value() >= answered_.size()) {
    return MakeError(ErrorKind::kOutOfRange, GroupText(group));
  }
  if (snapshot != snapshot_) {
    return MakeError(
        ErrorKind::kSnapshotGone, GroupText(group),
        "the answer is from " + SnapshotText(snapshot) + " instead of " + SnapshotText(snapshot_));
  }
  if (answered_[group.value()]) {
    return MakeError(ErrorKind::kDuplicate, GroupText(group));
  }
  const bool ranked =
      std::ranges::none_of(records, [](const Record& record) { return std::isnan(record.rank); });
  if (!ranked) {
    return MakeError(ErrorKind::kMalformed, GroupText(group) + ".records.rank", "not a number");
  }
  return boost::outcome_v2::success();
}

Coverage Merger::coverage() const {
  return {static_cast<std::uint32_t>(answered_.size()), groups_answered_, ids_.size()};
}

std::vector<Record> Merger::TakeRecords(std::uint32_t limit) {
  std::vector<Record> records = std::exchange(records_, {});
  const std::size_t count =
      limit == 0 ? records.size() : std::min<std::size_t>(limit, records.size());
  const auto end = records.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(records.begin(), end, records.end(), RanksBefore);
  records.erase(end, records.end());
  return records;
}

}  // namespace peridotfork::query
