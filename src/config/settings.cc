#include "peridotfork/config/settings.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>
#include <set>
#include <utility>

namespace peridotfork {
namespace {

struct ThresholdName {
  LogThreshold threshold;
  std::string_view name;
};

constexpr std::array kThresholdNames = {
    ThresholdName{LogThreshold::kDebug, "debug"},
    ThresholdName{LogThreshold::kInfo, "info"},
    ThresholdName{LogThreshold::kWarning, "warning"},
    ThresholdName{LogThreshold::kError, "error"},
};

// At most a tenth of a day, in milliseconds, to catch a mistyped unit.
constexpr Limits kPositiveDuration = {1, 8'640'000};
constexpr Limits kDuration = {0, 8'640'000};

template <typename Settings>
std::vector<KeySpec<Settings>> HostTable() {
  using S = Settings;
  return {
      MakeKey<S, &S::id>("host", "id", nullptr, "Name of this host in the platform's list."),
      MakeKey<S, &S::data_centre>("host", "data_centre", nullptr, "Data centre of this host."),
      MakeKey<S, &S::inner_address>("host", "address", nullptr,
                                    "Address where the system's other processes reach this one."),
      MakeKey<S, &S::http_address>("http", "address", nullptr, "Address of the HTTP interface."),
      MakeKey<S, &S::log_level>("log", "level", "info",
                                "Minimum severity of the log lines that are written."),
      MakeKey<S, &S::worker_threads>("workers", "threads", "4",
                                     "Number of threads in the worker pool.", {1, 1024}),
      MakeKey<S, &S::drain_timeout>("drain", "timeout", "10s",
                                    "Maximum time to wait for work in flight on shutdown.",
                                    kDuration),
  };
}

template <typename Settings>
std::vector<KeySpec<Settings>> Join(std::vector<KeySpec<Settings>> first,
                                    std::vector<KeySpec<Settings>> second) {
  first.insert(first.end(), second.begin(), second.end());
  return first;
}

template <typename Settings>
KeySpec<Settings> AgentAddressKey() {
  return MakeKey<Settings, &Settings::agent_address>("agent", "address", nullptr,
                                                     "Inner address of the agent of this host.");
}

std::vector<KeySpec<AgentSettings>> AgentTable() {
  using S = AgentSettings;
  return Join<S>(
      HostTable<S>(),
      {
          MakeKey<S, &S::platform_address>("platform", "address", nullptr,
                                           "Address of the platform's configuration service."),
          MakeKey<S, &S::lease_length>("lease", "length", "3s", "Duration of a home lease.",
                                       kPositiveDuration),
          MakeKey<S, &S::lease_renew_interval>("lease", "renew_interval", "500ms",
                                               "Interval between renewals of a lease.",
                                               kPositiveDuration),
          MakeKey<S, &S::max_clock_skew>("lease", "max_clock_skew", "50ms",
                                         "Maximum difference between two hosts' clocks.",
                                         kDuration),
          MakeKey<S, &S::heartbeat_interval>("peers", "heartbeat_interval", "500ms",
                                             "Interval between heartbeats to a peer.",
                                             kPositiveDuration),
          MakeKey<S, &S::reader_count>("peers", "reader_count", "2",
                                       "Number of hosts in a cell that watch the platform.",
                                       {1, 15}),
          MakeKey<S, &S::join_wait>(
              "peers", "join_wait", "2s",
              "Maximum time to wait at the start for a majority of the peers.", kDuration),
      });
}

std::vector<KeySpec<EntrySettings>> EntryTable() {
  using S = EntrySettings;
  return Join<S>(
      HostTable<S>(),
      {
          AgentAddressKey<S>(),
          MakeKey<S, &S::max_queries_in_flight>("queries", "max_in_flight", "2000",
                                                "Maximum number of queries that run concurrently.",
                                                {1, 1'000'000}),
          MakeKey<S, &S::body_limit>("queries", "body_limit", "65536",
                                     "Maximum size of a request body in bytes.", {1, 4'194'304}),
          MakeKey<S, &S::adaptive_routing>(
              "queries", "adaptive_routing", "yes",
              "Choose replicas by expected time and hedge; no is for comparison."),
          MakeKey<S, &S::read_timeout>("queries", "read_timeout", "5s",
                                       "Maximum time for receiving a request.", kPositiveDuration),
      });
}

std::vector<KeySpec<GatewaySettings>> GatewayTable() {
  using S = GatewaySettings;
  return Join<S>(
      HostTable<S>(),
      {
          MakeKey<S, &S::ingress_address>("ingress", "address", nullptr,
                                          "Address on which callers are accepted."),
          MakeKey<S, &S::max_in_flight>(
              "ingress", "max_in_flight", "600",
              "Maximum number of requests that run concurrently; further ones are "
              "refused.",
              {1, 1'000'000}),
          MakeKey<S, &S::max_connections>(
              "ingress", "max_connections", "0",
              "Maximum number of connections of callers; beyond it the one that has been idle "
              "longest is closed. 0 for three quarters of the limit of open files.",
              {0, 10'000'000}),
          MakeKey<S, &S::memory_mib>("host", "memory_mib", "256",
                                     "Memory in MiB that the process may use; a sixteenth of it is "
                                     "for answers of targets.",
                                     {64, 1'048'576}),
          MakeKey<S, &S::ready_path>("http", "ready_path", "/readyz",
                                     "Path of the readiness check."),
          MakeKey<S, &S::metrics_address>("metrics", "address", nullptr,
                                          "Address of the metrics, at the path /metrics."),
          MakeKey<S, &S::store_address>("store", "address", nullptr,
                                        "Address of the store that publishes the configuration "
                                        "and the targets."),
          MakeKey<S, &S::store_max_silence>(
              "store", "max_silence", "4s",
              "Longest time for which the store may be unresponsive unnoticed. A longer time needs "
              "fewer calls.",
              {2'000, 60'000}),
          MakeKey<S, &S::store_revoke_after>(
              "store", "revoke_after", "0ms",
              "Time after which an API key that was taken away is no longer accepted, even if the "
              "store can't be reached; 0 for no such limit.",
              {0, 60'000}),
          MakeKey<S, &S::seeds>("peers", "seeds", "",
                                "Addresses for peers of a few gateways, optionally including this "
                                "one, through which all gateways discover each other."),
          MakeKey<S, &S::peers_addresses>("peers", "address", "",
                                          "Address for UDP datagrams of the other gateways; "
                                          "[host] address if none is given."),
          MakeKey<S, &S::quota_slack>("quotas", "slack", "0",
                                      "Requests by which the quota of a tenant may be exceeded in "
                                      "any window; four tenths are added to its burst.",
                                      {0, 10'000}),
      });
}

template <typename Settings>
std::vector<std::string> SectionNames() {
  std::vector<std::string> names;
  for (const KeySpec<Settings>& spec : SettingsTable<Settings>()) {
    if (std::find(names.begin(), names.end(), spec.section) == names.end()) {
      names.emplace_back(spec.section);
    }
  }
  return names;
}

// Collects the known sections of a text, and all faults.
std::vector<IniSection> TakeSections(std::string_view text,
                                     const std::vector<std::string>& names,
                                     std::vector<IniFault>* faults) {
  std::vector<IniSection> sections;
  for (ParsedIniSection& part : ParseIniSections(text)) {
    const std::string& name = part.section.name;
    const auto same = [&](const IniSection& other) { return other.name == name; };
    faults->insert(faults->end(), part.faults.begin(), part.faults.end());
    if (name.empty()) {
      continue;
    }
    if (std::find(names.begin(), names.end(), name) == names.end()) {
      faults->push_back(UnknownSectionFault(part.section, names));
      continue;
    } else if (std::any_of(sections.begin(), sections.end(), same)) {
      faults->push_back(
          {ErrorKind::kDuplicate, part.section.line, name, {}, {}, "the section occurs twice"});
      continue;
    }
    sections.push_back(std::move(part.section));
  }
  return sections;
}

std::string VariableName(const std::string& section, std::string_view key) {
  std::string name = "PERIDOTFORK_" + section + "_" + std::string(key);
  std::ranges::transform(name, name.begin(), [](unsigned char character) {
    return static_cast<char>(std::toupper(character));
  });
  return name;
}

// Overrides the entries of a section by environment variables that are set and not empty.
template <typename Settings>
void ApplyVariables(const std::string& name, VariableLookup variables, IniSection& section) {
  for (const KeySpec<Settings>& spec : SettingsTable<Settings>()) {
    if (spec.section != name) {
      continue;
    }
    const char* const value = variables(VariableName(name, spec.key).c_str());
    if (value == nullptr || *value == '\0') {
      continue;
    }
    std::erase_if(section.entries, [&](const IniEntry& entry) { return entry.key == spec.key; });
    IniEntry entry;
    entry.key = spec.key;
    entry.value = value;
    section.entries.push_back(std::move(entry));
  }
}

// A lease must be renewed before it ends, and the clock skew is subtracted from
// its length.
void CheckRelations(const AgentSettings& settings, std::vector<IniFault>* faults) {
  if (settings.lease_renew_interval * 2 + settings.max_clock_skew > settings.lease_length) {
    faults->push_back({ErrorKind::kOutOfRange, 0, "lease", "length",
                       PrintValue(settings.lease_length),
                       "expected at least twice renew_interval plus max_clock_skew"});
  }
}

void CheckRelations(const HostSettings&, std::vector<IniFault>*) {}

}  // namespace

Result<void> ReadValue(std::string_view text, const Limits&, LogThreshold& value) {
  for (const ThresholdName& entry : kThresholdNames) {
    if (entry.name == text) {
      value = entry.threshold;
      return boost::outcome_v2::success();
    }
  }
  return MakeError(ErrorKind::kMalformed, {}, "expected debug, info, warning or error");
}

std::string PrintValue(const LogThreshold& value) {
  for (const ThresholdName& entry : kThresholdNames) {
    if (entry.threshold == value) {
      return std::string(entry.name);
    }
  }
  return {};
}

const char* ProcessVariable(const char* name) {
  return std::getenv(name);
}

template <>
const std::vector<KeySpec<AgentSettings>>& SettingsTable<AgentSettings>() {
  static const auto table = AgentTable();
  return table;
}

template <>
const std::vector<KeySpec<DispatcherSettings>>& SettingsTable<DispatcherSettings>() {
  static const auto table = Join<DispatcherSettings>(HostTable<DispatcherSettings>(),
                                                     {AgentAddressKey<DispatcherSettings>()});
  return table;
}

template <>
const std::vector<KeySpec<EntrySettings>>& SettingsTable<EntrySettings>() {
  static const auto table = EntryTable();
  return table;
}

template <>
const std::vector<KeySpec<GatewaySettings>>& SettingsTable<GatewaySettings>() {
  static const auto table = GatewayTable();
  return table;
}

template <typename Settings>
SettingsResult<Settings> ParseSettings(std::string_view text, VariableLookup variables) {
  Settings settings;
  std::vector<IniFault> faults;
  const std::vector<std::string> names = SectionNames<Settings>();
  const std::vector<IniSection> sections = TakeSections(text, names, &faults);
  for (const std::string& name : names) {
    const auto found =
        std::find_if(sections.begin(), sections.end(),
                     [&](const IniSection& section) { return section.name == name; });
    IniSection missing;
    missing.name = name;
    IniSection section = found == sections.end() ? missing : *found;
    ApplyVariables<Settings>(name, variables, section);
    const auto skip = [](const IniEntry&) { return false; };
    for (IniFault& fault : ReadSection(SettingsTable<Settings>(), name, section, skip, settings)) {
      faults.push_back(std::move(fault));
    }
  }
  if (faults.empty()) {
    CheckRelations(settings, &faults);
  }
  if (!faults.empty()) {
    return faults;
  }
  return settings;
}

template <typename Settings>
std::string ToIni(const Settings& settings) {
  std::string text;
  for (const std::string& name : SectionNames<Settings>()) {
    text += (text.empty() ? "[" : "\n[") + name + "]\n";
    for (const KeySpec<Settings>& spec : SettingsTable<Settings>()) {
      if (spec.section == name) {
        text += std::string(spec.key) + " = " + spec.print(settings) + "\n";
      }
    }
  }
  return text;
}

template SettingsResult<AgentSettings> ParseSettings(std::string_view text,
                                                     VariableLookup variables);
template SettingsResult<DispatcherSettings> ParseSettings(std::string_view text,
                                                          VariableLookup variables);
template SettingsResult<EntrySettings> ParseSettings(std::string_view text,
                                                     VariableLookup variables);
template SettingsResult<GatewaySettings> ParseSettings(std::string_view text,
                                                       VariableLookup variables);
template std::string ToIni(const AgentSettings& settings);
template std::string ToIni(const DispatcherSettings& settings);
template std::string ToIni(const EntrySettings& settings);
template std::string ToIni(const GatewaySettings& settings);

}  // namespace peridotfork
