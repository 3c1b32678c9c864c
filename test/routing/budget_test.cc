#include "peridotfork/routing/budget.h"

#include <doctest/doctest.h>

#include <random>

namespace peridotfork::routing {
namespace {

int TakeAll(Budget& budget) {
  int taken = 0;
  while (budget.TryTake()) {
    ++taken;
  }
  return taken;
}

TEST_CASE("a budget starts with its burst and gains its fraction per sub-request") {
  Budget budget(kHedgeBudget);
  CHECK(TakeAll(budget) == 10);
  for (int i = 0; i < 49; ++i) {
    budget.OnSubRequests(1);
  }
  CHECK_FALSE(budget.TryTake());
  budget.OnSubRequests(1);
  CHECK(budget.TryTake());
  budget.OnSubRequests(1'000'000);
  CHECK(TakeAll(budget) == 10);
}

TEST_CASE("a batch over the burst needs a full bucket and makes the balance negative") {
  Budget budget(kRetryBudget);
  CHECK(budget.TryTake());
  CHECK_FALSE(budget.TryTakeBatch(58));
  budget.OnSubRequests(20);
  CHECK(budget.TryTakeBatch(58));
  budget.OnSubRequests(38 * 20);
  CHECK_FALSE(budget.TryTake());
  budget.OnSubRequests(20);
  CHECK(budget.TryTake());
}

// Guards against retries and hedges that exceed their fraction of the load.
TEST_CASE("tokens taken never exceed the burst plus the fraction of sub-requests") {
  for (std::uint32_t seed = 1; seed <= 200; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    Budget budget(kRetryBudget);
    std::uint32_t sub_requests = 0;
    std::uint32_t taken = 0;
    for (int i = 0; i < 2'000; ++i) {
      const std::uint32_t count = random() % 15;
      if (random() % 2 == 0) {
        budget.OnSubRequests(count);
        sub_requests += count;
      } else {
        taken += budget.TryTakeBatch(count) ? count : 0;
      }
      REQUIRE(taken <= 20 + 0.05 * sub_requests + 1e-6);
    }
  }
}

}  // namespace
}  // namespace peridotfork::routing
