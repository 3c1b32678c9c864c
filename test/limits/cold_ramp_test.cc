#include "peridotfork/limits/cold_ramp.h"

#include <doctest/doctest.h>

#include <optional>

namespace peridotfork {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class RampTest {
 protected:
  explicit RampTest(Slots slots = Slots{3}) : ramp_(clock_, {.slots = slots}) {}

  // Sends attempts one after the other.
  void Answer(int count, milliseconds latency, TargetState state) {
    for (int i = 0; i < count; ++i) {
      clock_.Advance(latency);
      ramp_.OnAnswer(latency, state);
    }
  }

  void MakeWarm() {
    ramp_.OnReported(TargetState::kWarm, Slots{3}, Slots{3});
    Answer(20, milliseconds(10), TargetState::kWarm);
    REQUIRE(ramp_.allowance() == Slots{3});
  }

  ManualClock clock_;
  ColdRamp ramp_;
};

TEST_CASE_FIXTURE(RampTest, "a target in unknown state starts with an allowance of 1") {
  CHECK(ramp_.allowance() == Slots{1});
  CHECK(ramp_.state() == TargetState::kUnknown);
  ramp_.OnReported(TargetState::kUnknown, std::nullopt, std::nullopt);
  CHECK(ramp_.allowance() == Slots{1});
}

TEST_CASE_FIXTURE(RampTest, "a cold target starts at what it bears and rises by 1 per 10 answers") {
  ramp_.OnReported(TargetState::kCold, Slots{2}, Slots{3});
  CHECK(ramp_.allowance() == Slots{2});
  Answer(9, milliseconds(10), TargetState::kWarm);
  CHECK(ramp_.allowance() == Slots{2});
  Answer(1, milliseconds(10), TargetState::kWarm);
  CHECK(ramp_.allowance() == Slots{3});
  CHECK(ramp_.state() == TargetState::kWarm);
}

// Guards against a report that is older than a restart: health reports may lag by seconds.
TEST_CASE_FIXTURE(RampTest, "a first report of warm takes effect only after an answer") {
  ramp_.OnReported(TargetState::kWarm, Slots{3}, Slots{3});
  CHECK(ramp_.allowance() == Slots{1});
  SUBCASE("confirmed") {
    Answer(1, milliseconds(10), TargetState::kWarm);
    CHECK(ramp_.allowance() == Slots{3});
  }
  SUBCASE("contradicted") {
    Answer(1, milliseconds(10), TargetState::kCold);
    CHECK(ramp_.allowance() == Slots{1});
    CHECK(ramp_.state() == TargetState::kCold);
  }
}

TEST_CASE_FIXTURE(RampTest,
                  "a cold answer restarts the ramp and later warm reports do not raise it") {
  MakeWarm();
  Answer(1, milliseconds(20), TargetState::kCold);
  CHECK(ramp_.allowance() == Slots{1});
  ramp_.OnReported(TargetState::kWarm, Slots{2}, Slots{3});
  ramp_.OnReported(TargetState::kWarm, Slots{3}, Slots{3});
  CHECK(ramp_.allowance() == Slots{1});
  Answer(30, milliseconds(10), TargetState::kCold);
  CHECK(ramp_.allowance() == Slots{1});
}

TEST_CASE_FIXTURE(RampTest, "three consecutive slow answers restart the ramp") {
  MakeWarm();
  Answer(2, milliseconds(51), TargetState::kWarm);
  Answer(1, milliseconds(10), TargetState::kWarm);
  Answer(2, milliseconds(51), TargetState::kWarm);
  CHECK(ramp_.allowance() == Slots{3});
  Answer(1, milliseconds(51), TargetState::kWarm);
  CHECK(ramp_.allowance() == Slots{1});
}

// Guards against counting answers that were in transit when the target turned cold.
TEST_CASE_FIXTURE(RampTest,
                  "answers to attempts sent before the restart do not raise the allowance") {
  MakeWarm();
  Answer(1, milliseconds(10), TargetState::kCold);
  for (int i = 0; i < 30; ++i) {
    ramp_.OnAnswer(milliseconds(11), TargetState::kWarm);
  }
  CHECK(ramp_.allowance() == Slots{1});
}

// Guards against latencies of a cold target entering the warm median.
TEST_CASE_FIXTURE(RampTest,
                  "latencies from a ramp do not update the median, unless it lasts a minute") {
  MakeWarm();
  Answer(300, milliseconds(60), TargetState::kWarm);
  CHECK(ramp_.allowance() == Slots{1});
  CHECK(ramp_.median() == milliseconds(10));
  Answer(1000, milliseconds(60), TargetState::kWarm);
  CHECK(ramp_.median() == milliseconds(60));
  CHECK(ramp_.allowance() == Slots{3});
}

TEST_CASE_FIXTURE(RampTest, "a shed attempt halves the allowance") {
  MakeWarm();
  ramp_.SetSlots(Slots{8});
  ramp_.OnReported(TargetState::kWarm, Slots{8}, Slots{8});
  Answer(50, milliseconds(10), TargetState::kWarm);
  REQUIRE(ramp_.allowance() == Slots{8});
  ramp_.OnShed();
  CHECK(ramp_.allowance() == Slots{4});
  ramp_.OnShed();
  ramp_.OnShed();
  ramp_.OnShed();
  CHECK(ramp_.allowance() == Slots{1});
}

TEST_CASE_FIXTURE(
    RampTest,
    "after three consecutive losses a target is suspect and gets one probe per second") {
  MakeWarm();
  ramp_.OnLost();
  CHECK(ramp_.allowance() == Slots{1});
  ramp_.OnLost();
  ramp_.OnLost();
  CHECK(ramp_.state() == TargetState::kSuspect);
  CHECK(ramp_.allowance() == Slots{0});
  clock_.Advance(seconds(1));
  CHECK(ramp_.allowance() == Slots{1});
  ramp_.OnTimedOut(milliseconds(400));
  CHECK(ramp_.allowance() == Slots{0});
  clock_.Advance(seconds(1));
  Answer(1, milliseconds(10), TargetState::kWarm);
  CHECK(ramp_.state() == TargetState::kCold);
  CHECK(ramp_.allowance() == Slots{1});
}

TEST_CASE_FIXTURE(RampTest,
                  "after one loss only an attempt that was sent later restores the allowance") {
  MakeWarm();
  ramp_.OnLost();
  clock_.Advance(milliseconds(5));
  ramp_.OnAnswer(milliseconds(10), TargetState::kWarm);
  CHECK(ramp_.allowance() == Slots{1});
  Answer(1, milliseconds(10), TargetState::kWarm);
  CHECK(ramp_.allowance() == Slots{3});
}

TEST_CASE_FIXTURE(RampTest, "attempts that time out count as slow answers") {
  MakeWarm();
  for (int i = 0; i < 3; ++i) {
    ramp_.OnTimedOut(milliseconds(400));
  }
  CHECK(ramp_.allowance() == Slots{1});
  CHECK(ramp_.state() == TargetState::kCold);
}

TEST_CASE_FIXTURE(RampTest, "a draining target gets no attempts and restarts the ramp afterwards") {
  MakeWarm();
  Answer(1, milliseconds(1), TargetState::kDraining);
  CHECK(ramp_.allowance() == Slots{0});
  CHECK(ramp_.state() == TargetState::kDraining);
  ramp_.OnReported(TargetState::kDraining, std::nullopt, std::nullopt);
  ramp_.OnReported(TargetState::kCold, Slots{1}, Slots{3});
  CHECK(ramp_.allowance() == Slots{1});
}

TEST_CASE_FIXTURE(RampTest, "an idle target must answer once before it gets its full allowance") {
  MakeWarm();
  clock_.Advance(seconds(6));
  CHECK(ramp_.allowance() == Slots{1});
  CHECK(ramp_.level() == Slots{3});
  Answer(1, milliseconds(10), TargetState::kWarm);
  CHECK(ramp_.allowance() == Slots{3});
}

TEST_CASE_FIXTURE(RampTest, "the allowance never exceeds the slots in the document or the report") {
  MakeWarm();
  ramp_.SetSlots(Slots{2});
  CHECK(ramp_.allowance() == Slots{2});
  ramp_.OnReported(TargetState::kWarm, Slots{1}, Slots{1});
  Answer(100, milliseconds(10), TargetState::kWarm);
  CHECK(ramp_.allowance() == Slots{1});
}

}  // namespace
}  // namespace peridotfork
