#include "peridotfork/upstream/connection_pool.h"

#include <algorithm>
#include <utility>

namespace peridotfork {

ConnectionPool::ConnectionPool(WorkerPool& pool, const Clock& clock, Bytes answer_memory)
    : pool_(pool), clock_(clock), memory_(new AnswerMemory(answer_memory)) {}

void ConnectionPool::Start() {
  sweep_task_ = PeriodicTask::Start(pool_, kSweepInterval, [this] { CloseOverdueConnections(); });
}

void ConnectionPool::Stop() {
  if (sweep_task_ != nullptr) {
    sweep_task_->Cancel();
  }
}

ConnectionPtr ConnectionPool::Take(const TargetPtr& target) {
  const RankedLock lock(mutex_);
  const auto found = idle_.find(target);
  if (found != idle_.end() && !found->second.empty()) {
    ConnectionPtr connection = found->second.back();
    found->second.pop_back();
    return connection;
  }
  ++opened_;
  ConnectionPtr connection(new Connection(pool_.context(), target, *this));
  all_.insert(connection);
  return connection;
}

void ConnectionPool::CloseIdle(const TargetPtr& target) {
  std::vector<ConnectionPtr> idle;
  {
    const RankedLock lock(mutex_);
    const auto found = idle_.find(target);
    if (found == idle_.end()) {
      return;
    }
    idle = std::move(found->second);
    idle_.erase(found);
  }
  for (const ConnectionPtr& connection : idle) {
    connection->CloseIdle();
  }
}

void ConnectionPool::Return(Connection& connection) {
  const RankedLock lock(mutex_);
  idle_[connection.target()].emplace_back(&connection);
}

void ConnectionPool::Remove(Connection& connection) {
  const RankedLock lock(mutex_);
  all_.erase(ConnectionPtr(&connection));
  const auto found = idle_.find(connection.target());
  if (found == idle_.end()) {
    return;
  }
  std::erase(found->second, ConnectionPtr(&connection));
  if (found->second.empty()) {
    idle_.erase(found);
  }
}

std::size_t ConnectionPool::size() const {
  const RankedLock lock(mutex_);
  return all_.size();
}

void ConnectionPool::CloseOverdueConnections() {
  std::vector<ConnectionPtr> overdue;
  const BootTime now = clock_.now();
  {
    const RankedLock lock(mutex_);
    for (const ConnectionPtr& connection : all_) {
      const BootTime end = connection->close_at();
      if (end != BootTime() && now >= end) {
        overdue.push_back(connection);
      }
    }
  }
  for (const ConnectionPtr& connection : overdue) {
    connection->CloseIfOverdue();
  }
}

}  // namespace peridotfork
