#ifndef PERIDOTFORK_INTERNAL_ROUTING_LATENCY_TABLE_H_
#define PERIDOTFORK_INTERNAL_ROUTING_LATENCY_TABLE_H_

#include <boost/intrusive/list.hpp>
#include <cstddef>
#include <map>
#include <optional>

#include "peridotfork/internal/routing/latency_window.h"

namespace peridotfork::routing::internal {

// Sliding-window latencies by key, for at most `max_keys` keys. When the table is full, the least
// recently observed key is evicted.
template <typename Key>
class LatencyTable {
 public:
  explicit LatencyTable(LatencyOptions options) : options_(options) {}
  LatencyTable(const LatencyTable&) = delete;
  LatencyTable& operator=(const LatencyTable&) = delete;

  void Add(const Key& key, BootTime now, std::chrono::nanoseconds latency) {
    auto found = entries_.find(key);
    if (found == entries_.end()) {
      EvictIfFull();
      found = entries_.try_emplace(key, key, now).first;
    } else {
      by_last_observation_.erase(by_last_observation_.iterator_to(found->second));
    }
    by_last_observation_.push_back(found->second);
    found->second.latency.Add(now, latency, options_);
  }

  std::optional<LatencyQuantiles> Estimate(const Key& key, BootTime now) const {
    const auto found = entries_.find(key);
    if (found == entries_.end()) {
      return std::nullopt;
    }
    return found->second.latency.Estimate(now, options_);
  }

  std::optional<std::chrono::nanoseconds> ExpectedLatency(const Key& key, BootTime now) const {
    const auto found = entries_.find(key);
    if (found == entries_.end()) {
      return std::nullopt;
    }
    return found->second.latency.ExpectedLatency(now, options_);
  }

  void Forget(const Key& key) {
    const auto found = entries_.find(key);
    if (found != entries_.end()) {
      by_last_observation_.erase(by_last_observation_.iterator_to(found->second));
      entries_.erase(found);
    }
  }

  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry : boost::intrusive::list_base_hook<> {
    Entry(const Key& entry_key, BootTime now) : key(entry_key), latency(now) {}

    Key key;
    WindowedLatency latency;
  };

  void EvictIfFull() {
    if (entries_.size() >= options_.max_keys && !by_last_observation_.empty()) {
      const Key oldest = by_last_observation_.front().key;
      Forget(oldest);
    }
  }

  LatencyOptions options_;
  std::map<Key, Entry> entries_;
  // Least recently observed first.
  boost::intrusive::list<Entry> by_last_observation_;
};

}  // namespace peridotfork::routing::internal

#endif  // PERIDOTFORK_INTERNAL_ROUTING_LATENCY_TABLE_H_
