#ifndef PERIDOTFORK_STANDIN_STANDIN_PLATFORM_H_
#define PERIDOTFORK_STANDIN_STANDIN_PLATFORM_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "peridotfork/core/clock.h"
#include "peridotfork/core/error.h"
#include "peridotfork/http/message.h"
#include "peridotfork/runtime/ranked_mutex.h"
#include "peridotfork/runtime/worker_pool.h"
#include "peridotfork/standin/platform_model.h"

namespace peridotfork::standin {

// HTTP front end of the simulated platform. A PlatformModel makes the decisions;
// this class stores the watches that wait for a change. The pool must have
// stopped before the platform is destroyed. Thread-safe.
class StandinPlatform final : public http::Handler {
 public:
  // Maximum wait of a watch; longer requests are clamped to this.
  static constexpr std::chrono::seconds kMaxWait{60};

  // Body limit for the HTTP server. It is larger than the value limit, so that the
  // model can refuse an oversized value with a typed error.
  static constexpr std::uint64_t kBodyLimit = 8U << 20U;

  // The references must outlive the platform.
  StandinPlatform(WorkerPool& pool, const Clock& clock, PlatformLimits limits);

  // Publishes the initial values. `revision` is the revision of the document.
  Result<void> Publish(std::string document, const std::string& hosts, std::uint64_t revision);

  void Handle(http::Request request, http::Responder respond) override;

 private:
  struct Route {
    const char* method;
    const char* path;
    void (StandinPlatform::*handle)(const http::Request& request, const http::Responder& respond);
  };
  static const Route kRoutes[];

  struct Watch {
    ValueKind kind = ValueKind::kDocument;
    std::uint64_t after = 0;
    http::Responder respond;
  };
  using Answer = std::pair<http::Responder, http::Response>;

  void ReadDocument(const http::Request& request, const http::Responder& respond);
  void ReadHosts(const http::Request& request, const http::Responder& respond);
  void Read(ValueKind kind, const http::Request& request, const http::Responder& respond);
  void Stats(const http::Request& request, const http::Responder& respond);
  void Control(const http::Request& request, const http::Responder& respond);

  // Stores a watch until a newer value is visible, its wait ends or the service
  // goes down. The caller holds the mutex.
  void AddWatchLocked(Watch watch, std::chrono::milliseconds wait);
  void ExpireWatch(std::uint64_t number);

  // Removes the watches that can be answered and returns their responses. The
  // caller holds the mutex and must release it before it calls the responders.
  std::vector<Answer> TakeAnswerableLocked();
  void AnswerWatches();

  WorkerPool& pool_;
  const Clock& clock_;
  RankedMutex mutex_{LockRank::kConfiguration};
  PlatformModel model_;
  std::map<std::uint64_t, Watch> watches_;
  std::uint64_t last_watch_ = 0;
};

}  // namespace peridotfork::standin

#endif  // PERIDOTFORK_STANDIN_STANDIN_PLATFORM_H_
