#ifndef PERIDOTFORK_CONFIG_SETTINGS_H_
#define PERIDOTFORK_CONFIG_SETTINGS_H_

#include <boost/outcome.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "peridotfork/config/ini.h"
#include "peridotfork/config/key_table.h"
#include "peridotfork/core/ids.h"
#include "peridotfork/core/units.h"

namespace peridotfork {

// Log lines below this severity are not written.
enum class LogThreshold { kDebug, kInfo, kWarning, kError };

Result<void> ReadValue(std::string_view text, const Limits& limits, LogThreshold& value);
std::string PrintValue(const LogThreshold& value);

// Settings common to all programs. SettingsTable() holds the defaults.
struct HostSettings {
  HostId id;
  DataCentreId data_centre;
  // Where the other processes of the system reach this one.
  Address inner_address;
  Address http_address;
  LogThreshold log_level = LogThreshold::kInfo;
  std::uint32_t worker_threads = 0;
  std::chrono::milliseconds drain_timeout{0};
};

struct AgentSettings : HostSettings {
  Address platform_address;
  std::chrono::milliseconds lease_length{0};
  std::chrono::milliseconds lease_renew_interval{0};
  std::chrono::milliseconds max_clock_skew{0};
  std::chrono::milliseconds heartbeat_interval{0};
  std::uint32_t reader_count = 0;
  std::chrono::milliseconds join_wait{0};
};

struct DispatcherSettings : HostSettings {
  Address agent_address;
};

struct EntrySettings : HostSettings {
  Address agent_address;
  std::uint32_t max_queries_in_flight = 0;
  Bytes body_limit;
  // False selects random replicas without hedging, as a baseline for comparison.
  bool adaptive_routing = true;
  std::chrono::milliseconds read_timeout{0};
};

struct GatewaySettings : HostSettings {
  Address ingress_address;
  Address metrics_address;
  std::string ready_path;
  Address store_address;
  // Longest time for which the store may be unresponsive unnoticed.
  std::chrono::milliseconds store_max_silence{4000};
  // Time after which a key that the configuration no longer holds must not be accepted, whether or
  // not the store can be reached; zero if there is no such limit.
  std::chrono::milliseconds store_revoke_after{0};
  // Inner addresses of the processes through which all others are discovered.
  std::vector<Address> seeds;
  // Where this process receives datagrams of the others: the first entry; the inner address if
  // there is none.
  std::vector<Address> peers_addresses;
  const Address& peers_address() const {
    return peers_addresses.empty() ? inner_address : peers_addresses.front();
  }
  // Number of requests by which the quota of a tenant may be exceeded in any window.
  RequestCount quota_slack{0};
  std::uint32_t max_in_flight = 0;
  // Maximum number of callers' connections; 0 for what the limit of open files allows.
  std::uint32_t max_connections = 0;
  // Memory that this process may use.
  Mebibytes memory_mib{256};
};

// The keys of a program's settings, in the order of printing.
// Defined for AgentSettings, DispatcherSettings, EntrySettings and GatewaySettings.
template <typename Settings>
const std::vector<KeySpec<Settings>>& SettingsTable();

// Settings, or all faults of the text.
template <typename Settings>
using SettingsResult = boost::outcome_v2::
    basic_result<Settings, std::vector<IniFault>, boost::outcome_v2::policy::terminate>;

// Value of an environment variable; null if it is not set.
using VariableLookup = const char* (*)(const char* name);
const char* ProcessVariable(const char* name);

// Reads the settings of one program. An environment variable such as PERIDOTFORK_PEERS_SEEDS
// overrides the key `seeds` of the section `peers`, unless it is empty. Thread-safe.
template <typename Settings>
SettingsResult<Settings> ParseSettings(std::string_view text,
                                       VariableLookup variables = &ProcessVariable);

// Formats the settings as INI text that ParseSettings() parses to equal settings.
template <typename Settings>
std::string ToIni(const Settings& settings);

}  // namespace peridotfork

#endif  // PERIDOTFORK_CONFIG_SETTINGS_H_
