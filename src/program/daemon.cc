#include "peridotfork/program/daemon.h"

#include <getopt.h>
#include <pthread.h>
#include <signal.h>

#include <array>
#include <condition_variable>
#include <fstream>
#include <sstream>
#include <utility>

namespace peridotfork::internal {
namespace {

// How often the main thread looks whether the drain has ended.
constexpr std::chrono::milliseconds kDrainPoll{20};

void PrintUsage(const ProgramInfo& info, const std::string& settings_help) {
  std::cout << "Usage: " << info.name << " --config FILE [--check | --print-settings]\n\n"
            << info.purpose << "\n\n"
            << "  -c, --config FILE     settings in INI form\n"
            << "  -k, --check           check the settings, list every fault, and end\n"
            << "  -p, --print-settings  print the settings in effect and end\n"
            << "  -h, --help            print this text and end\n"
            << "  -v, --version         print the version and end\n\n"
            << "Settings:\n"
            << settings_help << "\n"
            << "SIGTERM or SIGINT begins a planned stop: no new work is taken, and work in\n"
            << "flight is finished within [drain] timeout.\n\n"
            << "Exit codes: 0 after a planned stop, 1 after a failure, 2 for a faulty command\n"
            << "line or faulty settings.\n";
}

constexpr std::array kOptions = {
    option{"config", required_argument, nullptr, 'c'},   option{"check", no_argument, nullptr, 'k'},
    option{"print-settings", no_argument, nullptr, 'p'}, option{"help", no_argument, nullptr, 'h'},
    option{"version", no_argument, nullptr, 'v'},        option{nullptr, 0, nullptr, 0},
};

LogLevel ToLogLevel(LogThreshold threshold) {
  return static_cast<LogLevel>(threshold);
}

// Waits for a stop signal, for `timeout` at the longest if there is one.
bool WaitForSignal(const sigset_t& signals, std::optional<std::chrono::milliseconds> timeout) {
  if (!timeout.has_value()) {
    int signal = 0;
    return sigwait(&signals, &signal) == 0;
  }
  timespec time{};
  time.tv_nsec = std::chrono::nanoseconds(*timeout).count();
  return sigtimedwait(&signals, nullptr, &time) > 0;
}

// True if the work ended within the time; false also after a second signal.
bool WaitForDrain(const Service& service,
                  const Clock& clock,
                  std::chrono::nanoseconds timeout,
                  const sigset_t& signals) {
  const BootTime end = clock.now() + timeout;
  while (!service.drained()) {
    if (clock.now() >= end || WaitForSignal(signals, kDrainPoll)) {
      return false;
    }
  }
  return true;
}

sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  return signals;
}

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
               const std::function<std::unique_ptr<Service>(const DaemonContext&)>& make) {
  const sigset_t signals = BlockStopSignals();
  InitLogging(ToLogLevel(settings.log_level));
  const SystemClock clock;
  Logger log(info.prefix, clock);
  WorkerPool pool(settings.worker_threads);
  const auto incarnation = static_cast<std::uint64_t>(clock.wall_now().time_since_epoch().count());
  const std::unique_ptr<Service> service = make({pool, clock, log, Incarnation(incarnation)});
  const Result<void> started = service->Start();
  if (!started.has_value()) {
    log.Error("The start failed.", {{"error", ToString(started.error())}});
    FlushLogging();
    pool.Stop();
    return kExitFailure;
  }
  log.Info("Started.", {{"host", settings.id.value()},
                        {"http", settings.http_address.value()},
                        {"incarnation", std::to_string(incarnation)}});
  WaitForSignal(signals, std::nullopt);
  log.Info("A planned stop begins.");
  service->BeginDrain();
  const bool drained = WaitForDrain(*service, clock, settings.drain_timeout, signals);
  service->Close();
  pool.Stop();
  log.Info("Stopped.", {{"drained", drained ? "yes" : "no"}});
  FlushLogging();
  return drained ? kExitOk : kExitFailure;
}

}  // namespace peridotfork::internal
