#ifndef PERIDOTFORK_GATEWAY_CALLER_MEMORY_H_
#define PERIDOTFORK_GATEWAY_CALLER_MEMORY_H_

#include <atomic>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstddef>
#include <utility>

#include "peridotfork/core/units.h"

namespace peridotfork {

// Account of the memory that callers make the process hold: bodies of requests, and responses until
// their last byte is written. Thread-safe.
class CallerMemory : public boost::intrusive_ref_counter<CallerMemory> {
 public:
  // A holder's part of the account; given back on destruction. Not thread-safe.
  class Share {
   public:
    explicit Share(boost::intrusive_ptr<CallerMemory> account) : account_(std::move(account)) {}
    ~Share() { Set(0); }
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;

    // Sets the size if the account has room for it.
    bool TrySet(std::size_t size);
    // Sets the size even if the account has no room: the memory is held already.
    void Set(std::size_t size);
    std::size_t size() const { return size_; }

   private:
    const boost::intrusive_ptr<CallerMemory> account_;
    std::size_t size_ = 0;
  };

  explicit CallerMemory(Bytes capacity) : capacity_(capacity.value()) {}

  Bytes used() const { return Bytes(used_); }
  Bytes capacity() const { return Bytes(capacity_); }
  bool full() const { return used_ >= capacity_; }

  // Whether the account is full or has refused a share since the last call. Shares that are refused
  // keep the account below its capacity, so that full() alone does not tell.
  bool TakeShortage();

 private:
  const std::size_t capacity_;
  std::atomic<std::size_t> used_ = 0;
  std::atomic<bool> refused_ = false;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_GATEWAY_CALLER_MEMORY_H_
