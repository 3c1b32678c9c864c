#include "peridotfork/ctl/status.h"

#include <doctest/doctest.h>

#include <string>

namespace peridotfork::ctl {
namespace {

constexpr const char* kAgent = R"({
  "host": "h1", "data_centre": "bole", "incarnation": 7, "joined": true, "draining": false,
  "document": {"revision": 3, "digest": 18446744073709551615,
    "sections": [{"name": "fleet", "version": 2, "since_us": 5, "newest": false}],
    "refused": [{"section": "fleet", "line": 4, "key": "owner", "kind": "malformed",
                 "reason": "why", "revision": 3, "since_us": 6}]},
  "view": {"version": 9, "settled": true}, "reader": true,
  "homes": [{"home": "h2", "ends_in_ms": -4, "handing_back": false}],
  "peers": [{"host": "h2", "live": false, "heard_ms_ago": 1200, "later_field": 1}],
  "later_field": []})";

std::string Replaced(std::string text, const std::string& from, const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

TEST_CASE("the status of an agent is decoded, and unknown fields are ignored") {
  const auto status = DecodeAgentStatus(kAgent);
  REQUIRE(status.has_value());
  CHECK(status.value().host == HostId("h1"));
  CHECK(status.value().digest == UINT64_MAX);
  CHECK_FALSE(status.value().sections.at(0).newest);
  CHECK(status.value().refused.at(0).line == 4);
  CHECK(status.value().view == ViewVersion(9));
  CHECK(status.value().homes.at(0).ends_in == std::chrono::milliseconds(-4));
  CHECK(status.value().peers.at(0).heard_ago == std::chrono::milliseconds(1200));
}

// Guards against default zeros that are taken for reported values.
TEST_CASE("a missing or ill-typed field is an error with its path") {
  const auto missing = DecodeAgentStatus(Replaced(kAgent, "\"line\"", "\"row\""));
  REQUIRE_FALSE(missing.has_value());
  CHECK(missing.error() == MakeError(ErrorKind::kMissingField, "status.document.refused[0].line"));

  const auto negative = DecodeAgentStatus(Replaced(kAgent, "\"version\": 9", "\"version\": -9"));
  REQUIRE_FALSE(negative.has_value());
  CHECK(negative.error() == MakeError(ErrorKind::kWrongType, "status.view.version"));

  CHECK(DecodeAgentStatus(
            Replaced(kAgent, "\"view\": {\"version\": 9, \"settled\": true}", "\"view\": []"))
            .error()
            .kind() == ErrorKind::kWrongType);
  CHECK(DecodeEntryStatus("{").error().kind() == ErrorKind::kMalformed);
  CHECK(DecodeDispatcherStatus("[]").error() == MakeError(ErrorKind::kWrongType, "status"));
  CHECK(DecodeDispatcherStatus(R"({"host": "h1", "incarnation": 1, "draining": false,
                                   "document": 1, "targets": {}})")
            .error() == MakeError(ErrorKind::kWrongType, "status.targets"));
}

TEST_CASE("each role stores its answer in its own member") {
  HostStatus host;
  REQUIRE(SpecOf(Role::kAgent).store(kAgent, host).has_value());
  CHECK(host.agent.has_value());
  CHECK_FALSE(SpecOf(Role::kEntry).store(kAgent, host).has_value());
  CHECK_FALSE(host.entry.has_value());
  for (const RoleSpec& spec : RoleTable()) {
    CHECK(&SpecOf(spec.role) == &spec);
  }
}

}  // namespace
}  // namespace peridotfork::ctl
