#include "peridotfork/config/document_store.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

#include "config/sample_document.h"

namespace peridotfork {
namespace {

// A store that has accepted the sample as revision 1.
struct Fixture {
  ManualClock clock;
  DocumentStore store{clock};
  SectionTexts sections = SampleSections();

  Fixture() { REQUIRE(store.Apply(Revision(1), Joined(sections))); }

  // Applies the sample with one section replaced; an empty text removes it.
  Result<ApplyReport> Replace(std::uint64_t revision, const std::string& name, const char* text) {
    SectionTexts changed = sections;
    changed[name] = text;
    return store.Apply(Revision(revision), Joined(changed));
  }
};

const char* const kFasterCaller = "[caller clerk-desk]\nrate = 300/s\nin_flight = 50\n";

TEST_CASE("the sample document is accepted and can be looked up") {
  Fixture f;
  CHECK(f.store.refusals().empty());
  const DocumentPtr document = f.store.document();
  const ServiceConfig* service = document->FindService(ServiceId("hearing-desk"));
  REQUIRE(service != nullptr);
  CHECK(service->slots == Slots(3));
  CHECK(service->connect_cost == std::chrono::milliseconds(6));
  CHECK(service->groups.size() == 2);
  CHECK(document->targets().size() == 6);
  CHECK(document->FindTarget(TargetId("hd-0-a"))->leaving);
  CHECK_FALSE(document->FindTarget(TargetId("hd-0-b"))->leaving);
  CHECK(document->FindTarget(TargetId("hd-1-b"))->data_centre == DataCentreId("worcester"));
  CHECK(document->FindGroup({ServiceId("hearing-desk"), GroupIndex(1)})->targets.size() == 3);
  CHECK(document->FindCaller(CallerId("clerk-desk"))->rate == Rate(200));
  CHECK(document->FindCaller(CallerId("nobody")) == nullptr);
  CHECK_FALSE(document->IsDrained(DataCentreId("hartford")));
  CHECK_FALSE(document->IsDrained(DataCentreId("nowhere")));
}

TEST_CASE("only higher revisions are accepted and stale ones are counted") {
  Fixture f;
  REQUIRE(f.Replace(3, "caller clerk-desk", kFasterCaller));
  for (const std::uint64_t stale : {3, 2, 1}) {
    const auto report = f.store.Apply(Revision(stale), Joined(f.sections));
    REQUIRE_FALSE(report);
    CHECK(report.error().kind() == ErrorKind::kStaleRevision);
  }
  CHECK(f.store.stale_count() == 3);
  CHECK(f.store.document()->FindCaller(CallerId("clerk-desk"))->rate == Rate(300));
}

TEST_CASE("a change updates the version of its section only") {
  Fixture f;
  const auto report = f.Replace(4, "caller clerk-desk", kFasterCaller);
  REQUIRE(report);
  CHECK(report.value().changed == std::vector<std::string>{"caller clerk-desk"});
  for (const SectionInForce& section : f.store.in_force()) {
    CHECK(section.version == Revision(section.name == "caller clerk-desk" ? 4 : 1));
  }
}

TEST_CASE("an invalid section is refused with its location and keeps its last accepted text") {
  Fixture f;
  f.clock.Advance(std::chrono::seconds(7));
  SectionTexts changed = f.sections;
  changed["caller clerk-desk"] = "[caller clerk-desk]\nrate = fast\nin_flight = 50\n";
  changed["caller web-desk"] = "[caller web-desk]\nrate = 60/s\nin_flight = 5\n";
  REQUIRE(f.store.Apply(Revision(2), Joined(changed)));
  REQUIRE(f.store.refusals().size() == 1);
  const SectionRefusal& refusal = f.store.refusals().front();
  CHECK(refusal.fault.section == "caller clerk-desk");
  CHECK(refusal.fault.key == "rate");
  CHECK(refusal.fault.line == 2);
  CHECK(refusal.revision == Revision(2));
  CHECK(refusal.time == f.clock.wall_now());
  CHECK(f.store.document()->FindCaller(CallerId("clerk-desk"))->rate == Rate(200));
  CHECK(f.store.document()->FindCaller(CallerId("web-desk"))->rate == Rate(60));
  CHECK_FALSE(f.store.in_force().front().newest);

  f.clock.Advance(std::chrono::seconds(1));
  REQUIRE(f.store.Apply(Revision(3), Joined(changed)));
  CHECK(f.store.refusals().front().revision == Revision(2));
  REQUIRE(f.store.Apply(Revision(4), Joined(f.sections)));
  CHECK(f.store.refusals().empty());
}

// Guards against typing errors that are accepted as a valid section.
TEST_CASE("each invalid section is refused at its key") {
  struct Case {
    const char* name;
    const char* text;
    const char* key;
  };
  const Case cases[] = {
      {"service hearing-desk", "[service hearing-desk]\nowner = a\n", "deployment"},
      {"group hearing-desk/0", "[group hearing-desk/0]\ntarget.a = 127.0.0.1:1\n", "target.a"},
      {"group hearing-desk/0", "[group hearing-desk/0]\ntarget. = 127.0.0.1:1 x\n", "target."},
      {"group hearing-desk/0",
       "[group hearing-desk/0]\ntarget.a = 127.0.0.1:1 x\ntarget.b = 127.0.0.1:1 x\n", "target.b"},
      {"group hearing-desk/01", "[group hearing-desk/01]\n", ""},
      {"group hearing-desk", "[group hearing-desk]\n", ""},
      {"data_centre hartford", "[data_centre hartford]\ndrained = maybe\n", "drained"},
      {"caller web-desk", "[caller web-desk]\nrate = 1/s\nin_flight = 0\n", "in_flight"},
      {"caller web-desk", "[caller web-desk]\nrate = 1/s\nin_fligth = 1\n", "in_flight"},
      {"caller  x", "[caller  x]\nrate = 1/s\nin_flight = 1\n", ""},
      {"fleet x", "[fleet x]\nowner = a\n", ""},
      {"quota x", "[quota x]\n", ""},
      {"group other/0", "[group other/0]\n", ""},
      {"target no-such", "[target no-such]\nleaving = yes\n", ""},
  };
  for (const Case& entry : cases) {
    CAPTURE(entry.text);
    Fixture f;
    const DocumentPtr before = f.store.document();
    REQUIRE(f.Replace(2, entry.name, entry.text));
    REQUIRE(f.store.refusals().size() == 1);
    CHECK(f.store.refusals()[0].fault.section == entry.name);
    CHECK(f.store.refusals()[0].fault.key == entry.key);
    CHECK(f.store.document() == before);
  }
}

TEST_CASE("a document that loses too much is held back until allow_shrink names it") {
  Fixture f;
  SectionTexts few;
  for (const char* name : {"fleet", "service hearing-desk", "group hearing-desk/0"}) {
    few[name] = f.sections[name];
  }
  const auto held = f.store.Apply(Revision(2), Joined(few));
  REQUIRE_FALSE(held);
  CHECK(held.error().kind() == ErrorKind::kShrinkHeldBack);
  CHECK(f.store.revision() == Revision(1));
  CHECK(f.store.refusals().back().fault.kind == ErrorKind::kShrinkHeldBack);
  few["fleet"] = "[fleet]\nowner = a\nallow_shrink = 2\n";
  CHECK_FALSE(f.store.Apply(Revision(1), Joined(few)));
  few["fleet"] = "[fleet]\nowner = a\nallow_shrink = 9\n";
  CHECK_FALSE(f.store.Apply(Revision(3), Joined(few)));
  few["fleet"] = "[fleet]\nowner = a\nallow_shrink = 4\n";
  const auto allowed = f.store.Apply(Revision(4), Joined(few));
  REQUIRE(allowed);
  CHECK(allowed.value().removed.size() == 5);
  CHECK(f.store.refusals().empty());
}

TEST_CASE("losing all targets of a data centre is held back") {
  Fixture f;
  SectionTexts changed = f.sections;
  for (const char* name : {"group hearing-desk/0", "group hearing-desk/1"}) {
    std::string& text = changed[name];
    text.erase(text.find("target.hd-" + std::string(1, name[19]) + "-c"));
  }
  const auto held = f.store.Apply(Revision(2), Joined(changed));
  REQUIRE_FALSE(held);
  CHECK(held.error().kind() == ErrorKind::kShrinkHeldBack);
  CHECK(held.error().detail.find("concord") != std::string::npos);
}

// Guards against a truncated document that removes sections from force.
TEST_CASE("a document cut off at any byte loses no more than half of its sections") {
  const std::string whole = Joined(SampleSections());
  for (std::size_t size = 0; size < whole.size(); ++size) {
    CAPTURE(size);
    Fixture f;
    const auto report = f.store.Apply(Revision(2), std::string_view(whole).substr(0, size));
    const std::size_t lost = report ? report.value().removed.size() : 0;
    CHECK(lost * 2 <= f.sections.size());
    CHECK(f.store.document()->targets().size() >= 3);
  }
}

TEST_CASE("an unreadable header removes nothing, since it may be that of a missing section") {
  Fixture f;
  for (const char* text : {"[caller clerk-desk\nrate = 1/s\n", "caller clerk-desk]\nrate = 1/s\n",
                           "[caler clerk-desk]\nrate = 1/s\n", "rate = 200/s\nin_flight = 50\n"}) {
    CAPTURE(text);
    const std::uint64_t revision = f.store.revision().value() + 1;
    REQUIRE(f.Replace(revision, "caller clerk-desk", text));
    CHECK(f.store.document()->FindCaller(CallerId("clerk-desk")) != nullptr);
    CHECK_FALSE(f.store.refusals().empty());
  }
  const auto report = f.Replace(9, "caller clerk-desk", "");
  REQUIRE(report);
  CHECK(report.value().removed == std::vector<std::string>{"caller clerk-desk"});
}

TEST_CASE("the section that had a target first keeps it") {
  Fixture f;
  SectionTexts changed = f.sections;
  // Comes before hearing-desk/1 in the document.
  changed["group hearing-desk/0"] += "target.hd-1-a = 127.0.0.1:7999 hartford\n";
  REQUIRE(f.store.Apply(Revision(2), Joined(changed)));
  REQUIRE(f.store.refusals().size() == 1);
  CHECK(f.store.refusals()[0].fault.section == "group hearing-desk/0");
  CHECK(f.store.refusals()[0].fault.key == "target.hd-1-a");
  CHECK(f.store.document()->FindTarget(TargetId("hd-1-a"))->group.index == GroupIndex(1));
  changed["group hearing-desk/0"] =
      f.sections["group hearing-desk/0"] + "target.new = 127.0.0.1:7100 hartford\n";
  REQUIRE(f.store.Apply(Revision(3), Joined(changed)));
  CHECK(f.store.refusals()[0].fault.reason.find("address 127.0.0.1:7100") != std::string::npos);
  CHECK(f.store.document()->FindTarget(TargetId("new")) == nullptr);
}

// Guards against a refused section that causes the refusal of another one.
TEST_CASE("a refused section takes no target from another one") {
  Fixture f;
  SectionTexts changed = f.sections;
  const std::string shared = "target.x = 127.0.0.1:7999 hartford\n";
  changed["group hearing-desk/2"] =
      "[group hearing-desk/2]\ntarget.hd-0-a = 127.0.0.1:7998 hartford\n" + shared;
  changed["group hearing-desk/3"] = "[group hearing-desk/3]\n" + shared;
  REQUIRE(f.store.Apply(Revision(2), Joined(changed)));
  REQUIRE(f.store.refusals().size() == 1);
  CHECK(f.store.refusals()[0].fault.section == "group hearing-desk/2");
  CHECK(f.store.document()->FindTarget(TargetId("x"))->group.index == GroupIndex(3));
}

TEST_CASE("within one new document the first section keeps a target and a section name") {
  ManualClock clock;
  DocumentStore store(clock);
  SectionTexts sections = SampleSections();
  sections["group hearing-desk/1"] += "target.hd-0-b = 127.0.0.1:7999 worcester\n";
  const std::string twice = "[caller web-desk]\nrate = 1/s\nin_flight = 1\n";
  REQUIRE(store.Apply(Revision(1), Joined(sections) + twice));
  CHECK(store.refusals().size() == 2);
  CHECK(store.document()->FindTarget(TargetId("hd-0-b"))->group.index == GroupIndex(0));
  CHECK(store.document()->FindTarget(TargetId("hd-1-b")) == nullptr);
  CHECK(store.document()->FindCaller(CallerId("web-desk"))->rate == Rate(50));
  // The accepted section stays, whatever the order of the two.
  REQUIRE(store.Apply(Revision(2), twice + Joined(SampleSections())));
  CHECK(store.document()->FindCaller(CallerId("web-desk"))->rate == Rate(50));
}

TEST_CASE("a target can move between groups in one revision, but not between data centres") {
  Fixture f;
  SectionTexts changed = f.sections;
  const std::string line = "target.hd-0-b = 127.0.0.1:7001 worcester\n";
  std::string& from = changed["group hearing-desk/0"];
  from.erase(from.find("target.hd-0-b"), line.size());
  changed["group hearing-desk/1"] += line;
  REQUIRE(f.store.Apply(Revision(2), Joined(changed)));
  CHECK(f.store.refusals().empty());
  CHECK(f.store.document()->FindTarget(TargetId("hd-0-b"))->group.index == GroupIndex(1));

  std::string& text = changed["group hearing-desk/1"];
  text.replace(text.find("worcester", text.find("hd-0-b")), 9, "hartford");
  REQUIRE(f.store.Apply(Revision(3), Joined(changed)));
  REQUIRE(f.store.refusals().size() == 1);
  CHECK(f.store.refusals()[0].fault.key == "target.hd-0-b");
  CHECK(f.store.document()->FindTarget(TargetId("hd-0-b"))->data_centre ==
        DataCentreId("worcester"));
  // A store that also applied a revision without the target decides the same.
  REQUIRE(f.Replace(4, "group hearing-desk/0", from.c_str()));
  REQUIRE(f.store.Apply(Revision(5), Joined(changed)));
  CHECK(f.store.document()->FindTarget(TargetId("hd-0-b")) == nullptr);
}

TEST_CASE("limits for callers that the fleet does not list are refused") {
  Fixture f;
  const char* const fleet = "[fleet]\nowner = a\ncallers = clerk-desk, web-desk\n";
  REQUIRE(f.Replace(2, "fleet", fleet));
  CHECK(f.store.refusals().empty());
  f.sections["fleet"] = fleet;
  REQUIRE(f.Replace(3, "caller intruder", "[caller intruder]\nrate = 1/s\nin_flight = 1\n"));
  REQUIRE(f.store.refusals().size() == 1);
  CHECK(f.store.refusals()[0].fault.kind == ErrorKind::kUnknownName);
  CHECK(f.store.document()->FindCaller(CallerId("intruder")) == nullptr);
}

TEST_CASE("a group without targets is accepted and groups are sorted by index") {
  Fixture f;
  SectionTexts changed = f.sections;
  changed["group hearing-desk/10"] = "[group hearing-desk/10]\n";
  changed["group hearing-desk/9"] = "[group hearing-desk/9]\ncell = hartford-1\n";
  REQUIRE(f.store.Apply(Revision(2), Joined(changed)));
  CHECK(f.store.refusals().empty());
  const std::vector<GroupConfig>& groups = f.store.document()->services()[0].groups;
  REQUIRE(groups.size() == 4);
  CHECK(groups[2].cell == "hartford-1");
  CHECK(groups[3].id.index == GroupIndex(10));
  CHECK(groups[3].targets.empty());
  CHECK(f.store.document()->FindGroup(groups[3].id) == &groups[3]);
}

TEST_CASE("the number of refusals is bounded") {
  Fixture f;
  std::string text = Joined(f.sections);
  for (int i = 0; i < 1000; ++i) {
    text += "[caller c" + std::to_string(i) + "]\nrate = none\n";
  }
  REQUIRE(f.store.Apply(Revision(2), text));
  CHECK(f.store.refusals().size() == DocumentStore::kMaxRefusals);
}

}  // namespace
}  // namespace peridotfork
