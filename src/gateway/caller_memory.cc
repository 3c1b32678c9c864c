#include "peridotfork/gateway/caller_memory.h"

namespace peridotfork {

bool CallerMemory::Share::TrySet(std::size_t size) {
  if (size > size_) {
    const std::size_t added = size - size_;
    if (account_->used_.fetch_add(added) + added > account_->capacity_) {
      account_->used_ -= added;
      return false;
    }
    size_ = size;
    return true;
  }
  Set(size);
  return true;
}

void CallerMemory::Share::Set(std::size_t size) {
  account_->used_ += size;
  account_->used_ -= std::exchange(size_, size);
}

}  // namespace peridotfork
