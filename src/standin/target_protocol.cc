#include "peridotfork/internal/standin/target_protocol.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <iterator>
#include <utility>

#include "peridotfork/internal/standin/stable_hash.h"

namespace peridotfork::standin {
namespace {

using nlohmann::json;

constexpr std::size_t kDefaultLimit = 10;
constexpr std::size_t kMaxLimit = 1000;

// HTTP status of each failure; 500 for all others. 504 means that the deadline
// passed after the work had started, 499 that the work was cancelled.
struct FailureStatus {
  ErrorKind kind;
  unsigned status;
};
constexpr std::array kFailureStatuses = {
    FailureStatus{ErrorKind::kShed, 429},         FailureStatus{ErrorKind::kSnapshotGone, 410},
    FailureStatus{ErrorKind::kExpired, 408},      FailureStatus{ErrorKind::kDraining, 503},
    FailureStatus{ErrorKind::kUnavailable, 503},  FailureStatus{ErrorKind::kTimedOut, 504},
    FailureStatus{ErrorKind::kCancelled, 499},    FailureStatus{ErrorKind::kMalformed, 400},
    FailureStatus{ErrorKind::kMissingField, 400}, FailureStatus{ErrorKind::kWrongType, 400},
    FailureStatus{ErrorKind::kOutOfRange, 400},   FailureStatus{ErrorKind::kUnknownName, 400},
    FailureStatus{ErrorKind::kTooLarge, 413},
};

unsigned StatusOf(ErrorKind kind) {
  const auto* found =
      std::ranges::find(kFailureStatuses, kind, [](const FailureStatus& f) { return f.kind; });
  return found == kFailureStatuses.end() ? 500 : found->status;
}

json ToJson(const Snapshot& snapshot) {
  return {{"index", snapshot.index.value()}, {"map", snapshot.map.value()}};
}

json ToJson(const std::vector<StoredSnapshot>& snapshots) {
  json list = json::array();
  for (const StoredSnapshot& stored : snapshots) {
    json item = ToJson(stored.snapshot);
    item["groups"] = stored.group_count;
    list.push_back(std::move(item));
  }
  return list;
}

void AddReport(json& body, const TargetReport& report) {
  body["load"] = {{"busy", report.load.busy}, {"queued", report.load.queued}};
  body["state"] = ConditionName(report.condition);
  body["snapshots"] = ToJson(report.snapshots);
}

std::string Hex(std::uint64_t value) {
  char text[24];
  std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(value));
  return text;
}

const char* OutcomeName(WorkOutcome outcome) {
  static constexpr std::array kNames = {"running", "done", "cancelled", "deadline", "crashed"};
  return kNames.at(static_cast<std::size_t>(outcome));
}

std::string AttemptText(const json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

// A query is a string, or an object whose "words" are a string or an array.
std::vector<std::string> DecodeWords(const json& query) {
  const json& words = query.is_object() ? query.at("words") : query;
  if (words.is_array()) {
    return words.get<std::vector<std::string>>();
  }
  return SplitWords(words.get<std::string>());
}

Snapshot DecodeSnapshot(const json& value) {
  return {IndexVersion(value.at("index").get<std::uint64_t>()),
          PartitionMapVersion(value.at("map").get<std::uint64_t>())};
}

std::string BookingKey(const json& booking) {
  const auto key = booking.find("key");
  return key == booking.end() ? std::string() : AttemptText(*key);
}

TargetRequest DecodeFields(WorkKind kind, const json& body) {
  const bool booking = kind == WorkKind::kBooking;
  const json& content = body.at(booking ? "booking" : "query");
  TargetRequest request;
  request.work.attempt = AttemptText(body.at("attempt"));
  request.work.kind = kind;
  request.work.text = content.dump();
  request.work.body_hash = StableHash(request.work.text);
  if (!booking || body.contains("snapshot")) {
    request.work.snapshot = DecodeSnapshot(body.at("snapshot"));
  }
  request.work.deadline =
      WallTime(std::chrono::microseconds(body.at("deadline_us").get<std::int64_t>()));
  request.group = {ServiceId(body.at("service").get<std::string>()),
                   GroupIndex(body.at("group").get<std::uint32_t>())};
  if (booking) {
    request.work.booking_key = BookingKey(content);
  } else {
    request.words = DecodeWords(content);
    request.limit = std::min(body.value("limit", kDefaultLimit), kMaxLimit);
  }
  return request;
}

json ToJson(const JournalEntry& entry) {
  return {{"work", entry.work.value()},
          {"attempt", entry.attempt},
          {"kind", entry.kind == WorkKind::kBooking ? "booking" : "search"},
          {"body_hash", Hex(entry.body_hash)},
          {"booking_key", entry.booking_key},
          {"snapshot", ToJson(entry.snapshot)},
          {"start_us", entry.start.time_since_epoch().count()},
          {"end_us", entry.end.time_since_epoch().count()},
          {"outcome", OutcomeName(entry.outcome)},
          {"in_flight", entry.in_flight},
          {"bound", entry.bound}};
}

}  // namespace

http::Response JsonResponse(unsigned status, const json& body) {
  http::Response response;
  response.status = status;
  response.body = body.dump();
  return response;
}

Result<TargetRequest> DecodeTargetRequest(WorkKind kind, const std::string& body) {
  try {
    return DecodeFields(kind, json::parse(body));
  } catch (const json::exception& error) {
    return MakeError(ErrorKind::kMalformed, "body", error.what());
  }
}

Result<std::string> DecodeCancel(const std::string& body) {
  try {
    return AttemptText(json::parse(body).at("attempt"));
  } catch (const json::exception& error) {
    return MakeError(ErrorKind::kMalformed, "body", error.what());
  }
}

Result<std::vector<StoredSnapshot>> DecodeSnapshots(const json& list) {
  std::vector<StoredSnapshot> snapshots;
  try {
    for (const json& item : list) {
      snapshots.push_back({DecodeSnapshot(item), item.at("groups").get<std::uint32_t>()});
    }
  } catch (const json::exception& error) {
    return MakeError(ErrorKind::kMalformed, "snapshots", error.what());
  }
  const bool grouped =
      std::ranges::all_of(snapshots, [](const StoredSnapshot& s) { return s.group_count > 0; });
  if (!grouped) {
    return MakeError(ErrorKind::kOutOfRange, "snapshots", "groups must be at least 1");
  }
  return snapshots;
}

http::Response EncodeHits(const std::vector<Record>& records,
                          const Snapshot& snapshot,
                          const TargetReport& report) {
  json body = {{"snapshot", ToJson(snapshot)}};
  AddReport(body, report);
  // The records are already encoded as JSON.
  std::string text = R"({"records":[)";
  for (std::size_t i = 0; i < records.size(); ++i) {
    text += (i > 0 ? "," : "") + records[i].json;
  }
  http::Response response;
  response.body = text + "]," + body.dump().substr(1);
  return response;
}

http::Response EncodeBooked(const TargetRequest& request,
                            const TargetId& target,
                            const Snapshot& snapshot,
                            const TargetReport& report) {
  const std::string confirmation = Hex(StableHash(request.work.attempt, request.work.body_hash));
  json body = {{"snapshot", ToJson(snapshot)},
               {"result",
                {{"confirmation", "BK-" + confirmation.substr(0, 8)},
                 {"key", request.work.booking_key},
                 {"target", target.value()}}}};
  AddReport(body, report);
  return JsonResponse(200, body);
}

http::Response EncodeFailure(const Error& error, const TargetReport& report) {
  json body = {
      {"error",
       {{"kind", error.code.message()}, {"where", error.where}, {"message", error.detail}}}};
  AddReport(body, report);
  return JsonResponse(StatusOf(error.kind()), body);
}

http::Response EncodeHealth(const HealthReport& report) {
  return JsonResponse(200, {{"state", ConditionName(report.condition)},
                            {"snapshots", ToJson(report.snapshots)},
                            {"slots", report.slots.value()},
                            {"bears", report.bears}});
}

http::Response EncodeLoad(const LoadReport& report) {
  return JsonResponse(
      200, {{"busy", report.busy}, {"queued", report.queued}, {"age_ms", report.age.count()}});
}

JournalView ViewJournal(const TargetModel& model, WorkId after) {
  const TargetJournal& journal = model.journal();
  JournalView view;
  view.condition = model.condition();
  view.crashes = journal.crashes();
  view.dropped = journal.dropped();
  for (int value = 0; value <= static_cast<int>(ErrorKind::kInternal); ++value) {
    const auto kind = static_cast<ErrorKind>(value);
    if (journal.refused(kind) > 0) {
      view.refused.emplace_back(kind, journal.refused(kind));
    }
  }
  view.open_connections = model.connections();
  view.peak_connections = model.peak_connections();
  std::ranges::copy_if(journal.entries(), std::back_inserter(view.entries),
                       [after](const JournalEntry& entry) { return entry.work > after; });
  return view;
}

http::Response EncodeJournal(const TargetId& target,
                             const GroupId& group,
                             const JournalView& view) {
  json entries = json::array();
  for (const JournalEntry& entry : view.entries) {
    entries.push_back(ToJson(entry));
  }
  json refused = json::object();
  for (const auto& [kind, count] : view.refused) {
    refused[std::string(ErrorKindName(kind))] = count;
  }
  return JsonResponse(
      200, {{"target", target.value()},
            {"service", group.service.value()},
            {"group", group.index.value()},
            {"state", ConditionName(view.condition)},
            {"crashes", view.crashes},
            {"refused", std::move(refused)},
            {"connections", {{"open", view.open_connections}, {"most", view.peak_connections}}},
            {"dropped", view.dropped},
            {"entries", std::move(entries)}});
}

std::string ConditionName(Condition condition) {
  static constexpr std::array kNames = {"cold", "warm", "draining", "down"};
  return kNames.at(static_cast<std::size_t>(condition));
}

Result<Condition> ConditionFromName(const std::string& name) {
  for (const Condition condition :
       {Condition::kCold, Condition::kWarm, Condition::kDraining, Condition::kDown}) {
    if (ConditionName(condition) == name) {
      return condition;
    }
  }
  return MakeError(ErrorKind::kUnknownName, "state", name);
}

}  // namespace peridotfork::standin
