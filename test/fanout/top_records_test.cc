#include "peridotfork/fanout/top_records.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

namespace peridotfork {
namespace {

std::string Record(char first) {
  return std::string(1, first) + std::string(kRecordSize - 1, '-');
}

TEST_CASE("the greatest records of all parts come first") {
  const std::string one = Record('a') + Record('x');
  const std::string two = Record('m') + Record('b');
  CHECK(MergeTopRecords({one, two}, 3) == Record('x') + Record('m') + Record('b'));
}

TEST_CASE("duplicate records are kept") {
  const std::string one = Record('a') + Record('a');
  const std::string two = Record('a');
  CHECK(MergeTopRecords({one, two}, 10) == Record('a') + Record('a') + Record('a'));
}

TEST_CASE("records compare as unsigned bytes") {
  CHECK(MergeTopRecords({Record('\x7f'), Record('\xff')}, 1) == Record('\xff'));
}

TEST_CASE("a remainder is no record, and no parts give no records") {
  const std::string part = Record('a') + "zzz";
  CHECK(MergeTopRecords({part}, 5) == Record('a'));
  CHECK(MergeTopRecords({}, 5).empty());
  CHECK(MergeTopRecords({part}, 0).empty());
}

TEST_CASE("merging equals sorting everything") {
  for (unsigned seed = 0; seed < 300; ++seed) {
    std::mt19937 random(seed);
    std::vector<std::string> parts(random() % 6);
    std::vector<std::string> all;
    for (std::string& part : parts) {
      for (unsigned i = random() % 8; i > 0; --i) {
        std::string record(kRecordSize, '\0');
        std::ranges::generate(record, [&] { return static_cast<char>(random() % 3); });
        all.push_back(record);
        part += record;
      }
    }
    const std::size_t count = random() % 12;
    std::ranges::sort(all, std::greater<>());
    all.resize(std::min(count, all.size()));
    std::string expected;
    for (const std::string& record : all) {
      expected += record;
    }
    CHECK(MergeTopRecords({parts.begin(), parts.end()}, count) == expected);
  }
}

}  // namespace
}  // namespace peridotfork
