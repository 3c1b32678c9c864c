#ifndef PERIDOTFORK_UPSTREAM_ANSWER_MEMORY_H_
#define PERIDOTFORK_UPSTREAM_ANSWER_MEMORY_H_

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstddef>
#include <functional>
#include <vector>

#include "peridotfork/core/units.h"
#include "peridotfork/runtime/ranked_mutex.h"

namespace peridotfork {

// Memory for the answers of targets, shared by all connections of a process. An answer reserves
// memory as its bytes arrive. When none is left, its connection stops reading until another answer
// has released some, so that targets are slowed down by flow control. Thread-safe.
class AnswerMemory : public boost::intrusive_ref_counter<AnswerMemory> {
 public:
  // Reserved memory of one answer; released on destruction.
  class Reservation {
   public:
    Reservation() = default;
    Reservation(Reservation&& other) noexcept;
    Reservation& operator=(Reservation&& other) noexcept;
    ~Reservation();

    Bytes size() const { return Bytes(size_); }

   private:
    friend class AnswerMemory;

    void Release();

    boost::intrusive_ptr<AnswerMemory> memory_;
    std::size_t size_ = 0;
  };

  // Called once, on the thread that released memory.
  using Waiter = std::function<void()>;

  explicit AnswerMemory(Bytes capacity);

  // Adds `bytes` to the reservation. Returns false if there is not enough memory, and then calls
  // `waiter` when some has been released.
  bool TryReserve(Reservation& reservation, Bytes bytes, Waiter waiter);

  Bytes capacity() const { return Bytes(capacity_); }
  Bytes reserved() const;
  // Number of answers that wait for memory.
  std::size_t waiting() const;

 private:
  void Release(std::size_t bytes);

  const std::size_t capacity_;
  mutable RankedMutex mutex_{LockRank::kAnswerMemory};
  std::size_t reserved_ = 0;
  std::vector<Waiter> waiters_;
};

using AnswerMemoryPtr = boost::intrusive_ptr<AnswerMemory>;

}  // namespace peridotfork

#endif  // PERIDOTFORK_UPSTREAM_ANSWER_MEMORY_H_
