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
  // How often no attempt could be sent for lack of a target, and for lack of budget.
  std::uint32_t no_target = 0;
  std::uint32_t no_budget = 0;
  // Outcome of the last failed attempt, such as a timeout.
  std::string fault;
  // Shards that did not answer, each with the targets tried.
  std::string missing;
};

// Writes the log lines of requests and updates their metrics. Thread-safe.
class RequestLog {
 public:
  RequestLog(MetricRegistry& metrics, Logger& log);

  void OnEnd(const RequestRecord& record);
  // Records that an attempt failed, or that a retry or hedge was sent. `after` is the time since
  // the start of the attempt if it failed, else since the start of the request.
  void OnAttempt(const RequestId& id,
                 std::string_view event,
                 const ServiceId& service,
                 const TargetId& target,
                 std::chrono::nanoseconds after,
                 const std::string& detail);
  // Records a request that was refused before it ran.
  void OnRefused(const RequestId& id, unsigned status, const Error& error);

 private:
  MetricRegistry& metrics_;
  Logger& log_;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_GATEWAY_REQUEST_LOG_H_
