#include "peridotfork/limits/cold_ramp.h"

#include <algorithm>
#include <utility>

namespace peridotfork {
namespace {

bool ExceedsFactor(std::chrono::nanoseconds latency,
                   double factor,
                   std::chrono::nanoseconds median) {
  return static_cast<double>(latency.count()) > factor * static_cast<double>(median.count());
}

}  // namespace

ColdRamp::ColdRamp(const Clock& clock, ColdRampOptions options)
    : clock_(clock),
      options_(options),
      window_(options.window, options.min_samples),
      last_answer_(clock.now()),
      ramp_start_(clock.now()),
      ramping_since_(clock.now()) {}

void ColdRamp::OnReported(TargetState state,
                          std::optional<Slots> bears,
                          std::optional<Slots> slots) {
  const Report report{state, bears, slots};
  if (report_ == report) {
    return;
  }
  const std::optional<Report> before = std::exchange(report_, report);
  if (state == TargetState::kDraining) {
    draining_ = true;
    return;
  }
  if (std::exchange(draining_, false)) {
    Restart(Slots{1});
  }
  if (state_known_) {
    ApplyReport(before.value_or(Report{}), report);
  } else {
    Begin(report);
  }
}

void ColdRamp::Begin(const Report& report) {
  if (report.state == TargetState::kUnknown && !report.bears) {
    return;
  }
  state_known_ = true;
  const bool warm = report.state == TargetState::kWarm;
  const Slots start = report.bears.value_or(warm ? cap() : Slots{1});
  ramp_limit_ = std::clamp(start, Slots{1}, std::max(cap(), Slots{1}));
  ramping_ = !warm;
  needs_confirmation_ = warm;
  if (!warm) {
    initial_limit_ = ramp_limit_;
  }
  confirm_after_ = last_answer_ = clock_.now();
}

void ColdRamp::ApplyReport(const Report& before, const Report& report) {
  const bool fewer = report.bears && before.bears && *report.bears < *before.bears;
  const bool turned_cold = report.state == TargetState::kCold && before.state != TargetState::kCold;
  if (turned_cold || (fewer && report.state == TargetState::kCold)) {
    Restart(report.bears.value_or(Slots{1}));
  } else if (fewer) {
    ramp_limit_ = std::min(ramp_limit_, std::max(*report.bears, Slots{1}));
  }
}

void ColdRamp::OnAnswer(std::chrono::nanoseconds latency, TargetState reported_state) {
  OnAnyResponse();
  if (reported_state == TargetState::kDraining) {
    draining_ = true;
    return;
  }
  const BootTime now = clock_.now();
  last_answer_ = now;
  if (reported_state == TargetState::kCold) {
    OnColdAnswer();
    return;
  }
  state_known_ = true;
  if (now - latency >= confirm_after_) {
    needs_confirmation_ = false;
  }
  initial_limit_.reset();
  ProcessLatency(latency);
}

void ColdRamp::OnColdAnswer() {
  state_known_ = true;
  needs_confirmation_ = false;
  Restart(initial_limit_.value_or(Slots{1}));
  ramping_since_ = ramp_start_;
}

void ColdRamp::ProcessLatency(std::chrono::nanoseconds latency) {
  DiscardMedianAfterLongRamp();
  const bool sent_in_this_ramp = clock_.now() - latency >= ramp_start_;
  if (sent_in_this_ramp) {
    const bool slow = median_ && ExceedsFactor(latency, options_.slow_factor, *median_);
    consecutive_slow_ = slow ? consecutive_slow_ + 1 : 0;
    if (consecutive_slow_ >= options_.slow_answers_to_restart) {
      Restart(Slots{1});
      return;
    }
    const bool quick = !median_ || !ExceedsFactor(latency, options_.quick_factor, *median_);
    consecutive_quick_ = quick ? consecutive_quick_ + 1 : 0;
    if (consecutive_quick_ >= options_.answers_per_step) {
      StepUp();
    }
  }
  UpdateMedian(latency);
}

void ColdRamp::StepUp() {
  consecutive_quick_ = 0;
  if (ramp_limit_ < cap()) {
    ramp_limit_ = Slots{ramp_limit_.value() + 1};
  }
  if (ramp_limit_ >= cap()) {
    ramping_ = false;
  }
}

// Latencies of a cold target must not enter the warm median, so samples are ignored during a ramp
// once the median is known.
void ColdRamp::UpdateMedian(std::chrono::nanoseconds latency) {
  if (ramping_ && median_) {
    return;
  }
  window_.Add(latency);
  median_ = window_.Quantile(0.5);
}

void ColdRamp::DiscardMedianAfterLongRamp() {
  if (ramping_ && median_ && clock_.now() - ramping_since_ >= options_.median_reset_after) {
    window_.Clear();
    median_.reset();
    ramping_since_ = clock_.now();
  }
}

void ColdRamp::OnShed() {
  OnAnyResponse();
  ramp_limit_ = Slots{std::max(ramp_limit_.value() / 2, 1U)};
  consecutive_quick_ = 0;
}

void ColdRamp::OnRefused() {
  OnAnyResponse();
}

void ColdRamp::OnLost() {
  ++consecutive_losses_;
  consecutive_quick_ = 0;
  last_loss_ = confirm_after_ = clock_.now();
  needs_confirmation_ = true;
  initial_limit_.reset();
}

void ColdRamp::OnTimedOut(std::chrono::nanoseconds elapsed) {
  if (consecutive_losses_ >= options_.losses_to_suspect) {
    OnLost();
    return;
  }
  consecutive_quick_ = 0;
  const bool slow = median_ && ExceedsFactor(elapsed, options_.slow_factor, *median_);
  if (slow && ++consecutive_slow_ >= options_.slow_answers_to_restart) {
    Restart(Slots{1});
  }
}

void ColdRamp::OnAnyResponse() {
  if (std::exchange(consecutive_losses_, 0) >= options_.losses_to_suspect) {
    Restart(Slots{1});
  }
}

void ColdRamp::Restart(Slots start) {
  const BootTime now = clock_.now();
  ramp_limit_ = std::min(ramp_limit_, std::max(start, Slots{1}));
  if (!std::exchange(ramping_, true)) {
    ramping_since_ = now;
  }
  ramp_start_ = now;
  consecutive_quick_ = 0;
  consecutive_slow_ = 0;
}

void ColdRamp::SetSlots(Slots slots) {
  options_.slots = slots;
  ramp_limit_ = std::min(ramp_limit_, std::max(cap(), Slots{1}));
}

Slots ColdRamp::cap() const {
  const Slots reported = report_ && report_->slots ? *report_->slots : options_.slots;
  return std::min(options_.slots, reported);
}

Slots ColdRamp::level() const {
  const bool bears_nothing = report_ && report_->bears == Slots{0};
  if (draining_ || bears_nothing) {
    return Slots{0};
  }
  if (const std::optional<BootTime> probe = next_probe()) {
    return Slots{clock_.now() >= *probe ? 1U : 0U};
  }
  return std::min(ramp_limit_, cap());
}

Slots ColdRamp::allowance() const {
  const bool proven = !needs_confirmation_ && clock_.now() - last_answer_ <= options_.max_idle_time;
  return proven ? level() : std::min(level(), Slots{1});
}

std::optional<BootTime> ColdRamp::next_probe() const {
  if (consecutive_losses_ < options_.losses_to_suspect) {
    return std::nullopt;
  }
  return last_loss_ + options_.probe_interval;
}

TargetState ColdRamp::state() const {
  if (draining_) {
    return TargetState::kDraining;
  }
  if (consecutive_losses_ >= options_.losses_to_suspect) {
    return TargetState::kSuspect;
  }
  if (!state_known_) {
    return TargetState::kUnknown;
  }
  return ramping_ ? TargetState::kCold : TargetState::kWarm;
}

}  // namespace peridotfork
