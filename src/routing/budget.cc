#include "peridotfork/routing/budget.h"

#include <algorithm>

namespace peridotfork::routing {
namespace {

// Tolerance for rounding errors of repeated additions, so that 50 additions of 0.02 amount to a
// whole token.
constexpr double kRounding = 1e-9;

}  // namespace

Budget::Budget(BudgetOptions options) : options_(options), tokens_(options.burst) {}

void Budget::OnSubRequests(std::uint32_t count) {
  tokens_ = std::min(options_.burst, tokens_ + options_.fraction * count);
}

bool Budget::TryTake() {
  return TryTakeBatch(1);
}

bool Budget::TryTakeBatch(std::uint32_t count) {
  const double needed = std::max(1.0, std::min<double>(count, options_.burst));
  if (tokens_ + kRounding < needed) {
    return false;
  }
  tokens_ -= count;
  return true;
}

}  // namespace peridotfork::routing
