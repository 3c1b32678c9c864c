#ifndef PERIDOTFORK_CTL_STATUS_H_
#define PERIDOTFORK_CTL_STATUS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "peridotfork/core/clock.h"
#include "peridotfork/core/error.h"
#include "peridotfork/core/ids.h"
#include "peridotfork/ctl/host_directory.h"

namespace peridotfork::ctl {

// The parts of an agent's GET /admin/status that operators need.
struct AgentStatus {
  struct Section {
    std::string name;
    Revision version;
    WallTime since;
    // False if the newest document has a different text, which was refused.
    bool newest = true;
  };
  struct Refusal {
    std::string section;
    std::uint64_t line = 0;
    std::string key;
    std::string kind;
    std::string reason;
    Revision revision;
    WallTime since;
  };
  struct Home {
    HostId home;
    std::chrono::milliseconds ends_in{0};
    bool handing_back = false;
  };
  struct Peer {
    HostId host;
    bool live = false;
    std::chrono::milliseconds heard_ago{0};
  };

  HostId host;
  DataCentreId data_centre;
  Incarnation incarnation;
  bool joined = false;
  bool draining = false;
  Revision revision;
  // Differs between agents whose sections in force differ.
  std::uint64_t digest = 0;
  std::vector<Section> sections;
  std::vector<Refusal> refused;
  ViewVersion view;
  bool reader = false;
  std::vector<Home> homes;
  std::vector<Peer> peers;
};

struct DispatcherStatus {
  struct Target {
    TargetId target;
    // Whether the dispatcher holds the target's lease.
    bool owned = false;
    std::string state;
    std::uint64_t allowance = 0;
    std::uint64_t in_use = 0;
    std::uint64_t queued = 0;
  };

  HostId host;
  Incarnation incarnation;
  bool draining = false;
  Revision revision;
  std::vector<Target> targets;
};

// All counts are since the start of the entry.
struct EntryStatus {
  struct Queries {
    std::uint64_t complete = 0;
    std::uint64_t partial = 0;
    std::uint64_t refused = 0;
  };
  struct Attempts {
    std::uint64_t first = 0;
    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;
    std::uint64_t late_replies = 0;
  };

  HostId host;
  Incarnation incarnation;
  bool draining = false;
  Revision revision;
  std::uint64_t in_flight = 0;
  Queries queries;
  Attempts attempts;
};

// The decoders ignore unknown fields, so that they accept the answers of newer
// hosts. All are thread-safe.
Result<AgentStatus> DecodeAgentStatus(std::string_view text);
Result<DispatcherStatus> DecodeDispatcherStatus(std::string_view text);
Result<EntryStatus> DecodeEntryStatus(std::string_view text);

// The status of the processes on one host. A process that was not queried or did
// not answer has no value. `id` is taken from the hosts file, else from the
// agent's answer, else it is the agent's address.
struct HostStatus {
  HostId id;
  std::optional<AgentStatus> agent;
  std::optional<DispatcherStatus> dispatcher;
  std::optional<EntryStatus> entry;
};

// A process that was queried and gave no usable answer.
struct NoAnswer {
  HostId host;
  Role role = Role::kAgent;
  Address address;
  Error error;
};

struct FleetStatus {
  std::vector<HostStatus> hosts;
  std::vector<NoAnswer> no_answers;
  // The targets of the operators' document, if it was given.
  std::optional<std::vector<TargetId>> listed_targets;
};

// One kind of process: its name, the member that holds its address, and the
// function that stores its decoded answer in the status of its host.
struct RoleSpec {
  Role role;
  const char* name;
  std::optional<Address> HostAddresses::*address;
  Result<void> (*store)(std::string_view text, HostStatus& status);
};

// Ordered by Role.
const std::vector<RoleSpec>& RoleTable();
const RoleSpec& SpecOf(Role role);

}  // namespace peridotfork::ctl

#endif  // PERIDOTFORK_CTL_STATUS_H_
