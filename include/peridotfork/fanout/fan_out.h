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

// How one request is to be run.
struct FanOutPlan {
  std::size_t shards = 1;
  // Targets of one shard that may run the request.
  std::uint32_t max_attempts = 1;
  bool idempotent = true;
  double required_coverage = 1;
  std::chrono::nanoseconds hedge_delay{0};
  // From here on, an answer with enough shards is not held back for more.
  BootTime settle_at;
  // Until here, a shard without a usable target is tried again.
  BootTime place_until;
  BootTime give_up_at;
};

// What the end of an attempt says of the run.
enum class AttemptResult {
  kAnswered,
  // The target did not run the request.
  kNotRun,
  // The target ran it without success, or may have run it.
  kMayHaveRun,
};

enum class FanOutOutcome {
  kComplete,
  // Enough shards have answered, but not all.
  kPartial,
  // No target has run the request, and none will.
  kRefused,
  // Too few shards can answer.
  kFailed,
  kTimedOut,
};

std::string_view FanOutOutcomeName(FanOutOutcome outcome);

// Shards that a success needs: at least one.
std::size_t RequiredShards(std::size_t shards, double required_coverage);

// State machine of one request over its shards: when to send first attempts,
// retries and hedges, and when the answer is final. A request for one service is
// a fan-out of one shard. Does no I/O. Not thread-safe.
class FanOut {
 public:
  struct Wish {
    std::size_t shard = 0;
    AttemptPurpose purpose = AttemptPurpose::kFirst;
  };

  // Pause before a shard without a usable target is tried again.
  static constexpr std::chrono::milliseconds kPlacePause{15};
  // Sends to one shard beyond `max_attempts` after refusals that prove that the
  // request did not run.
  static constexpr std::uint32_t kMaxRefusals = 2;

  explicit FanOut(FanOutPlan plan);

  // The next attempt to send now. Answer each with OnSent() or OnNoTarget(); call
  // until it gives nothing, after each change and at wake_time().
  std::optional<Wish> Next(BootTime now);

  void OnSent(std::size_t shard, BootTime now);
  // There is no usable target, or no budget for an extra attempt.
  void OnNoTarget(const Wish& wish, BootTime now);
  void OnEnd(std::size_t shard, AttemptResult result);

  // The final outcome, once there is one.
  std::optional<FanOutOutcome> Outcome(BootTime now) const;

  // When Next() or Outcome() can change by time alone.
  BootTime wake_time() const;

  const FanOutPlan& plan() const { return plan_; }
  bool answered(std::size_t shard) const { return shards_[shard].answered; }
  std::size_t answered_count() const;
  // Whether a target has run the request or may run it.
  bool may_have_run() const;
  std::uint32_t hedges() const { return hedges_; }
  std::uint32_t retries() const { return retries_; }

 private:
  struct Shard {
    bool answered = false;
    // No further attempt can be sent.
    bool exhausted = false;
    std::uint32_t open = 0;
    std::uint32_t sent = 0;
    // Ended attempts that ran or may have run.
    std::uint32_t ran = 0;
    BootTime hedge_at;
    BootTime place_at;
  };

  // What to send to the shard now; marks it if nothing more can be sent.
  std::optional<AttemptPurpose> NextFor(Shard& shard, BootTime now);
  std::size_t required() const { return RequiredShards(shards_.size(), plan_.required_coverage); }
  bool CanHedge(const Shard& shard) const;

  const FanOutPlan plan_;
  std::vector<Shard> shards_;
  std::uint32_t hedges_ = 0;
  std::uint32_t retries_ = 0;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_FANOUT_FAN_OUT_H_
