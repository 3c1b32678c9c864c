#include "peridotfork/ctl/commands.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace peridotfork::ctl {
namespace {

// Calls `visit(host, status)` for each host whose process answered.
template <auto kMember, typename Visit>
void ForEach(const FleetStatus& fleet, Visit visit) {
  for (const HostStatus& host : fleet.hosts) {
    if (const auto& status = host.*kMember; status.has_value()) {
      visit(host, *status);
    }
  }
}

struct ProcessRevision {
  HostId host;
  Role role = Role::kAgent;
  Revision revision;
};

std::vector<ProcessRevision> ProcessRevisionsOf(const FleetStatus& fleet) {
  std::vector<ProcessRevision> revisions;
  for (const HostStatus& host : fleet.hosts) {
    if (host.agent) {
      revisions.push_back({host.id, Role::kAgent, host.agent->revision});
    }
    if (host.dispatcher) {
      revisions.push_back({host.id, Role::kDispatcher, host.dispatcher->revision});
    }
    if (host.entry) {
      revisions.push_back({host.id, Role::kEntry, host.entry->revision});
    }
  }
  return revisions;
}

void AddRevisions(const FleetStatus& fleet, Report& report) {
  const std::vector<ProcessRevision> revisions = ProcessRevisionsOf(fleet);
  Revision highest;
  for (const ProcessRevision& item : revisions) {
    highest = std::max(highest, item.revision);
  }
  Table table{
      "revisions",
      {{"host", "HOST"}, {"process", "PROCESS"}, {"revision", "REVISION"}, {"behind", "BEHIND"}},
      {}};
  for (const ProcessRevision& item : revisions) {
    const std::uint64_t behind = highest.value() - item.revision.value();
    const std::string process = SpecOf(item.role).name;
    table.rows.push_back({item.host.value(), process, item.revision.value(), behind});
    if (behind > 0) {
      report.findings.push_back(
          {FindingKind::kHostLags, item.host.value(),
           process + " has revision " + std::to_string(item.revision.value()) + ", " +
               std::to_string(behind) + " behind the highest, " + std::to_string(highest.value())});
    }
  }
  report.tables.push_back(std::move(table));
}

void AddSections(const FleetStatus& fleet, Report& report) {
  Table table{"sections",
              {{"section", "SECTION"},
               {"host", "HOST"},
               {"version", "VERSION"},
               {"since", "IN FORCE SINCE"},
               {"newest", "NEWEST"}},
              {}};
  ForEach<&HostStatus::agent>(fleet, [&](const HostStatus& host, const AgentStatus& agent) {
    for (const AgentStatus::Section& section : agent.sections) {
      table.rows.push_back(
          {section.name, host.id.value(), section.version.value(), section.since, section.newest});
    }
  });
  // Groups the rows by section; hosts keep the order in which they were given.
  std::stable_sort(table.rows.begin(), table.rows.end(),
                   [](const auto& a, const auto& b) { return a.front() < b.front(); });
  report.tables.push_back(std::move(table));
}

void AddRefusals(const FleetStatus& fleet, Report& report) {
  Table table{"refused",
              {{"section", "REFUSED SECTION"},
               {"host", "HOST"},
               {"revision", "REVISION"},
               {"line", "LINE"},
               {"key", "KEY"},
               {"kind", "KIND"},
               {"since", "SINCE"},
               {"reason", "REASON"}},
              {}};
  ForEach<&HostStatus::agent>(fleet, [&](const HostStatus& host, const AgentStatus& agent) {
    for (const AgentStatus::Refusal& refusal : agent.refused) {
      const std::string section = refusal.section.empty() ? "(document)" : refusal.section;
      table.rows.push_back({section, host.id.value(), refusal.revision.value(), refusal.line,
                            refusal.key, refusal.kind, refusal.since, refusal.reason});
      report.findings.push_back(
          {FindingKind::kSectionRefused, section,
           "refused by " + host.id.value() + " at line " + std::to_string(refusal.line) +
               (refusal.key.empty() ? "" : ", key " + refusal.key) + ": " + refusal.reason});
    }
  });
  std::stable_sort(table.rows.begin(), table.rows.end(),
                   [](const auto& a, const auto& b) { return a.front() < b.front(); });
  report.tables.push_back(std::move(table));
}

// Agents at the same revision with different digests have not exchanged their
// sections yet.
void CheckDigests(const FleetStatus& fleet, Report& report) {
  std::map<Revision, std::map<std::uint64_t, std::vector<std::string>>> hosts;
  ForEach<&HostStatus::agent>(fleet, [&](const HostStatus& host, const AgentStatus& agent) {
    hosts[agent.revision][agent.digest].push_back(host.id.value());
  });
  for (const auto& [revision, digests] : hosts) {
    if (digests.size() < 2) {
      continue;
    }
    std::vector<std::string> parts;
    for (const auto& [digest, names] : digests) {
      parts.push_back("(" + Join(names) + ")");
    }
    report.findings.push_back({FindingKind::kSectionsDiffer,
                               "revision " + std::to_string(revision.value()),
                               "sections in force differ between " + Join(parts)});
  }
}

// An answer under another name means that the hosts file has a wrong address.
void CheckNames(const FleetStatus& fleet, Report& report) {
  const auto check = [&](const HostStatus& host, const char* process, const HostId& answered) {
    if (host.id != answered) {
      report.findings.push_back(
          {FindingKind::kNameDiffers, host.id.value(),
           std::string(process) + " answers under the name " + answered.value()});
    }
  };
  for (const HostStatus& host : fleet.hosts) {
    if (host.agent) {
      check(host, SpecOf(Role::kAgent).name, host.agent->host);
    }
    if (host.dispatcher) {
      check(host, SpecOf(Role::kDispatcher).name, host.dispatcher->host);
    }
    if (host.entry) {
      check(host, SpecOf(Role::kEntry).name, host.entry->host);
    }
  }
}

struct TargetOwner {
  HostId host;
  const DispatcherStatus::Target* target;
};

// The owners of each target that a dispatcher or the document knows.
std::map<TargetId, std::vector<TargetOwner>> OwnersOf(const FleetStatus& fleet) {
  std::map<TargetId, std::vector<TargetOwner>> owners;
  for (const TargetId& target : fleet.listed_targets.value_or(std::vector<TargetId>())) {
    owners[target];
  }
  ForEach<&HostStatus::dispatcher>(
      fleet, [&](const HostStatus& host, const DispatcherStatus& dispatcher) {
        for (const DispatcherStatus::Target& target : dispatcher.targets) {
          if (target.owned) {
            owners[target.target].push_back({host.id, &target});
          } else if (!fleet.listed_targets.has_value()) {
            owners[target.target];
          }
        }
      });
  return owners;
}

// Lists the hosts whose process did not answer and may hold what is missing.
std::string UnansweredSuffix(const FleetStatus& fleet, Role role) {
  std::vector<std::string> names;
  for (const NoAnswer& missing : fleet.no_answers) {
    if (missing.role == role) {
      names.push_back(missing.host.value());
    }
  }
  return names.empty() ? "" : "; no answer from " + Join(names);
}

// Joins the names of the hosts of owners or holders.
template <typename Holder>
std::string HostNames(const std::vector<Holder>& holders) {
  std::vector<std::string> names;
  names.reserve(holders.size());
  for (const Holder& holder : holders) {
    names.push_back(holder.host.value());
  }
  return Join(names);
}

struct LeaseHolder {
  HostId host;
  const AgentStatus::Home* home;
};

// The holders of each home that an agent knows. Every host of a view has a home.
std::map<HostId, std::vector<LeaseHolder>> HoldersOf(const FleetStatus& fleet) {
  std::map<HostId, std::vector<LeaseHolder>> holders;
  ForEach<&HostStatus::agent>(fleet, [&](const HostStatus& host, const AgentStatus& agent) {
    holders[agent.host];
    for (const AgentStatus::Peer& peer : agent.peers) {
      holders[peer.host];
    }
    for (const AgentStatus::Home& home : agent.homes) {
      if (home.ends_in > home.ends_in.zero()) {
        holders[home.home].push_back({host.id, &home});
      }
    }
  });
  return holders;
}

std::vector<Cell> QueryRow(const std::string& name, const EntryStatus& entry) {
  const std::optional<double> ratio = ExtraLoadRatio(entry.attempts);
  return {name,
          entry.in_flight,
          entry.queries.complete,
          entry.queries.partial,
          entry.queries.refused,
          entry.attempts.first,
          entry.attempts.hedges,
          entry.attempts.retries,
          entry.attempts.late_replies,
          ratio ? Cell(*ratio) : Cell()};
}

void AddCounts(const EntryStatus& entry, EntryStatus& sum) {
  sum.in_flight += entry.in_flight;
  sum.queries.complete += entry.queries.complete;
  sum.queries.partial += entry.queries.partial;
  sum.queries.refused += entry.queries.refused;
  sum.attempts.first += entry.attempts.first;
  sum.attempts.hedges += entry.attempts.hedges;
  sum.attempts.retries += entry.attempts.retries;
  sum.attempts.late_replies += entry.attempts.late_replies;
}

}  // namespace

const std::vector<Command>& CommandTable() {
  static const std::vector<Command> commands = {
      {"config",
       "the sections in force on each host, refused sections, and hosts that lag",
       {Role::kAgent, Role::kDispatcher, Role::kEntry},
       {Role::kAgent},
       &ReportConfig},
      {"hosts",
       "incarnation, state, view and document of each host, and peers that are not live",
       {Role::kAgent},
       {Role::kAgent},
       &ReportHosts},
      {"targets",
       "owner, state and load of each target, and targets owned by none or by two hosts",
       {Role::kDispatcher},
       {Role::kDispatcher},
       &ReportTargets},
      {"leases",
       "holder of each home and the time left, and homes held by none or by two hosts",
       {Role::kAgent},
       {Role::kAgent},
       &ReportLeases},
      {"queries",
       "queries, attempts and extra load of each entry since its start",
       {Role::kEntry},
       {Role::kEntry},
       &ReportQueries},
  };
  return commands;
}

Result<const Command*> FindCommand(std::string_view name) {
  std::vector<std::string> known;
  for (const Command& command : CommandTable()) {
    if (name == command.name) {
      return &command;
    }
    known.emplace_back(command.name);
  }
  return MakeError(ErrorKind::kUnknownName, "command \"" + std::string(name) + "\"",
                   "known are " + Join(known));
}

std::optional<double> ExtraLoadRatio(const EntryStatus::Attempts& attempts) {
  if (attempts.first == 0) {
    return std::nullopt;
  }
  return static_cast<double>(attempts.first + attempts.hedges + attempts.retries) /
         static_cast<double>(attempts.first);
}

Report ReportConfig(const FleetStatus& fleet) {
  Report report;
  CheckNames(fleet, report);
  AddSections(fleet, report);
  AddRefusals(fleet, report);
  AddRevisions(fleet, report);
  CheckDigests(fleet, report);
  return report;
}

Report ReportHosts(const FleetStatus& fleet) {
  Report report;
  CheckNames(fleet, report);
  Table table{"hosts",
              {{"host", "HOST"},
               {"data_centre", "DATA CENTRE"},
               {"incarnation", "INCARNATION"},
               {"joined", "JOINED"},
               {"draining", "DRAINING"},
               {"view", "VIEW"},
               {"reader", "READER"},
               {"revision", "REVISION"},
               {"peers_not_live", "PEERS NOT LIVE"}},
              {}};
  ForEach<&HostStatus::agent>(fleet, [&](const HostStatus& host, const AgentStatus& agent) {
    std::vector<std::string> lost;
    for (const AgentStatus::Peer& peer : agent.peers) {
      if (!peer.live) {
        lost.push_back(peer.host.value());
        report.findings.push_back({FindingKind::kPeerNotLive, peer.host.value(),
                                   host.id.value() + " last heard from it " +
                                       std::to_string(peer.heard_ago.count()) + "ms ago"});
      }
    }
    if (!agent.joined) {
      report.findings.push_back(
          {FindingKind::kNotJoined, host.id.value(), "it has not joined its peers"});
    }
    table.rows.push_back({host.id.value(), agent.data_centre.value(), agent.incarnation.value(),
                          agent.joined, agent.draining, agent.view.value(), agent.reader,
                          agent.revision.value(), lost});
  });
  report.tables.push_back(std::move(table));
  return report;
}

Report ReportTargets(const FleetStatus& fleet) {
  Report report;
  CheckNames(fleet, report);
  Table table{"targets",
              {{"target", "TARGET"},
               {"owner", "OWNER"},
               {"state", "STATE"},
               {"allowance", "ALLOWANCE"},
               {"in_use", "IN USE"},
               {"queued", "QUEUED"}},
              {}};
  for (const auto& [target, owners] : OwnersOf(fleet)) {
    for (const TargetOwner& owner : owners) {
      table.rows.push_back({target.value(), owner.host.value(), owner.target->state,
                            owner.target->allowance, owner.target->in_use, owner.target->queued});
    }
    if (owners.empty()) {
      table.rows.push_back({target.value(), {}, {}, {}, {}, {}});
      report.findings.push_back(
          {FindingKind::kTargetUnowned, target.value(),
           "owned by no host that answered" + UnansweredSuffix(fleet, Role::kDispatcher)});
    } else if (owners.size() > 1) {
      report.findings.push_back(
          {FindingKind::kTargetOwnedTwice, target.value(), "owned by " + HostNames(owners)});
    }
  }
  report.tables.push_back(std::move(table));
  return report;
}

Report ReportLeases(const FleetStatus& fleet) {
  Report report;
  CheckNames(fleet, report);
  Table table{"leases",
              {{"home", "HOME"},
               {"holder", "HOLDER"},
               {"ends_in_ms", "ENDS IN"},
               {"handing_back", "HANDING BACK"}},
              {}};
  for (const auto& [home, holders] : HoldersOf(fleet)) {
    for (const LeaseHolder& holder : holders) {
      table.rows.push_back(
          {home.value(), holder.host.value(), holder.home->ends_in, holder.home->handing_back});
    }
    if (holders.empty()) {
      table.rows.push_back({home.value(), {}, {}, {}});
      report.findings.push_back(
          {FindingKind::kHomeUnheld, home.value(),
           "held by no host that answered" + UnansweredSuffix(fleet, Role::kAgent)});
    } else if (holders.size() > 1) {
      report.findings.push_back(
          {FindingKind::kHomeHeldTwice, home.value(), "held by " + HostNames(holders)});
    }
  }
  report.tables.push_back(std::move(table));
  return report;
}

Report ReportQueries(const FleetStatus& fleet) {
  Report report;
  CheckNames(fleet, report);
  Table table{"queries",
              {{"entry", "ENTRY"},
               {"in_flight", "IN FLIGHT"},
               {"complete", "COMPLETE"},
               {"partial", "PARTIAL"},
               {"refused", "REFUSED"},
               {"first", "FIRST"},
               {"hedges", "HEDGES"},
               {"retries", "RETRIES"},
               {"late_replies", "LATE REPLIES"},
               {"extra_load", "EXTRA LOAD"}},
              {}};
  EntryStatus sum;
  ForEach<&HostStatus::entry>(fleet, [&](const HostStatus& host, const EntryStatus& entry) {
    table.rows.push_back(QueryRow(host.id.value(), entry));
    AddCounts(entry, sum);
  });
  Table total{"total", table.columns, {}};
  if (table.rows.size() > 1) {
    total.columns.front() = {"entry", "SUM OF"};
    total.rows.push_back(QueryRow("all", sum));
  }
  report.tables.push_back(std::move(table));
  report.tables.push_back(std::move(total));
  return report;
}

}  // namespace peridotfork::ctl
