#include "peridotfork/upstream/answer_memory.h"

#include <utility>

namespace peridotfork {

AnswerMemory::Reservation::Reservation(Reservation&& other) noexcept
    : memory_(std::move(other.memory_)), size_(std::exchange(other.size_, 0)) {}

AnswerMemory::Reservation& AnswerMemory::Reservation::operator=(Reservation&& other) noexcept {
  if (this != &other) {
    Release();
    memory_ = std::move(other.memory_);
    size_ = std::exchange(other.size_, 0);
  }
  return *this;
}

AnswerMemory::Reservation::~Reservation() {
  Release();
}

void AnswerMemory::Reservation::Release() {
  if (const std::size_t size = std::exchange(size_, 0); size > 0) {
    memory_->Release(size);
  }
}

AnswerMemory::AnswerMemory(Bytes capacity) : capacity_(capacity.value()) {}

bool AnswerMemory::TryReserve(Reservation& reservation, Bytes bytes, Waiter waiter) {
  const RankedLock lock(mutex_);
  if (reserved_ + bytes.value() > capacity_) {
    waiters_.push_back(std::move(waiter));
    return false;
  }
  reserved_ += bytes.value();
  reservation.memory_ = this;
  reservation.size_ += bytes.value();
  return true;
}

Bytes AnswerMemory::reserved() const {
  const RankedLock lock(mutex_);
  return Bytes(reserved_);
}

std::size_t AnswerMemory::waiting() const {
  const RankedLock lock(mutex_);
  return waiters_.size();
}

void AnswerMemory::Release(std::size_t bytes) {
  std::vector<Waiter> waiters;
  {
    const RankedLock lock(mutex_);
    reserved_ -= bytes;
    waiters = std::exchange(waiters_, {});
  }
  for (const Waiter& waiter : waiters) {
    waiter();
  }
}

}  // namespace peridotfork
