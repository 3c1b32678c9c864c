#include "peridotfork/ctl/options.h"

#include <doctest/doctest.h>

#include <sstream>
#include <string>
#include <vector>

#include "peridotfork/ctl/program.h"
#include "peridotfork/program/daemon.h"

namespace peridotfork::ctl {
namespace {

// A command line whose strings outlive the parse.
class CommandLine {
 public:
  explicit CommandLine(std::vector<std::string> words) : words_(std::move(words)) {
    words_.insert(words_.begin(), "peridotforkctl");
    for (std::string& word : words_) {
      pointers_.push_back(word.data());
    }
    pointers_.push_back(nullptr);
  }

  int argc() const { return static_cast<int>(words_.size()); }
  char** argv() { return pointers_.data(); }

 private:
  std::vector<std::string> words_;
  std::vector<char*> pointers_;
};

Result<Options> Parse(std::vector<std::string> words) {
  CommandLine line(std::move(words));
  return ParseOptions(line.argc(), line.argv());
}

TEST_CASE("options may come before and after the command") {
  const auto options = Parse({"--hosts", "f.ini", "targets", "--json", "--timeout=250ms"});
  REQUIRE(options.has_value());
  CHECK(options.value().hosts_path == "f.ini");
  CHECK(std::string(options.value().command->name) == "targets");
  CHECK((options.value().print == &PrintJson));
  CHECK(options.value().timeout == std::chrono::milliseconds(250));
}

TEST_CASE("an invalid command line is a typed error") {
  const std::vector<std::pair<std::vector<std::string>, ErrorKind>> cases = {
      {{"--hosts", "f"}, ErrorKind::kMissingField},
      {{"config"}, ErrorKind::kMissingField},
      {{"--hosts", "f", "--agents", "a", "config"}, ErrorKind::kMissingField},
      {{"--agents", "127.0.0.1:1", "targets"}, ErrorKind::kMissingField},
      {{"--hosts", "f", "config", "hosts"}, ErrorKind::kDuplicate},
      {{"--hosts", "f", "restart"}, ErrorKind::kUnknownName},
      {{"--hosts", "f", "--force", "config"}, ErrorKind::kUnknownName},
      {{"config", "--hosts"}, ErrorKind::kMissingField},
      {{"--hosts", "f", "--timeout", "2", "config"}, ErrorKind::kMalformed},
      {{"--hosts", "f", "--timeout", "0s", "config"}, ErrorKind::kOutOfRange},
  };
  for (const auto& [words, kind] : cases) {
    const auto options = Parse(words);
    REQUIRE_FALSE(options.has_value());
    CHECK_MESSAGE(options.error().kind() == kind, ToString(options.error()));
  }
}

// Guards against an error that names the wrong argument.
TEST_CASE("a refused option is named") {
  CHECK(Parse({"--hosts", "f", "-jx", "config"}).error().where == "option -x");
  CHECK(Parse({"--forse", "config"}).error().where == "option --forse");
  CHECK(Parse({"config", "--hosts"}).error().where == "option --hosts");
  CHECK(Parse({"--json=yes", "config"}).error().kind() == ErrorKind::kMalformed);
}

TEST_CASE("the help names every command and has an example") {
  const std::string help = HelpText();
  for (const Command& command : CommandTable()) {
    CHECK(help.find(std::string("  ") + command.name) != std::string::npos);
  }
  CHECK(help.find("[host h1]") != std::string::npos);
}

TEST_CASE("help and version exit with 0, usage errors with 2") {
  std::ostringstream out;
  std::ostringstream err;
  CommandLine help({"--help"});
  CHECK(RunProgram(help.argc(), help.argv(), out, err) == kExitOk);
  CHECK(out.str() == HelpText());
  CommandLine version({"--version"});
  CHECK(RunProgram(version.argc(), version.argv(), out, err) == kExitOk);
  CHECK(err.str().empty());
  CommandLine unreadable({"--hosts", "/nonexistent/fleet.ini", "hosts"});
  CHECK(RunProgram(unreadable.argc(), unreadable.argv(), out, err) == kExitUsage);
  CHECK(err.str().find("/nonexistent/fleet.ini") != std::string::npos);
}

}  // namespace
}  // namespace peridotfork::ctl
