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
  // Path of the value, such as "/v1/document".
  std::string path;
  // How long the platform holds a watch open.
  std::chrono::milliseconds watch{20000};
  // Pause after a failure; the actual one is up to twice as long, so that
  // readers don't come back at the same moment.
  std::chrono::milliseconds pause_after_failure{1000};
};

// Watches one value of the platform while it is active: one call at a time.
// Values may repeat or come with a lower revision than before; the receiver
// decides. Must not be destroyed before its pool has stopped. Thread-safe.
class PlatformReader {
 public:
  using Receiver = std::function<void(std::uint64_t revision, const std::string& value)>;

  static constexpr std::uint64_t kMaxValueBytes = std::uint64_t{1} << 20;

  PlatformReader(WorkerPool& pool, PlatformReaderOptions options, Receiver receiver, Logger& log);

  // Starts or ends watching. A call under way ends by itself.
  void SetActive(bool active);

  // Revision up to which values are not asked for again.
  void SetKnownRevision(std::uint64_t revision);

  std::uint64_t calls() const { return calls_; }

  // Whether the platform has answered since the start.
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
