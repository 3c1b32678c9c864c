#ifndef PERIDOTFORK_HTTP_FRAMING_H_
#define PERIDOTFORK_HTTP_FRAMING_H_

#include <cstdint>
#include <string_view>

#include "peridotfork/core/error.h"

namespace peridotfork::http {

// How the body of a request is delimited.
enum class BodyFraming { kNone, kLength, kChunked };

struct RequestFraming {
  BodyFraming kind = BodyFraming::kNone;
  // Length of the body if `kind` is kLength.
  std::uint64_t length = 0;
};

// Decides how the body of a request is delimited, from its head alone: the bytes up to and
// including the empty line. Follows RFC 9112, sections 2.2, 5 and 6.1 to 6.3. Returns kMalformed
// for a head after which the end of the request is not certain, so that another reader might find a
// second request in its body; the connection must then be closed.
Result<RequestFraming> DecideRequestFraming(std::string_view head);

// Returns the size of the head at the start of `bytes`, including the empty line; 0 if the head is
// not complete.
std::size_t HeadSize(std::string_view bytes);

// Whether the bytes of an incomplete head contain a line that ends without a carriage return, or a
// carriage return that ends no line. Such a head never becomes valid.
bool HasBareLineEnd(std::string_view bytes);

}  // namespace peridotfork::http

#endif  // PERIDOTFORK_HTTP_FRAMING_H_
