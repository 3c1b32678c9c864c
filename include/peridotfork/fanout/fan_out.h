#ifndef PERIDOTFORK_FANOUT_FAN_OUT_H_
#define PERIDOTFORK_FANOUT_FAN_OUT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "peridotfork/balance/target_table.h"
#include "peridotfork/core/clock.h"

namespace peridotfork {

// Parameters for running one request.
struct FanOutPlan {
  std::size_t shards = 1;
  // Maximum number of targets of one shard that may run the request.
  std::uint32_t max_attempts = 1;
  bool idempotent = true;
  double required_coverage = 1;
  std::chrono::nanoseconds hedge_delay{0};
  // From this time on, a response with enough shards is sent without waiting for the others.
  BootTime partial_answer_at;
  // If a shard has no usable target, the search for one is repeated until this time.
  BootTime placement_deadline;
  BootTime answer_deadline;
};

// Whether an attempt that ended has run the request.
enum class AttemptResult {
  kAnswered,
  // The target did not run the request.
  kNotRun,
  // The target ran the request without success, or may have run it.
  kMayHaveRun,
};

enum class FanOutOutcome {
  kComplete,
  // Enough shards have answered, but not all.
  kPartial,
  // No target has run the request or will run it.
  kRefused,
  // Too few shards can answer, and a target may have run the request.
  kFailed,
  kTimedOut,
};

std::string_view FanOutOutcomeName(FanOutOutcome outcome);

// Minimum number of answered shards for a success; from one to all of them.
std::size_t RequiredShards(std::size_t shards, double required_coverage);

// State machine that runs one request over its shards: decides when to send first attempts,
// retries and hedges, and when the outcome is final. A request for one service is a fan-out with
// one shard. Does no I/O. Not thread-safe.
class FanOut {
 public:
  struct AttemptSpec {
    std::size_t shard = 0;
    AttemptPurpose purpose = AttemptPurpose::kFirst;
  };

  // Delay before the search for a usable target of a shard is repeated.
  static constexpr std::chrono::milliseconds kPlacementRetryDelay{15};
  // Additional attempts for one shard, beyond `max_attempts`, after refusals that prove that the
  // request did not run.
  static constexpr std::uint32_t kMaxRefusals = 2;

  explicit FanOut(FanOutPlan plan);

  // Returns the next attempt to send now. Report each one with OnSent() or OnNoTarget(). To be
  // called after every change and at wake_time(), repeatedly until it returns none.
  std::optional<AttemptSpec> Next(BootTime now);

  void OnSent(std::size_t shard, BootTime now);
  // Reports that there is no usable target, or no budget for an extra attempt.
  void OnNoTarget(const AttemptSpec& spec, BootTime now);
  void OnEnd(std::size_t shard, AttemptResult result);

  // The final outcome; none while the request is still running.
  std::optional<FanOutOutcome> Outcome(BootTime now) const;

  // The next time at which Next() or Outcome() can change without another event.
  BootTime wake_time() const;

  const FanOutPlan& plan() const { return plan_; }
  bool answered(std::size_t shard) const { return shards_[shard].answered; }
  std::size_t answered_count() const;
  // Whether a target may have run the request or may still run it.
  bool may_have_run() const;
  std::uint32_t hedges() const { return hedges_; }
  std::uint32_t retries() const { return retries_; }

 private:
  struct Shard {
    bool answered = false;
    // No further attempt can be sent.
    bool exhausted = false;
    std::uint32_t open_attempts = 0;
    std::uint32_t sent_attempts = 0;
    // Ended attempts that ran the request or may have run it.
    std::uint32_t executed_attempts = 0;
    BootTime hedge_at;
    BootTime next_placement;
  };

  // What to send to the shard now; marks the shard as exhausted if no attempts remain.
  std::optional<AttemptPurpose> NextPurpose(Shard& shard, BootTime now);
  std::size_t required() const { return RequiredShards(shards_.size(), plan_.required_coverage); }
  bool CanHedge(const Shard& shard) const;

  const FanOutPlan plan_;
  std::vector<Shard> shards_;
  std::uint32_t hedges_ = 0;
  std::uint32_t retries_ = 0;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_FANOUT_FAN_OUT_H_
