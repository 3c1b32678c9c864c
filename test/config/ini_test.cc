#include "peridotfork/config/ini.h"

#include <doctest/doctest.h>

#include <string>

namespace peridotfork {
namespace {

TEST_CASE("sections keep their entries, lines and source") {
  const auto sections = ParseIni(
      "\xEF\xBB\xBF; head of the file\n\n"
      "# team a\r\n[a]\r\nx = 1 ; one\r\n  y: 2\r\n\r\n"
      "[empty]\n[b]\nz =");
  REQUIRE(sections);
  REQUIRE(sections.value().size() == 3);
  const IniSection& a = sections.value()[0];
  CHECK(a.name == "a");
  CHECK(a.line == 4);
  CHECK(a.text == "# team a\n[a]\nx = 1 ; one\n  y: 2\n");
  REQUIRE(a.entries.size() == 2);
  CHECK(a.entries[0].value == "1");
  CHECK(a.entries[1].key == "y");
  CHECK(a.entries[1].line == 6);
  // inih does not report a section without entries.
  CHECK(sections.value()[1].name == "empty");
  CHECK(sections.value()[2].entries[0].value.empty());
}

TEST_CASE("the text of a section parses to the same section") {
  const auto whole = ParseIni("# c\n[a]\nx = 1\n\n\n[b]\n\n# end");
  REQUIRE(whole);
  for (const IniSection& section : whole.value()) {
    const auto again = ParseIni(section.text);
    REQUIRE(again);
    REQUIRE(again.value().size() == 1);
    CHECK(again.value()[0].name == section.name);
    CHECK(again.value()[0].text == section.text);
  }
}

// Guards against text that inih truncates, skips or joins without an error.
TEST_CASE("each malformed text gives the kind and the location of its error") {
  struct Case {
    std::string text;
    ErrorKind kind;
    std::string where;
  };
  const std::string long_line = "[a]\nx = " + std::string(196, 'v');
  const std::string fitting_line = "[a]\nx = " + std::string(195, 'v');
  const std::vector<Case> cases = {
      {"x = 1\n[a]", ErrorKind::kMalformed, "line 1"},
      {"[a]\n[a]", ErrorKind::kDuplicate, "line 2, section a"},
      {"[a]\nx = 1\n\nx = 2", ErrorKind::kDuplicate, "line 4, section a, key x"},
      {"[a]\nwords", ErrorKind::kMalformed, "line 2, section a"},
      {"[a]\nx = 1\n  continued", ErrorKind::kMalformed, "line 3, section a"},
      {"[a]\nx ;= 1", ErrorKind::kMalformed, "line 2, section a"},
      {"[a]\n = 1", ErrorKind::kMalformed, "line 2, section a"},
      {"[a", ErrorKind::kMalformed, "line 1"},
      {"[]", ErrorKind::kMalformed, "line 1"},
      {"[a ;b]", ErrorKind::kMalformed, "line 1"},
      {"[a] x = 1", ErrorKind::kMalformed, "line 1"},
      {"[a]\nx = 1[b]", ErrorKind::kMalformed, "line 2, section a"},
      {std::string("[a]\nx\0 = 1", 10), ErrorKind::kMalformed, "line 2, section a"},
      {"[a]\n\x01= 1", ErrorKind::kMalformed, "line 2, section a"},
      {long_line, ErrorKind::kTooLarge, "line 2, section a"},
      {"[a]\n" + std::string(50, 'k') + " = 1", ErrorKind::kTooLarge, "line 2, section a"},
      {"[" + std::string(50, 's') + "]", ErrorKind::kTooLarge, "line 1"},
  };
  for (const Case& entry : cases) {
    CAPTURE(entry.text);
    const auto parsed = ParseIni(entry.text);
    REQUIRE_FALSE(parsed);
    CHECK(parsed.error().kind() == entry.kind);
    CHECK(parsed.error().where == entry.where);
    CHECK_FALSE(parsed.error().detail.empty());
  }
  const auto longest = ParseIni(fitting_line);
  REQUIRE(longest);
  CHECK(longest.value()[0].entries[0].value.size() == 195);
  CHECK(ParseIni("[" + std::string(49, 's') + "]\n" + std::string(49, 'k') + " = 1"));
}

TEST_CASE("the parser continues after a fault and reports all faults") {
  const auto parts = ParseIniSections("stray = 1\n[a]\nbad\nx = 1\nx = 2\n[b\n[c]\ny = 3\n");
  REQUIRE(parts.size() == 4);
  CHECK(parts[0].section.name.empty());
  REQUIRE(parts[1].faults.size() == 2);
  CHECK(parts[1].faults[0].line == 3);
  CHECK(parts[1].faults[1].line == 5);
  CHECK(parts[1].section.entries.size() == 1);
  CHECK(parts[2].section.name.empty());
  CHECK(parts[2].faults.size() == 1);
  CHECK(parts[3].faults.empty());
  CHECK(parts[3].section.entries[0].line == 8);
}

}  // namespace
}  // namespace peridotfork
