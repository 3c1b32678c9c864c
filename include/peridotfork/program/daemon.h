#ifndef PERIDOTFORK_PROGRAM_DAEMON_H_
#define PERIDOTFORK_PROGRAM_DAEMON_H_

#include <chrono>
#include <functional>
#include <iostream>
#include <memory>
#include <optional>
#include <string>

#include "peridotfork/config/settings.h"
#include "peridotfork/core/clock.h"
#include "peridotfork/core/error.h"
#include "peridotfork/runtime/log.h"
#include "peridotfork/runtime/worker_pool.h"

namespace peridotfork {

// Exit codes of the programs.
inline constexpr int kExitOk = 0;
inline constexpr int kExitFailure = 1;
inline constexpr int kExitUsage = 2;

// The service that a daemon runs, such as an agent or an entry.
class Service {
 public:
  virtual ~Service() = default;

  virtual Result<void> Start() = 0;

  // Applies the changed text of the settings file. An invalid text changes
  // nothing. Called between Start() and BeginDrain().
  virtual Result<void> Reload(const std::string& settings);

  // Begins the graceful shutdown: the service accepts no new work. Called once,
  // after Start().
  virtual void BeginDrain() = 0;

  // Whether all accepted work has finished.
  virtual bool drained() const = 0;

  // Ends all communication. Called before the worker pool stops.
  virtual void Close() = 0;
};

// Dependencies of every service.
struct DaemonContext {
  WorkerPool& pool;
  const Clock& clock;
  Logger& log;
  // Start time in microseconds; a restarted process has a higher one.
  Incarnation incarnation;
};

// Name and purpose of a program, for --help and --version.
struct ProgramInfo {
  const char* name;
  const char* purpose;
  // Prefix of its log lines.
  const char* prefix;
};

namespace internal {

struct DaemonArguments {
  std::string config_path;
  bool check = false;
  bool print_settings = false;
};

// Parses the command line. Returns an exit code if the program must exit.
std::optional<int> ReadArguments(int argc,
                                 char** argv,
                                 const ProgramInfo& info,
                                 const std::string& settings_help,
                                 DaemonArguments* arguments);

Result<std::string> ReadFile(const std::string& path);

void PrintFaults(const std::string& path, const std::vector<IniFault>& faults);

// Runs the service until SIGTERM or SIGINT, then drains and closes it.
int RunService(const HostSettings& settings,
               const ProgramInfo& info,
               const std::string& settings_path,
               const std::function<std::unique_ptr<Service>(const DaemonContext&)>& make);

template <typename Settings>
std::string SettingsHelp() {
  std::string help;
  for (const KeySpec<Settings>& spec : SettingsTable<Settings>()) {
    help += "  [" + std::string(spec.section) + "] " + spec.key;
    help += spec.fallback == nullptr ? " (required)" : " = " + std::string(spec.fallback);
    help += "\n      " + std::string(spec.help) + "\n";
  }
  return help;
}

}  // namespace internal

// Main function of a daemon whose settings are `Settings`.
template <typename Settings, typename ServiceType>
int RunDaemon(int argc, char** argv, const ProgramInfo& info) {
  internal::DaemonArguments arguments;
  if (const auto code = internal::ReadArguments(argc, argv, info,
                                                internal::SettingsHelp<Settings>(), &arguments)) {
    return *code;
  }
  const Result<std::string> text = internal::ReadFile(arguments.config_path);
  if (!text.has_value()) {
    std::cerr << info.name << ": " << text.error() << "\n";
    return kExitUsage;
  }
  const SettingsResult<Settings> settings = ParseSettings<Settings>(text.value());
  if (!settings.has_value()) {
    internal::PrintFaults(arguments.config_path, settings.error());
    return kExitUsage;
  }
  if (arguments.print_settings) {
    std::cout << ToIni(settings.value());
    return kExitOk;
  }
  if (arguments.check) {
    std::cout << arguments.config_path << ": ok\n";
    return kExitOk;
  }
  return internal::RunService(settings.value(), info, arguments.config_path,
                              [&settings](const DaemonContext& context) {
                                return std::make_unique<ServiceType>(context, settings.value());
                              });
}

}  // namespace peridotfork

#endif  // PERIDOTFORK_PROGRAM_DAEMON_H_
