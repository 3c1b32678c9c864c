#ifndef PERIDOTFORK_RUNTIME_WORKER_POOL_H_
#define PERIDOTFORK_RUNTIME_WORKER_POOL_H_

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <thread>
#include <vector>

namespace peridotfork {

// The worker threads of a process and their shared task queue. All I/O, timers
// and message handlers run here. Thread-safe.
class WorkerPool {
 public:
  using Task = std::function<void()>;

  explicit WorkerPool(std::size_t threads);
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  boost::asio::io_context& context() { return context_; }

  // Runs `task` on any worker.
  void Post(Task task);

  // Runs `task` on any worker after `delay`. It can't be cancelled.
  void After(std::chrono::nanoseconds delay, Task task);

  // Stops the workers after their current tasks and joins them. Must not be
  // called from a worker.
  void Stop();

 private:
  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard_;
  std::vector<std::thread> threads_;
};

// Runs a task repeatedly, with a fixed interval between starts. Runs never
// overlap. Cancel() may be called from any thread and doesn't interrupt a run
// that has started.
class PeriodicTask : public boost::intrusive_ref_counter<PeriodicTask> {
 public:
  static boost::intrusive_ptr<PeriodicTask> Start(WorkerPool& pool,
                                                  std::chrono::nanoseconds interval,
                                                  WorkerPool::Task task);

  void Cancel();

 private:
  PeriodicTask(WorkerPool& pool, std::chrono::nanoseconds interval, WorkerPool::Task task);

  void Arm();

  boost::asio::io_context& context_;
  boost::asio::steady_timer timer_;
  const std::chrono::nanoseconds interval_;
  const WorkerPool::Task task_;
  std::atomic<bool> cancelled_ = false;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_RUNTIME_WORKER_POOL_H_
