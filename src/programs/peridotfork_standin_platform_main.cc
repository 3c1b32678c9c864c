#include <getopt.h>

#include <algorithm>
#include <iostream>
#include <limits>
#include <string>
#include <utility>
#include <vector>

#include "peridotfork/core/clock.h"
#include "peridotfork/http/server.h"
#include "peridotfork/internal/standin/program.h"
#include "peridotfork/runtime/log.h"
#include "peridotfork/standin/standin_platform.h"

namespace peridotfork::standin {
namespace {

constexpr const char* kProgram = "peridotfork-standin-platform";

constexpr const char* kUsage =
    R"(Usage: peridotfork-standin-platform --address IP:PORT --document FILE --hosts FILE [OPTION]...
Simulates the platform's configuration service and host list.

  --address IP:PORT     where to listen
  --document FILE       operators' document (INI)
  --hosts FILE          host list (JSON)
  --revision N          revision of the first document (default 1); on a restart
                        the platform has to begin above the last one
  --budget N            calls per second of all readers together (default 2000)
  --threads N           worker threads (default 2)
  --log-level LEVEL     debug, info, warning or error (default info)
  --help                print this text and exit
  --version             print the version and exit
)";

struct Options {
  std::string address;
  std::string document;
  std::string hosts;
  std::string log_level = "info";
  std::uint64_t revision = 1;
  std::uint64_t budget = PlatformLimits{}.calls_per_second;
  std::uint64_t threads = 2;
};

enum Option : int {
  kAddress = 1,
  kDocument,
  kHosts,
  kRevision,
  kBudget,
  kThreads,
  kLogLevel,
  kHelp,
  kVersion,
};

constexpr option kOptions[] = {
    {"address", required_argument, nullptr, kAddress},
    {"document", required_argument, nullptr, kDocument},
    {"hosts", required_argument, nullptr, kHosts},
    {"revision", required_argument, nullptr, kRevision},
    {"budget", required_argument, nullptr, kBudget},
    {"threads", required_argument, nullptr, kThreads},
    {"log-level", required_argument, nullptr, kLogLevel},
    {"help", no_argument, nullptr, kHelp},
    {"version", no_argument, nullptr, kVersion},
    {nullptr, 0, nullptr, 0},
};

bool SetTextOption(int code, Options& options) {
  static const std::vector<std::pair<int, std::string Options::*>> kTexts = {
      {kAddress, &Options::address},
      {kDocument, &Options::document},
      {kHosts, &Options::hosts},
      {kLogLevel, &Options::log_level},
  };
  const auto text = std::ranges::find(kTexts, code, [](const auto& entry) { return entry.first; });
  if (text == kTexts.end()) {
    return false;
  }
  options.*(text->second) = optarg;
  return true;
}

bool SetNumberOption(int code, Options& options) {
  struct Number {
    int code;
    std::uint64_t Options::*member;
    std::uint64_t max;
  };
  static constexpr Number kNumbers[] = {
      {kRevision, &Options::revision, std::numeric_limits<std::int64_t>::max()},
      {kBudget, &Options::budget, 1'000'000},
      {kThreads, &Options::threads, 64},
  };
  const auto* number = std::ranges::find(kNumbers, code, &Number::code);
  if (number == std::end(kNumbers)) {
    return false;
  }
  const std::optional<std::uint64_t> value = ParseNumber(optarg, number->max);
  options.*(number->member) = value.value_or(0);
  return value.has_value();
}

// Returns an exit code if the program must exit.
std::optional<int> ParseOptions(int argc, char** argv, Options& options) {
  int code = 0;
  while ((code = getopt_long(argc, argv, "", kOptions, nullptr)) != -1) {
    if (code == kHelp) {
      std::cout << kUsage;
      return 0;
    }
    if (code == kVersion) {
      std::cout << kProgram << " " << PERIDOTFORK_VERSION << "\n";
      return 0;
    }
    if (code == '?' || (!SetTextOption(code, options) && !SetNumberOption(code, options))) {
      std::cerr << kUsage;
      return 2;
    }
  }
  if (options.address.empty() || options.document.empty() || options.hosts.empty()) {
    std::cerr << kUsage;
    return 2;
  }
  return std::nullopt;
}

Result<void> PublishFiles(const Options& options, StandinPlatform& platform) {
  Result<std::string> document = ReadFile(options.document);
  if (!document) {
    return document.error();
  }
  const Result<std::string> hosts = ReadFile(options.hosts);
  if (!hosts) {
    return hosts.error();
  }
  return platform.Publish(std::move(document).value(), hosts.value(), options.revision);
}

int Serve(const Options& options) {
  InitLogging(LogLevelFromName(options.log_level));
  const SystemClock clock;
  Logger log("standin-platform", clock);
  WorkerPool pool(std::max<std::uint64_t>(1, options.threads));
  PlatformLimits limits;
  limits.calls_per_second = static_cast<std::uint32_t>(options.budget);
  StandinPlatform platform(pool, clock, limits);
  http::ServerOptions server_options;
  server_options.body_limit = StandinPlatform::kBodyLimit;
  http::Server server(pool.context(), server_options, platform);
  Result<void> ready = PublishFiles(options, platform);
  if (ready) {
    ready = server.Listen(Address(options.address));
  }
  if (!ready) {
    pool.Stop();
    return Fail(kProgram, ready.error());
  }
  log.Info("Serving the platform's values.", {{"address", server.address().value()}});
  RunUntilSignal(pool);
  log.Info("Stopped.");
  return 0;
}

}  // namespace
}  // namespace peridotfork::standin

int main(int argc, char** argv) {
  using namespace peridotfork::standin;
  Options options;
  if (const std::optional<int> code = ParseOptions(argc, argv, options)) {
    return *code;
  }
  return Serve(options);
}
