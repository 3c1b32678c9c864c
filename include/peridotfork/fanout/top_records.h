#ifndef PERIDOTFORK_FANOUT_TOP_RECORDS_H_
#define PERIDOTFORK_FANOUT_TOP_RECORDS_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace peridotfork {

// Size of one opaque record in bytes.
inline constexpr std::size_t kRecordSize = 16;

// Returns the `count` greatest records of all parts in descending byte order. Duplicates are kept.
// Trailing bytes shorter than a record are ignored.
std::string MergeTopRecords(const std::vector<std::string_view>& parts, std::size_t count);

}  // namespace peridotfork

#endif  // PERIDOTFORK_FANOUT_TOP_RECORDS_H_
