#include "peridotfork/limits/target_queue.h"

#include <doctest/doctest.h>

#include <map>
#include <random>
#include <vector>

namespace peridotfork {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ProcessId kEntryA{HostId{"a"}, Role::kEntry, Incarnation{1}};
const ProcessId kEntryB{HostId{"b"}, Role::kEntry, Incarnation{1}};

class QueueTest {
 protected:
  Attempt Make(std::uint64_t id, milliseconds time, const ProcessId& from = kEntryA) const {
    return {.id = AttemptId{id}, .from = from, .deadline = clock_.wall_now() + time};
  }

  WorkLimits Limits(std::uint32_t allowance, milliseconds service = milliseconds(10)) const {
    return {Slots{allowance}, clock_.now() + seconds(3), service};
  }

  ErrorKind Enqueue(const Attempt& attempt, const WorkLimits& limits) {
    const Result<void> result = queue_.Enqueue(attempt, limits);
    return result ? ErrorKind::kOk : result.error().kind();
  }

  // Returns the id of the attempt that starts, or 0 if none does.
  std::uint64_t Start(const WorkLimits& limits) {
    const NextWork work = queue_.Next(limits);
    return work.start ? work.start->attempt.id.value() : 0;
  }

  ManualClock clock_;
  TargetQueue queue_{clock_, {.slots = Slots{2}}};
};

TEST_CASE_FIXTURE(QueueTest, "attempts start in order of deadline within the allowance") {
  CHECK(Enqueue(Make(1, milliseconds(300)), Limits(2)) == ErrorKind::kOk);
  CHECK(Enqueue(Make(2, milliseconds(100)), Limits(2)) == ErrorKind::kOk);
  CHECK(Enqueue(Make(3, milliseconds(200)), Limits(2)) == ErrorKind::kOk);
  CHECK(Start(Limits(2)) == 2);
  CHECK(Start(Limits(2)) == 3);
  CHECK(Start(Limits(2)) == 0);
  CHECK(queue_.Finish(kEntryA, AttemptId{2}));
  CHECK(Start(Limits(1)) == 0);
  CHECK(Start(Limits(2)) == 1);
}

// Guards against confusing attempts of different entries: ids are unique only per entry.
TEST_CASE_FIXTURE(QueueTest, "equal attempt ids of two senders are different attempts") {
  CHECK(Enqueue(Make(1, milliseconds(100), kEntryA), Limits(2)) == ErrorKind::kOk);
  CHECK(Enqueue(Make(1, milliseconds(100), kEntryB), Limits(2)) == ErrorKind::kOk);
  CHECK(Enqueue(Make(1, milliseconds(100), kEntryB), Limits(2)) == ErrorKind::kDuplicate);
  CHECK(queue_.Cancel(kEntryA, AttemptId{1}) == CancelResult::kRemoved);
  CHECK(queue_.Cancel(kEntryA, AttemptId{1}) == CancelResult::kUnknown);
  CHECK(Start(Limits(2)) == 1);
  CHECK_FALSE(queue_.Finish(kEntryA, AttemptId{1}));
  CHECK(queue_.Finish(kEntryB, AttemptId{1}));
}

TEST_CASE_FIXTURE(QueueTest, "refusals name their reason as an error kind") {
  WorkLimits ended = Limits(2);
  ended.lease_end = clock_.now();
  CHECK(Enqueue(Make(1, milliseconds(100)), ended) == ErrorKind::kNotOwner);
  CHECK(Enqueue(Make(1, milliseconds(9)), Limits(2)) == ErrorKind::kExpired);
  CHECK(Enqueue(Make(1, milliseconds(100)), Limits(0)) == ErrorKind::kQueueFull);
  for (std::uint64_t id = 1; id <= 8; ++id) {
    CHECK(Enqueue(Make(id, seconds(1)), Limits(2)) == ErrorKind::kOk);
  }
  CHECK(Enqueue(Make(9, seconds(1)), Limits(2)) == ErrorKind::kQueueFull);
}

// Guards against late refusals: an attempt that cannot meet its deadline is refused on arrival.
TEST_CASE_FIXTURE(QueueTest,
                  "an attempt whose estimated wait exceeds its deadline is refused at once") {
  for (std::uint64_t id = 1; id <= 5; ++id) {
    CHECK(Enqueue(Make(id, milliseconds(60)), Limits(1)) == ErrorKind::kOk);
  }
  CHECK(Enqueue(Make(6, milliseconds(59)), Limits(1)) == ErrorKind::kOk);
  CHECK(Enqueue(Make(7, milliseconds(60)), Limits(1)) == ErrorKind::kQueueFull);
  CHECK(Enqueue(Make(7, milliseconds(70)), Limits(1)) == ErrorKind::kOk);
}

TEST_CASE_FIXTURE(QueueTest,
                  "a waiting attempt is dropped once less than the service time is left") {
  CHECK(Enqueue(Make(1, milliseconds(20)), Limits(1)) == ErrorKind::kOk);
  const auto wake = queue_.wake_time(Limits(0));
  REQUIRE(wake);
  clock_.Advance(*wake - clock_.wall_now() - std::chrono::microseconds(1));
  CHECK(queue_.Next(Limits(0)).dropped.empty());
  clock_.Advance(std::chrono::microseconds(1));
  const NextWork work = queue_.Next(Limits(0));
  REQUIRE(work.dropped.size() == 1);
  CHECK(work.dropped[0].reason == ErrorKind::kExpired);
  CHECK(queue_.waiting() == 0);
}

TEST_CASE_FIXTURE(QueueTest, "no attempt starts that the end of the lease would cut short") {
  CHECK(Enqueue(Make(1, milliseconds(900)), Limits(1)) == ErrorKind::kOk);
  WorkLimits limits = Limits(1);
  limits.lease_end = clock_.now() + milliseconds(9);
  CHECK(Start(limits) == 0);
  limits.lease_end = clock_.now() + milliseconds(500);
  const NextWork work = queue_.Next(limits);
  REQUIRE(work.start);
  CHECK(work.start->deadline == clock_.wall_now() + milliseconds(500));
}

TEST_CASE_FIXTURE(QueueTest, "all waiting attempts are dropped when ownership ends") {
  CHECK(Enqueue(Make(1, milliseconds(100)), Limits(2)) == ErrorKind::kOk);
  CHECK(Enqueue(Make(2, milliseconds(200)), Limits(2)) == ErrorKind::kOk);
  CHECK(Start(Limits(2)) == 1);
  const std::vector<DroppedAttempt> dropped = queue_.DropWaiting(ErrorKind::kNotOwner);
  REQUIRE(dropped.size() == 1);
  CHECK(dropped[0].attempt.id == AttemptId{2});
  CHECK(queue_.in_flight() == 1);
}

// Guards against overload by attempts that still run on the target after their connection went
// silent.
TEST_CASE_FIXTURE(QueueTest, "an abandoned or cancelled attempt keeps its slot while it may run") {
  CHECK(Enqueue(Make(1, milliseconds(100)), Limits(1)) == ErrorKind::kOk);
  CHECK(Enqueue(Make(2, milliseconds(300)), Limits(1)) == ErrorKind::kOk);
  CHECK(Start(Limits(1)) == 1);
  CHECK(queue_.Cancel(kEntryA, AttemptId{1}) == CancelResult::kRunning);
  CHECK(queue_.Abandon(kEntryA, AttemptId{1}));
  CHECK_FALSE(queue_.Finish(kEntryA, AttemptId{1}));
  CHECK(Start(Limits(1)) == 0);
  clock_.Advance(milliseconds(100));
  CHECK(Start(Limits(1)) == 2);
}

TEST_CASE_FIXTURE(QueueTest, "an attempt that must run alone has no other attempt on the target") {
  Attempt alone = Make(2, milliseconds(200));
  alone.alone = true;
  CHECK(Enqueue(Make(1, milliseconds(100)), Limits(2)) == ErrorKind::kOk);
  CHECK(Enqueue(alone, Limits(2)) == ErrorKind::kOk);
  CHECK(Enqueue(Make(3, milliseconds(300)), Limits(2)) == ErrorKind::kOk);
  CHECK(Enqueue(Make(4, milliseconds(400)), Limits(2)) == ErrorKind::kOk);
  CHECK(Start(Limits(2)) == 1);
  CHECK(Start(Limits(2)) == 0);
  CHECK(queue_.Finish(kEntryA, AttemptId{1})->alone);
  CHECK(Start(Limits(2)) == 2);
  CHECK(Start(Limits(2)) == 0);
  CHECK(queue_.Finish(kEntryA, AttemptId{2})->alone);
  CHECK(Start(Limits(2)) == 3);
  CHECK(Start(Limits(2)) == 4);
  // The two attempts overlapped, so neither ran alone.
  CHECK_FALSE(queue_.Finish(kEntryA, AttemptId{3})->alone);
  CHECK_FALSE(queue_.Finish(kEntryA, AttemptId{4})->alone);
}

// Makes random calls on a queue and tracks the expected status of each attempt.
class QueueModel {
 public:
  explicit QueueModel(unsigned seed) : random_(seed) {}

  void Run() {
    for (int step = 0; step < 400; ++step) {
      Change();
      Drain();
      REQUIRE(queue_.waiting() <= 12);
      REQUIRE(queue_.waiting() == Count(Status::kWaiting));
    }
    clock_.Advance(seconds(2));
    lease_end_ = clock_.now();
    Drain();
    // Every accepted attempt has left the queue exactly once.
    CHECK(Count(Status::kWaiting) == 0);
  }

 private:
  enum class Status { kWaiting, kRunning, kAbandoned, kEnded };

  std::uint32_t Pick(std::uint32_t below) { return static_cast<std::uint32_t>(random_() % below); }

  std::size_t Count(Status status) const {
    std::size_t count = 0;
    for (const auto& [key, entry] : statuses_) {
      count += entry == status ? 1 : 0;
    }
    return count;
  }

  WorkLimits Limits() const { return {Slots{allowance_}, lease_end_, milliseconds(10)}; }

  void Change() {
    clock_.Advance(std::chrono::microseconds(Pick(6000)));
    switch (Pick(8)) {
      case 0:
        allowance_ = Pick(4);
        return;
      case 1:
        lease_end_ = clock_.now() + milliseconds(Pick(300));
        return;
      case 2:
      case 3:
        EndOne();
        return;
      default:
        EnqueueOne();
    }
  }

  void EnqueueOne() {
    const Attempt attempt{.id = AttemptId{Pick(300)},
                          .from = Pick(2) == 0 ? kEntryA : kEntryB,
                          .deadline = clock_.wall_now() + milliseconds(Pick(150)),
                          .alone = Pick(10) == 0};
    const AttemptKey key{attempt.from, attempt.id};
    InFlight();
    const bool known = statuses_.contains(key) && statuses_[key] != Status::kEnded;
    if (const Result<void> result = queue_.Enqueue(attempt, Limits())) {
      REQUIRE_FALSE(known);
      statuses_[key] = Status::kWaiting;
      deadlines_[key] = attempt.deadline;
    } else if (result.error().kind() == ErrorKind::kDuplicate) {
      REQUIRE(known);
    }
  }

  void EndOne() {
    if (statuses_.empty()) {
      return;
    }
    auto it = statuses_.begin();
    std::advance(it, Pick(static_cast<std::uint32_t>(statuses_.size())));
    auto& [key, status] = *it;
    const bool running = status == Status::kRunning;
    switch (Pick(4)) {
      case 0:
        REQUIRE(queue_.Abandon(key.first, key.second).has_value() == running);
        status = running ? Status::kAbandoned : status;
        return;
      case 1:
        REQUIRE((queue_.Cancel(key.first, key.second) == CancelResult::kRemoved) ==
                (status == Status::kWaiting));
        status = status == Status::kWaiting ? Status::kEnded : status;
        return;
      default:
        REQUIRE(queue_.Finish(key.first, key.second).has_value() == running);
        status = running ? Status::kEnded : status;
    }
  }

  // Counts the attempts that may still run on the target. Abandoned attempts end at their deadline.
  std::size_t InFlight() {
    std::size_t count = 0;
    for (auto& [key, status] : statuses_) {
      if (status == Status::kAbandoned && deadlines_[key] <= clock_.wall_now()) {
        status = Status::kEnded;
      }
      count += status == Status::kRunning || status == Status::kAbandoned ? 1 : 0;
    }
    return count;
  }

  void Drain() {
    for (;;) {
      const NextWork work = queue_.Next(Limits());
      for (const DroppedAttempt& dropped : work.dropped) {
        Status& status = statuses_[AttemptKey{dropped.attempt.from, dropped.attempt.id}];
        REQUIRE(status == Status::kWaiting);
        REQUIRE(dropped.attempt.deadline - clock_.wall_now() < milliseconds(10));
        status = Status::kEnded;
      }
      if (!work.start) {
        return;
      }
      CheckStart(*work.start);
    }
  }

  void CheckStart(const StartedAttempt& start) {
    const AttemptKey key{start.attempt.from, start.attempt.id};
    REQUIRE(InFlight() < allowance_);
    REQUIRE(statuses_[key] == Status::kWaiting);
    REQUIRE(start.deadline <= start.attempt.deadline);
    REQUIRE(start.deadline - clock_.wall_now() >= milliseconds(9));
    REQUIRE(start.deadline - clock_.wall_now() <= lease_end_ - clock_.now());
    statuses_[key] = Status::kRunning;
    deadlines_[key] = start.deadline;
  }

  std::mt19937 random_;
  ManualClock clock_;
  TargetQueue queue_{clock_, {.slots = Slots{3}}};
  std::uint32_t allowance_ = 3;
  BootTime lease_end_ = clock_.now() + milliseconds(300);
  std::map<AttemptKey, Status> statuses_;
  std::map<AttemptKey, WallTime> deadlines_;
};

TEST_CASE("attempts in flight never exceed the allowance, and every attempt ends exactly once") {
  for (unsigned seed = 0; seed < 400; ++seed) {
    INFO("seed ", seed);
    QueueModel(seed).Run();
  }
}

}  // namespace
}  // namespace peridotfork
