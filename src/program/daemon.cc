#include "peridotfork/program/daemon.h"

#include <getopt.h>
#include <pthread.h>
#include <signal.h>

#include <algorithm>
#include <array>
#include <condition_variable>
#include <fstream>
#include <sstream>
#include <utility>

namespace peridotfork {

Result<void> Service::Reload(const std::string& /*settings*/) {
  return boost::outcome_v2::success();
}

namespace internal {
namespace {

// Interval at which the settings file is checked for changes without a SIGHUP.
constexpr std::chrono::seconds kSettingsPollInterval{2};
// Interval at which the main thread checks whether the drain has finished.
constexpr std::chrono::milliseconds kDrainPollInterval{20};

void PrintUsage(const ProgramInfo& info, const std::string& settings_help) {
  std::cout
      << "Usage: " << info.name << " --config FILE [--check | --print-settings]\n\n"
      << info.purpose << "\n\n"
      << "  -c, --config FILE     settings in INI form\n"
      << "  -k, --check           check the settings, list every fault, and exit\n"
      << "  -p, --print-settings  print the settings in effect and exit\n"
      << "  -h, --help            print this text and exit\n"
      << "  -v, --version         print the version and exit\n\n"
      << "Settings:\n"
      << settings_help << "\n"
      << "SIGTERM or SIGINT begins a graceful shutdown: no new work is accepted, and work in\n"
      << "flight is finished within [drain] timeout.\n\n"
      << "Exit codes: 0 after a graceful shutdown, 1 after a failure, 2 for an invalid command\n"
      << "line or invalid settings.\n";
}

constexpr std::array kOptions = {
    option{"config", required_argument, nullptr, 'c'},   option{"check", no_argument, nullptr, 'k'},
    option{"print-settings", no_argument, nullptr, 'p'}, option{"help", no_argument, nullptr, 'h'},
    option{"version", no_argument, nullptr, 'v'},        option{nullptr, 0, nullptr, 0},
};

LogLevel ToLogLevel(LogThreshold threshold) {
  return static_cast<LogLevel>(threshold);
}

// Waits up to `timeout` for a signal; returns 0 if none arrived.
int WaitForSignal(const sigset_t& signals, std::chrono::milliseconds timeout) {
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(timeout);
  timespec time{};
  time.tv_sec = seconds.count();
  time.tv_nsec = std::chrono::nanoseconds(timeout - seconds).count();
  return std::max(0, sigtimedwait(&signals, nullptr, &time));
}

// Passes the text of the settings to the service if it has changed or if a reload
// was requested.
void ReloadIfChanged(const std::string& path,
                     std::string* known,
                     bool reload_requested,
                     Service& service,
                     Logger& log) {
  const Result<std::string> text = ReadFile(path);
  if (!text.has_value()) {
    log.Warning("The settings can't be read; the current ones stay in force.",
                {{"error", ToString(text.error())}});
    return;
  }
  const bool changed = text.value() != *known;
  if (!changed && !reload_requested) {
    return;
  }
  *known = text.value();
  const Result<void> reloaded = service.Reload(text.value());
  if (reloaded.has_value()) {
    log.Info("The settings were reloaded.", {{"changed", changed ? "yes" : "no"}});
  } else {
    log.Error("The new settings are refused.", {{"error", ToString(reloaded.error())}});
  }
}

// Watches the settings until SIGTERM or SIGINT arrives.
void ServeUntilStop(const std::string& path,
                    const sigset_t& signals,
                    Service& service,
                    Logger& log) {
  std::string known = ReadFile(path).has_value() ? ReadFile(path).value() : std::string();
  for (;;) {
    const int signal = WaitForSignal(signals, kSettingsPollInterval);
    if (signal == SIGTERM || signal == SIGINT) {
      return;
    }
    ReloadIfChanged(path, &known, signal == SIGHUP, service, log);
  }
}

// Returns true if the work finished within `timeout`; a second stop signal ends
// the wait with false.
bool WaitForDrain(const Service& service,
                  const Clock& clock,
                  std::chrono::nanoseconds timeout,
                  const sigset_t& signals) {
  const BootTime end = clock.now() + timeout;
  while (!service.drained()) {
    const int signal = WaitForSignal(signals, kDrainPollInterval);
    if (clock.now() >= end || signal == SIGTERM || signal == SIGINT) {
      return false;
    }
  }
  return true;
}

sigset_t BlockSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  return signals;
}

// Blocks the signals before the libraries are initialized. A reload or stop signal that arrives
// until main() runs would otherwise end the process; now it stays pending and is handled there.
void BlockSignalsEarly(int /*argc*/, char** /*argv*/, char** /*environment*/) {
  BlockSignals();
}

[[gnu::section(".preinit_array"),
  gnu::used]] void (*const kBlockSignalsEarly)(int, char**, char**) = &BlockSignalsEarly;

}  // namespace

std::optional<int> ReadArguments(int argc,
                                 char** argv,
                                 const ProgramInfo& info,
                                 const std::string& settings_help,
                                 DaemonArguments* arguments) {
  int choice = 0;
  while ((choice = getopt_long(argc, argv, "c:kphv", kOptions.data(), nullptr)) != -1) {
    switch (choice) {
      case 'c':
        arguments->config_path = optarg;
        break;
      case 'k':
        arguments->check = true;
        break;
      case 'p':
        arguments->print_settings = true;
        break;
      case 'h':
        PrintUsage(info, settings_help);
        return kExitOk;
      case 'v':
        std::cout << info.name << " " << PERIDOTFORK_VERSION << "\n";
        return kExitOk;
      default:
        return kExitUsage;
    }
  }
  if (arguments->config_path.empty() || optind != argc) {
    std::cerr << info.name << ": --config FILE is required; see --help\n";
    return kExitUsage;
  }
  return std::nullopt;
}

Result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    return MakeError(ErrorKind::kUnavailable, path, "the file can't be read");
  }
  return text.str();
}

void PrintFaults(const std::string& path, const std::vector<IniFault>& faults) {
  for (const IniFault& fault : faults) {
    std::cerr << path << ": " << fault.ToError();
    if (!fault.value.empty()) {
      std::cerr << " (value \"" << fault.value << "\")";
    }
    std::cerr << "\n";
  }
}

int RunService(const HostSettings& settings,
               const ProgramInfo& info,
               const std::string& settings_path,
               const std::function<std::unique_ptr<Service>(const DaemonContext&)>& make) {
  const sigset_t signals = BlockSignals();
  InitLogging(ToLogLevel(settings.log_level));
  const SystemClock clock;
  Logger log(info.prefix, clock);
  WorkerPool pool(settings.worker_threads);
  const auto incarnation = static_cast<std::uint64_t>(clock.wall_now().time_since_epoch().count());
  const std::unique_ptr<Service> service = make({pool, clock, log, Incarnation(incarnation)});
  const Result<void> started = service->Start();
  if (!started.has_value()) {
    log.Error("The service failed to start.", {{"error", ToString(started.error())}});
    FlushLogging();
    pool.Stop();
    return kExitFailure;
  }
  log.Info("Started.", {{"host", settings.id.value()},
                        {"http", settings.http_address.value()},
                        {"incarnation", std::to_string(incarnation)}});
  ServeUntilStop(settings_path, signals, *service, log);
  log.Info("A graceful shutdown begins.");
  service->BeginDrain();
  const bool drained = WaitForDrain(*service, clock, settings.drain_timeout, signals);
  service->Close();
  pool.Stop();
  log.Info("Stopped.", {{"drained", drained ? "yes" : "no"}});
  FlushLogging();
  return drained ? kExitOk : kExitFailure;
}

}  // namespace internal
}  // namespace peridotfork
