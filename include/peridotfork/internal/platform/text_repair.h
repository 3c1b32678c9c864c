#ifndef PERIDOTFORK_INTERNAL_PLATFORM_TEXT_REPAIR_H_
#define PERIDOTFORK_INTERNAL_PLATFORM_TEXT_REPAIR_H_

#include <string>
#include <string_view>

namespace peridotfork::platform {

// Replaces each byte that is not valid UTF-8, and each escape of a surrogate without its
// counterpart, by characters for private use, so that a JSON parser accepts the document. An escape
// such as "\udcff" stands for the byte 0xff, as in the surrogateescape handler of Python.
std::string RepairJsonText(std::string_view json);

// Returns the bytes that a string of a repaired document had before.
std::string OriginalBytes(std::string_view repaired);

}  // namespace peridotfork::platform

#endif  // PERIDOTFORK_INTERNAL_PLATFORM_TEXT_REPAIR_H_
