#ifndef PERIDOTFORK_HTTP_REQUEST_TARGET_H_
#define PERIDOTFORK_HTTP_REQUEST_TARGET_H_

#include <string>
#include <string_view>

#include "peridotfork/http/message.h"

namespace peridotfork::http {

// Returns the target of the request line, such as "/v1/hosts?after=a%20b". All bytes of the path
// and the query but the unreserved characters of RFC 3986 and the slashes of the path are encoded.
std::string EncodeTarget(const Request& request);

// Sets the path and the query of `request`. An invalid escape is kept unchanged.
void DecodeTarget(std::string_view target, Request& request);

}  // namespace peridotfork::http

#endif  // PERIDOTFORK_HTTP_REQUEST_TARGET_H_
