#include "peridotfork/balance/target_table.h"

#include <doctest/doctest.h>

#include <map>
#include <random>

namespace peridotfork {
namespace {

using std::chrono::milliseconds;

const ServiceId kService("s");

TargetEntry Entry(const std::string& id, const std::string& data_centre) {
  TargetEntry entry;
  entry.id = TargetId(id);
  entry.service = kService;
  entry.address = Address("10.0.0.1:1");
  entry.data_centre = DataCentreId(data_centre);
  entry.slots = Slots(3);
  entry.started_ms = 1;
  return entry;
}

Route MakeRoute() {
  Route route;
  route.id = RouteId("r");
  route.objective = milliseconds(120);
  route.max_attempts = 2;
  route.services = {{kService, 1}};
  return route;
}

class Fixture {
 public:
  explicit Fixture(double cold_rate = 0, const std::string& host = "h1")
      : table(clock, log, HostId(host), DataCentreId("here")),
        catalogue_(
            new Catalogue(Revision(1), {}, {{kService, Connections(31), Rate(cold_rate)}}, {})) {}

  void Update(const std::vector<TargetEntry>& entries, const std::set<DataCentreId>& drained = {}) {
    table.Update(entries, drained, catalogue_.get());
  }

  AttemptPtr Pick(AttemptPurpose purpose = AttemptPurpose::kFirst,
                  std::span<const AttemptPtr> tried = {}) {
    return table.Pick({&route, kService, purpose, tried});
  }

  // Starts an attempt, cancels it at once and returns the id of its target, or "none".
  std::string PickName() {
    const AttemptPtr attempt = Pick();
    if (attempt == nullptr) {
      return "none";
    }
    table.Finish(*attempt, AttemptOutcome::kCancelled);
    return attempt->target->id().value();
  }

  ManualClock clock;
  Logger log{"test", clock};
  const Route route = MakeRoute();
  TargetTable table;

 private:
  const CataloguePtr catalogue_;
};

TEST_CASE("a target of the local data centre is preferred") {
  Fixture fixture;
  fixture.Update({Entry("far", "there"), Entry("near", "here")});
  CHECK(fixture.PickName() == "near");
}

TEST_CASE("work moves away from a target of the local data centre that stalls") {
  Fixture fixture;
  fixture.Update({Entry("far", "there"), Entry("near", "here")});
  const AttemptPtr stalled = fixture.Pick();
  CHECK(stalled->target->id() == TargetId("near"));
  fixture.clock.Advance(milliseconds(60));
  CHECK(fixture.PickName() == "far");
  fixture.table.Finish(*stalled, AttemptOutcome::kAnswered);
}

TEST_CASE("draining targets and those of drained data centres get no requests") {
  Fixture fixture;
  TargetEntry leaving = Entry("leaving", "here");
  leaving.draining = true;
  fixture.Update({leaving, Entry("drained", "there")}, {DataCentreId("there")});
  CHECK(fixture.PickName() == "none");
  CHECK(fixture.table.OpensAt(kService) == BootTime::max());
  fixture.Update({leaving, Entry("drained", "there")});
  CHECK(fixture.PickName() == "drained");
}

TargetSignals Leaving() {
  TargetSignals signals;
  signals.leaving = true;
  return signals;
}

TargetSignals Hold(milliseconds time) {
  TargetSignals signals;
  signals.hold = time;
  return signals;
}

TEST_CASE("a target that says it is leaving gets nothing more, whatever the store repeats") {
  Fixture fixture;
  fixture.Update({Entry("near", "here")});
  fixture.table.Finish(*fixture.Pick(), AttemptOutcome::kAnswered, Leaving());
  CHECK(fixture.PickName() == "none");
  CHECK(fixture.table.OpensAt(kService) == BootTime::max());
  TargetEntry repeated = Entry("near", "here");
  repeated.sequence = 9;
  fixture.Update({repeated});
  CHECK(fixture.PickName() == "none");
  // Its entry expires and is listed once more.
  fixture.Update({});
  fixture.Update({repeated});
  fixture.clock.Advance(std::chrono::hours(1));
  CHECK(fixture.PickName() == "none");
  TargetEntry restarted = repeated;
  restarted.started_ms = 2;
  fixture.Update({restarted});
  CHECK(fixture.PickName() == "near");
}

TargetSignals Limit(double per_second) {
  TargetSignals signals;
  signals.limit = Rate(per_second);
  return signals;
}

// Offers a request each 10 ms and returns how many the target was sent.
int CountSent(Fixture& fixture, milliseconds time) {
  int sent = 0;
  for (milliseconds passed(0); passed < time; passed += milliseconds(10)) {
    sent += fixture.PickName() == "near" ? 1 : 0;
    fixture.clock.Advance(milliseconds(10));
  }
  return sent;
}

TEST_CASE("a target that names a limit gets this host's share of it, also as the only one") {
  Fixture fixture;
  fixture.Update({Entry("near", "here")});
  fixture.table.SetHostCount(4);
  CHECK(CountSent(fixture, milliseconds(1000)) == 100);
  fixture.table.Finish(*fixture.Pick(), AttemptOutcome::kAnswered, Limit(20));
  CHECK(fixture.table.limited() == 1);
  const int share = CountSent(fixture, milliseconds(4000));
  CHECK(share >= 19);
  CHECK(share <= 21);
  fixture.table.SetHostCount(8);
  CHECK(CountSent(fixture, milliseconds(4000)) <= 11);
}

TEST_CASE("retries and hedges count towards the limit that a target names") {
  Fixture fixture;
  fixture.Update({Entry("near", "here")});
  fixture.table.SetHostCount(1);
  fixture.table.Finish(*fixture.Pick(), AttemptOutcome::kAnswered, Limit(1));
  fixture.clock.Advance(milliseconds(1000));
  for (const AttemptPurpose purpose : {AttemptPurpose::kRetry, AttemptPurpose::kHedge}) {
    const AttemptPtr first = fixture.Pick(purpose);
    REQUIRE(first != nullptr);
    fixture.table.Finish(*first, AttemptOutcome::kLost);
    CHECK(fixture.Pick(purpose) == nullptr);
    fixture.clock.Advance(milliseconds(1000));
  }
}

TEST_CASE("a limit ends with an answer without one, not with one that may be older") {
  Fixture fixture;
  fixture.Update({Entry("near", "here")});
  fixture.table.SetHostCount(1);
  const AttemptPtr late = fixture.Pick();
  const AttemptPtr failed = fixture.Pick();
  fixture.table.Finish(*fixture.Pick(), AttemptOutcome::kAnswered, Limit(1));
  fixture.table.Finish(*late, AttemptOutcome::kAnswered);
  fixture.clock.Advance(milliseconds(1000));
  fixture.table.Finish(*failed, AttemptOutcome::kLost);
  CHECK(fixture.table.limited() == 1);
  fixture.table.Finish(*fixture.Pick(), AttemptOutcome::kAnswered);
  CHECK(fixture.table.limited() == 0);
  CHECK(CountSent(fixture, milliseconds(1000)) == 100);
}

TEST_CASE(
    "a target that names a limit of zero still gets a request at times, to learn of its end") {
  Fixture fixture;
  fixture.Update({Entry("near", "here")});
  fixture.table.SetHostCount(1);
  fixture.table.Finish(*fixture.Pick(), AttemptOutcome::kAnswered, Limit(0));
  const int sent = CountSent(fixture, std::chrono::seconds(40));
  CHECK(sent >= 9);
  CHECK(sent <= 11);
}

TEST_CASE("a limit outlives the removal of the target's entry and ends with a restart") {
  Fixture fixture;
  fixture.Update({Entry("near", "here")});
  fixture.table.SetHostCount(100);
  fixture.table.Finish(*fixture.Pick(), AttemptOutcome::kAnswered, Limit(1));
  fixture.Update({});
  fixture.Update({Entry("near", "here")});
  CHECK(CountSent(fixture, milliseconds(4000)) <= 1);
  TargetEntry restarted = Entry("near", "here");
  restarted.started_ms = 2;
  fixture.Update({restarted});
  CHECK(CountSent(fixture, milliseconds(1000)) == 100);
}

TEST_CASE("a service whose targets are all at their limits opens when the first may be sent one") {
  Fixture fixture;
  fixture.Update({Entry("near", "here")});
  fixture.table.SetHostCount(1);
  fixture.table.Finish(*fixture.Pick(), AttemptOutcome::kAnswered, Limit(0.5));
  while (fixture.PickName() != "near") {
    fixture.clock.Advance(milliseconds(10));
  }
  const BootTime opens_at = fixture.table.OpensAt(kService);
  CHECK(opens_at > fixture.clock.now());
  CHECK(opens_at <= fixture.clock.now() + milliseconds(2000));
}

TEST_CASE("what a leaving target answers late does not close its successor") {
  Fixture fixture;
  fixture.Update({Entry("near", "here")});
  const AttemptPtr late = fixture.Pick();
  TargetEntry successor = Entry("near", "here");
  successor.started_ms = 2;
  fixture.Update({successor});
  fixture.table.Finish(*late, AttemptOutcome::kAnswered, Leaving());
  CHECK(fixture.PickName() == "near");
}

TEST_CASE("attempts in progress on a leaving target end as usual") {
  Fixture fixture;
  fixture.Update({Entry("near", "here")});
  const AttemptPtr first = fixture.Pick();
  const AttemptPtr second = fixture.Pick();
  fixture.table.Finish(*first, AttemptOutcome::kAnswered, Leaving());
  CHECK(second->open);
  fixture.table.Finish(*second, AttemptOutcome::kAnswered);
  CHECK_FALSE(second->open);
}

TEST_CASE("a target gets nothing for the time that it asked for") {
  Fixture fixture;
  fixture.Update({Entry("near", "here"), Entry("far", "there")});
  fixture.table.Finish(*fixture.Pick(), AttemptOutcome::kShed, Hold(milliseconds(3000)));
  for (const AttemptPurpose purpose :
       {AttemptPurpose::kFirst, AttemptPurpose::kRetry, AttemptPurpose::kHedge}) {
    const AttemptPtr attempt = fixture.Pick(purpose);
    REQUIRE(attempt != nullptr);
    CHECK(attempt->target->id() == TargetId("far"));
    fixture.table.Finish(*attempt, AttemptOutcome::kCancelled);
  }
  fixture.Update({Entry("near", "here")});
  CHECK(fixture.PickName() == "none");
  CHECK(fixture.table.OpensAt(kService) == fixture.clock.now() + milliseconds(3000));
  // Neither a shorter hold nor an expired entry ends it.
  fixture.Update({});
  fixture.Update({Entry("near", "here")});
  fixture.clock.Advance(milliseconds(2999));
  CHECK(fixture.PickName() == "none");
  fixture.clock.Advance(milliseconds(1));
  CHECK(fixture.PickName() == "near");
}

TEST_CASE("a shorter hold does not end a longer one") {
  Fixture fixture;
  fixture.Update({Entry("near", "here")});
  const AttemptPtr first = fixture.Pick();
  const AttemptPtr second = fixture.Pick();
  fixture.table.Finish(*first, AttemptOutcome::kShed, Hold(milliseconds(3000)));
  fixture.table.Finish(*second, AttemptOutcome::kShed, Hold(milliseconds(100)));
  fixture.clock.Advance(milliseconds(2000));
  CHECK(fixture.PickName() == "none");
}

// The clock advances while a host is frozen, so a hold is neither lost nor prolonged by a freeze.
TEST_CASE("a hold that has passed while the host was frozen has ended") {
  Fixture fixture;
  fixture.Update({Entry("near", "here")});
  fixture.table.Finish(*fixture.Pick(), AttemptOutcome::kShed, Hold(milliseconds(3000)));
  fixture.clock.Advance(std::chrono::seconds(20));
  CHECK(fixture.PickName() == "near");
}

TEST_CASE("targets that were removed while they may not be used are forgotten in order") {
  Fixture fixture;
  for (int i = 0; i < 4200; ++i) {
    fixture.Update({Entry(std::to_string(i), "here")});
    fixture.table.Finish(*fixture.Pick(), AttemptOutcome::kAnswered, Leaving());
  }
  fixture.Update({Entry("4199", "here")});
  CHECK(fixture.PickName() == "none");
  fixture.Update({Entry("150", "here")});
  CHECK(fixture.PickName() == "none");
  fixture.Update({Entry("50", "here")});
  CHECK(fixture.PickName() == "50");
}

TEST_CASE("an unreachable target gets no work at first and is probed later") {
  Fixture fixture;
  fixture.Update({Entry("far", "there"), Entry("near", "here")});
  const AttemptPtr failed = fixture.Pick();
  fixture.table.Finish(*failed, AttemptOutcome::kNotConnected);
  CHECK(fixture.PickName() == "far");
  fixture.clock.Advance(std::chrono::seconds(8));
  CHECK(fixture.PickName() == "near");
}

TEST_CASE("a suspect target is used if it is alone in its service") {
  Fixture fixture;
  fixture.Update({Entry("near", "here")});
  const AttemptPtr failed = fixture.Pick();
  fixture.table.Finish(*failed, AttemptOutcome::kNotConnected);
  CHECK(fixture.PickName() == "near");
}

TEST_CASE("a target whose address was taken over gets no requests until it restarts") {
  Fixture fixture;
  fixture.Update({Entry("near", "here")});
  fixture.table.Finish(*fixture.Pick(), AttemptOutcome::kMisdirected);
  fixture.clock.Advance(std::chrono::hours(1));
  CHECK(fixture.PickName() == "none");
  TargetEntry again = Entry("near", "here");
  again.started_ms = 2;
  fixture.Update({again});
  CHECK(fixture.PickName() == "near");
}

TEST_CASE("extra attempts stay within their budget") {
  Fixture fixture;
  fixture.Update({Entry("a", "here"), Entry("b", "here"), Entry("c", "there")});
  std::uint32_t extra = 0;
  constexpr int kRequests = 1000;
  for (int i = 0; i < kRequests; ++i) {
    const AttemptPtr first = fixture.Pick();
    const std::vector<AttemptPtr> tried{first};
    if (const AttemptPtr retry = fixture.Pick(AttemptPurpose::kRetry, tried)) {
      CHECK(retry->target != first->target);
      ++extra;
      fixture.table.Finish(*retry, AttemptOutcome::kCancelled);
    }
    fixture.table.Finish(*first, AttemptOutcome::kCancelled);
  }
  // Five hosts together stay within the retry budget of the platform: one fifth of the
  // requests plus a burst of 54.
  CHECK(extra <= 0.17 * kRequests + 54.0 / 5);
  CHECK(extra >= 0.16 * kRequests);
}

TEST_CASE("hedges leave the reserved part of the budget to retries") {
  Fixture fixture;
  fixture.Update({Entry("a", "here"), Entry("b", "here")});
  const std::vector<AttemptPtr> tried{fixture.Pick()};
  while (const AttemptPtr hedge = fixture.Pick(AttemptPurpose::kHedge, tried)) {
    fixture.table.Finish(*hedge, AttemptOutcome::kCancelled);
  }
  const AttemptPtr retry = fixture.Pick(AttemptPurpose::kRetry, tried);
  REQUIRE(retry != nullptr);
  fixture.table.Finish(*retry, AttemptOutcome::kCancelled);
  fixture.table.Finish(*tried.front(), AttemptOutcome::kCancelled);
}

TEST_CASE("many hosts together stay within the limit of the platform for cold targets") {
  for (const int count : {4, 8, 34}) {
    for (const double cold_rate : {0.5, 1.0, 8.0, 40.0}) {
      CAPTURE(count);
      CAPTURE(cold_rate);
      std::vector<int> sent(3000);
      for (int i = 0; i < count; ++i) {
        Fixture host(cold_rate, "h" + std::to_string(i));
        TargetEntry cold = Entry("cold", "here");
        cold.cold_time_left = milliseconds(3000);
        host.Update({cold});
        for (int& ms : sent) {
          if (const AttemptPtr attempt = host.Pick()) {
            ++ms;
            host.table.Finish(*attempt, AttemptOutcome::kCancelled);
          }
          host.clock.Advance(milliseconds(1));
        }
      }
      int window = 0;
      int most = 0;
      for (std::size_t ms = 0; ms < sent.size(); ++ms) {
        window += sent[ms] - (ms >= 1000 ? sent[ms - 1000] : 0);
        most = std::max(most, window);
      }
      CHECK(most <= cold_rate * 1.5 + 5);
    }
  }
}

TEST_CASE("a cold target without a limit is used when no other target is available") {
  Fixture fixture;
  TargetEntry cold = Entry("cold", "here");
  cold.cold_time_left = milliseconds(3000);
  fixture.Update({cold, Entry("far", "there")});
  CHECK(fixture.PickName() == "far");
  fixture.Update({cold});
  CHECK(fixture.PickName() == "cold");
  fixture.Update({cold, Entry("far", "there")});
  fixture.clock.Advance(milliseconds(3001));
  CHECK(fixture.PickName() == "cold");
}

TEST_CASE("an attempt can finish after its target was removed") {
  Fixture fixture;
  fixture.Update({Entry("near", "here")});
  const AttemptPtr attempt = fixture.Pick();
  fixture.Update({});
  CHECK(fixture.PickName() == "none");
  fixture.table.Finish(*attempt, AttemptOutcome::kAnswered);
  fixture.table.Finish(*attempt, AttemptOutcome::kLost);
  CHECK(fixture.table.size() == 0);
}

TEST_CASE("a picked target is never closed, already tried or over its connection share") {
  for (unsigned seed = 0; seed < 300; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    Fixture fixture;
    constexpr int kTargets = 5;
    std::vector<TargetEntry> entries;
    entries.reserve(kTargets);
    for (int i = 0; i < kTargets; ++i) {
      entries.push_back(Entry(std::to_string(i), random() % 2 == 0 ? "here" : "there"));
    }
    fixture.Update(entries);
    std::vector<AttemptPtr> open;
    std::map<Target*, std::size_t> load;
    for (int step = 0; step < 300; ++step) {
      fixture.clock.Advance(milliseconds(random() % 40));
      if (random() % 10 == 0) {
        entries[random() % entries.size()].draining = random() % 2 == 0;
        fixture.Update(entries);
      }
      if (random() % 2 == 0 || open.empty()) {
        const auto purpose = static_cast<AttemptPurpose>(random() % 3);
        const std::vector<AttemptPtr> tried(open.begin(),
                                            open.begin() + std::min<long>(2, std::ssize(open)));
        const AttemptPtr attempt = fixture.Pick(purpose, tried);
        if (attempt == nullptr) {
          continue;
        }
        CHECK(IsOpen(attempt->target->condition));
        CHECK(fixture.clock.now() >= attempt->target->condition.hold_until);
        for (const AttemptPtr& earlier : tried) {
          CHECK(earlier->target != attempt->target);
        }
        CHECK(++load[attempt->target.get()] <= fixture.table.ConnectionShare(*attempt->target));
        open.push_back(attempt);
      } else {
        const std::size_t at = random() % open.size();
        --load[open[at]->target.get()];
        TargetSignals signals;
        signals.leaving = random() % 50 == 0;
        if (random() % 20 == 0) {
          signals.hold = milliseconds(random() % 500);
        }
        fixture.table.Finish(*open[at], static_cast<AttemptOutcome>(random() % 8), signals);
        open.erase(open.begin() + static_cast<std::ptrdiff_t>(at));
      }
    }
    for (const AttemptPtr& attempt : open) {
      fixture.table.Finish(*attempt, AttemptOutcome::kCancelled);
    }
  }
}

TEST_CASE("a target that stays slow is avoided for increasing periods") {
  Fixture fixture;
  fixture.Update({Entry("far", "there"), Entry("near", "here")});
  // Runs one attempt on the near target, which answers slowly.
  const auto answer_slowly = [&] {
    AttemptPtr attempt = fixture.Pick();
    while (attempt->target->id() != TargetId("near")) {
      fixture.table.Finish(*attempt, AttemptOutcome::kCancelled);
      fixture.clock.Advance(milliseconds(10));
      attempt = fixture.Pick();
    }
    fixture.clock.Advance(milliseconds(100));
    fixture.table.Finish(*attempt, AttemptOutcome::kAnswered);
  };
  answer_slowly();
  CHECK(fixture.PickName() == "far");
  fixture.clock.Advance(milliseconds(61));
  answer_slowly();
  fixture.clock.Advance(milliseconds(100));
  CHECK(fixture.PickName() == "far");
}

TEST_CASE("a target that sheds requests loses its work to one that does not") {
  Fixture fixture;
  fixture.Update({Entry("far", "there"), Entry("near", "here")});
  for (int i = 0; i < 4; ++i) {
    const AttemptPtr attempt = fixture.Pick();
    if (attempt->target->id() == TargetId("near")) {
      fixture.table.Finish(*attempt, AttemptOutcome::kShed);
    } else {
      fixture.clock.Advance(milliseconds(18));
      fixture.table.Finish(*attempt, AttemptOutcome::kAnswered);
    }
  }
  CHECK(fixture.PickName() == "far");
}

}  // namespace
}  // namespace peridotfork
