#ifndef PERIDOTFORK_CORE_UNITS_H_
#define PERIDOTFORK_CORE_UNITS_H_

#include <cstdint>

#include "peridotfork/internal/core/strong_value.h"

namespace peridotfork {

// Number of sub-requests that a target runs concurrently.
using Slots = StrongValue<struct SlotsTag, std::uint32_t>;

// Number of open connections to a target.
using Connections = StrongValue<struct ConnectionsTag, std::uint32_t>;

// Requests per second.
using Rate = StrongValue<struct RateTag, double>;

using Bytes = StrongValue<struct BytesTag, std::uint64_t>;

// Multiples of 1,048,576 bytes.
using Mebibytes = StrongValue<struct MebibytesTag, double>;

// A computed number of requests, such as a part of a sum.
using RequestCount = StrongValue<struct RequestCountTag, double>;

}  // namespace peridotfork

#endif  // PERIDOTFORK_CORE_UNITS_H_
