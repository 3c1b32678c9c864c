#include "peridotfork/dispatcher/target_protocol.h"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace peridotfork::dispatcher {
namespace {

using Json = nlohmann::json;

struct StatusOutcome {
  unsigned status;
  ErrorKind outcome;
};

constexpr std::array kOutcomes = {
    StatusOutcome{200, ErrorKind::kOk},       StatusOutcome{400, ErrorKind::kMalformed},
    StatusOutcome{408, ErrorKind::kExpired},  StatusOutcome{410, ErrorKind::kSnapshotGone},
    StatusOutcome{429, ErrorKind::kShed},     StatusOutcome{499, ErrorKind::kCancelled},
    StatusOutcome{503, ErrorKind::kDraining}, StatusOutcome{504, ErrorKind::kTimedOut},
};

struct StateName {
  std::string_view name;
  protocol::TargetState state;
};

constexpr std::array kStates = {
    StateName{"cold", protocol::TargetState::kCold},
    StateName{"warm", protocol::TargetState::kWarm},
    StateName{"draining", protocol::TargetState::kDraining},
};

ErrorKind OutcomeOf(unsigned status) {
  for (const StatusOutcome& entry : kOutcomes) {
    if (entry.status == status) {
      return entry.outcome;
    }
  }
  return ErrorKind::kInternal;
}

protocol::TargetState ReadState(const Json& json) {
  const auto state = json.find("state");
  if (state != json.end() && state->is_string()) {
    for (const StateName& entry : kStates) {
      if (*state == entry.name) {
        return entry.state;
      }
    }
  }
  return protocol::TargetState::kUnknown;
}

Snapshot ReadSnapshot(const Json& json) {
  return {IndexVersion(json.at("index").get<std::uint64_t>()),
          PartitionMapVersion(json.at("map").get<std::uint64_t>())};
}

std::vector<Snapshot> ReadSnapshots(const Json& json) {
  std::vector<Snapshot> snapshots;
  const auto list = json.find("snapshots");
  if (list != json.end()) {
    for (const Json& item : *list) {
      snapshots.push_back(ReadSnapshot(item));
    }
  }
  return snapshots;
}

void ReadTargetStatus(const Json& json, TargetAnswer* answer) {
  answer->state = ReadState(json);
  answer->snapshots = ReadSnapshots(json);
  if (const auto load = json.find("load"); load != json.end()) {
    answer->load = load->at("busy").get<std::uint32_t>() + load->at("queued").get<std::uint32_t>();
  }
}

void ReadResult(const Json& json, bool booking, TargetAnswer* answer) {
  answer->snapshot = ReadSnapshot(json.at("snapshot"));
  if (booking) {
    answer->result = json.at("result").dump();
    return;
  }
  for (const Json& record : json.at("records")) {
    answer->records.push_back(
        {RecordId(record.at("id").get<std::string>()), record.value("rank", 0.0), record.dump()});
  }
}

}  // namespace

http::Request EncodeAttempt(const protocol::SubRequest& request,
                            const std::string& attempt,
                            WallTime deadline) {
  // The entry has checked that the body is JSON. If a faulty peer sends anything else,
  // the target refuses the request.
  const Json body = Json::parse(request.body, nullptr, /*allow_exceptions=*/false);
  Json json = {
      {"attempt", attempt},
      {"service", request.service.value()},
      {"group", request.group.value()},
      {"deadline_us", deadline.time_since_epoch().count()},
      {request.booking ? "booking" : "query", body.is_discarded() ? Json() : body},
  };
  if (request.snapshot != Snapshot()) {
    json["snapshot"] = {{"index", request.snapshot.index.value()},
                        {"map", request.snapshot.map.value()}};
  }
  if (request.limit > 0) {
    json["limit"] = request.limit;
  }
  return {"POST", request.booking ? "/book" : "/search", {}, json.dump()};
}

http::Request EncodeCancel(const std::string& attempt) {
  return {"POST", "/cancel", {}, Json{{"attempt", attempt}}.dump()};
}

TargetAnswer DecodeAnswer(const http::Response& response, bool booking) {
  TargetAnswer answer;
  answer.outcome = OutcomeOf(response.status);
  try {
    const Json json = Json::parse(response.body);
    ReadTargetStatus(json, &answer);
    if (answer.outcome == ErrorKind::kOk) {
      ReadResult(json, booking, &answer);
    }
  } catch (const Json::exception&) {
    if (answer.outcome == ErrorKind::kOk) {
      answer = TargetAnswer();
    }
  }
  return answer;
}

Result<TargetHealth> DecodeHealth(const http::Response& response) {
  if (response.status != 200) {
    return MakeError(ErrorKind::kUnavailable, "health", std::to_string(response.status));
  }
  try {
    const Json json = Json::parse(response.body);
    TargetHealth health;
    health.state = ReadState(json);
    health.snapshots = ReadSnapshots(json);
    if (json.contains("bears")) {
      health.bears = Slots(json.at("bears").get<std::uint32_t>());
    }
    if (json.contains("slots")) {
      health.slots = Slots(json.at("slots").get<std::uint32_t>());
    }
    return health;
  } catch (const Json::exception& error) {
    return MakeError(ErrorKind::kMalformed, "health", error.what());
  }
}

}  // namespace peridotfork::dispatcher
