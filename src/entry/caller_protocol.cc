#include "peridotfork/entry/caller_protocol.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace peridotfork::entry {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxNameLength = 128;

// Longer than other names, since a ticket contains the name of its host.
constexpr std::size_t kMaxTicketLength = 320;

struct RefusalStatus {
  ErrorKind kind;
  unsigned status;
};

constexpr std::array kRefusalStatuses = {
    RefusalStatus{ErrorKind::kMalformed, 400},
    RefusalStatus{ErrorKind::kUnknownField, 400},
    RefusalStatus{ErrorKind::kMissingField, 400},
    RefusalStatus{ErrorKind::kWrongType, 400},
    RefusalStatus{ErrorKind::kOutOfRange, 400},
    RefusalStatus{ErrorKind::kUnsupportedVersion, 400},
    RefusalStatus{ErrorKind::kUnknownName, 404},
    RefusalStatus{ErrorKind::kDuplicate, 409},
    RefusalStatus{ErrorKind::kTooLarge, 413},
    RefusalStatus{ErrorKind::kQuarantined, 422},
    RefusalStatus{ErrorKind::kCallerLimit, 429},
};

// Reads the fields of one JSON object and keeps the first error.
class FieldReader {
 public:
  explicit FieldReader(std::string_view body)
      : json_(Json::parse(body, nullptr, /*allow_exceptions=*/false)) {
    if (json_.is_discarded() || !json_.is_object()) {
      Fail(ErrorKind::kMalformed, "body", "expected a JSON object");
    }
  }

  std::string Name(const char* field, std::size_t max_length = kMaxNameLength) {
    const Json* const item = Find(field, /*required=*/true);
    if (item == nullptr) {
      return {};
    }
    if (!item->is_string()) {
      Fail(ErrorKind::kWrongType, Path(field), "expected a string");
      return {};
    }
    auto text = item->get<std::string>();
    if (text.empty() || text.size() > max_length) {
      Fail(ErrorKind::kOutOfRange, Path(field),
           "expected 1 to " + std::to_string(max_length) + " bytes");
    }
    return text;
  }

  // Returns a value of a type that `allowed` accepts, as JSON text.
  std::string Text(const char* field, bool (*allowed)(const Json&), const char* expected) {
    const Json* const item = Find(field, /*required=*/true);
    if (item == nullptr) {
      return {};
    }
    if (!allowed(*item)) {
      Fail(ErrorKind::kWrongType, Path(field), expected);
      return {};
    }
    return item->dump(-1, ' ', false, Json::error_handler_t::replace);
  }

  std::optional<std::int64_t> Number(const char* field, std::int64_t min, std::int64_t max) {
    const Json* const item = Find(field, /*required=*/false);
    if (item == nullptr) {
      return std::nullopt;
    }
    if (!item->is_number_integer()) {
      Fail(ErrorKind::kWrongType, Path(field), "expected an integer");
      return std::nullopt;
    }
    // A number above the signed range is converted to a negative one, which is rejected.
    const auto number = item->get<std::int64_t>();
    if (number < min || number > max) {
      Fail(ErrorKind::kOutOfRange, Path(field),
           "expected " + std::to_string(min) + " to " + std::to_string(max));
      return std::nullopt;
    }
    return number;
  }

  std::optional<std::string> OptionalName(const char* field) {
    if (Find(field, /*required=*/false) == nullptr) {
      return std::nullopt;
    }
    return Name(field);
  }

  void Fail(ErrorKind kind, std::string where, std::string detail) {
    if (!error_.has_value()) {
      error_ = MakeError(kind, std::move(where), std::move(detail));
    }
  }

  // Checks for unknown fields, i.e. those that no method was called for, and returns the
  // first error.
  std::optional<Error> Finish() {
    if (!error_.has_value()) {
      for (const auto& [key, value] : json_.items()) {
        if (!known_fields_.contains(key)) {
          Fail(ErrorKind::kUnknownField, Path(key.substr(0, kMaxNameLength)), "");
        }
      }
    }
    return error_;
  }

 private:
  static std::string Path(const std::string& field) { return "body." + field; }

  const Json* Find(const char* field, bool required) {
    known_fields_.insert(field);
    if (!json_.is_object()) {
      return nullptr;
    }
    const auto item = json_.find(field);
    if (item == json_.end()) {
      if (required) {
        Fail(ErrorKind::kMissingField, Path(field), "");
      }
      return nullptr;
    }
    return &*item;
  }

  const Json json_;
  std::set<std::string> known_fields_;
  std::optional<Error> error_;
};

std::optional<std::chrono::milliseconds> ReadDeadline(FieldReader& reader) {
  const auto number = reader.Number("deadline_ms", 1, kMaxDeadline.count());
  if (!number.has_value()) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(*number);
}

query::Require ReadRequire(FieldReader& reader) {
  const auto name = reader.OptionalName("require").value_or("partial");
  if (name != "partial" && name != "complete") {
    reader.Fail(ErrorKind::kOutOfRange, "body.require", "expected complete or partial");
  }
  return name == "complete" ? query::Require::kComplete : query::Require::kPartial;
}

Json MissingJson(const std::vector<query::MissingGroup>& missing) {
  Json json = Json::array();
  for (const query::MissingGroup& group : missing) {
    json.push_back({{"group", group.group.value()}, {"reason", ErrorKindName(group.reason)}});
  }
  return json;
}

// The records are already JSON text, so they are concatenated without being parsed.
std::string JoinRecords(const std::vector<query::Record>& records) {
  std::string text = "[";
  for (const query::Record& record : records) {
    if (text.size() > 1) {
      text += ',';
    }
    text += record.json;
  }
  return text + "]";
}

}  // namespace

Result<SearchRequest> DecodeSearch(std::string_view body) {
  FieldReader reader(body);
  SearchRequest request;
  request.caller = CallerId(reader.Name("caller"));
  request.service = ServiceId(reader.Name("service"));
  request.query = reader.Text(
      "query", [](const Json& json) { return json.is_string() || json.is_object(); },
      "expected a string or an object");
  request.deadline = ReadDeadline(reader);
  request.require = ReadRequire(reader);
  if (const auto limit = reader.Number("limit", 1, kMaxLimit); limit.has_value()) {
    request.limit = static_cast<std::uint32_t>(*limit);
  }
  if (auto error = reader.Finish(); error.has_value()) {
    return *error;
  }
  return request;
}

Result<BookingRequest> DecodeBooking(std::string_view body) {
  FieldReader reader(body);
  BookingRequest request;
  request.caller = CallerId(reader.Name("caller"));
  request.service = ServiceId(reader.Name("service"));
  request.ticket = reader.Name("ticket", kMaxTicketLength);
  request.booking = reader.Text(
      "booking", [](const Json& json) { return json.is_object(); }, "expected an object");
  request.deadline = ReadDeadline(reader);
  if (auto error = reader.Finish(); error.has_value()) {
    return *error;
  }
  return request;
}

Result<CallerId> DecodeTicketRequest(std::string_view body) {
  FieldReader reader(body);
  CallerId caller(reader.Name("caller"));
  if (auto error = reader.Finish(); error.has_value()) {
    return *error;
  }
  return caller;
}

http::Response EncodeSearchAnswer(const RequestId& id, const query::QueryOutcome& outcome) {
  Json json = {
      {"request_id", id.value()},
      {"outcome", query::QueryResultName(outcome.result)},
      {"snapshot",
       {{"index", outcome.snapshot.index.value()}, {"map", outcome.snapshot.map.value()}}},
      {"coverage",
       {{"groups_total", outcome.coverage.groups_total},
        {"groups_answered", outcome.coverage.groups_answered},
        {"records", outcome.coverage.records}}},
      {"missing", MissingJson(outcome.missing)},
  };
  if (outcome.result == query::QueryResult::kRefused) {
    json["reason"] = ErrorKindName(outcome.reason);
  }
  std::string text = json.dump();
  text.pop_back();
  text += ",\"records\":" + JoinRecords(outcome.records) + "}";
  http::Response response = http::JsonResponse(std::move(text));
  response.status = outcome.result == query::QueryResult::kRefused ? 503 : 200;
  return response;
}

http::Response EncodeBookingAnswer(std::string_view ticket, const BookingAnswer& answer) {
  Json json = {{"ticket", ticket}, {"outcome", query::BookingResultName(answer.result)}};
  if (answer.result != query::BookingResult::kDone) {
    json["reason"] = ErrorKindName(answer.reason);
  }
  if (!answer.body.empty()) {
    json["result"] = Json::parse(answer.body, nullptr, /*allow_exceptions=*/false);
  }
  return http::JsonResponse(json.dump());
}

http::Response EncodeTicket(const query::Ticket& ticket, std::chrono::seconds lifetime) {
  return http::JsonResponse(
      Json{{"ticket", query::FormatTicket(ticket)}, {"expires_in_s", lifetime.count()}}.dump());
}

http::Response EncodeRefusal(const Error& error) {
  const auto* const found = std::ranges::find(kRefusalStatuses, error.kind(), &RefusalStatus::kind);
  return http::ErrorResponse(found == kRefusalStatuses.end() ? 503 : found->status, error);
}

}  // namespace peridotfork::entry
