#include "peridotfork/standin/standin_platform.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "peridotfork/internal/standin/platform_control.h"
#include "peridotfork/internal/standin/program.h"

namespace peridotfork::standin {
namespace {

using nlohmann::json;

// Added to each delay, because the timer uses another clock than the model: a
// timer that fires slightly early would miss the change.
constexpr std::chrono::milliseconds kTimerMargin{1};

http::Response ValueResponse(const PublishedValue& value, ValueKind kind) {
  http::Response response;
  response.body = value.text;
  response.content_type = kind == ValueKind::kHosts ? "application/json" : "text/plain";
  response.headers.emplace_back("X-Revision", std::to_string(value.revision));
  return response;
}

http::Response NotModified() {
  http::Response response;
  response.status = 304;
  return response;
}

unsigned StatusOf(const Error& error) {
  switch (error.kind()) {
    case ErrorKind::kShed:
      return 429;
    case ErrorKind::kUnavailable:
      return 503;
    case ErrorKind::kNoConfiguration:
      return 404;
    case ErrorKind::kTooLarge:
      return 413;
    case ErrorKind::kStaleRevision:
      return 409;
    default:
      return 400;
  }
}

http::Response Refuse(const Error& error) {
  return http::ErrorResponse(StatusOf(error), error);
}

// Parses the query parameter `name` as a number; empty if it is absent.
Result<std::optional<std::uint64_t>> Parameter(const http::Request& request, const char* name) {
  const auto found = request.query.find(name);
  if (found == request.query.end()) {
    return std::optional<std::uint64_t>();
  }
  const std::optional<std::uint64_t> number =
      ParseNumber(found->second, std::numeric_limits<std::uint64_t>::max());
  if (!number) {
    return MakeError(ErrorKind::kMalformed, name, found->second);
  }
  return number;
}

}  // namespace

const StandinPlatform::Route StandinPlatform::kRoutes[] = {
    {"GET", "/v1/document", &StandinPlatform::ReadDocument},
    {"GET", "/v1/hosts", &StandinPlatform::ReadHosts},
    {"GET", "/stats", &StandinPlatform::Stats},
    {"POST", "/control", &StandinPlatform::Control},
};

StandinPlatform::StandinPlatform(WorkerPool& pool, const Clock& clock, PlatformLimits limits)
    : pool_(pool), clock_(clock), model_(limits, clock) {}

Result<void> StandinPlatform::Publish(std::string document,
                                      const std::string& hosts,
                                      std::uint64_t revision) {
  Result<json> list = DecodeHostList(hosts);
  if (!list) {
    return list.error();
  }
  const RankedLock lock(mutex_);
  const Result<std::uint64_t> published =
      model_.Publish(ValueKind::kDocument, std::move(document), revision);
  if (!published) {
    return published.error();
  }
  const Result<std::uint64_t> listed = PublishHosts(model_, std::move(list).value());
  if (!listed) {
    return listed.error();
  }
  return boost::outcome_v2::success();
}

void StandinPlatform::Handle(http::Request request, http::Responder respond) {
  for (const Route& route : kRoutes) {
    if (request.method == route.method && request.path == route.path) {
      (this->*route.handle)(request, respond);
      return;
    }
  }
  respond(http::ErrorResponse(404, MakeError(ErrorKind::kUnknownName, "path", request.path)));
}

void StandinPlatform::ReadDocument(const http::Request& request, const http::Responder& respond) {
  Read(ValueKind::kDocument, request, respond);
}

void StandinPlatform::ReadHosts(const http::Request& request, const http::Responder& respond) {
  Read(ValueKind::kHosts, request, respond);
}

void StandinPlatform::Read(ValueKind kind,
                           const http::Request& request,
                           const http::Responder& respond) {
  const Result<std::optional<std::uint64_t>> after = Parameter(request, "after");
  const Result<std::optional<std::uint64_t>> wait = Parameter(request, "wait_ms");
  if (!after || !wait) {
    respond(Refuse(after ? wait.error() : after.error()));
    return;
  }
  const std::chrono::milliseconds longest = kMaxWait;
  const std::chrono::milliseconds wait_time(std::min<std::uint64_t>(
      wait.value().value_or(0), static_cast<std::uint64_t>(longest.count())));
  http::Response response;
  {
    const RankedLock lock(mutex_);
    const Result<void> counted = model_.CountCall(kind);
    const PublishedValue* value =
        after.value() ? model_.VisibleAfter(kind, *after.value()) : model_.Visible(kind);
    if (!counted) {
      response = Refuse(counted.error());
    } else if (value != nullptr) {
      response = ValueResponse(*value, kind);
    } else if (!after.value()) {
      response =
          Refuse(MakeError(ErrorKind::kNoConfiguration, "platform", "no value has been published"));
    } else if (wait_time.count() > 0) {
      AddWatchLocked(Watch{kind, *after.value(), respond}, wait_time);
      return;
    } else {
      response = NotModified();
    }
  }
  respond(std::move(response));
}

void StandinPlatform::AddWatchLocked(Watch watch, std::chrono::milliseconds wait) {
  const std::uint64_t number = ++last_watch_;
  watches_.emplace(number, std::move(watch));
  pool_.After(wait, [this, number] { ExpireWatch(number); });
}

void StandinPlatform::ExpireWatch(std::uint64_t number) {
  http::Responder respond;
  {
    const RankedLock lock(mutex_);
    auto node = watches_.extract(number);
    if (node.empty()) {
      return;
    }
    respond = std::move(node.mapped().respond);
  }
  respond(NotModified());
}

std::vector<StandinPlatform::Answer> StandinPlatform::TakeAnswerableLocked() {
  std::vector<Answer> answers;
  for (auto it = watches_.begin(); it != watches_.end();) {
    Watch& watch = it->second;
    const PublishedValue* value = model_.VisibleAfter(watch.kind, watch.after);
    if (model_.down()) {
      answers.emplace_back(
          std::move(watch.respond),
          Refuse(MakeError(ErrorKind::kUnavailable, "platform", "the service is down")));
    } else if (value != nullptr) {
      answers.emplace_back(std::move(watch.respond), ValueResponse(*value, watch.kind));
    } else {
      ++it;
      continue;
    }
    it = watches_.erase(it);
  }
  if (const std::optional<BootTime> next = model_.next_change()) {
    pool_.After(*next - clock_.now() + kTimerMargin, [this] { AnswerWatches(); });
  }
  return answers;
}

void StandinPlatform::AnswerWatches() {
  std::vector<Answer> answers;
  {
    const RankedLock lock(mutex_);
    answers = TakeAnswerableLocked();
  }
  for (auto& [respond, response] : answers) {
    respond(std::move(response));
  }
}

void StandinPlatform::Stats(const http::Request& /*request*/, const http::Responder& respond) {
  json body;
  {
    const RankedLock lock(mutex_);
    const CallCounts& counts = model_.counts();
    body = {{"calls",
             {{"total", counts.document + counts.hosts},
              {"document", counts.document},
              {"hosts", counts.hosts},
              {"over_budget", counts.over_budget},
              {"while_down", counts.while_down},
              {"this_second", counts.this_second},
              {"last_second", counts.last_second},
              {"most_in_a_second", counts.most_in_a_second}}},
            {"waiting", watches_.size()},
            {"down", model_.down()},
            {"document_revision", model_.newest_revision(ValueKind::kDocument)},
            {"hosts_version", model_.newest_revision(ValueKind::kHosts)}};
  }
  http::Response response;
  response.body = body.dump();
  respond(std::move(response));
}

void StandinPlatform::Control(const http::Request& request, const http::Responder& respond) {
  const Result<PlatformCommand> command = DecodePlatformCommand(request.body);
  if (!command) {
    respond(Refuse(command.error()));
    return;
  }
  http::Response response;
  {
    const RankedLock lock(mutex_);
    const Result<void> applied = PlatformControl(model_).Apply(command.value());
    if (applied) {
      response.body = json{{"document_revision", model_.newest_revision(ValueKind::kDocument)},
                           {"hosts_version", model_.newest_revision(ValueKind::kHosts)}}
                          .dump();
    } else {
      response = Refuse(applied.error());
    }
  }
  respond(std::move(response));
  AnswerWatches();
}

}  // namespace peridotfork::standin
