#include "peridotfork/gateway/request_log.h"

namespace peridotfork {
namespace {

std::string Milliseconds(std::chrono::nanoseconds time) {
  const auto tenths = std::chrono::duration_cast<std::chrono::microseconds>(time).count() / 100;
  return std::to_string(tenths / 10) + "." + std::to_string(tenths % 10);
}

}  // namespace

RequestLog::RequestLog(MetricRegistry& metrics, Logger& log) : metrics_(metrics), log_(log) {}

void RequestLog::OnEnd(const RequestRecord& record) {
  const std::string outcome(record.outcome);
  metrics_
      .CounterOf("peridotfork_requests_total", "Requests by outcome.",
                 "outcome=\"" + outcome + "\"")
      .Add();
  metrics_
      .HistogramOf("peridotfork_request_milliseconds", "Time from arrival to answer.",
                   "route=\"" + record.route.value() + "\"")
      .Observe(record.elapsed);
  metrics_.CounterOf("peridotfork_hedges_total", "Extra attempts for slow ones.")
      .Add(record.hedges);
  metrics_.CounterOf("peridotfork_retries_total", "Attempts after failed ones.")
      .Add(record.retries);
  metrics_
      .CounterOf("peridotfork_unsent_attempts_total", "Attempts that could not be sent, by reason.",
                 "reason=\"no_target\"")
      .Add(record.no_target);
  metrics_
      .CounterOf("peridotfork_unsent_attempts_total", "Attempts that could not be sent, by reason.",
                 "reason=\"no_budget\"")
      .Add(record.no_budget);
  log_.Request("The request ended.",
               {{"request", record.id.value()},
                {"route", record.route.value()},
                {"version", std::to_string(record.version.value())},
                {"outcome", outcome},
                {"status", std::to_string(record.status)},
                {"elapsed_ms", Milliseconds(record.elapsed)},
                {"answered", std::to_string(record.answered) + "/" + std::to_string(record.shards)},
                {"hedges", std::to_string(record.hedges)},
                {"retries", std::to_string(record.retries)},
                {"no_target", std::to_string(record.no_target)},
                {"no_budget", std::to_string(record.no_budget)},
                {"fault", record.fault},
                {"missing", record.missing}});
}

void RequestLog::OnAttempt(const RequestId& id,
                           std::string_view event,
                           const ServiceId& service,
                           const TargetId& target,
                           std::chrono::nanoseconds after,
                           const std::string& detail) {
  metrics_
      .CounterOf("peridotfork_attempt_events_total", "Attempts that failed or were extra, by kind.",
                 "event=\"" + std::string(event) + "\"")
      .Add();
  log_.Request("An attempt failed or an extra one was sent.", {{"request", id.value()},
                                                               {"event", std::string(event)},
                                                               {"service", service.value()},
                                                               {"target", target.value()},
                                                               {"after_ms", Milliseconds(after)},
                                                               {"detail", detail}});
}

void RequestLog::OnRefused(const RequestId& id, unsigned status, const Error& error) {
  metrics_
      .CounterOf("peridotfork_refused_total",
                 "Requests refused before a route was found, by status.",
                 "status=\"" + std::to_string(status) + "\"")
      .Add();
  log_.Request(
      "The request was refused.",
      {{"request", id.value()}, {"status", std::to_string(status)}, {"error", ToString(error)}});
}

}  // namespace peridotfork
