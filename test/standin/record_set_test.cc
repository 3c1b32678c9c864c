#include "peridotfork/standin/record_set.h"

#include <doctest/doctest.h>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

namespace peridotfork::standin {
namespace {

const RecordSet& Records() {
  static const RecordSet records(7);
  return records;
}

RecordQuery Query(const char* service, std::uint32_t group, std::uint32_t groups) {
  RecordQuery query;
  query.group = {ServiceId(service), GroupIndex(group)};
  query.group_count = groups;
  query.snapshot = {IndexVersion(1), PartitionMapVersion(1)};
  query.limit = 100000;
  return query;
}

// Number of groups that return each record.
std::map<std::string, int> GroupCounts(const char* service, std::uint32_t groups) {
  std::map<std::string, int> found;
  for (std::uint32_t group = 0; group < groups; ++group) {
    for (const Record& record : Records().Search(Query(service, group, groups))) {
      ++found[record.id.value()];
    }
  }
  return found;
}

TEST_CASE("every service has over a thousand records, and no record is lost between its groups") {
  for (const auto& entry : std::map<const char*, std::uint32_t>{{"hearing-desk", 10},
                                                                {"member-portal", 15},
                                                                {"history-archive", 3},
                                                                {"report-builder", 2},
                                                                {"walker-app", 10},
                                                                {"billing", 15},
                                                                {"owner-portal", 3},
                                                                {"roster", 2}}) {
    const char* service = entry.first;
    CAPTURE(service);
    CHECK(Records().size(ServiceId(service)) > 1000);
    CHECK(GroupCounts(service, entry.second).size() == Records().size(ServiceId(service)));
  }
}

// Without records in two groups, tests of duplicate removal would pass trivially.
TEST_CASE("some grants are stored in two groups under one id, other records in one group") {
  const auto grants = GroupCounts("member-portal", 15);
  const auto twice =
      std::ranges::count_if(grants, [](const auto& entry) { return entry.second == 2; });
  CHECK(twice > 100);
  CHECK(twice < 600);
  for (const auto& entry : GroupCounts("walker-app", 10)) {
    REQUIRE_MESSAGE(entry.second == 1, entry.first);
  }
}

TEST_CASE("a hit contains all query words, ignoring case") {
  RecordQuery query = Query("walker-app", 0, 1);
  query.words = {"Labrador", "BOLE"};
  const std::vector<Record> hits = Records().Search(query);
  REQUIRE_FALSE(hits.empty());
  for (const Record& hit : hits) {
    CHECK(hit.json.find("Labrador") != std::string::npos);
    CHECK(hit.json.find("\"Bole\"") != std::string::npos);
  }
  query.words.emplace_back("hartford");
  CHECK(Records().Search(query).empty());
}

TEST_CASE("hits are ordered by rank and then id, and the limit keeps the highest ranks") {
  RecordQuery query = Query("hearing-desk", 3, 10);
  query.words = {"levy"};
  const std::vector<Record> all = Records().Search(query);
  query.limit = 5;
  const std::vector<Record> best = Records().Search(query);
  REQUIRE(best.size() == 5);
  for (std::size_t i = 0; i < best.size(); ++i) {
    CHECK(best[i].id == all[i].id);
    CHECK((i == 0 || best[i - 1].rank >= best[i].rank));
  }
}

TEST_CASE("two record sets with one seed are equal, and another seed gives a different set") {
  RecordQuery query = Query("roster", 1, 2);
  query.limit = 20;
  const auto text = [&query](const RecordSet& records) {
    std::string all;
    for (const Record& record : records.Search(query)) {
      all += record.json;
    }
    return all;
  };
  CHECK(text(RecordSet(7)) == text(Records()));
  CHECK(text(RecordSet(8)) != text(Records()));
}

// Guards against index versions that do not differ, which would hide a result
// mixed from two versions, and against changes that all fall into one group of the
// partition map with the same number.
TEST_CASE("a newer index version is reported by all records and changes some in each group") {
  RecordQuery query = Query("billing", 0, 5);
  SUBCASE("group 0") {}
  SUBCASE("group 1") {
    query.group.index = GroupIndex(1);
  }
  query.snapshot.map = PartitionMapVersion(2);
  const std::vector<Record> old_hits = Records().Search(query);
  query.snapshot.index = IndexVersion(2);
  const std::vector<Record> new_hits = Records().Search(query);
  REQUIRE(old_hits.size() == new_hits.size());
  std::size_t changed = 0;
  for (std::size_t i = 0; i < old_hits.size(); ++i) {
    const auto before = nlohmann::json::parse(old_hits[i].json);
    const auto after = nlohmann::json::parse(new_hits[i].json);
    CHECK(before["as_of"] == 1);
    CHECK(after["as_of"] == 2);
    changed += before["amount_birr"] != after["amount_birr"] ? 1 : 0;
  }
  CHECK(changed > 0);
  CHECK(changed < old_hits.size() / 2);
}

TEST_CASE("a new partition map moves records between groups") {
  RecordQuery query = Query("owner-portal", 0, 3);
  std::set<std::string> before;
  for (const Record& record : Records().Search(query)) {
    before.insert(record.id.value());
  }
  query.snapshot.map = PartitionMapVersion(2);
  const std::vector<Record> after = Records().Search(query);
  const auto stayed = std::ranges::count_if(
      after, [&](const Record& record) { return before.contains(record.id.value()); });
  CHECK(static_cast<std::size_t>(stayed) < after.size() / 2);
}

}  // namespace
}  // namespace peridotfork::standin
