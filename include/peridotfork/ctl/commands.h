#ifndef PERIDOTFORK_CTL_COMMANDS_H_
#define PERIDOTFORK_CTL_COMMANDS_H_

#include <optional>
#include <string_view>
#include <vector>

#include "peridotfork/core/error.h"
#include "peridotfork/core/ids.h"
#include "peridotfork/ctl/report.h"
#include "peridotfork/ctl/status.h"

namespace peridotfork::ctl {

// One command of peridotforkctl. `report` evaluates the answers and does no I/O.
struct Command {
  const char* name;
  const char* help;
  // Kinds of process that the command queries. An address is required only for
  // those in `needs`.
  std::vector<Role> asks;
  std::vector<Role> needs;
  Report (*report)(const FleetStatus& fleet);
};

const std::vector<Command>& CommandTable();

// Returns the command called `name`; the error lists the known ones.
Result<const Command*> FindCommand(std::string_view name);

// Ratio of all attempts to first attempts; no value before the first attempt.
std::optional<double> ExtraLoadRatio(const EntryStatus::Attempts& attempts);

Report ReportConfig(const FleetStatus& fleet);
Report ReportHosts(const FleetStatus& fleet);
Report ReportTargets(const FleetStatus& fleet);
Report ReportLeases(const FleetStatus& fleet);
Report ReportQueries(const FleetStatus& fleet);

}  // namespace peridotfork::ctl

#endif  // PERIDOTFORK_CTL_COMMANDS_H_
