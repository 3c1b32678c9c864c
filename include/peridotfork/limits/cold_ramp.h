#ifndef PERIDOTFORK_LIMITS_COLD_RAMP_H_
#define PERIDOTFORK_LIMITS_COLD_RAMP_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "peridotfork/core/clock.h"
#include "peridotfork/core/units.h"
#include "peridotfork/internal/limits/latency_window.h"
#include "peridotfork/protocol/message.h"

namespace peridotfork {

using TargetState = protocol::TargetState;

struct ColdRampOptions {
  // Number of slots configured for the target in the operators' document.
  Slots slots{1};
  // Consecutive quick answers after which the limit rises by one.
  std::uint32_t answers_per_step = 10;
  // An answer is quick if its latency is at most this multiple of the warm median.
  double quick_factor = 2;
  // An answer is slow if its latency exceeds this multiple of the warm median.
  double slow_factor = 5;
  std::uint32_t slow_answers_to_restart = 3;
  std::uint32_t losses_to_suspect = 3;
  std::chrono::nanoseconds probe_interval = std::chrono::seconds(1);
  // If no answer arrived within this time, the allowance is at most one until the next answer: the
  // target may have restarted.
  std::chrono::nanoseconds max_idle_time = std::chrono::seconds(5);
  // If a ramp lasts this long without an answer that says "cold", the median is discarded and
  // measured again, since the service time of the warm target has probably changed.
  std::chrono::nanoseconds median_reset_after = std::chrono::seconds(60);
  std::size_t window = 128;
  std::size_t min_samples = 10;
};

// Slow start for one target: computes how many attempts may run on it concurrently (its allowance).
//
// The allowance is driven by answers, which carry the state of the target at the time of the
// answer. Reports from the health endpoint lag behind, so they can lower the allowance but not
// raise it. The exception is the first report about a new target, which sets the initial allowance.
// If the first report says "warm", it takes effect only after one answer, since the target may have
// restarted after the report.
//
// The ramp restarts when an answer says "cold", after 3 consecutive slow answers, when a report
// changes to cold, when a cold report lowers its concurrency, after a drain, and when a suspect
// target answers. A restart never raises the limit. It starts at 1, with two exceptions: after a
// cold report, at the concurrency given in the report; after a cold answer, at the initial limit
// while that is set. Otherwise a cold answer overrides the report, which may describe an earlier
// cold start in which the target could sustain a higher concurrency. Answers to attempts sent
// before the restart do not raise the allowance.
//
// Not thread-safe.
class ColdRamp {
 public:
  ColdRamp(const Clock& clock, ColdRampOptions options);

  // Records a report of the health endpoint. `bears` is the concurrency that the target can
  // currently sustain, `slots` its number of slots.
  void OnReported(TargetState state, std::optional<Slots> bears, std::optional<Slots> slots);

  // Records the answer to an attempt. `reported_state` is the state given in the answer, or
  // kUnknown if it has none. Also called for a refusal with the state "draining".
  void OnAnswer(std::chrono::nanoseconds latency, TargetState reported_state);

  // The target refused an attempt because of overload.
  void OnShed();

  // The target refused an attempt for another reason, such as a snapshot that no longer exists.
  // This shows that the target is alive, but says nothing about its latency.
  void OnRefused();

  // Connecting failed, or the connection of an attempt was lost.
  void OnLost();

  // An attempt timed out after `elapsed`. Counts as a loss if the target is suspect; otherwise as a
  // slow answer if `elapsed` exceeds `slow_factor` times the warm median.
  void OnTimedOut(std::chrono::nanoseconds elapsed);

  // The operators' document changed.
  void SetSlots(Slots slots);

  // Number of attempts that may be in flight now. Changes with time: a suspect target gets one
  // probe per `probe_interval`.
  Slots allowance() const;

  // The allowance without the temporary limit of one attempt that applies after a loss or an idle
  // period until the target answers. Used in reports to other processes, because allowance() would
  // make an idle target look slower than a busy one.
  Slots level() const;

  TargetState state() const;

  // Median latency of the target while it is warm.
  std::optional<std::chrono::nanoseconds> median() const { return median_; }

  // Time of the next probe of a suspect target, when allowance() can rise without any event. The
  // owner sets a timer for it.
  std::optional<BootTime> next_probe() const;

 private:
  struct Report {
    TargetState state = TargetState::kUnknown;
    std::optional<Slots> bears;
    std::optional<Slots> slots;

    friend bool operator==(const Report&, const Report&) = default;
  };

  Slots cap() const;
  void Begin(const Report& report);
  void ApplyReport(const Report& before, const Report& report);
  // Restarts the ramp at `start`, or at the current limit if that is lower.
  void Restart(Slots start);
  void OnAnyResponse();
  void OnColdAnswer();
  void ProcessLatency(std::chrono::nanoseconds latency);
  void StepUp();
  void UpdateMedian(std::chrono::nanoseconds latency);
  void DiscardMedianAfterLongRamp();

  const Clock& clock_;
  ColdRampOptions options_;
  LatencyWindow window_;
  std::optional<std::chrono::nanoseconds> median_;

  std::optional<Report> report_;
  // The limit set by the first report. Cleared by a loss, or by an answer with neither cold nor
  // draining state.
  std::optional<Slots> initial_limit_;

  Slots ramp_limit_{1};
  bool ramping_ = true;
  bool state_known_ = false;
  bool draining_ = false;
  // If set, the allowance is at most one until an attempt sent after `confirm_after_` is answered.
  bool needs_confirmation_ = false;
  BootTime confirm_after_;
  BootTime last_answer_;
  // Start of the current ramp.
  BootTime ramp_start_;
  // Start of the period compared with `median_reset_after`: the first restart since the target was
  // last warm. Reset by each cold answer and when the median is discarded.
  BootTime ramping_since_;
  std::uint32_t consecutive_quick_ = 0;
  std::uint32_t consecutive_slow_ = 0;
  std::uint32_t consecutive_losses_ = 0;
  BootTime last_loss_;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_LIMITS_COLD_RAMP_H_
