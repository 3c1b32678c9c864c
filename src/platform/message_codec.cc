#include "peridotfork/platform/message_codec.h"

#include <algorithm>
#include <boost/beast/http.hpp>
#include <cctype>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

namespace peridotfork::platform {
namespace {

namespace bhttp = boost::beast::http;
using std::chrono::milliseconds;

constexpr const char* kRequestId = "Request-Id";
// Time in milliseconds that the sender waits for the response.
constexpr const char* kTimeout = "Timeout-Ms";
// Id of the only target that may run the request.
constexpr const char* kExpectedTarget = "Target-Instance";
constexpr const char* kSignature = "Response-Stamp";
constexpr const char* kSignatures = "Part-Stamps";
constexpr const char* kMissing = "Missing-Parts";
// Name of the tenant that holds the key of the request.
constexpr const char* kTenant = "Tenant";
constexpr const char* kNotRun = "Not-Executed";
// Numbers of running requests, waiting requests and slots, and, from some targets, how long work
// takes at the moment as a percentage of the usual, separated by commas.
constexpr const char* kLoad = "Server-Load";

// Requests per second that a target in trouble takes from all hosts together, a decimal number.
constexpr const char* kLimit = "Server-Limit";

// "1" in all responses of a target that is leaving.
constexpr const char* kLeaving = "Server-Leaving";

constexpr unsigned kMisdirected = 421;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kUnavailable = 503;

// Upper limit for a Retry-After of a target, so that it can be added to any time.
constexpr double kMaxRetryAfterSeconds = 86'400;

std::string_view View(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

template <typename Number>
std::optional<Number> ParseNumber(std::string_view text) {
  Number number = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

// A higher figure for the time that work takes is not plausible and counts as none.
constexpr double kMaxWorkPercent = 10'000;

std::optional<LoadReport> ParseLoad(std::string_view text) {
  std::uint32_t numbers[3] = {};
  for (std::uint32_t& number : numbers) {
    const std::size_t comma = text.find(',');
    const auto parsed = ParseNumber<std::uint32_t>(text.substr(0, comma));
    if (!parsed) {
      return std::nullopt;
    }
    number = *parsed;
    text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
  }
  LoadReport load{numbers[0], numbers[1], Slots(numbers[2]), std::nullopt};
  if (const auto percent = ParseNumber<double>(text);
      percent && *percent > 0 && *percent <= kMaxWorkPercent) {
    load.work_factor = *percent / 100;
  }
  return load;
}

// Parses the time in seconds, with or without a fraction, for which a target that rejected a
// request wants no others. Dates and anything else that is no number count as none.
std::optional<milliseconds> ParseRetryAfter(std::string_view text) {
  const auto seconds = ParseNumber<double>(text);
  if (!seconds || !std::isfinite(*seconds) || *seconds <= 0) {
    return std::nullopt;
  }
  return std::chrono::ceil<milliseconds>(
      std::chrono::duration<double>(std::min(*seconds, kMaxRetryAfterSeconds)));
}

std::optional<Rate> ParseLimit(std::string_view text) {
  const auto rate = ParseNumber<double>(text);
  if (!rate || !std::isfinite(*rate) || *rate < 0) {
    return std::nullopt;
  }
  return Rate(*rate);
}

// Whether the field applies to a single connection only. A message may list further such fields
// in its Connection field.
bool IsHopByHop(bhttp::field name) {
  switch (name) {
    case bhttp::field::connection:
    case bhttp::field::keep_alive:
    case bhttp::field::proxy_authenticate:
    case bhttp::field::proxy_authorization:
    case bhttp::field::proxy_connection:
    case bhttp::field::te:
    case bhttp::field::trailer:
    case bhttp::field::transfer_encoding:
    case bhttp::field::upgrade:
    case bhttp::field::content_length:
    case bhttp::field::expect:
      return true;
    default:
      return false;
  }
}

// Whether the field reaches the receiver even if a caller lists it in its Connection field: without
// it a request would lose its identity or its time limit.
bool IsAlwaysForwarded(boost::beast::string_view name) {
  return boost::beast::iequals(name, kRequestId) || boost::beast::iequals(name, kTimeout) ||
         boost::beast::iequals(name, "Host");
}

// Whether one of the Connection fields, of which there may be several, lists the field `name`.
bool IsNamedInConnection(const bhttp::fields& fields, boost::beast::string_view name) {
  const auto [begin, end] = fields.equal_range(bhttp::field::connection);
  return std::any_of(begin, end, [name](const auto& field) {
    return bhttp::token_list(field.value()).exists(name);
  });
}

// Sets the length of the answer. An answer without a body that states a length is one to HEAD, or a
// 304, and the length is that of the body that is not sent.
void SetLength(const http::RawResponse& answer, http::RawResponse& response) {
  response.prepare_payload();
  const bool states_length = response.body().empty() && answer.has_content_length();
  const bool is_without_length = answer.result() == bhttp::status::no_content ||
                                 (answer.result() == bhttp::status::not_modified && !states_length);
  if (is_without_length) {
    response.erase(bhttp::field::content_length);
  } else if (states_length) {
    response.set(bhttp::field::content_length, answer[bhttp::field::content_length]);
  }
}

// Copies the fields that may be forwarded over another connection.
void CopyEndToEnd(const bhttp::fields& from, bhttp::fields& to) {
  for (const auto& field : from) {
    const bool dropped =
        IsNamedInConnection(from, field.name_string()) && !IsAlwaysForwarded(field.name_string());
    if (!IsHopByHop(field.name()) && !dropped) {
      to.insert(field.name(), field.name_string(), field.value());
    }
  }
}

}  // namespace

IngressRequest PlatformCodec::DecodeRequest(const http::RawRequest& request) const {
  IngressRequest decoded;
  const std::string_view host = View(request[bhttp::field::host]);
  decoded.host = std::string(host.substr(0, host.rfind(':')));
  std::ranges::transform(decoded.host, decoded.host.begin(), [](unsigned char character) {
    return static_cast<char>(std::tolower(character));
  });
  const std::string_view target = View(request.target());
  decoded.path = std::string(target.substr(0, target.find('?')));
  decoded.id = RequestId(std::string(View(request[kRequestId])));
  if (const auto caller_timeout = ParseNumber<std::int64_t>(View(request[kTimeout]))) {
    decoded.caller_timeout = milliseconds(std::clamp<std::int64_t>(*caller_timeout, 0, 86'400'000));
  }
  return decoded;
}

std::vector<std::string_view> PlatformCodec::Credentials(const http::RawRequest& request) const {
  std::vector<std::string_view> credentials;
  const auto [begin, end] = request.equal_range(bhttp::field::authorization);
  for (auto field = begin; field != end; ++field) {
    credentials.push_back(View(field->value()));
  }
  return credentials;
}

http::RawRequest PlatformCodec::MakeForwarded(const http::RawRequest& request,
                                              const CallerIdentity& identity) const {
  http::RawRequest forwarded;
  forwarded.version(11);
  forwarded.method_string(request.method_string());
  forwarded.target(request.target());
  CopyEndToEnd(request, forwarded);
  forwarded.erase(kTimeout);
  forwarded.erase(kExpectedTarget);
  if (identity.enforced) {
    forwarded.erase(bhttp::field::authorization);
    forwarded.erase(kTenant);
    if (identity.tenant != nullptr) {
      forwarded.set(kTenant, identity.tenant->id.value());
    }
  }
  forwarded.body() = request.body();
  const bool has_body = request.has_content_length() || request.chunked();
  if (has_body || !request.body().empty()) {
    forwarded.content_length(request.body().size());
  }
  return forwarded;
}

void PlatformCodec::AddAttemptFields(http::RequestHead& request,
                                     const TargetId& target,
                                     milliseconds time_left) const {
  request.set(kTimeout, std::to_string(time_left.count()));
  request.set(kExpectedTarget, target.value());
}

bool PlatformCodec::Matches(const http::RawResponse& response, const RequestId& id) const {
  const auto field = response.find(kRequestId);
  return field == response.end() || View(field->value()) == id.value();
}

UpstreamAnswer PlatformCodec::DecodeAnswer(http::RawResponse response) const {
  UpstreamAnswer answer;
  answer.misdirected = response.result_int() == kMisdirected;
  answer.not_run = answer.misdirected || response.find(kNotRun) != response.end();
  answer.signature = std::string(View(response[kSignature]));
  answer.transformed = response.find(bhttp::field::content_encoding) != response.end();
  answer.signals.load = ParseLoad(View(response[kLoad]));
  answer.signals.limit = ParseLimit(View(response[kLimit]));
  answer.signals.leaving = View(response[kLeaving]) == "1";
  const unsigned status = response.result_int();
  if (status == kUnavailable || status == kTooManyRequests) {
    answer.signals.hold = ParseRetryAfter(View(response[bhttp::field::retry_after]));
  }
  answer.message = std::move(response);
  return answer;
}

http::RawResponse PlatformCodec::Encode(UpstreamAnswer answer) const {
  http::RawResponse response;
  response.version(11);
  response.result(answer.message.result_int());
  CopyEndToEnd(answer.message, response);
  response.body() = std::move(answer.message.body());
  SetLength(answer.message, response);
  return response;
}

http::RawResponse PlatformCodec::Encode(const MergedAnswer& answer) const {
  http::RawResponse response;
  response.version(11);
  response.result(bhttp::status::ok);
  std::string signatures;
  for (const std::string& signature : answer.signatures) {
    signatures.append(signatures.empty() ? "" : ", ").append(signature);
  }
  response.set(kSignatures, signatures);
  response.set(kMissing, std::to_string(answer.missing));
  response.set(bhttp::field::content_type, "application/octet-stream");
  response.body() = answer.body;
  response.prepare_payload();
  return response;
}

http::RawResponse PlatformCodec::EncodeError(unsigned status,
                                             const Error& error,
                                             std::optional<milliseconds> retry_after) const {
  http::RawResponse response;
  response.version(11);
  response.result(status);
  response.set(bhttp::field::content_type, "application/json");
  if (retry_after) {
    char seconds[32];
    std::snprintf(seconds, sizeof seconds, "%.3f", static_cast<double>(retry_after->count()) / 1e3);
    response.set(bhttp::field::retry_after, seconds);
  }
  const nlohmann::json body = {
      {"error",
       {{"kind", ErrorKindName(error.kind())}, {"where", error.where}, {"message", error.detail}}}};
  // Errors may quote bytes that are not valid UTF-8.
  response.body() = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  response.prepare_payload();
  return response;
}

}  // namespace peridotfork::platform
