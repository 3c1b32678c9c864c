#include "peridotfork/ctl/commands.h"

#include <doctest/doctest.h>

#include <string>
#include <utility>

namespace peridotfork::ctl {
namespace {

HostStatus AgentHost(const std::string& name, std::uint64_t revision) {
  HostStatus host;
  host.id = HostId(name);
  host.agent.emplace();
  host.agent->host = host.id;
  host.agent->joined = true;
  host.agent->revision = Revision(revision);
  return host;
}

HostStatus DispatcherHost(const std::string& name,
                          const std::vector<std::pair<std::string, bool>>& targets) {
  HostStatus host;
  host.id = HostId(name);
  host.dispatcher.emplace();
  host.dispatcher->host = host.id;
  for (const auto& [target, owned] : targets) {
    host.dispatcher->targets.push_back({TargetId(target), owned, "warm", 3, 1, 0});
  }
  return host;
}

std::vector<std::pair<FindingKind, std::string>> Kinds(const Report& report) {
  std::vector<std::pair<FindingKind, std::string>> kinds;
  for (const Finding& finding : report.findings) {
    kinds.emplace_back(finding.kind, finding.subject);
  }
  return kinds;
}

using Expected = std::vector<std::pair<FindingKind, std::string>>;

TEST_CASE("a host behind the highest revision is flagged with its lag") {
  FleetStatus fleet;
  fleet.hosts = {AgentHost("h1", 9), AgentHost("h2", 6)};
  const Report report = ReportConfig(fleet);
  REQUIRE(Kinds(report) == Expected{{FindingKind::kHostLags, "h2"}});
  CHECK(report.findings[0].detail.find("3 behind") != std::string::npos);
}

// Guards against a dispatcher that keeps an old document while the agent of its
// host has a newer one.
TEST_CASE("a process behind the agent of its own host is flagged") {
  FleetStatus fleet;
  fleet.hosts = {AgentHost("h1", 9)};
  fleet.hosts[0].entry.emplace();
  fleet.hosts[0].entry->host = HostId("h1");
  fleet.hosts[0].entry->revision = Revision(8);
  CHECK(Kinds(ReportConfig(fleet)) == Expected{{FindingKind::kHostLags, "h1"}});
}

TEST_CASE("agents at one revision with different sections are flagged, those that lag are not") {
  FleetStatus fleet;
  fleet.hosts = {AgentHost("h1", 9), AgentHost("h2", 9)};
  fleet.hosts[1].agent->digest = 5;
  CHECK(Kinds(ReportConfig(fleet)) == Expected{{FindingKind::kSectionsDiffer, "revision 9"}});
  fleet.hosts[1].agent->revision = Revision(8);
  CHECK(Kinds(ReportConfig(fleet)) == Expected{{FindingKind::kHostLags, "h2"}});
}

TEST_CASE("a refused section is flagged with its line, key and reason") {
  FleetStatus fleet;
  fleet.hosts = {AgentHost("h1", 9)};
  fleet.hosts[0].agent->refused.push_back(
      {"service a", 12, "slots", "malformed", "a whole number", Revision(9), {}});
  const Report report = ReportConfig(fleet);
  REQUIRE(Kinds(report) == Expected{{FindingKind::kSectionRefused, "service a"}});
  CHECK(report.findings[0].detail == "refused by h1 at line 12, key slots: a whole number");
}

TEST_CASE("an answer under another name is flagged") {
  FleetStatus fleet;
  fleet.hosts = {AgentHost("h1", 1)};
  fleet.hosts[0].agent->host = HostId("h2");
  CHECK(Kinds(ReportHosts(fleet)) == Expected{{FindingKind::kNameDiffers, "h1"}});
}

TEST_CASE("hosts that have not joined and peers that are not live are flagged") {
  FleetStatus fleet;
  fleet.hosts = {AgentHost("h1", 1)};
  fleet.hosts[0].agent->joined = false;
  fleet.hosts[0].agent->peers = {{HostId("h2"), true, {}}, {HostId("h3"), false, {}}};
  CHECK(Kinds(ReportHosts(fleet)) ==
        Expected{{FindingKind::kPeerNotLive, "h3"}, {FindingKind::kNotJoined, "h1"}});
}

// Guards against counting the dispatcher that released a target as an owner.
TEST_CASE("a target that moved has one owner and no flag") {
  FleetStatus fleet;
  fleet.hosts = {DispatcherHost("h1", {{"t1", false}}), DispatcherHost("h2", {{"t1", true}})};
  const Report report = ReportTargets(fleet);
  CHECK(report.findings.empty());
  REQUIRE(report.tables.at(0).rows.size() == 1);
  CHECK(report.tables[0].rows[0][1] == Cell(std::string("h2")));
}

TEST_CASE("targets owned by none or by two hosts are flagged") {
  FleetStatus fleet;
  fleet.hosts = {DispatcherHost("h1", {{"t1", false}, {"t2", true}}),
                 DispatcherHost("h2", {{"t2", true}})};
  fleet.no_answers = {{HostId("h3"), Role::kDispatcher, Address("127.0.0.1:1"), {}}};
  const Report report = ReportTargets(fleet);
  REQUIRE(Kinds(report) ==
          Expected{{FindingKind::kTargetUnowned, "t1"}, {FindingKind::kTargetOwnedTwice, "t2"}});
  CHECK(report.findings[0].detail.find("no answer from h3") != std::string::npos);
  CHECK(report.findings[1].detail == "owned by h1, h2");
  CHECK(report.tables.at(0).rows.size() == 3);
}

// A dispatcher keeps targets that were removed from the document, and never
// learns of targets whose home nobody holds.
TEST_CASE("with the document, exactly the targets that it lists are expected to have an owner") {
  FleetStatus fleet;
  fleet.hosts = {DispatcherHost("h1", {{"removed", false}, {"t1", true}})};
  fleet.listed_targets = {TargetId("t1"), TargetId("t2")};
  CHECK(Kinds(ReportTargets(fleet)) == Expected{{FindingKind::kTargetUnowned, "t2"}});
}

TEST_CASE("homes held by none or by two hosts are flagged, expired leases do not count") {
  FleetStatus fleet;
  fleet.hosts = {AgentHost("h1", 1), AgentHost("h2", 1)};
  fleet.hosts[0].agent->peers = {{HostId("h3"), false, {}}};
  fleet.hosts[0].agent->homes = {{HostId("h1"), std::chrono::milliseconds(900), false},
                                 {HostId("h2"), std::chrono::milliseconds(0), false}};
  fleet.hosts[1].agent->homes = {{HostId("h1"), std::chrono::milliseconds(800), false},
                                 {HostId("h2"), std::chrono::milliseconds(800), false}};
  CHECK(Kinds(ReportLeases(fleet)) ==
        Expected{{FindingKind::kHomeHeldTwice, "h1"}, {FindingKind::kHomeUnheld, "h3"}});
}

TEST_CASE("the extra load is the ratio of all attempts to the first ones") {
  CHECK(ExtraLoadRatio({200, 3, 1, 50}) == doctest::Approx(1.02));
  CHECK_FALSE(ExtraLoadRatio({}).has_value());
}

TEST_CASE("queries are counted per entry and summed") {
  FleetStatus fleet;
  fleet.hosts.resize(2);
  for (HostStatus& host : fleet.hosts) {
    host.entry.emplace();
    host.entry->queries.complete = 10;
    host.entry->attempts.first = 100;
  }
  fleet.hosts[1].entry->attempts.hedges = 4;
  const Report report = ReportQueries(fleet);
  REQUIRE(report.tables.at(0).rows.size() == 2);
  REQUIRE(report.tables.at(1).rows.size() == 1);
  const auto& total = report.tables[1].rows[0];
  CHECK(total[2] == Cell(std::uint64_t{20}));
  CHECK(std::get<double>(total.back()) == doctest::Approx(1.02));
}

TEST_CASE("an unknown command is an error that lists the known ones") {
  CHECK((FindCommand("leases").value()->report == &ReportLeases));
  const auto unknown = FindCommand("lease");
  REQUIRE_FALSE(unknown.has_value());
  CHECK(unknown.error().kind() == ErrorKind::kUnknownName);
  CHECK(unknown.error().detail == "known are config, hosts, targets, leases, queries");
}

}  // namespace
}  // namespace peridotfork::ctl
