#ifndef PERIDOTFORK_DISPATCHER_TARGET_PROTOCOL_H_
#define PERIDOTFORK_DISPATCHER_TARGET_PROTOCOL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "peridotfork/core/error.h"
#include "peridotfork/core/ids.h"
#include "peridotfork/core/units.h"
#include "peridotfork/http/message.h"
#include "peridotfork/protocol/message.h"

// Encodes and decodes the targets' HTTP protocol. The functions have no side effects
// and are thread-safe.
namespace peridotfork::dispatcher {

// A target's response to an attempt.
struct TargetAnswer {
  ErrorKind outcome = ErrorKind::kInternal;
  // State that the target reports about itself; kUnknown or empty if not reported.
  protocol::TargetState state = protocol::TargetState::kUnknown;
  std::optional<std::uint32_t> load;
  std::vector<Snapshot> snapshots;
  // Set only if `outcome` is kOk.
  Snapshot snapshot;
  std::vector<protocol::FoundRecord> records;
  std::string result;
};

// Response of the health endpoint. It may be out of date.
struct TargetHealth {
  protocol::TargetState state = protocol::TargetState::kUnknown;
  // Number of concurrent attempts that the target can currently handle.
  std::optional<Slots> bears;
  std::optional<Slots> slots;
  std::vector<Snapshot> snapshots;
};

// Returns the HTTP request for an attempt. `deadline` replaces the deadline of the
// sub-request.
http::Request EncodeAttempt(const protocol::SubRequest& request,
                            const std::string& attempt,
                            WallTime deadline);

http::Request EncodeCancel(const std::string& attempt);

// Decodes any response. A response that cannot be decoded has the outcome kInternal,
// which leaves open whether the attempt ran.
TargetAnswer DecodeAnswer(const http::Response& response, bool booking);

Result<TargetHealth> DecodeHealth(const http::Response& response);

}  // namespace peridotfork::dispatcher

#endif  // PERIDOTFORK_DISPATCHER_TARGET_PROTOCOL_H_
