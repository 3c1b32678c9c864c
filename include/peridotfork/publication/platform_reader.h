#ifndef PERIDOTFORK_PUBLICATION_PLATFORM_READER_H_
#define PERIDOTFORK_PUBLICATION_PLATFORM_READER_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <random>
#include <string>

#include "peridotfork/core/ids.h"
#include "peridotfork/http/client.h"
#include "peridotfork/runtime/log.h"
#include "peridotfork/runtime/worker_pool.h"

namespace peridotfork {

struct PlatformReaderOptions {
  Address platform;
  // Path of the watched value, such as "/v1/document".
  std::string path;
  // How long the platform waits for a change before it answers a watch request.
  std::chrono::milliseconds watch{20000};
  // Minimum pause after a failure. Random jitter of up to the same length is added, so
  // that the readers do not retry at the same time.
  std::chrono::milliseconds pause_after_failure{1000};
};

// Watches one value of the platform by long polling while it is active, with one request
// at a time. The same value may be delivered again, or with a lower revision than before;
// the receiver must handle both. Must not be destroyed before its pool has stopped.
// Thread-safe.
class PlatformReader {
 public:
  using Receiver = std::function<void(std::uint64_t revision, const std::string& value)>;

  static constexpr std::uint64_t kMaxValueBytes = std::uint64_t{1} << 20;

  PlatformReader(WorkerPool& pool, PlatformReaderOptions options, Receiver receiver, Logger& log);

  // Starts or stops watching. A request in flight is not cancelled.
  void SetActive(bool active);

  // Sets the known revision; only values with a newer one are requested.
  void SetKnownRevision(std::uint64_t revision);

  std::uint64_t calls() const { return calls_; }

  // True if the platform has responded since the start.
  bool answered() const { return answered_; }

 private:
  void Watch();
  void OnResponse(const std::optional<http::ClientError>& error, const http::Response& response);
  void Pause();

  WorkerPool& pool_;
  const PlatformReaderOptions options_;
  const Receiver receiver_;
  Logger& log_;
  std::atomic<bool> active_ = false;
  std::atomic<bool> running_ = false;
  std::atomic<bool> answered_ = false;
  std::atomic<std::uint64_t> known_revision_ = 0;
  std::atomic<std::uint64_t> calls_ = 0;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_PUBLICATION_PLATFORM_READER_H_
