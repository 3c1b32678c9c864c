#include "peridotfork/runtime/ranked_mutex.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <vector>

namespace peridotfork {
namespace {

// Ranks of the locks that this thread holds, in the order of acquisition.
std::vector<LockRank>& HeldRanks() {
  thread_local std::vector<LockRank> ranks;
  return ranks;
}

}  // namespace

void RankedMutex::lock() {
  std::vector<LockRank>& held = HeldRanks();
  if (!held.empty() && held.back() >= rank_) {
    std::fprintf(stderr, "runtime: lock of rank %d taken while holding rank %d\n",
                 static_cast<int>(rank_), static_cast<int>(held.back()));
    std::abort();
  }
  mutex_.lock();
  held.push_back(rank_);
}

void RankedMutex::unlock() {
  std::vector<LockRank>& held = HeldRanks();
  held.erase(std::find(held.begin(), held.end(), rank_));
  mutex_.unlock();
}

}  // namespace peridotfork
