#include "peridotfork/ctl/program.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "peridotfork/config/document.h"
#include "peridotfork/core/clock.h"
#include "peridotfork/ctl/commands.h"
#include "peridotfork/ctl/host_directory.h"
#include "peridotfork/ctl/options.h"
#include "peridotfork/ctl/report.h"
#include "peridotfork/ctl/status_reader.h"
#include "peridotfork/program/daemon.h"
#include "peridotfork/runtime/worker_pool.h"

namespace peridotfork::ctl {
namespace {

constexpr std::size_t kThreads = 2;

// Adds the path of the file to the location of an error.
Error InFile(const std::string& path, const Error& error) {
  return MakeError(error.kind(), path + ", " + error.where, error.detail);
}

Result<std::vector<HostAddresses>> HostsOf(const Options& options) {
  if (!options.agents.empty()) {
    return ParseAgentList(options.agents);
  }
  const Result<std::string> text = internal::ReadFile(options.hosts_path);
  if (!text.has_value()) {
    return text.error();
  }
  auto hosts = ParseHostDirectory(text.value());
  if (!hosts.has_value()) {
    return InFile(options.hosts_path, hosts.error());
  }
  return hosts;
}

using ListedTargets = std::optional<std::vector<TargetId>>;

Result<ListedTargets> ListedTargetsOf(const Options& options) {
  if (options.document_path.empty()) {
    return ListedTargets();
  }
  const Result<std::string> text = internal::ReadFile(options.document_path);
  if (!text.has_value()) {
    return text.error();
  }
  const Result<DocumentPtr> document = ParseDocument(text.value());
  if (!document.has_value()) {
    return InFile(options.document_path, document.error());
  }
  std::vector<TargetId> targets;
  for (const TargetConfig& target : document.value()->targets()) {
    targets.push_back(target.id);
  }
  return ListedTargets(std::move(targets));
}

int UsageError(const Error& error, std::ostream& err) {
  err << "peridotforkctl: " << error << "\n";
  return kExitUsage;
}

int PrintReport(const Options& options, std::ostream& out, std::ostream& err) {
  const auto hosts = HostsOf(options);
  if (!hosts.has_value()) {
    return UsageError(hosts.error(), err);
  }
  auto listed_targets = ListedTargetsOf(options);
  if (!listed_targets.has_value()) {
    return UsageError(listed_targets.error(), err);
  }
  WorkerPool pool(kThreads);
  const SystemClock clock;
  FleetStatus fleet = ReadFleet(pool, clock, hosts.value(), options.command->asks, options.timeout);
  pool.Stop();
  fleet.listed_targets = std::move(listed_targets).value();
  const Report report = options.command->report(fleet);
  options.print(options.command->name, report, fleet.no_answers, out);
  return report.findings.empty() && fleet.no_answers.empty() ? kExitOk : kExitFailure;
}

}  // namespace

int RunProgram(int argc, char** argv, std::ostream& out, std::ostream& err) {
  const Result<Options> options = ParseOptions(argc, argv);
  if (!options.has_value()) {
    return UsageError(options.error(), err);
  }
  switch (options.value().action) {
    case Action::kHelp:
      out << HelpText();
      return kExitOk;
    case Action::kVersion:
      out << "peridotforkctl " << PERIDOTFORK_VERSION << "\n";
      return kExitOk;
    case Action::kReport:
      break;
  }
  return PrintReport(options.value(), out, err);
}

}  // namespace peridotfork::ctl
