#ifndef PERIDOTFORK_INTERNAL_STANDIN_TARGET_PROTOCOL_H_
#define PERIDOTFORK_INTERNAL_STANDIN_TARGET_PROTOCOL_H_

#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "peridotfork/core/error.h"
#include "peridotfork/http/message.h"
#include "peridotfork/standin/record_set.h"
#include "peridotfork/standin/target_model.h"

namespace peridotfork::standin {

// A decoded POST /search or POST /book request.
struct TargetRequest {
  WorkRequest work;
  GroupId group;
  std::vector<std::string> words;
  std::size_t limit = 0;
};

// State of the target that is included in each response.
struct TargetReport {
  Condition condition = Condition::kWarm;
  LoadReport load;
  std::vector<StoredSnapshot> snapshots;
};

// Decodes a request body. Unknown fields are ignored.
Result<TargetRequest> DecodeTargetRequest(WorkKind kind, const std::string& body);

// Decodes the attempt id of a POST /cancel request.
Result<std::string> DecodeCancel(const std::string& body);

http::Response EncodeHits(const std::vector<Record>& records,
                          const Snapshot& snapshot,
                          const TargetReport& report);
http::Response EncodeBooked(const TargetRequest& request,
                            const TargetId& target,
                            const Snapshot& snapshot,
                            const TargetReport& report);

// Encodes the response to work that was refused or that ended without a result.
http::Response EncodeFailure(const Error& error, const TargetReport& report);

http::Response EncodeHealth(const HealthReport& report);
http::Response EncodeLoad(const LoadReport& report);

// Copy of the data that GET /journal reports, so that it can be encoded without
// holding a lock.
struct JournalView {
  Condition condition = Condition::kWarm;
  std::uint64_t crashes = 0;
  std::uint64_t dropped = 0;
  std::vector<std::pair<ErrorKind, std::uint64_t>> refused;
  std::uint32_t open_connections = 0;
  std::uint32_t peak_connections = 0;
  std::vector<JournalEntry> entries;
};

// Copies the summary and the entries with work ids above `after`.
JournalView ViewJournal(const TargetModel& model, WorkId after);

http::Response EncodeJournal(const TargetId& target, const GroupId& group, const JournalView& view);

// "cold", "warm", "draining" or "down".
std::string ConditionName(Condition condition);
Result<Condition> ConditionFromName(const std::string& name);

// Decodes [{"index", "map", "groups"}, ...].
Result<std::vector<StoredSnapshot>> DecodeSnapshots(const nlohmann::json& list);

http::Response JsonResponse(unsigned status, const nlohmann::json& body);

}  // namespace peridotfork::standin

#endif  // PERIDOTFORK_INTERNAL_STANDIN_TARGET_PROTOCOL_H_
