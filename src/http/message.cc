#include "peridotfork/http/message.h"

#include <boost/beast/core/string.hpp>
#include <nlohmann/json.hpp>
#include <utility>

namespace peridotfork::http {

std::string Response::Header(std::string_view name) const {
  for (const auto& [key, value] : headers) {
    if (boost::beast::iequals(key, {name.data(), name.size()})) {
      return value;
    }
  }
  return {};
}

Response JsonResponse(std::string body) {
  Response response;
  response.body = std::move(body);
  return response;
}

Response ErrorResponse(unsigned status, const Error& error) {
  const nlohmann::json body = {
      {"error",
       {{"kind", error.code.message()}, {"where", error.where}, {"message", error.detail}}}};
  Response response;
  response.status = status;
  // Input quoted in the error may not be UTF-8.
  response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return response;
}

}  // namespace peridotfork::http
