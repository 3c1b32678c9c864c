#ifndef PERIDOTFORK_UPSTREAM_CONNECTION_POOL_H_
#define PERIDOTFORK_UPSTREAM_CONNECTION_POOL_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "peridotfork/balance/target.h"
#include "peridotfork/core/clock.h"
#include "peridotfork/runtime/ranked_mutex.h"
#include "peridotfork/runtime/worker_pool.h"
#include "peridotfork/upstream/answer_memory.h"
#include "peridotfork/upstream/connection.h"

namespace peridotfork {

// Connections to all targets. Thread-safe.
class ConnectionPool {
 public:
  // Interval between checks for overdue connections.
  static constexpr std::chrono::milliseconds kSweepInterval{100};

  // `answer_memory` limits the answers of all targets together.
  ConnectionPool(WorkerPool& pool, const Clock& clock, Bytes answer_memory);

  void Start();
  void Stop();

  // Returns a connection to the target for one exchange: the most recently used idle
  // one, or a new one.
  ConnectionPtr Take(const TargetPtr& target);

  // Closes the idle connections to a target that is not used any more.
  void CloseIdle(const TargetPtr& target);

  // Called by a connection that has become available for the next exchange.
  void Return(Connection& connection);
  // Called by a connection that has closed.
  void Remove(Connection& connection);

  std::uint64_t opened() const { return opened_; }
  std::size_t size() const;
  const Clock& clock() const { return clock_; }
  AnswerMemory& memory() const { return *memory_; }

 private:
  void CloseOverdueConnections();

  WorkerPool& pool_;
  const Clock& clock_;
  const AnswerMemoryPtr memory_;
  boost::intrusive_ptr<PeriodicTask> sweep_task_;
  std::atomic<std::uint64_t> opened_ = 0;
  mutable RankedMutex mutex_{LockRank::kConnections};
  std::set<ConnectionPtr> all_;
  // Idle connections of each target; the most recently used one is last.
  std::map<TargetPtr, std::vector<ConnectionPtr>> idle_;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_UPSTREAM_CONNECTION_POOL_H_
