#include "peridotfork/standin/target_document.h"

#include <doctest/doctest.h>
#include <algorithm>
#include <map>
#include <set>

#include "peridotfork/standin/sample_document.h"

namespace peridotfork::standin {
namespace {

TEST_CASE("the sample document has the sizes specified in the design page") {
  const Result<std::vector<TargetSpec>> read = ReadTargets(MakeSampleDocument(7001, ""));
  REQUIRE(read);
  std::map<std::string, int> targets;
  std::map<std::string, std::uint32_t> groups;
  std::set<Address> addresses;
  for (const TargetSpec& spec : read.value()) {
    ++targets[spec.group.service.value()];
    groups[spec.group.service.value()] = spec.group_count;
    addresses.insert(spec.address);
  }
  CHECK(targets == std::map<std::string, int>{{"hearing-desk", 30},
                                              {"member-portal", 45},
                                              {"history-archive", 9},
                                              {"report-builder", 4},
                                              {"walker-app", 30},
                                              {"billing", 45},
                                              {"owner-portal", 9},
                                              {"roster", 4}});
  CHECK(groups["member-portal"] == 15);
  CHECK(groups["roster"] == 2);
  CHECK(addresses.size() == read.value().size());
}

TEST_CASE("a target inherits the limits of its service") {
  const Result<std::vector<TargetSpec>> read = ReadTargets(MakeSampleDocument(7001, "rounds"));
  REQUIRE(read);
  const auto found = std::ranges::find(read.value(), TargetId("op-0-a"), &TargetSpec::id);
  REQUIRE(found != read.value().end());
  CHECK(found->traits.slots == Slots(3));
  CHECK(found->traits.connections == Connections(40));
  CHECK(found->traits.connect_cost == std::chrono::milliseconds(1));
  CHECK(found->data_centre == DataCentreId("bole"));
}

TEST_CASE("the replicas of a group are in different data centres") {
  const Result<std::vector<TargetSpec>> read = ReadTargets(MakeSampleDocument(7001, ""));
  REQUIRE(read);
  std::set<std::pair<GroupId, DataCentreId>> places;
  for (const TargetSpec& spec : read.value()) {
    CHECK(places.emplace(spec.group, spec.data_centre).second);
  }
}

TEST_CASE("the error for an invalid line or key includes its position") {
  const auto refusal = [](const char* text) { return ToString(ReadTargets(text).error()); };
  CHECK(refusal("[service a]\nslots = none\n") ==
        "malformed at section service a, key slots: none");
  CHECK(refusal("[fleet]\nno value here\n") == "malformed at line 2");
  CHECK(refusal("[group a/0]\ntarget.x = 127.0.0.1:1 here\n") ==
        "unknown_name at group of target x: no section for service a");
}

}  // namespace
}  // namespace peridotfork::standin
