#include "peridotfork/ctl/options.h"

#include <getopt.h>

#include <algorithm>
#include <array>
#include <iomanip>
#include <sstream>
#include <vector>

#include "peridotfork/config/units.h"

namespace peridotfork::ctl {
namespace {

// One option: its names, the name of its argument (null if it takes none), its
// help text, and the function that applies it.
struct OptionSpec {
  const char* name;
  char letter;
  const char* argument;
  const char* help;
  Result<void> (*apply)(const char* argument, Options& options);
};

template <auto kMember, auto kValue>
Result<void> Set(const char*, Options& options) {
  options.*kMember = kValue;
  return boost::outcome_v2::success();
}

template <std::string Options::*kMember>
Result<void> SetText(const char* argument, Options& options) {
  options.*kMember = argument;
  return boost::outcome_v2::success();
}

Result<void> SetTimeout(const char* argument, Options& options) {
  const auto timeout = ParseDuration(argument);
  const std::string where = "--timeout \"" + std::string(argument) + "\"";
  if (!timeout.has_value()) {
    return MakeError(timeout.error().kind(), where, timeout.error().detail);
  }
  // A longer timeout would only delay the report of a host that is down.
  if (timeout.value() < std::chrono::milliseconds(1) || timeout.value() > std::chrono::minutes(5)) {
    return MakeError(ErrorKind::kOutOfRange, where, "expected 1ms to 5min");
  }
  options.timeout = timeout.value();
  return boost::outcome_v2::success();
}

constexpr std::array kOptionSpecs = {
    OptionSpec{"hosts", 'f', "FILE", "hosts file (INI) with the HTTP addresses of each host",
               &SetText<&Options::hosts_path>},
    OptionSpec{"agents", 'a', "A,B,...", "HTTP addresses of agents; for config, hosts and leases",
               &SetText<&Options::agents>},
    OptionSpec{"document", 'd', "FILE",
               "the operators' document; targets then checks the targets that it lists",
               &SetText<&Options::document_path>},
    OptionSpec{"timeout", 't', "TIME", "maximum wait for one process, 2s by default", &SetTimeout},
    OptionSpec{"json", 'j', nullptr, "print JSON", &Set<&Options::print, &PrintJson>},
    OptionSpec{"help", 'h', nullptr, "print this text and exit",
               &Set<&Options::action, Action::kHelp>},
    OptionSpec{"version", 'v', nullptr, "print the version and exit",
               &Set<&Options::action, Action::kVersion>},
};

std::vector<option> LongOptions() {
  std::vector<option> options;
  options.reserve(kOptionSpecs.size() + 1);
  for (const OptionSpec& spec : kOptionSpecs) {
    options.push_back({spec.name, spec.argument == nullptr ? no_argument : required_argument,
                       nullptr, spec.letter});
  }
  options.push_back({nullptr, 0, nullptr, 0});
  return options;
}

std::string ShortOptions() {
  // With a leading colon, getopt_long distinguishes a missing argument from an
  // unknown option.
  std::string letters = ":";
  for (const OptionSpec& spec : kOptionSpecs) {
    letters += spec.letter;
    letters += spec.argument == nullptr ? "" : ":";
  }
  return letters;
}

const OptionSpec* FindSpec(int letter) {
  const auto* const spec =
      std::find_if(kOptionSpecs.begin(), kOptionSpecs.end(),
                   [letter](const OptionSpec& entry) { return entry.letter == letter; });
  return spec == kOptionSpecs.end() ? nullptr : spec;
}

// The error for an option that getopt_long rejected. `letter` is optopt, which is
// 0 for an unknown long option; `word` then holds that option. A known option
// lacks its argument or has an unexpected one.
Error RefusedOption(int letter, const char* word) {
  const OptionSpec* const spec = FindSpec(letter);
  if (spec != nullptr && spec->argument != nullptr) {
    return MakeError(ErrorKind::kMissingField, std::string("option --") + spec->name,
                     std::string("it needs ") + spec->argument);
  }
  if (spec != nullptr) {
    return MakeError(ErrorKind::kMalformed, std::string("option --") + spec->name,
                     "it takes no argument");
  }
  const std::string name = letter == 0 ? word : std::string("-") + static_cast<char>(letter);
  return MakeError(ErrorKind::kUnknownName, "option " + name, "see --help");
}

Result<void> CheckUsage(const Options& options) {
  if (options.hosts_path.empty() == options.agents.empty()) {
    return MakeError(ErrorKind::kMissingField, "command line",
                     "give either --hosts FILE or --agents A,B,...");
  }
  const std::vector<Role>& needs = options.command->needs;
  if (!options.agents.empty() && needs != std::vector<Role>{Role::kAgent}) {
    return MakeError(ErrorKind::kMissingField, "--hosts",
                     std::string("the command ") + options.command->name + " needs a " +
                         SpecOf(needs.front()).name + " address for each host");
  }
  return boost::outcome_v2::success();
}

constexpr const char* kExample = R"(
Example: list the hosts of the fleet in a file, fleet.ini:

  [host h1]
  agent = 10.0.0.1:7101
  dispatcher = 10.0.0.1:7201
  entry = 10.0.0.1:7301
  [host h2]
  agent = 10.0.0.2:7101
  dispatcher = 10.0.0.2:7201
  entry = 10.0.0.2:7301

After publishing a change, check where it is in force, and what was refused:

  peridotforkctl --hosts fleet.ini config

Check that each target of the document has one owner, and extract the flags:

  peridotforkctl --hosts fleet.ini --document document.ini --json targets | jq .flags

Lines that begin with FLAG report a problem, and those with NO ANSWER a process
that did not answer. The hosts are not read at the same instant, so a lease that
moves meanwhile can be flagged as held by none or by two; run the command again.
Without --document, a target that no dispatcher has had is not reported, and one
that was removed from the document can be flagged as owned by none.

Exit codes: 0 if all is well, 1 if a process did not answer or something is
flagged, 2 for an invalid command line or file.
)";

}  // namespace

Result<Options> ParseOptions(int argc, char** argv) {
  const std::vector<option> long_options = LongOptions();
  const std::string short_options = ShortOptions();
  Options options;
  // Zero makes glibc reset the state of an earlier parse.
  optind = 0;
  opterr = 0;
  int letter = 0;
  while ((letter = getopt_long(argc, argv, short_options.c_str(), long_options.data(), nullptr)) !=
         -1) {
    const OptionSpec* const spec = FindSpec(letter);
    if (spec == nullptr) {
      return RefusedOption(optopt, argv[optind - 1]);
    }
    if (const Result<void> applied = spec->apply(optarg, options); !applied.has_value()) {
      return applied.error();
    }
    if (options.action != Action::kReport) {
      return options;
    }
  }
  if (optind + 1 != argc) {
    return MakeError(optind == argc ? ErrorKind::kMissingField : ErrorKind::kDuplicate, "COMMAND",
                     "give exactly one command; see --help");
  }
  const auto command = FindCommand(argv[optind]);
  if (!command.has_value()) {
    return command.error();
  }
  options.command = command.value();
  if (const Result<void> usage = CheckUsage(options); !usage.has_value()) {
    return usage.error();
  }
  return options;
}

std::string HelpText() {
  std::ostringstream text;
  text << "Usage: peridotforkctl [OPTIONS] --hosts FILE | --agents A,B,... COMMAND\n\n"
       << "Prints what the hosts of a fleet report. It changes nothing.\n\nCommands:\n"
       << std::left;
  for (const Command& command : CommandTable()) {
    text << "  " << std::setw(10) << command.name << command.help << "\n";
  }
  text << "\nOptions:\n";
  for (const OptionSpec& spec : kOptionSpecs) {
    const std::string argument = spec.argument == nullptr ? "" : std::string(" ") + spec.argument;
    text << "  -" << spec.letter << ", " << std::setw(20) << "--" + (spec.name + argument)
         << spec.help << "\n";
  }
  text << kExample;
  return text.str();
}

}  // namespace peridotfork::ctl
