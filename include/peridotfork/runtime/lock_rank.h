#ifndef PERIDOTFORK_RUNTIME_LOCK_RANK_H_
#define PERIDOTFORK_RUNTIME_LOCK_RANK_H_

namespace peridotfork {

// Process-wide lock order. A thread that holds a lock may acquire only locks of
// a higher rank, which rules out deadlock.
enum class LockRank : int {
  kConfiguration = 10,
  kView = 20,
  kLeases = 30,
  kRoutes = 40,
  // State of one gateway request.
  kRequests = 45,
  // Requests that may crash targets.
  kSuspects = 48,
  kTargets = 50,
  // Pooled connections to one target.
  kConnections = 55,
  // Memory for the answers of targets.
  kAnswerMemory = 57,
  kQueries = 60,
  kLedger = 70,
  kTransport = 75,
  kMetricNames = 78,
  kMetrics = 80,
  kLog = 90,
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_RUNTIME_LOCK_RANK_H_
