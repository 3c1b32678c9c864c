#ifndef PERIDOTFORK_GATEWAY_REQUEST_LOG_H_
#define PERIDOTFORK_GATEWAY_REQUEST_LOG_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "peridotfork/catalogue/catalogue.h"
#include "peridotfork/core/clock.h"
#include "peridotfork/core/error.h"
#include "peridotfork/core/ids.h"
#include "peridotfork/metrics/metrics.h"
#include "peridotfork/runtime/log.h"

namespace peridotfork {

// How a request ended, for the log and the metrics.
struct RequestRecord {
  RequestId id;
  RouteId route;
  Revision version;
  std::string_view outcome;
  unsigned status = 0;
  std::chrono::nanoseconds elapsed{0};
  std::size_t shards = 0;
  std::size_t answered = 0;
  std::uint32_t hedges = 0;
  std::uint32_t retries = 0;
  // What happened last to an attempt that failed.
  std::string fault;
  // Shards without an answer, with the targets tried.
  std::string missing;
};

// Writes the lines of requests and counts them. Thread-safe.
class RequestLog {
 public:
  RequestLog(MetricRegistry& metrics, Logger& log);

  void OnEnd(const RequestRecord& record);
  // An attempt failed, or was sent as an extra one.
  void OnAttempt(const RequestId& id,
                 std::string_view event,
                 const ServiceId& service,
                 const TargetId& target,
                 std::chrono::nanoseconds after,
                 const std::string& detail);
  // A request ended before it reached a route.
  void OnRefused(const RequestId& id, unsigned status, const Error& error);

 private:
  MetricRegistry& metrics_;
  Logger& log_;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_GATEWAY_REQUEST_LOG_H_
