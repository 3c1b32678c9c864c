#include "peridotfork/config/settings.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <string>
#include <string_view>

namespace peridotfork {
namespace {

const std::string kHost =
    "[host]\nid = h1\ndata_centre = hartford\naddress = 127.0.0.1:9000\n"
    "[http]\naddress = 127.0.0.1:8000\n";
const std::string kAgent = kHost + "[platform]\naddress = 127.0.0.1:7000\n";
const std::string kLocalAgent = kHost + "[agent]\naddress = 127.0.0.1:9001\n";

TEST_CASE("missing keys get their defaults") {
  const auto agent = ParseSettings<AgentSettings>(kAgent);
  REQUIRE(agent);
  CHECK(agent.value().id == HostId("h1"));
  CHECK(agent.value().platform_address == Address("127.0.0.1:7000"));
  CHECK(agent.value().lease_length == std::chrono::seconds(3));
  CHECK(agent.value().lease_renew_interval == std::chrono::milliseconds(500));
  CHECK(agent.value().max_clock_skew == std::chrono::milliseconds(50));
  CHECK(agent.value().reader_count == 2);
  CHECK(agent.value().drain_timeout == std::chrono::seconds(10));
  const auto entry = ParseSettings<EntrySettings>(kLocalAgent + "[queries]\nmax_in_flight = 7\n");
  REQUIRE(entry);
  CHECK(entry.value().max_queries_in_flight == 7);
  CHECK(entry.value().body_limit == Bytes(65536));
  CHECK(entry.value().log_level == LogThreshold::kInfo);
  CHECK(ParseSettings<DispatcherSettings>(kLocalAgent));
}

// Guards against deployments whose template can't hold a value losing it.
TEST_CASE("an environment variable overrides a key, and an empty one does not") {
  const auto variables = [](const char* name) -> const char* {
    const std::string_view variable(name);
    return variable == "PERIDOTFORK_STORE_REVOKE_AFTER" ? "5000ms"
           : variable == "PERIDOTFORK_PEERS_SEEDS"      ? "10.1.0.1:7000,10.1.0.2:7000"
           : variable == "PERIDOTFORK_HOST_ID"          ? ""
                                                        : nullptr;
  };
  const std::string text = kHost +
                           "[ingress]\naddress = 127.0.0.1:1\n[metrics]\naddress = 127.0.0.1:2\n"
                           "[store]\naddress = 127.0.0.1:3\nrevoke_after = 1s\n";
  const auto gateway = ParseSettings<GatewaySettings>(text, variables);
  REQUIRE(gateway);
  CHECK(gateway.value().store_revoke_after == std::chrono::seconds(5));
  CHECK(gateway.value().seeds == std::vector{Address("10.1.0.1:7000"), Address("10.1.0.2:7000")});
  CHECK(gateway.value().id == HostId("h1"));
  const auto plain = ParseSettings<GatewaySettings>(text);
  REQUIRE(plain);
  CHECK(plain.value().store_revoke_after == std::chrono::seconds(1));
  CHECK(plain.value().seeds.empty());
}

// Guards against gateways that do not start because the platform has computed a figure with a
// fraction (review/10).
TEST_CASE("figures that the platform fills in start a gateway, or are refused with their key") {
  constexpr std::array<std::string_view, 3> kUsable = {"100", "100.5", "6500.123456"};
  struct Figure {
    const char* section;
    const char* key;
    const char* unit;
  };
  const std::string rest = kHost +
                           "[ingress]\naddress = 127.0.0.1:1\n[metrics]\naddress = 127.0.0.1:2\n" +
                           "[store]\naddress = 127.0.0.1:3\n";
  for (const Figure& figure :
       {Figure{"drain", "timeout", "s"}, Figure{"host", "memory_mib", ""},
        Figure{"quotas", "slack", ""}, Figure{"store", "revoke_after", "ms"}}) {
    for (const std::string_view number :
         {"100", "100.5", "6500.123456", "0", "1e3", "-1", "", "1e400", "99999999999999999999",
          "100.5.5", "nan", "true"}) {
      CAPTURE(figure.key);
      CAPTURE(number);
      const std::string value = std::string(number) + figure.unit;
      std::string text = rest;
      const std::string section = std::string("[") + figure.section + "]\n";
      const std::string entry = std::string(figure.key) + " = " + value + "\n";
      const std::size_t at = text.find(section);
      if (at == std::string::npos) {
        text += section + entry;
      } else {
        text.insert(at + section.size(), entry);
      }
      const auto parsed = ParseSettings<GatewaySettings>(text);
      if (std::ranges::count(kUsable, number) > 0) {
        CHECK(parsed);
      }
      if (!parsed) {
        REQUIRE(parsed.error().size() == 1);
        CHECK(ToString(parsed.error().front().ToError()).find(figure.key) != std::string::npos);
      }
    }
  }
  const auto fractions = ParseSettings<GatewaySettings>(
      rest + "revoke_after = 2500.75ms\n[drain]\ntimeout = 6.5s\n[quotas]\nslack = 20.5\n");
  REQUIRE(fractions);
  CHECK(fractions.value().drain_timeout == std::chrono::milliseconds(6500));
  CHECK(fractions.value().store_revoke_after == std::chrono::milliseconds(2500));
  CHECK(fractions.value().quota_slack == RequestCount(20.5));
  CHECK(ToIni(ParseSettings<GatewaySettings>(ToIni(fractions.value())).value()) ==
        ToIni(fractions.value()));
}

// Guards against operators having to start a program once per fault.
TEST_CASE("every fault is listed with line, section, key, value and expected form") {
  const auto agent = ParseSettings<AgentSettings>(
      "[host]\nid = h 1\ndata_center = hartford\naddress = here\n"
      "[htpp]\naddress = 127.0.0.1:8000\n"
      "[lease]\nlength = 1500us\nnonsense\n[lease]\n"
      "[workers]\nthreads = 0\n[log]\nlevel = loud\n");
  REQUIRE_FALSE(agent);
  std::string all;
  for (const IniFault& fault : agent.error()) {
    all += ToString(fault.ToError()) + "\n";
  }
  CAPTURE(all);
  for (const char* expected : {
           "malformed at line 2, section host, key id: \"h 1\": expected letters",
           "unknown_field at line 3, section host, key data_center: \"hartford\": the key is "
           "unknown; the nearest known one is data_centre",
           "missing_field at line 1, section host, key data_centre",
           "malformed at line 4, section host, key address: \"here\": expected a numeric IPv4",
           "unknown_field at line 5, section htpp: the section is unknown; the nearest known one "
           "is http",
           "missing_field at section http, key address",
           "out_of_range at line 8, section lease, key length: \"1500us\": expected whole "
           "milliseconds from 1ms",
           "malformed at line 9, section lease: expected [section], key = value",
           "duplicate at line 10, section lease",
           "out_of_range at line 12, section workers, key threads: \"0\": expected a whole "
           "number from 1 to 1024",
           "malformed at line 14, section log, key level: \"loud\": expected debug, info",
           "missing_field at section platform, key address",
       }) {
    CHECK_MESSAGE(all.find(expected) != std::string::npos, expected);
  }
  CHECK(agent.error().size() == 12);
}

TEST_CASE("a lease that cannot be renewed in time is refused") {
  const auto agent = ParseSettings<AgentSettings>(kAgent + "[lease]\nlength = 1s\n");
  REQUIRE_FALSE(agent);
  CHECK(agent.error().front().key == "length");
}

TEST_CASE("printed settings parse to the same settings") {
  const auto agent = ParseSettings<AgentSettings>(kAgent + "[log]\nlevel = debug\n");
  const std::string text = ToIni(agent.value());
  CHECK(text.find("[lease]\nlength = 3s\nrenew_interval = 500ms\n") != std::string::npos);
  CHECK(text.find("level = debug\n") != std::string::npos);
  CHECK(ToIni(ParseSettings<AgentSettings>(text).value()) == text);
  const std::string entry = ToIni(ParseSettings<EntrySettings>(kLocalAgent).value());
  CHECK(ToIni(ParseSettings<EntrySettings>(entry).value()) == entry);
}

// Guards against a key whose default violates its own limits.
TEST_CASE("every key has a help text and a default that round-trips") {
  const auto check = [](const auto& table, auto settings) {
    for (const auto& spec : table) {
      CAPTURE(spec.key);
      CHECK(std::string(spec.help).size() > 10);
      if (spec.fallback != nullptr) {
        REQUIRE(spec.read(spec.fallback, spec.limits, settings));
        CHECK(spec.print(settings) == spec.fallback);
      }
    }
  };
  check(SettingsTable<AgentSettings>(), AgentSettings{});
  check(SettingsTable<DispatcherSettings>(), DispatcherSettings{});
  check(SettingsTable<EntrySettings>(), EntrySettings{});
}

}  // namespace
}  // namespace peridotfork
