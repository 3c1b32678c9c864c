#include <doctest/doctest.h>

#include <string>

#include "config/sample_document.h"
#include "peridotfork/config/document_store.h"

namespace peridotfork {
namespace {

const char* const kBadCaller = "[caller clerk-desk]\nrate = fast\nin_flight = 50\n";

std::string CallerText(int rate) {
  return "[caller clerk-desk]\nrate = " + std::to_string(rate) + "/s\nin_flight = 50\n";
}

struct Fixture {
  ManualClock clock;
  DocumentStore a{clock};
  DocumentStore b{clock};

  // Applies the sample with the caller's section replaced.
  static void Apply(DocumentStore& store, std::uint64_t revision, const std::string& caller) {
    SectionTexts sections = SampleSections();
    sections["caller clerk-desk"] = caller;
    REQUIRE(store.Apply(Revision(revision), Joined(sections)));
  }

  static double RateOf(const DocumentStore& store) {
    const CallerConfig* caller = store.document()->FindCaller(CallerId("clerk-desk"));
    return caller != nullptr ? caller->rate.value() : 0;
  }
};

TEST_CASE("a new store gets all sections and a later pull only those that changed") {
  Fixture f;
  Fixture::Apply(f.a, 1, CallerText(200));
  REQUIRE(Pull(f.a, &f.b));
  CHECK(*f.a.document() == *f.b.document());
  CHECK(f.a.digest() == f.b.digest());
  Fixture::Apply(f.a, 2, CallerText(300));
  const auto sections = f.a.SectionsNotIn(f.b.versions());
  REQUIRE(sections.size() == 1);
  CHECK(sections[0] == SectionText{"caller clerk-desk", Revision(2), Revision(2), CallerText(300)});
  const auto report = Pull(f.a, &f.b);
  REQUIRE(report);
  CHECK(report.value().changed == std::vector<std::string>{"caller clerk-desk"});
  CHECK(f.a.digest() == f.b.digest());
  const std::uint64_t count = f.b.change_count();
  REQUIRE(Pull(f.a, &f.b));
  CHECK(f.b.change_count() == count);
}

TEST_CASE("sections that the peer no longer has are removed") {
  Fixture f;
  Fixture::Apply(f.a, 1, CallerText(200));
  REQUIRE(Pull(f.a, &f.b));
  Fixture::Apply(f.a, 2, "");
  const auto report = Pull(f.a, &f.b);
  REQUIRE(report);
  CHECK(report.value().removed == std::vector<std::string>{"caller clerk-desk"});
}

TEST_CASE("a lower revision of a peer is refused and counted") {
  Fixture f;
  Fixture::Apply(f.a, 1, CallerText(200));
  Fixture::Apply(f.b, 2, CallerText(300));
  const auto report = Pull(f.a, &f.b);
  REQUIRE_FALSE(report);
  CHECK(report.error().kind() == ErrorKind::kStaleRevision);
  CHECK(f.b.stale_count() == 1);
}

// Guards against a peer that skipped a revision and restores an older text.
TEST_CASE("an accepted text is not replaced by one that was confirmed before it") {
  Fixture f;
  Fixture::Apply(f.a, 1, CallerText(100));
  Fixture::Apply(f.b, 1, CallerText(100));
  Fixture::Apply(f.b, 2, CallerText(200));
  Fixture::Apply(f.a, 3, kBadCaller);
  REQUIRE(Pull(f.a, &f.b));
  CHECK(f.b.revision() == Revision(3));
  CHECK(Fixture::RateOf(f.b) == 200);
  CHECK(f.a.digest() != f.b.digest());
  REQUIRE(Pull(f.b, &f.a));
  CHECK(Fixture::RateOf(f.a) == 200);
  CHECK(f.a.digest() == f.b.digest());
  // The operators still see why the newest text is not in force.
  REQUIRE(f.a.refusals().size() == 1);
  CHECK(f.a.refusals()[0].fault.key == "rate");
}

// Guards against a peer that has no accepted text for a section, which must not
// be taken for a removal of the section.
TEST_CASE("a section that the peer never accepted stays in force") {
  Fixture f;
  Fixture::Apply(f.b, 1, CallerText(100));
  Fixture::Apply(f.a, 2, kBadCaller);
  CHECK(Fixture::RateOf(f.a) == 0);
  REQUIRE(Pull(f.a, &f.b));
  CHECK(Fixture::RateOf(f.b) == 100);
  REQUIRE(Pull(f.b, &f.a));
  CHECK(Fixture::RateOf(f.a) == 100);
  CHECK(f.a.digest() == f.b.digest());
}

// Guards against a new peer that read a malformed header and so cannot name the
// section that it lacks.
TEST_CASE("nothing is removed by a peer whose document has an unreadable line") {
  Fixture f;
  Fixture::Apply(f.b, 1, CallerText(100));
  Fixture::Apply(f.a, 2, "[caller clerk-desk\nrate = 100/s\n");
  CHECK(Fixture::RateOf(f.a) == 0);
  REQUIRE(Pull(f.a, &f.b));
  CHECK(Fixture::RateOf(f.b) == 100);
  REQUIRE(Pull(f.b, &f.a));
  CHECK(f.a.digest() == f.b.digest());
}

TEST_CASE("a text that was changed back is accepted although its version is lower") {
  Fixture f;
  Fixture::Apply(f.a, 3, CallerText(100));
  Fixture::Apply(f.b, 4, CallerText(200));
  Fixture::Apply(f.a, 5, CallerText(100));
  REQUIRE(Pull(f.a, &f.b));
  CHECK(Fixture::RateOf(f.b) == 100);
}

TEST_CASE("a reply that does not match the store changes nothing") {
  Fixture f;
  Fixture::Apply(f.a, 1, CallerText(100));
  Fixture::Apply(f.b, 2, CallerText(100));
  const std::uint64_t digest = f.a.digest();
  const auto missing = f.a.ApplySections(Revision(3), {}, {"caller nobody"});
  REQUIRE_FALSE(missing);
  CHECK(missing.error().kind() == ErrorKind::kMissingField);
  CHECK_FALSE(f.a.ApplySections(Revision(3), {}, {}));
  CHECK(f.a.digest() == digest);
  CHECK(f.a.refusals().empty());
}

TEST_CASE("an invalid text from a peer is refused and the own one is kept") {
  Fixture f;
  Fixture::Apply(f.a, 1, CallerText(100));
  for (const char* text : {kBadCaller, "[caller web-desk]\nrate = 1/s\nin_flight = 1\n", "\n",
                           "[caller clerk-desk]\n[caller x]\n"}) {
    CAPTURE(text);
    const Revision next(f.a.revision().value() + 1);
    REQUIRE(f.a.ApplySections(next, {{"caller clerk-desk", next, next, text}}, f.a.all_names()));
    CHECK(Fixture::RateOf(f.a) == 100);
    CHECK(f.a.refusals().size() == 1);
  }
}

}  // namespace
}  // namespace peridotfork
