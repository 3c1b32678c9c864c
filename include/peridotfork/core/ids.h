#ifndef PERIDOTFORK_CORE_IDS_H_
#define PERIDOTFORK_CORE_IDS_H_

#include <compare>
#include <cstdint>
#include <string>

#include "peridotfork/internal/core/strong_value.h"

namespace peridotfork {

using HostId = StrongValue<struct HostIdTag, std::string>;
using TargetId = StrongValue<struct TargetIdTag, std::string>;
using ServiceId = StrongValue<struct ServiceIdTag, std::string>;
using CallerId = StrongValue<struct CallerIdTag, std::string>;
using DataCentreId = StrongValue<struct DataCentreIdTag, std::string>;
using DeploymentId = StrongValue<struct DeploymentIdTag, std::string>;
using RecordId = StrongValue<struct RecordIdTag, std::string>;
using RequestId = StrongValue<struct RequestIdTag, std::string>;

// An IPv4 address and port in the form "127.0.0.1:7001".
using Address = StrongValue<struct AddressTag, std::string>;

// Distinguishes successive processes of the same role on the same host; see
// ProcessId.
using Incarnation = StrongValue<struct IncarnationTag, std::uint64_t>;

// Index of a group within its service. The same index may denote different
// records under another partition map.
using GroupIndex = StrongValue<struct GroupIndexTag, std::uint32_t>;

// Identifies one attempt (first, retry or hedge) of a sub-request; unique among
// the attempts of one entry process.
using AttemptId = StrongValue<struct AttemptIdTag, std::uint64_t>;

// Revision of the operators' configuration document; a higher one is newer.
using Revision = StrongValue<struct RevisionTag, std::uint64_t>;

// Version of the platform's host list; a higher one is newer.
using ViewVersion = StrongValue<struct ViewVersionTag, std::uint64_t>;

using IndexVersion = StrongValue<struct IndexVersionTag, std::uint64_t>;
using PartitionMapVersion = StrongValue<struct PartitionMapVersionTag, std::uint64_t>;

// A version of the records: an index version under a partition map. Newer
// snapshots compare greater.
struct Snapshot {
  IndexVersion index;
  PartitionMapVersion map;

  // NOLINTNEXTLINE(modernize-use-nullptr): see StrongValue.
  friend auto operator<=>(const Snapshot&, const Snapshot&) = default;
};

// One shard group of a service.
struct GroupId {
  ServiceId service;
  GroupIndex index;

  // NOLINTNEXTLINE(modernize-use-nullptr): see StrongValue.
  friend auto operator<=>(const GroupId&, const GroupId&) = default;
};

// The program that a process runs.
enum class Role { kAgent, kDispatcher, kEntry, kGateway };

// Identifies one process of the system.
struct ProcessId {
  HostId host;
  Role role = Role::kAgent;
  Incarnation incarnation;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const ProcessId&, const ProcessId&) = default;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_CORE_IDS_H_
