#include "peridotfork/gateway/caller_memory.h"

namespace peridotfork {

bool CallerMemory::Share::TrySet(std::size_t size) {
  if (size > size_) {
    const std::size_t added = size - size_;
    if (account_->used_.fetch_add(added) + added > account_->capacity_) {
      account_->used_ -= added;
      account_->refused_ = true;
      return false;
    }
    size_ = size;
    return true;
  }
  Set(size);
  return true;
}

void CallerMemory::Share::Set(std::size_t size) {
  // One step, so that no other holder sees more in use than there is. A smaller size wraps around.
  account_->used_ += size - std::exchange(size_, size);
}

bool CallerMemory::TakeShortage() {
  return refused_.exchange(false) || full();
}

}  // namespace peridotfork
