#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <random>
#include <vector>

#include "peridotfork/limits/cold_ramp.h"

namespace peridotfork {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Kinds of targets that the ramp must handle.
struct ModelOptions {
  // Answers carry the state of the target; otherwise only their latency shows it.
  bool answers_report_state = true;
  // The health endpoint always reports "warm".
  bool health_stuck = false;
  // Percentage of the steps in which there is an attempt to send.
  std::uint32_t demand = 100;
};

// Model of one target that turns cold at random times and has a lagging health endpoint, and of a
// dispatcher that sends as many attempts as the ramp allows.
class ColdTargetModel {
 public:
  ColdTargetModel(unsigned seed, ModelOptions options)
      : random_(seed), options_(options), lag_(milliseconds(Pick(5000))) {}

  void Run(std::chrono::nanoseconds length) {
    const BootTime end = clock_.now() + length;
    while (clock_.now() < end) {
      clock_.Advance(microseconds(500));
      ChangeTarget();
      Complete();
      Deliver();
      PollHealth();
      Send();
    }
  }

  // Number of times the target turned cold, answers delivered, and steps at the full allowance.
  int cold_phases() const { return cold_phases_; }
  int answers() const { return answers_; }
  int full_allowance_steps() const { return full_allowance_steps_; }

 private:
  static constexpr std::uint32_t kSlots = 3;

  struct Running {
    BootTime sent;
    BootTime ends;
  };
  struct Answer {
    BootTime sent;
    BootTime arrives;
    bool cold = false;
    int phase = 0;
  };
  struct Health {
    BootTime time;
    TargetState state;
    Slots bears;
  };

  std::uint32_t Pick(std::uint32_t below) { return static_cast<std::uint32_t>(random_() % below); }

  void ChangeTarget() {
    const BootTime now = clock_.now();
    if (now < next_change_) {
      bears_ = cold_ && now > midpoint_ ? std::max(bears_, 2U) : bears_;
      return;
    }
    cold_ = !cold_ && now > warm_until_;
    bears_ = cold_ ? 1 + Pick(2) : kSlots;
    next_change_ = now + milliseconds(cold_ ? 1000 + Pick(3000) : 1000 + Pick(6000));
    midpoint_ = now + (next_change_ - now) / 2;
    if (cold_) {
      ++cold_phases_;
      cold_observed_ = false;
      consecutive_slow_ = 0;
    }
  }

  void Complete() {
    const BootTime now = clock_.now();
    std::erase_if(running_, [&](const Running& attempt) {
      if (attempt.ends > now) {
        return false;
      }
      in_transit_.push_back({attempt.sent, now + microseconds(Pick(2000)), cold_, cold_phases_});
      return true;
    });
  }

  void Deliver() {
    const BootTime now = clock_.now();
    std::erase_if(in_transit_, [&](const Answer& answer) {
      if (answer.arrives > now) {
        return false;
      }
      OnAnswer(answer);
      return true;
    });
  }

  void OnAnswer(const Answer& answer) {
    ++answers_;
    --in_flight_;
    const std::chrono::nanoseconds latency = clock_.now() - answer.sent;
    const TargetState reported = !options_.answers_report_state ? TargetState::kUnknown
                                 : answer.cold                  ? TargetState::kCold
                                                                : TargetState::kWarm;
    ramp_.OnAnswer(latency, reported);
    if (!cold_ || answer.phase != cold_phases_) {
      return;
    }
    consecutive_slow_ = latency > milliseconds(65) ? consecutive_slow_ + 1 : 0;
    cold_observed_ =
        cold_observed_ || (options_.answers_report_state ? answer.cold : consecutive_slow_ >= 3);
  }

  void PollHealth() {
    const BootTime now = clock_.now();
    const TargetState state = cold_ ? TargetState::kCold : TargetState::kWarm;
    health_.push_back({now, state, Slots{bears_}});
    while (health_.front().time < now - lag_) {
      health_.pop_front();
    }
    if (now < next_poll_) {
      return;
    }
    next_poll_ = now + milliseconds(250);
    if (options_.health_stuck) {
      ramp_.OnReported(TargetState::kWarm, Slots{kSlots}, Slots{kSlots});
    } else {
      ramp_.OnReported(health_.front().state, health_.front().bears, Slots{kSlots});
    }
  }

  void Send() {
    full_allowance_steps_ += ramp_.allowance() == Slots{kSlots} ? 1 : 0;
    while (in_flight_ < ramp_.allowance().value() && Pick(100) < options_.demand) {
      ++in_flight_;
      const auto latency = microseconds(cold_ ? 70000 + Pick(80000) : 5000 + Pick(7000));
      running_.push_back({clock_.now(), clock_.now() + latency});
      // The dispatcher cannot know that the target is cold before an answer shows it; until then
      // the attempts in flight are limited by the slots.
      REQUIRE(running_.size() <= (cold_ && cold_observed_ ? bears_ : kSlots));
    }
  }

  std::mt19937 random_;
  ModelOptions options_;
  std::chrono::nanoseconds lag_;
  ManualClock clock_;
  ColdRamp ramp_{clock_, {.slots = Slots{kSlots}}};

  bool cold_ = false;
  std::uint32_t bears_ = kSlots;
  BootTime warm_until_ = clock_.now() + seconds(2);
  BootTime next_change_ = clock_.now() + seconds(3);
  BootTime midpoint_ = next_change_;
  std::vector<Running> running_;
  std::vector<Answer> in_transit_;
  std::deque<Health> health_;
  BootTime next_poll_;

  std::uint32_t in_flight_ = 0;
  // Whether an answer has shown the dispatcher that the target is in its current cold phase.
  bool cold_observed_ = false;
  int consecutive_slow_ = 0;
  int cold_phases_ = 0;
  int answers_ = 0;
  int full_allowance_steps_ = 0;
};

void CheckSeeds(unsigned first, ModelOptions options) {
  for (unsigned seed = first; seed < first + 150; ++seed) {
    INFO("seed ", seed);
    ColdTargetModel model(seed, options);
    model.Run(seconds(20));
    CHECK(model.cold_phases() >= 2);
    CHECK(model.answers() > 500);
    // Without this check, a ramp that never rises again would pass.
    CHECK(model.full_allowance_steps() > 10000);
  }
}

TEST_CASE("attempts start only within what a cold target bears if its answers report cold") {
  CheckSeeds(0, {});
}

TEST_CASE("attempts start only within what a cold target bears if its answers carry no state") {
  CheckSeeds(1000, {.answers_report_state = false});
}

TEST_CASE("a health endpoint that is stuck at warm changes nothing") {
  CheckSeeds(2000, {.health_stuck = true});
  CheckSeeds(3000, {.answers_report_state = false, .health_stuck = true});
}

TEST_CASE("attempts start only within what a cold target bears under light load") {
  CheckSeeds(4000, {.demand = 8});
}

}  // namespace
}  // namespace peridotfork
