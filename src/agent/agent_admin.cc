#include <nlohmann/json.hpp>
#include <utility>

#include "peridotfork/agent/agent.h"

// The agent's read-only administration interface.
namespace peridotfork {
namespace {

using Json = nlohmann::json;

std::int64_t MillisecondsUntil(BootTime from, BootTime to) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(to - from).count();
}

Json SectionsJson(const std::vector<SectionInForce>& sections) {
  Json json = Json::array();
  for (const SectionInForce& section : sections) {
    json.push_back({{"name", section.name},
                    {"version", section.version.value()},
                    {"since_us", section.since.time_since_epoch().count()},
                    {"newest", section.newest}});
  }
  return json;
}

Json RefusalsJson(const std::vector<SectionRefusal>& refusals) {
  Json json = Json::array();
  for (const SectionRefusal& refusal : refusals) {
    json.push_back({{"section", refusal.fault.section},
                    {"line", refusal.fault.line},
                    {"key", refusal.fault.key},
                    {"kind", ErrorKindName(refusal.fault.kind)},
                    {"reason", refusal.fault.reason},
                    {"revision", refusal.revision.value()},
                    {"since_us", refusal.time.time_since_epoch().count()}});
  }
  return json;
}

}  // namespace

const http::Router<Agent> Agent::kRoutes = {
    {"GET", "/healthz", &Agent::HandleHealth},
    {"GET", "/readyz", &Agent::HandleReady},
    {"GET", "/admin/status", &Agent::HandleStatus},
};

void Agent::Handle(http::Request request, http::Responder respond) {
  kRoutes.Dispatch(*this, request, respond);
}

void Agent::HandleHealth(const http::Request&, const http::Responder& respond) {
  respond(http::JsonResponse(R"({"status":"alive"})"));
}

void Agent::HandleReady(const http::Request&, const http::Responder& respond) {
  if (joined_ && config_.document() != nullptr && !draining_) {
    respond(http::JsonResponse(R"({"status":"ready"})"));
    return;
  }
  respond(http::ErrorResponse(
      503,
      MakeError(draining_ ? ErrorKind::kDraining : ErrorKind::kNoConfiguration, "agent",
                "no configuration received from peers or platform yet, or the agent is draining")));
}

void Agent::HandleStatus(const http::Request&, const http::Responder& respond) {
  const ConfigPosition position = config_.position();
  Json json = {
      {"host", settings_.id.value()},
      {"data_centre", settings_.data_centre.value()},
      {"incarnation", self_.incarnation.value()},
      {"joined", joined_.load()},
      {"draining", draining_.load()},
      {"document",
       {{"revision", position.revision.value()},
        {"digest", position.digest},
        {"stale_refused", config_.stale_count()},
        {"sections", SectionsJson(config_.in_force())},
        {"refused", RefusalsJson(config_.refusals())}}},
      {"platform_calls", document_reader_.calls() + hosts_reader_.calls()},
      {"messages_sent", endpoint_.counters().messages_sent.load()},
      {"bytes_sent", endpoint_.counters().bytes_sent.load()},
  };
  const RankedLock lock(mutex_);
  const BootTime now = clock_.now();
  json["view"] = {{"version", view_version().value()},
                  {"settled", history_.settled()},
                  {"informed", history_.informed()}};
  json["reader"] = peers_.IsReader();
  json["homes"] = Json::array();
  for (const HostId& home : holder_.held()) {
    const auto end = holder_.ExpiryOf(home);
    json["homes"].push_back({{"home", home.value()},
                             {"ends_in_ms", end ? MillisecondsUntil(now, *end) : 0},
                             {"handing_back", pending_releases_.contains(home)}});
  }
  json["peers"] = Json::array();
  for (const auto& [host, peer] : peers_.peers()) {
    json["peers"].push_back({{"host", host.value()},
                             {"incarnation", peer.incarnation.value()},
                             {"live", peers_.IsLive(host)},
                             {"heard_ms_ago", MillisecondsUntil(peer.last_heard, now)},
                             {"document", peer.heartbeat.document.value()},
                             {"view", peer.heartbeat.view.value()},
                             {"draining", peer.heartbeat.draining}});
  }
  json["grants"] = Json::array();
  for (const LeaseGrant& grant : grantor_.Grants()) {
    json["grants"].push_back({{"home", grant.home.value()},
                              {"holder", grant.holder.host.value()},
                              {"ends_in_ms", MillisecondsUntil(now, grant.expiry)}});
  }
  respond(http::JsonResponse(json.dump()));
}

}  // namespace peridotfork
