#include "peridotfork/ctl/report.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <sstream>

namespace peridotfork::ctl {
namespace {

Report SampleReport() {
  return {{{"hosts",
            {{"host", "HOST"}, {"since", "SINCE"}, {"ends_in_ms", "ENDS IN"}, {"peers", "PEERS"}},
            {{std::string("h1"), WallTime(std::chrono::microseconds(1'500'000)),
              std::chrono::milliseconds(900), std::vector<std::string>{"h2", "h3"}},
             {std::string("host-2"), Cell(), Cell(), std::vector<std::string>()}}}},
          {{FindingKind::kPeerNotLive, "h2", "silent"}}};
}

const std::vector<NoAnswer> kNoAnswers = {
    {HostId("h4"), Role::kEntry, Address("127.0.0.4:1"), MakeError(ErrorKind::kTimedOut, "read")}};

TEST_CASE("text has aligned columns, then flags, then processes that did not answer") {
  std::ostringstream out;
  PrintText("hosts", SampleReport(), kNoAnswers, out);
  CHECK(out.str() ==
        "HOST    SINCE                     ENDS IN  PEERS\n"
        "h1      1970-01-01T00:00:01.500Z  900ms    h2, h3\n"
        "host-2  -                         -        -\n"
        "\n"
        "FLAG peer_not_live: h2: silent\n"
        "NO ANSWER: h4 entry 127.0.0.4:1: timed_out at read\n");
}

TEST_CASE("JSON has the tables by name, flags and missing answers") {
  std::ostringstream out;
  PrintJson("hosts", SampleReport(), kNoAnswers, out);
  const auto json = nlohmann::json::parse(out.str());
  CHECK(json["command"] == "hosts");
  CHECK(json["tables"]["hosts"][0]["ends_in_ms"] == 900);
  CHECK(json["tables"]["hosts"][0]["peers"] == nlohmann::json({"h2", "h3"}));
  CHECK(json["tables"]["hosts"][1]["since"].is_null());
  CHECK(json["flags"][0]["kind"] == "peer_not_live");
  CHECK(json["no_answer"][0]["process"] == "entry");
  CHECK(json["no_answer"][0]["kind"] == "timed_out");
}

// Guards against terminal escape sequences from a faulty host, and against an
// exception for bytes that are not UTF-8.
TEST_CASE("text from a host's answer can't corrupt the output") {
  Report report;
  report.findings = {{FindingKind::kSectionRefused, "a\x1b[2J", "\xff"}};
  std::ostringstream text;
  PrintText("config", report, {}, text);
  CHECK(text.str().find('\x1b') == std::string::npos);
  std::ostringstream json;
  PrintJson("config", report, {}, json);
  CHECK(nlohmann::json::accept(json.str()));
}

}  // namespace
}  // namespace peridotfork::ctl
