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
#include "peridotfork/upstream/connection.h"

namespace peridotfork {

// Connections to all targets. Thread-safe.
class ConnectionPool {
 public:
  // Pause between two looks for connections that are overdue.
  static constexpr std::chrono::milliseconds kSweep{100};

  ConnectionPool(WorkerPool& pool, const Clock& clock);

  void Start();
  void Stop();

  // A connection to the target for one exchange: the idle one that was used
  // last, or a new one.
  ConnectionPtr Take(const TargetPtr& target);

  // Called by a connection that is free for the next exchange.
  void Return(Connection& connection);
  // Called by a connection that has closed.
  void Remove(Connection& connection);

  std::uint64_t opened() const { return opened_; }
  std::size_t size() const;
  const Clock& clock() const { return clock_; }

 private:
  void Sweep();

  WorkerPool& pool_;
  const Clock& clock_;
  boost::intrusive_ptr<PeriodicTask> sweep_;
  std::atomic<std::uint64_t> opened_ = 0;
  mutable RankedMutex mutex_{LockRank::kConnections};
  std::set<ConnectionPtr> all_;
  // Used last at the end.
  std::map<TargetPtr, std::vector<ConnectionPtr>> idle_;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_UPSTREAM_CONNECTION_POOL_H_
