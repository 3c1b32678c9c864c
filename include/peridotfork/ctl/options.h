#ifndef PERIDOTFORK_CTL_OPTIONS_H_
#define PERIDOTFORK_CTL_OPTIONS_H_

#include <chrono>
#include <string>

#include "peridotfork/core/error.h"
#include "peridotfork/ctl/commands.h"

namespace peridotfork::ctl {

enum class Action { kReport, kHelp, kVersion };

// The command line. `command` is null unless the action is kReport; then
// exactly one of `hosts_path` and `agents` is given.
struct Options {
  Action action = Action::kReport;
  ReportPrinter print = &PrintText;
  std::chrono::microseconds timeout = std::chrono::seconds(2);
  std::string hosts_path;
  std::string agents;
  std::string document_path;
  const Command* command = nullptr;
};

// Parses the command line; any error is a usage error. May reorder `argv`. Not
// thread-safe, since getopt_long is not.
Result<Options> ParseOptions(int argc, char** argv);

// The text of --help.
std::string HelpText();

}  // namespace peridotfork::ctl

#endif  // PERIDOTFORK_CTL_OPTIONS_H_
