#include <getopt.h>

#include <algorithm>
#include <iostream>
#include <limits>
#include <memory>
#include <string>
#include <vector>

#include "peridotfork/core/clock.h"
#include "peridotfork/http/server.h"
#include "peridotfork/internal/standin/program.h"
#include "peridotfork/runtime/log.h"
#include "peridotfork/standin/record_set.h"
#include "peridotfork/standin/sample_document.h"
#include "peridotfork/standin/target_farm.h"

namespace peridotfork::standin {
namespace {

constexpr const char* kProgram = "peridotfork-standin-target";

constexpr const char* kUsage =
    R"(Usage: peridotfork-standin-target --document FILE (--data-centre NAME | --target ID)... [OPTION]...
       peridotfork-standin-target --print-document [--base-port N] [--deployment NAME]
Simulates search targets. Serves the selected targets of the document at their addresses.

  --document FILE       operators' document (INI)
  --data-centre NAME    serve the targets of this data centre; may be repeated
  --target ID           serve this target; may be repeated
  --seed N              seed of the records and of the service times (default 1);
                        all processes of a deployment need the same one
  --admin ADDRESS       serve the administrative interface at this IP:PORT
  --median-us N         median service time in microseconds (default 8000)
  --cold                start cold
  --crash-word WORD     requests that contain WORD crash their target
  --threads N           worker threads (default 2)
  --print-document      print a sample document and exit
  --base-port N         first target port of the sample document (default 7001)
  --deployment NAME     association or rounds; both if absent
  --log-level LEVEL     debug, info, warning or error (default info)
  --help                print this text and exit
  --version             print the version and exit
)";

struct Options {
  std::string document;
  std::vector<std::string> data_centres;
  std::vector<std::string> targets;
  std::uint64_t seed = 1;
  std::string admin;
  std::uint64_t median_us = 8000;
  bool cold = false;
  std::string crash_word;
  std::uint64_t threads = 2;
  bool print_document = false;
  std::uint64_t base_port = 7001;
  std::string deployment;
  std::string log_level = "info";
};

enum Option : int {
  kDocument = 1,
  kDataCentre,
  kTarget,
  kSeed,
  kAdmin,
  kMedian,
  kCold,
  kCrashWord,
  kThreads,
  kPrintDocument,
  kBasePort,
  kDeployment,
  kLogLevel,
  kHelp,
  kVersion,
};

constexpr option kOptions[] = {
    {"document", required_argument, nullptr, kDocument},
    {"data-centre", required_argument, nullptr, kDataCentre},
    {"target", required_argument, nullptr, kTarget},
    {"seed", required_argument, nullptr, kSeed},
    {"admin", required_argument, nullptr, kAdmin},
    {"median-us", required_argument, nullptr, kMedian},
    {"cold", no_argument, nullptr, kCold},
    {"crash-word", required_argument, nullptr, kCrashWord},
    {"threads", required_argument, nullptr, kThreads},
    {"print-document", no_argument, nullptr, kPrintDocument},
    {"base-port", required_argument, nullptr, kBasePort},
    {"deployment", required_argument, nullptr, kDeployment},
    {"log-level", required_argument, nullptr, kLogLevel},
    {"help", no_argument, nullptr, kHelp},
    {"version", no_argument, nullptr, kVersion},
    {nullptr, 0, nullptr, 0},
};

// Sets an option that takes a text or adds to a list of texts; returns false for
// any other option.
bool SetTextOption(int code, Options& options) {
  static const std::vector<std::pair<int, std::string Options::*>> kTexts = {
      {kDocument, &Options::document},    {kAdmin, &Options::admin},
      {kCrashWord, &Options::crash_word}, {kDeployment, &Options::deployment},
      {kLogLevel, &Options::log_level},
  };
  static const std::vector<std::pair<int, std::vector<std::string> Options::*>> kLists = {
      {kDataCentre, &Options::data_centres},
      {kTarget, &Options::targets},
  };
  for (const auto& [known, member] : kTexts) {
    if (known == code) {
      options.*member = optarg;
      return true;
    }
  }
  for (const auto& [known, member] : kLists) {
    if (known == code) {
      (options.*member).emplace_back(optarg);
      return true;
    }
  }
  return false;
}

bool SetNumberOption(int code, Options& options) {
  struct Number {
    int code;
    std::uint64_t Options::*member;
    std::uint64_t max;
  };
  static constexpr Number kNumbers[] = {
      {kSeed, &Options::seed, std::numeric_limits<std::uint64_t>::max()},
      {kMedian, &Options::median_us, 60'000'000},
      {kThreads, &Options::threads, 64},
      {kBasePort, &Options::base_port, 65000},
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
    if (code == kCold) {
      options.cold = true;
    } else if (code == kPrintDocument) {
      options.print_document = true;
    } else if (code == '?' || (!SetTextOption(code, options) && !SetNumberOption(code, options))) {
      std::cerr << kUsage;
      return 2;
    }
  }
  const bool selected = !options.data_centres.empty() || !options.targets.empty();
  if (!options.print_document && (options.document.empty() || !selected)) {
    std::cerr << kUsage;
    return 2;
  }
  return std::nullopt;
}

bool IsSelected(const Options& options, const TargetSpec& spec) {
  return std::ranges::count(options.data_centres, spec.data_centre.value()) > 0 ||
         std::ranges::count(options.targets, spec.id.value()) > 0;
}

void SendCommand(StandinTarget& target, const nlohmann::json& command) {
  target.Handle(http::Request{"POST", "/control", {}, command.dump()}, [](const auto&) {});
}

Result<void> AddTargets(const Options& options, TargetFarm& farm) {
  const Result<std::string> text = ReadFile(options.document);
  if (!text) {
    return text.error();
  }
  Result<std::vector<TargetSpec>> specs = ReadTargets(text.value());
  if (!specs) {
    return specs.error();
  }
  for (TargetSpec& spec : specs.value()) {
    if (!IsSelected(options, spec)) {
      continue;
    }
    spec.traits.median_service = std::chrono::microseconds(options.median_us);
    const Result<void> added = farm.Add(std::move(spec));
    if (!added) {
      return added.error();
    }
  }
  if (farm.targets().empty()) {
    return MakeError(ErrorKind::kUnknownName, options.document, "no target is selected");
  }
  return boost::outcome_v2::success();
}

void ConfigureTargets(const Options& options, const TargetFarm& farm) {
  for (const auto& target : farm.targets()) {
    if (options.cold) {
      SendCommand(*target, {{"command", "cold"}});
    }
    if (!options.crash_word.empty()) {
      SendCommand(*target, {{"command", "crash_word"}, {"word", options.crash_word}});
    }
  }
}

int Serve(const Options& options) {
  InitLogging(LogLevelFromName(options.log_level));
  const SystemClock clock;
  Logger log("standin-target", clock);
  const RecordSet records(options.seed);
  WorkerPool pool(std::max<std::uint64_t>(1, options.threads));
  TargetFarm farm(pool, clock, records, options.seed);
  const Result<void> added = AddTargets(options, farm);
  if (!added) {
    pool.Stop();
    return Fail(kProgram, added.error());
  }
  ConfigureTargets(options, farm);
  http::Server admin(pool.context(), http::ServerOptions{}, farm);
  if (!options.admin.empty()) {
    const Result<void> listening = admin.Listen(Address(options.admin));
    if (!listening) {
      pool.Stop();
      return Fail(kProgram, listening.error());
    }
  }
  log.Info("Serving targets.", {{"targets", std::to_string(farm.targets().size())},
                                {"admin", options.admin.empty() ? "none" : options.admin}});
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
  if (options.print_document) {
    std::cout << MakeSampleDocument(static_cast<std::uint16_t>(options.base_port),
                                    options.deployment);
    return 0;
  }
  return Serve(options);
}
