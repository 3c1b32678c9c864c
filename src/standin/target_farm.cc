#include "peridotfork/standin/target_farm.h"

#include <algorithm>
#include <utility>

namespace peridotfork::standin {
namespace {

using nlohmann::json;

constexpr std::string_view kTargetsPrefix = "/targets/";

bool IsMeant(const json& selection, const TargetSpec& spec) {
  if (selection.contains("service") &&
      selection.at("service").get<std::string>() != spec.group.service.value()) {
    return false;
  }
  if (!selection.contains("targets")) {
    return true;
  }
  const auto ids = selection.at("targets").get<std::vector<std::string>>();
  return std::ranges::find(ids, spec.id.value()) != ids.end();
}

http::Response NotFound(const std::string& path) {
  return http::ErrorResponse(404, MakeError(ErrorKind::kUnknownName, "path", path));
}

}  // namespace

TargetFarm::TargetFarm(WorkerPool& pool,
                       const Clock& clock,
                       const RecordSet& records,
                       std::uint64_t seed)
    : pool_(pool), clock_(clock), records_(records), seed_(seed) {}

Result<void> TargetFarm::Add(TargetSpec spec) {
  auto target = std::make_unique<StandinTarget>(pool_, clock_, records_, std::move(spec), seed_);
  const Result<void> listening = target->Listen();
  if (!listening) {
    return listening.error();
  }
  targets_.push_back(std::move(target));
  return boost::outcome_v2::success();
}

void TargetFarm::Handle(http::Request request, http::Responder respond) {
  if (request.method == "GET" && request.path == "/targets") {
    List(respond);
  } else if (request.method == "POST" && request.path == "/control") {
    ControlMany(request, respond);
  } else if (request.path.starts_with(kTargetsPrefix)) {
    Forward(std::move(request), std::move(respond));
  } else {
    respond(NotFound(request.path));
  }
}

StandinTarget* TargetFarm::Find(const std::string& id) const {
  const auto found = std::ranges::find_if(
      targets_, [&id](const auto& target) { return target->spec().id.value() == id; });
  return found == targets_.end() ? nullptr : found->get();
}

void TargetFarm::List(const http::Responder& respond) const {
  json list = json::array();
  for (const auto& target : targets_) {
    const TargetSpec& spec = target->spec();
    list.push_back({{"target", spec.id.value()},
                    {"address", target->address().value()},
                    {"data_centre", spec.data_centre.value()},
                    {"service", spec.group.service.value()},
                    {"group", spec.group.index.value()}});
  }
  respond(JsonResponse(200, {{"targets", std::move(list)}}));
}

void TargetFarm::ControlMany(const http::Request& request, const http::Responder& respond) const {
  json selection;
  std::vector<StandinTarget*> meant;
  try {
    selection = json::parse(request.body);
    for (const auto& target : targets_) {
      if (IsMeant(selection, target->spec())) {
        meant.push_back(target.get());
      }
    }
  } catch (const json::exception& error) {
    respond(http::ErrorResponse(400, MakeError(ErrorKind::kMalformed, "body", error.what())));
    return;
  }
  http::Response failure;
  for (StandinTarget* target : meant) {
    // A target answers a command before Handle() returns.
    target->Handle(http::Request{"POST", "/control", {}, request.body},
                   [&failure](http::Response response) {
                     if (response.status != 200) {
                       failure = std::move(response);
                     }
                   });
  }
  respond(failure.status == 200 ? JsonResponse(200, {{"targets", meant.size()}})
                                : std::move(failure));
}

void TargetFarm::Forward(http::Request request, http::Responder respond) const {
  const std::string rest = request.path.substr(kTargetsPrefix.size());
  const std::size_t slash = rest.find('/');
  StandinTarget* target = Find(rest.substr(0, slash));
  if (target == nullptr || slash == std::string::npos) {
    respond(NotFound(request.path));
    return;
  }
  request.path = rest.substr(slash);
  target->Handle(std::move(request), std::move(respond));
}

}  // namespace peridotfork::standin
