#include "peridotfork/fanout/top_records.h"

#include <algorithm>
#include <functional>

namespace peridotfork {

std::string MergeTopRecords(const std::vector<std::string_view>& parts, std::size_t count) {
  std::vector<std::string_view> records;
  for (const std::string_view part : parts) {
    for (std::size_t at = 0; at + kRecordSize <= part.size(); at += kRecordSize) {
      records.push_back(part.substr(at, kRecordSize));
    }
  }
  const std::size_t kept = std::min(count, records.size());
  const auto middle = records.begin() + static_cast<std::ptrdiff_t>(kept);
  std::partial_sort(records.begin(), middle, records.end(), std::greater<>());
  std::string merged;
  merged.reserve(kept * kRecordSize);
  for (std::size_t i = 0; i < kept; ++i) {
    merged.append(records[i]);
  }
  return merged;
}

}  // namespace peridotfork
