#ifndef PERIDOTFORK_RUNTIME_RANKED_MUTEX_H_
#define PERIDOTFORK_RUNTIME_RANKED_MUTEX_H_

#include <mutex>

#include "peridotfork/runtime/lock_rank.h"

namespace peridotfork {

// A mutex with a rank in the lock order. Aborts the process if a thread locks it
// while holding a mutex of the same or a higher rank. Works with std::lock_guard
// and std::unique_lock.
class RankedMutex {
 public:
  explicit RankedMutex(LockRank rank) : rank_(rank) {}
  RankedMutex(const RankedMutex&) = delete;
  RankedMutex& operator=(const RankedMutex&) = delete;

  void lock();
  void unlock();

 private:
  const LockRank rank_;
  std::mutex mutex_;
};

using RankedLock = std::lock_guard<RankedMutex>;

}  // namespace peridotfork

#endif  // PERIDOTFORK_RUNTIME_RANKED_MUTEX_H_
