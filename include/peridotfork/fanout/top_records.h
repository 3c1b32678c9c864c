#ifndef PERIDOTFORK_FANOUT_TOP_RECORDS_H_
#define PERIDOTFORK_FANOUT_TOP_RECORDS_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace peridotfork {

// Bytes of one opaque record.
inline constexpr std::size_t kRecordSize = 16;

// The greatest `count` records of all parts, greatest first, compared byte by
// byte. Equal records all count. A remainder shorter than a record is passed
// over.
std::string MergeTopRecords(const std::vector<std::string_view>& parts, std::size_t count);

}  // namespace peridotfork

#endif  // PERIDOTFORK_FANOUT_TOP_RECORDS_H_
