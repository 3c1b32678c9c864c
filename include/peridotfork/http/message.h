#ifndef PERIDOTFORK_HTTP_MESSAGE_H_
#define PERIDOTFORK_HTTP_MESSAGE_H_

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "peridotfork/core/error.h"

namespace peridotfork::http {

// The path and the query hold any bytes; they are percent-encoded on the wire only.
struct Request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::string body;
};

struct Response {
  unsigned status = 200;
  std::string body;
  std::string content_type = "application/json";
  std::vector<std::pair<std::string, std::string>> headers;

  // Value of a header, or an empty string if absent. Names are case-insensitive.
  std::string Header(std::string_view name) const;
};

// Sends the response to one request. Called exactly once, from any thread.
using Responder = std::function<void(Response)>;

// Handles requests. Called concurrently on the workers.
class Handler {
 public:
  virtual ~Handler() = default;
  virtual void Handle(Request request, Responder respond) = 0;
};

// A response with status 200 and a JSON body.
Response JsonResponse(std::string body);

// The error response of all HTTP interfaces:
// {"error":{"kind":..., "where":..., "message":...}}.
Response ErrorResponse(unsigned status, const Error& error);

}  // namespace peridotfork::http

#endif  // PERIDOTFORK_HTTP_MESSAGE_H_
