#include "peridotfork/standin/target_model.h"

#include <doctest/doctest.h>
#include <algorithm>

namespace peridotfork::standin {
namespace {

using std::chrono::milliseconds;

const Snapshot kFirst{IndexVersion(1), PartitionMapVersion(1)};
const Snapshot kSecond{IndexVersion(2), PartitionMapVersion(1)};

// Traits with a constant service time, equal to the median, and no stragglers.
TargetTraits DeterministicTraits() {
  TargetTraits traits;
  traits.service_sigma = 0;
  traits.straggler_rate = 0;
  return traits;
}

struct Fixture {
  explicit Fixture(TargetTraits traits = DeterministicTraits())
      : model(traits, {{kFirst, 10}}, 1, clock) {}

  WorkRequest Request(const std::string& attempt) {
    WorkRequest request;
    request.attempt = attempt;
    request.snapshot = kFirst;
    request.deadline = clock.wall_now() + milliseconds(400);
    request.text = "query of " + attempt;
    return request;
  }

  ErrorKind Submit(const WorkRequest& request) {
    const Result<Admission> admission = model.Submit(request);
    return admission ? ErrorKind::kOk : admission.error().kind();
  }
  ErrorKind Submit(const std::string& attempt) { return Submit(Request(attempt)); }

  // Advances the clock by `time`, event by event, and returns the work that ended.
  std::vector<Finished> Run(std::chrono::nanoseconds time) {
    std::vector<Finished> all;
    const BootTime end = clock.now() + time;
    while (true) {
      const std::vector<Finished> some = model.ProcessDueEvents();
      all.insert(all.end(), some.begin(), some.end());
      const auto next = model.next_event();
      if (!next || *next > end) {
        clock.Advance(end - clock.now());
        return all;
      }
      clock.Advance(*next - clock.now());
    }
  }

  // Runs `count` requests to completion, one after another.
  void RunRequests(int count) {
    for (int i = 0; i < count; ++i) {
      Submit("work-" + std::to_string(i));
      Run(milliseconds(40));
    }
  }

  ManualClock clock;
  TargetModel model;
};

TEST_CASE("work that exceeds the slots is queued, and work that exceeds the queue is shed") {
  Fixture fixture;
  for (int i = 0; i < 9; ++i) {
    CHECK(fixture.Submit(std::to_string(i)) == ErrorKind::kOk);
  }
  CHECK(fixture.Submit("too-many") == ErrorKind::kShed);
  CHECK(fixture.model.true_load() == LoadReport{3, 6, milliseconds(0)});
  CHECK(fixture.Run(milliseconds(8)).size() == 3);
  CHECK(fixture.model.true_load().queued == 3);
  CHECK(fixture.Run(milliseconds(16)).size() == 6);
  CHECK(fixture.model.journal().refused(ErrorKind::kShed) == 1);
}

TEST_CASE("the connection limit refuses one more connection until one is closed") {
  TargetTraits traits = DeterministicTraits();
  traits.connections = Connections(2);
  Fixture fixture(traits);
  CHECK(fixture.model.Connected());
  CHECK(fixture.model.Connected());
  CHECK_FALSE(fixture.model.Connected());
  fixture.model.Disconnected();
  CHECK(fixture.model.Connected());
  CHECK(fixture.model.peak_connections() == 2);
}

TEST_CASE("a cold target bears one request, is slow, and warms up with time and work") {
  Fixture fixture;
  fixture.model.MarkCold();
  CHECK(fixture.model.condition() == Condition::kCold);
  CHECK(fixture.model.true_health().bears == 1);
  fixture.Submit("first");
  CHECK(fixture.Run(milliseconds(31)).empty());
  CHECK(fixture.Run(milliseconds(2)).size() == 1);

  fixture.RunRequests(70);
  // Enough work, but not enough time.
  CHECK(fixture.model.condition() == Condition::kCold);
  fixture.Run(std::chrono::seconds(4));
  CHECK(fixture.model.true_health().bears == 2);
  fixture.Run(std::chrono::seconds(4));
  fixture.RunRequests(1);
  CHECK(fixture.model.condition() == Condition::kWarm);
  CHECK(fixture.model.true_health().bears == 3);
}

TEST_CASE("time alone does not warm up a cold target") {
  Fixture fixture;
  fixture.model.MarkCold();
  fixture.Run(std::chrono::minutes(5));
  CHECK(fixture.model.true_health().bears == 1);
}

TEST_CASE("a cold target crashes when it runs more requests than it bears for too long") {
  TargetTraits traits = DeterministicTraits();
  traits.cold.slowness = 100;
  Fixture fixture(traits);
  fixture.model.MarkCold();
  fixture.Submit("a");
  fixture.Submit("b");
  CHECK(fixture.Run(milliseconds(149)).empty());
  const std::vector<Finished> ended = fixture.Run(milliseconds(2));
  REQUIRE(ended.size() == 2);
  CHECK(ended[0].outcome == WorkOutcome::kCrashed);
  CHECK(fixture.model.condition() == Condition::kDown);
  CHECK(fixture.Submit("c") == ErrorKind::kUnavailable);
  CHECK_FALSE(fixture.model.Connected());
  CHECK(fixture.model.journal().crashes() == 1);
}

TEST_CASE("a short overload does not crash a cold target") {
  Fixture fixture;
  fixture.model.MarkCold();
  for (int i = 0; i < 10; ++i) {
    fixture.Submit("a" + std::to_string(i));
    fixture.Submit("b" + std::to_string(i));
    fixture.Run(milliseconds(40));
  }
  CHECK(fixture.model.journal().crashes() == 0);
}

TEST_CASE("a crashed target restarts cold after its delay") {
  Fixture fixture;
  fixture.model.Crash();
  fixture.Run(milliseconds(1999));
  CHECK(fixture.model.condition() == Condition::kDown);
  fixture.Run(milliseconds(2));
  CHECK(fixture.model.condition() == Condition::kCold);
}

TEST_CASE("a negative restart delay keeps a crashed target down until it is restarted") {
  Fixture fixture;
  fixture.model.set_restart_delay(milliseconds(-1));
  fixture.model.Crash();
  fixture.Run(std::chrono::hours(1));
  CHECK(fixture.model.condition() == Condition::kDown);
  fixture.model.Restart();
  fixture.Run(milliseconds(1));
  CHECK(fixture.model.condition() == Condition::kCold);
}

TEST_CASE("a shedding target refuses the configured share of requests") {
  Fixture fixture;
  fixture.model.set_shedding(0.5);
  int shed = 0;
  for (int i = 0; i < 200; ++i) {
    shed += fixture.Submit(std::to_string(i)) == ErrorKind::kShed ? 1 : 0;
    fixture.Run(milliseconds(10));
  }
  CHECK(shed > 60);
  CHECK(shed < 140);
}

TEST_CASE("cancelling ends waiting and running searches and frees their slots") {
  Fixture fixture;
  for (const char* attempt : {"a", "b", "c", "d"}) {
    fixture.Submit(attempt);
  }
  CHECK(fixture.model.Cancel("d") == 1);
  CHECK(fixture.model.Cancel("a") == 1);
  CHECK(fixture.model.Cancel("unknown") == 0);
  const std::vector<Finished> ended = fixture.model.ProcessDueEvents();
  REQUIRE(ended.size() == 2);
  CHECK_FALSE(ended[0].started);
  CHECK(ended[1].started);
  CHECK(fixture.model.true_load().busy == 2);
  CHECK(fixture.model.journal().entries().front().outcome == WorkOutcome::kCancelled);
}

// Otherwise a booking that has taken effect would be reported as not run.
TEST_CASE("a booking that has started cannot be cancelled") {
  Fixture fixture;
  WorkRequest booking = fixture.Request("b");
  booking.kind = WorkKind::kBooking;
  fixture.Submit(booking);
  CHECK(fixture.model.Cancel("b") == 0);
  REQUIRE(fixture.Run(milliseconds(10)).size() == 1);
  CHECK(fixture.model.journal().entries().front().outcome == WorkOutcome::kDone);
}

// All work of the previous lease holder must have ended when the next one starts.
TEST_CASE("work whose deadline has passed is refused, and running work ends at its deadline") {
  Fixture fixture;
  WorkRequest late = fixture.Request("late");
  late.deadline = fixture.clock.wall_now();
  CHECK(fixture.Submit(late) == ErrorKind::kExpired);

  WorkRequest tight = fixture.Request("tight");
  tight.deadline = fixture.clock.wall_now() + milliseconds(3);
  fixture.Submit(tight);
  const std::vector<Finished> ended = fixture.Run(milliseconds(3));
  REQUIRE(ended.size() == 1);
  CHECK(ended[0].outcome == WorkOutcome::kDeadline);
  CHECK(ended[0].started);
}

TEST_CASE("waiting work whose deadline passes never starts") {
  Fixture fixture;
  for (const char* attempt : {"a", "b", "c"}) {
    fixture.Submit(attempt);
  }
  WorkRequest tight = fixture.Request("tight");
  tight.deadline = fixture.clock.wall_now() + milliseconds(5);
  fixture.Submit(tight);
  const std::vector<Finished> ended = fixture.Run(milliseconds(6));
  REQUIRE(ended.size() == 1);
  CHECK_FALSE(ended[0].started);
  CHECK(fixture.model.journal().entries().size() == 3);
}

TEST_CASE("a draining target finishes its work and refuses new work") {
  Fixture fixture;
  fixture.Submit("a");
  fixture.model.set_draining(true);
  CHECK(fixture.Submit("b") == ErrorKind::kDraining);
  CHECK(fixture.model.condition() == Condition::kDraining);
  REQUIRE(fixture.Run(milliseconds(10)).size() == 1);
  CHECK(fixture.model.journal().entries().front().outcome == WorkOutcome::kDone);
}

TEST_CASE("a target serves several snapshots and refuses one that it has dropped") {
  Fixture fixture;
  fixture.model.set_snapshots({{kSecond, 5}, {kFirst, 10}});
  CHECK(fixture.Submit("old") == ErrorKind::kOk);
  WorkRequest newer = fixture.Request("new");
  newer.snapshot = kSecond;
  const Result<Admission> admission = fixture.model.Submit(newer);
  REQUIRE(admission);
  CHECK(admission.value().snapshot.group_count == 5);
  fixture.model.set_snapshots({{kSecond, 5}});
  CHECK(fixture.Submit("old again") == ErrorKind::kSnapshotGone);
  CHECK(fixture.Run(milliseconds(10)).size() == 2);
}

TEST_CASE("the endpoints report delayed values, or overridden ones") {
  Fixture fixture;
  fixture.Submit("a");
  fixture.model.MarkCold();
  CHECK(fixture.model.reported_load().busy == 0);
  CHECK(fixture.model.reported_health().condition == Condition::kWarm);
  fixture.clock.Advance(milliseconds(101));
  CHECK(fixture.model.reported_load() == LoadReport{1, 0, milliseconds(100)});
  CHECK(fixture.model.reported_health().condition == Condition::kCold);
  HealthReport wrong = fixture.model.true_health();
  wrong.condition = Condition::kWarm;
  fixture.model.set_wrong_health(wrong);
  CHECK(fixture.model.reported_health().condition == Condition::kWarm);
  CHECK(fixture.model.condition() == Condition::kCold);
}

TEST_CASE("stragglers have the configured share and factor, and are the same for one seed") {
  TargetTraits traits = DeterministicTraits();
  traits.straggler_rate = 0.1;
  const auto count = [&traits] {
    Fixture fixture(traits);
    std::string slow;
    for (int i = 0; i < 300; ++i) {
      fixture.Submit(std::to_string(i));
      slow += fixture.Run(milliseconds(9)).empty() ? 'S' : '.';
      fixture.Run(milliseconds(120));
    }
    return slow;
  };
  const std::string slow = count();
  CHECK(std::ranges::count(slow, 'S') > 10);
  CHECK(std::ranges::count(slow, 'S') < 60);
  CHECK(slow == count());
}

TEST_CASE("a request with the crash word crashes the target each time it is sent") {
  Fixture fixture;
  fixture.model.set_crash_word("poison");
  for (std::uint64_t crashes = 1; crashes <= 2; ++crashes) {
    WorkRequest request = fixture.Request("x");
    request.text = R"("levy poison")";
    fixture.Submit(request);
    fixture.Run(milliseconds(3));
    CHECK(fixture.model.journal().crashes() == crashes);
    fixture.Run(milliseconds(2001));
  }
}

TEST_CASE("the journal keeps started work, with load and bound at its start, across a crash") {
  Fixture fixture;
  WorkRequest booking = fixture.Request("b");
  booking.kind = WorkKind::kBooking;
  booking.booking_key = "tuesday-7";
  booking.body_hash = 99;
  fixture.Submit("a");
  fixture.Submit(booking);
  fixture.model.Crash();
  const auto& entries = fixture.model.journal().entries();
  REQUIRE(entries.size() == 2);
  CHECK(entries[1].kind == WorkKind::kBooking);
  CHECK(entries[1].booking_key == "tuesday-7");
  CHECK(entries[1].body_hash == 99);
  CHECK(entries[1].snapshot == kFirst);
  CHECK(entries[1].in_flight == 2);
  CHECK(entries[1].bound == 3);
  CHECK(entries[1].outcome == WorkOutcome::kCrashed);
}

}  // namespace
}  // namespace peridotfork::standin
