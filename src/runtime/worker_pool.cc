#include "peridotfork/runtime/worker_pool.h"

#include <algorithm>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/post.hpp>
#include <memory>
#include <utility>

namespace peridotfork {

WorkerPool::WorkerPool(std::size_t threads) : guard_(context_.get_executor()) {
  for (std::size_t i = 0; i < std::max<std::size_t>(threads, 1); ++i) {
    threads_.emplace_back([this] { context_.run(); });
  }
}

WorkerPool::~WorkerPool() {
  Stop();
}

void WorkerPool::Post(Task task) {
  boost::asio::post(context_, std::move(task));
}

void WorkerPool::After(std::chrono::nanoseconds delay, Task task) {
  auto timer = std::make_unique<boost::asio::steady_timer>(context_, delay);
  boost::asio::steady_timer& armed = *timer;
  armed.async_wait(
      [timer = std::move(timer), task = std::move(task)](const boost::system::error_code& error) {
        if (!error) {
          task();
        }
      });
}

void WorkerPool::Stop() {
  guard_.reset();
  context_.stop();
  for (std::thread& thread : threads_) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

boost::intrusive_ptr<PeriodicTask> PeriodicTask::Start(WorkerPool& pool,
                                                       std::chrono::nanoseconds interval,
                                                       WorkerPool::Task task) {
  boost::intrusive_ptr<PeriodicTask> periodic(new PeriodicTask(pool, interval, std::move(task)));
  periodic->timer_.expires_after(interval);
  periodic->Arm();
  return periodic;
}

PeriodicTask::PeriodicTask(WorkerPool& pool,
                           std::chrono::nanoseconds interval,
                           WorkerPool::Task task)
    : context_(pool.context()), timer_(context_), interval_(interval), task_(std::move(task)) {}

void PeriodicTask::Cancel() {
  cancelled_ = true;
  boost::asio::post(context_, [self = boost::intrusive_ptr(this)] { self->timer_.cancel(); });
}

void PeriodicTask::Arm() {
  timer_.async_wait([self = boost::intrusive_ptr(this)](const boost::system::error_code& error) {
    if (error || self->cancelled_) {
      return;
    }
    self->task_();
    // Runs missed while the process was paused are skipped.
    const auto next =
        std::max(self->timer_.expiry() + self->interval_, std::chrono::steady_clock::now());
    self->timer_.expires_at(next);
    if (!self->cancelled_) {
      self->Arm();
    }
  });
}

}  // namespace peridotfork
