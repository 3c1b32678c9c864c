#include "peridotfork/gateway/slow_callers.h"

#include <doctest/doctest.h>

#include "peridotfork/gateway/caller_memory.h"

namespace peridotfork {
namespace {

constexpr std::size_t kMegabyte = 1 << 20;
const BootTime kNow(std::chrono::hours(1));

CallerProgress Caller(std::size_t held, std::size_t passed, std::chrono::milliseconds age) {
  return {held, passed, kNow - age};
}

TEST_CASE("the callers with the least progress against what they hold are chosen first") {
  const std::vector<CallerProgress> callers = {
      Caller(kMegabyte, kMegabyte, std::chrono::seconds(4)),
      Caller(kMegabyte, 1000, std::chrono::seconds(4)),
      Caller(4 * kMegabyte, 0, std::chrono::seconds(4)),
  };
  CHECK(ChooseSlowCallers(callers, kNow) == std::vector<std::size_t>{2});
}

// Guards against closing callers that read all the time over a slow link.
TEST_CASE("a caller that makes steady progress is never chosen") {
  const std::size_t per_second = 125'000;
  for (int seconds = 2; seconds < 60; ++seconds) {
    const CallerProgress caller = Caller(262'144, per_second * static_cast<std::size_t>(seconds),
                                         std::chrono::seconds(seconds));
    CHECK(ChooseSlowCallers({&caller, 1}, kNow).empty());
  }
}

TEST_CASE("a caller is given some time, and one that holds nothing is left alone") {
  const CallerProgress fresh = Caller(kMegabyte, 0, std::chrono::milliseconds(1900));
  CHECK(ChooseSlowCallers({&fresh, 1}, kNow).empty());
  const CallerProgress idle = Caller(0, 0, std::chrono::seconds(60));
  CHECK(ChooseSlowCallers({&idle, 1}, kNow).empty());
}

TEST_CASE("no more callers are closed at a time than frees a quarter") {
  const std::vector<CallerProgress> callers(100, Caller(kMegabyte, 0, std::chrono::seconds(4)));
  CHECK(ChooseSlowCallers(callers, kNow).size() == 25);
}

TEST_CASE("the account of callers' memory has nothing left when all shares are gone") {
  const boost::intrusive_ptr<CallerMemory> account(new CallerMemory(Bytes(100)));
  {
    CallerMemory::Share first(account);
    CallerMemory::Share second(account);
    CHECK(first.TrySet(60));
    CHECK_FALSE(second.TrySet(60));
    CHECK(second.size() == 0);
    CHECK(second.TrySet(40));
    CHECK(account->full());
    second.Set(90);
    CHECK(account->used() == Bytes(150));
    CHECK(first.TrySet(10));
    CHECK(account->used() == Bytes(100));
  }
  CHECK(account->used() == Bytes(0));
}

// Guards against slow senders that hold nearly all of the account and are never closed, because no
// refused share lets the account become full.
TEST_CASE("an account that refuses a share is short of memory until the next look") {
  const boost::intrusive_ptr<CallerMemory> account(new CallerMemory(Bytes(100)));
  CallerMemory::Share first(account);
  CallerMemory::Share second(account);
  CHECK(first.TrySet(90));
  CHECK_FALSE(account->TakeShortage());
  CHECK_FALSE(second.TrySet(20));
  CHECK_FALSE(account->full());
  CHECK(account->TakeShortage());
  CHECK_FALSE(account->TakeShortage());
  second.Set(20);
  CHECK(account->TakeShortage());
  CHECK(account->TakeShortage());
  second.Set(5);
  CHECK(account->used() == Bytes(95));
  CHECK_FALSE(account->TakeShortage());
}

}  // namespace
}  // namespace peridotfork
