#include <getopt.h>

#include <array>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>

#include "peridotfork/config/units.h"
#include "peridotfork/load/load_generator.h"
#include "peridotfork/load/summary.h"
#include "peridotfork/program/daemon.h"

namespace peridotfork {
namespace {

constexpr const char* kUsage =
    "Usage: peridotfork-load --entries IP:PORT[,IP:PORT...] [OPTION]...\n\n"
    "Sends searches to entries at a fixed mean rate (open loop: latencies count from the\n"
    "time at which a request was due) and prints outcomes and latency quantiles.\n\n"
    "  --entries LIST   HTTP addresses of the entries\n"
    "  --mix NAME       association, rounds, or one of their services (default association)\n"
    "  --rate N/s       mean rate over all entries (default 100/s)\n"
    "  --duration TIME  with a unit, such as 10s (default 10s)\n"
    "  --seed N         seed of arrivals and queries (default 1)\n"
    "  --csv FILE       write one line per request\n"
    "  --help, --version\n\n"
    "Example: peridotfork-load --entries 127.0.0.1:7301 --mix hearing-desk --rate 50/s\n"
    "Exit codes: 0 ok, 1 the CSV file can't be written, 2 invalid command line.\n";

constexpr std::array kOptions = {
    option{"entries", required_argument, nullptr, 'e'},
    option{"mix", required_argument, nullptr, 'm'},
    option{"rate", required_argument, nullptr, 'r'},
    option{"duration", required_argument, nullptr, 'd'},
    option{"seed", required_argument, nullptr, 's'},
    option{"csv", required_argument, nullptr, 'c'},
    option{"help", no_argument, nullptr, 'h'},
    option{"version", no_argument, nullptr, 'v'},
    option{nullptr, 0, nullptr, 0},
};

struct Arguments {
  load::LoadOptions options;
  std::string csv;
};

Result<void> ReadEntries(const std::string& text, load::LoadOptions* options) {
  std::istringstream list(text);
  std::string item;
  while (std::getline(list, item, ',')) {
    const Result<Address> address = ParseAddress(item);
    if (!address.has_value()) {
      return address.error();
    }
    options->entries.push_back(address.value());
  }
  return boost::outcome_v2::success();
}

// Applies one option; `text` is its argument.
Result<void> ApplyOption(int choice, const std::string& text, Arguments* arguments) {
  load::LoadOptions& options = arguments->options;
  if (choice == 'e') {
    return ReadEntries(text, &options);
  }
  if (choice == 'm') {
    auto mix = load::FindMix(text);
    return mix.has_value() ? (options.mix = mix.value(), Result<void>(boost::outcome_v2::success()))
                           : Result<void>(mix.error());
  }
  if (choice == 'r') {
    const auto rate = ParseRate(text);
    return rate.has_value()
               ? (options.rate = rate.value().value(), Result<void>(boost::outcome_v2::success()))
               : Result<void>(rate.error());
  }
  if (choice == 'd') {
    const auto duration = ParseDuration(text);
    if (!duration.has_value()) {
      return duration.error();
    }
    options.duration = std::chrono::duration_cast<std::chrono::milliseconds>(duration.value());
  } else if (choice == 's') {
    const auto seed = ParseCount(text);
    if (!seed.has_value()) {
      return seed.error();
    }
    options.seed = seed.value();
  } else {
    arguments->csv = text;
  }
  return boost::outcome_v2::success();
}

int Run(int argc, char** argv) {
  Arguments arguments;
  arguments.options.mix = load::FindMix("association").value();
  int choice = 0;
  while ((choice = getopt_long(argc, argv, "", kOptions.data(), nullptr)) != -1) {
    if (choice == 'h') {
      std::cout << kUsage;
      return kExitOk;
    }
    if (choice == 'v') {
      std::cout << "peridotfork-load " << PERIDOTFORK_VERSION << "\n";
      return kExitOk;
    }
    if (choice == '?') {
      return kExitUsage;
    }
    if (const auto read = ApplyOption(choice, optarg, &arguments); !read.has_value()) {
      std::cerr << "peridotfork-load: " << read.error() << "\n";
      return kExitUsage;
    }
  }
  if (arguments.options.entries.empty() || optind != argc) {
    std::cerr << "peridotfork-load: --entries is required; see --help\n";
    return kExitUsage;
  }
  const SystemClock clock;
  WorkerPool pool(2);
  load::LoadGenerator generator(pool, clock, arguments.options);
  const std::vector<load::Sample> samples = generator.Run();
  pool.Stop();
  load::PrintSummary(samples, std::cout);
  if (!arguments.csv.empty()) {
    std::ofstream file(arguments.csv);
    load::PrintCsv(samples, file);
    return file ? kExitOk : kExitFailure;
  }
  return kExitOk;
}

}  // namespace
}  // namespace peridotfork

int main(int argc, char** argv) {
  return peridotfork::Run(argc, argv);
}
