#include "peridotfork/runtime/worker_pool.h"

#include <doctest/doctest.h>
#include <future>

namespace peridotfork {
namespace {

TEST_CASE("a posted task and a delayed task run") {
  WorkerPool pool(2);
  std::promise<void> posted;
  std::promise<void> delayed;
  pool.Post([&] { posted.set_value(); });
  pool.After(std::chrono::milliseconds(1), [&] { delayed.set_value(); });
  posted.get_future().get();
  delayed.get_future().get();
  pool.Stop();
}

TEST_CASE("a periodic task repeats until it is cancelled") {
  WorkerPool pool(2);
  std::atomic<int> runs = 0;
  std::promise<void> third;
  const auto task = PeriodicTask::Start(pool, std::chrono::milliseconds(1), [&] {
    if (++runs == 3) {
      third.set_value();
    }
  });
  third.get_future().get();
  task->Cancel();
  pool.Stop();
  CHECK(runs >= 3);
}

}  // namespace
}  // namespace peridotfork
