#ifndef PERIDOTFORK_ROUTING_BUDGET_H_
#define PERIDOTFORK_ROUTING_BUDGET_H_

#include <cstdint>

namespace peridotfork::routing {

// `fraction` is the number of extra attempts allowed per sub-request, `burst` the maximum number of
// tokens that can accumulate.
struct BudgetOptions {
  double fraction = 0;
  double burst = 0;
};

inline constexpr BudgetOptions kHedgeBudget{.fraction = 0.02, .burst = 10};
inline constexpr BudgetOptions kRetryBudget{.fraction = 0.05, .burst = 20};

// Token bucket for hedges and retries. It is refilled by sub-requests instead of by time, so that
// the extra load stays a fixed fraction of the regular load. Starts full. Not thread-safe.
class Budget {
 public:
  explicit Budget(BudgetOptions options);

  // Adds the tokens for `count` first attempts.
  void OnSubRequests(std::uint32_t count);

  // Takes one token if one is available.
  bool TryTake();

  // Takes `count` tokens at once. A count that exceeds the burst requires a full bucket and makes
  // the balance negative; later sub-requests have to make up for it first.
  bool TryTakeBatch(std::uint32_t count);

  double tokens() const { return tokens_; }

  // Fill level: tokens divided by the burst.
  double fill() const { return options_.burst > 0 ? tokens_ / options_.burst : 0; }

 private:
  BudgetOptions options_;
  double tokens_;
};

}  // namespace peridotfork::routing

#endif  // PERIDOTFORK_ROUTING_BUDGET_H_
