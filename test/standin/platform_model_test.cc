#include "peridotfork/standin/platform_model.h"

#include <doctest/doctest.h>

namespace peridotfork::standin {
namespace {

struct Fixture {
  std::uint64_t Publish(ValueKind kind, const std::string& text) {
    return model.Publish(kind, text).value();
  }

  ManualClock clock;
  PlatformModel model{{.calls_per_second = 3, .largest_value = Bytes(10)}, clock};
};

TEST_CASE("the revisions of each kind increase and none can be reused") {
  Fixture fixture;
  CHECK(fixture.Publish(ValueKind::kDocument, "a") == 1);
  CHECK(fixture.Publish(ValueKind::kDocument, "b") == 2);
  CHECK(fixture.Publish(ValueKind::kHosts, "h") == 1);
  CHECK(fixture.model.Publish(ValueKind::kDocument, "c", 9).value() == 9);
  CHECK(fixture.model.Publish(ValueKind::kDocument, "d", 9).error().kind() ==
        ErrorKind::kStaleRevision);
  CHECK(fixture.model.Visible(ValueKind::kDocument)->text == "c");
}

TEST_CASE("a value over the size limit is refused and the old one stays visible") {
  Fixture fixture;
  fixture.Publish(ValueKind::kDocument, "0123456789");
  CHECK(fixture.model.Publish(ValueKind::kDocument, "0123456789+").error().kind() ==
        ErrorKind::kTooLarge);
  CHECK(fixture.model.Visible(ValueKind::kDocument)->revision == 1);
}

TEST_CASE("calls over the budget of one second are refused until the next second") {
  Fixture fixture;
  for (int i = 0; i < 3; ++i) {
    CHECK(fixture.model.CountCall(ValueKind::kDocument));
  }
  CHECK(fixture.model.CountCall(ValueKind::kHosts).error().kind() == ErrorKind::kShed);
  fixture.clock.Advance(std::chrono::seconds(1));
  CHECK(fixture.model.CountCall(ValueKind::kHosts));
  const CallCounts& counts = fixture.model.counts();
  CHECK(counts.document == 3);
  CHECK(counts.hosts == 2);
  CHECK(counts.over_budget == 1);
  CHECK(counts.last_second == 4);
  CHECK(counts.most_in_a_second == 4);
}

TEST_CASE("a call is refused while the service is down") {
  Fixture fixture;
  fixture.model.set_down(true);
  CHECK(fixture.model.CountCall(ValueKind::kDocument).error().kind() == ErrorKind::kUnavailable);
  fixture.model.set_down(false);
  CHECK(fixture.model.CountCall(ValueKind::kDocument));
}

TEST_CASE("a stale value stays visible while newer values are published") {
  Fixture fixture;
  fixture.Publish(ValueKind::kDocument, "a");
  fixture.model.set_stale(ValueKind::kDocument, true);
  fixture.Publish(ValueKind::kDocument, "b");
  CHECK(fixture.model.Visible(ValueKind::kDocument)->text == "a");
  CHECK(fixture.model.VisibleAfter(ValueKind::kDocument, 1) == nullptr);
  fixture.model.set_stale(ValueKind::kDocument, false);
  CHECK(fixture.model.Visible(ValueKind::kDocument)->text == "b");
}

TEST_CASE("an older revision can be served again") {
  Fixture fixture;
  for (const char* text : {"a", "b", "c"}) {
    fixture.Publish(ValueKind::kDocument, text);
  }
  fixture.model.set_served_revision(ValueKind::kDocument, 2);
  CHECK(fixture.model.Visible(ValueKind::kDocument)->text == "b");
  fixture.model.set_served_revision(ValueKind::kDocument, std::nullopt);
  CHECK(fixture.model.Visible(ValueKind::kDocument)->text == "c");
}

TEST_CASE("a lagging host list becomes visible after its lag") {
  Fixture fixture;
  fixture.Publish(ValueKind::kHosts, "one");
  fixture.model.set_lag(ValueKind::kHosts, std::chrono::milliseconds(500));
  fixture.clock.Advance(std::chrono::seconds(2));
  fixture.Publish(ValueKind::kHosts, "two");
  CHECK(fixture.model.Visible(ValueKind::kHosts)->text == "one");
  CHECK(fixture.model.next_change() == fixture.clock.now() + std::chrono::milliseconds(500));
  fixture.clock.Advance(std::chrono::milliseconds(500));
  CHECK(fixture.model.Visible(ValueKind::kHosts)->text == "two");
  CHECK_FALSE(fixture.model.next_change());
}

}  // namespace
}  // namespace peridotfork::standin
