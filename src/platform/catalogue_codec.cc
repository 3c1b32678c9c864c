#include "peridotfork/platform/catalogue_codec.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "peridotfork/config/units.h"
#include "peridotfork/internal/platform/json_reader.h"

namespace peridotfork::platform {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::string_view kIdempotent = "idempotent";
constexpr std::string_view kNonIdempotent = "non_idempotent";
constexpr std::string_view kReady = "ready";
constexpr std::string_view kDraining = "draining";

// Limit for all durations, so that they can be added to any time. No value of the platform comes
// near it.
constexpr std::chrono::hours kMaxDuration{24 * 7};
// Limit for the slots of one target.
constexpr double kMaxSlots = 1e6;

milliseconds ReadMilliseconds(JsonReader& reader, const char* name) {
  constexpr auto kMax = static_cast<double>(milliseconds(kMaxDuration).count());
  return milliseconds(static_cast<std::int64_t>(reader.NonNegative<double>(name, kMax)));
}

Address ReadAddress(JsonReader& reader) {
  Address address(reader.String("address"));
  if (!reader.failed() && !ParseAddress(address.value()).has_value()) {
    reader.Fail(ErrorKind::kMalformed, reader.Path("address"));
  }
  return address;
}

Repeatability ReadRepeatability(JsonReader& reader) {
  const std::string kind = reader.String("route_type");
  if (kind != kIdempotent && kind != kNonIdempotent) {
    reader.Fail(ErrorKind::kUnknownName, reader.Path("route_type"));
  }
  return kind == kIdempotent ? Repeatability::kIdempotent : Repeatability::kAtMostOnce;
}

std::vector<WeightedService> ReadSplit(JsonReader& reader) {
  std::vector<WeightedService> services;
  double total = 0;
  for (const json& part : reader.Array("traffic_split")) {
    JsonReader item(part, reader.Path("traffic_split"));
    services.push_back({ServiceId(item.String("backend")), item.NonNegative<double>("weight")});
    total += services.back().weight;
    if (item.failed()) {
      reader.Fail(item.error().kind(), item.error().where);
    }
  }
  if (services.empty() || total <= 0) {
    reader.Fail(ErrorKind::kOutOfRange, reader.Path("traffic_split"));
  }
  return services;
}

GatherSpec ReadGather(JsonReader& reader) {
  GatherSpec gather;
  std::set<std::string> seen;
  for (const json& shard : reader.Array("gather")) {
    if (!shard.is_string() || !seen.insert(shard.get<std::string>()).second) {
      reader.Fail(ErrorKind::kWrongType, reader.Path("gather"));
      return gather;
    }
    gather.shards.emplace_back(shard.get<std::string>());
  }
  if (gather.shards.empty()) {
    reader.Fail(ErrorKind::kOutOfRange, reader.Path("gather"));
  }
  gather.top_records = reader.NonNegative<std::uint32_t>("top_k");
  gather.required_coverage = reader.NonNegative<double>("min_coverage", 1.0);
  return gather;
}

Route ReadRoute(JsonReader& reader) {
  Route route;
  route.id = RouteId(reader.String("name"));
  route.host = reader.String("host");
  route.prefix = reader.String("path_prefix");
  route.timeout = ReadMilliseconds(reader, "timeout_ms");
  route.objective = ReadMilliseconds(reader, "target_latency_ms");
  route.max_attempts = std::max(1U, reader.NonNegative<std::uint32_t>("max_attempts"));
  if (reader.Has("priority")) {
    route.priority = reader.NonNegative<std::uint32_t>("priority");
  }
  route.is_public = reader.Has("public") && reader.Boolean("public");
  route.repeatability = ReadRepeatability(reader);
  if (reader.Has("gather")) {
    route.gather = ReadGather(reader);
  } else if (reader.Has("traffic_split")) {
    route.services = ReadSplit(reader);
  } else {
    route.services.push_back({ServiceId(reader.String("backend")), 1});
  }
  return route;
}

ServiceSpec ReadService(JsonReader& reader) {
  ServiceSpec service;
  service.id = ServiceId(reader.String("name"));
  service.max_connections = Connections(reader.NonNegative<std::uint32_t>("max_conns"));
  if (reader.Has("cold_per_s")) {
    service.cold_rate = Rate(reader.NonNegative<double>("cold_per_s"));
  }
  return service;
}

TenantSpec ReadTenant(JsonReader& reader) {
  TenantSpec spec;
  spec.tenant.id = TenantId(reader.String("name"));
  if (reader.Has("priority")) {
    spec.tenant.priority = reader.NonNegative<std::uint32_t>("priority");
  }
  if (reader.Has("rate_per_s")) {
    spec.tenant.quota_rate = Rate(reader.NonNegative<double>("rate_per_s"));
  }
  if (reader.Has("burst")) {
    spec.tenant.quota_burst = reader.NonNegative<double>("burst");
  }
  for (const json& key : reader.Array("api_keys")) {
    if (!key.is_string()) {
      reader.Fail(ErrorKind::kWrongType, reader.Path("api_keys"));
      break;
    }
    spec.api_keys.push_back(key.get<std::string>());
  }
  return spec;
}

// Reads the array `name`, decoding each element with `read`.
template <typename T>
std::vector<T> ReadList(JsonReader& reader, const char* name, T (*read)(JsonReader&)) {
  std::vector<T> list;
  for (const json& element : reader.Array(name)) {
    JsonReader item(element, reader.Path(name) + "[" + std::to_string(list.size()) + "]");
    list.push_back(read(item));
    if (item.failed()) {
      reader.Fail(item.error().kind(), item.error().where);
    }
  }
  return list;
}

IngressLimits ReadLimits(const json& object, JsonReader& parent) {
  JsonReader reader(object, parent.Path("limits"));
  IngressLimits limits;
  limits.max_header = Bytes(reader.NonNegative<std::uint64_t>("max_header_bytes"));
  limits.max_body = Bytes(reader.NonNegative<std::uint64_t>("max_body_bytes"));
  limits.header_timeout = ReadMilliseconds(reader, "header_timeout_ms");
  limits.idle_timeout = ReadMilliseconds(reader, "idle_timeout_ms");
  if (reader.failed()) {
    parent.Fail(reader.error().kind(), reader.error().where);
  }
  return limits;
}

}  // namespace

Result<CataloguePtr> DecodeCatalogue(std::string_view text) {
  const json document = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (document.is_discarded()) {
    return MakeError(ErrorKind::kMalformed, "configuration", "invalid JSON");
  }
  JsonReader reader(document, "configuration");
  const Revision version(reader.NonNegative<std::uint64_t>("version"));
  std::vector<Route> routes = ReadList(reader, "routes", &ReadRoute);
  std::vector<ServiceSpec> services = ReadList(reader, "services", &ReadService);
  IngressLimits limits;
  if (reader.Has("limits")) {
    limits = ReadLimits(document["limits"], reader);
  }
  std::optional<std::vector<TenantSpec>> tenants;
  if (reader.Has("tenants")) {
    tenants = ReadList(reader, "tenants", &ReadTenant);
  }
  if (reader.failed()) {
    return reader.error();
  }
  return CataloguePtr(
      new Catalogue(version, std::move(routes), std::move(services), limits, std::move(tenants)));
}

Result<TargetEntry> DecodeTargetEntry(const TargetId& id, std::string_view text) {
  const json document = json::parse(text, nullptr, /*allow_exceptions=*/false);
  const std::string path = "target " + id.value();
  if (document.is_discarded()) {
    return MakeError(ErrorKind::kMalformed, path, "invalid JSON");
  }
  JsonReader reader(document, path);
  TargetEntry entry;
  entry.id = id;
  entry.service = ServiceId(reader.String("backend"));
  entry.address = ReadAddress(reader);
  entry.data_centre = DataCentreId(reader.String("zone"));
  entry.slots = Slots(reader.NonNegative<std::uint32_t>("slots", kMaxSlots));
  entry.cold_time_left = ReadMilliseconds(reader, "cold_left_ms");
  entry.sequence = reader.NonNegative<std::uint64_t>("seq");
  if (reader.Has("born")) {
    entry.started_ms = reader.NonNegative<std::uint64_t>("born");
  }
  const std::string state = reader.String("state");
  entry.draining = state == kDraining;
  if (state != kReady && state != kDraining) {
    reader.Fail(ErrorKind::kUnknownName, reader.Path("state"));
  }
  if (reader.failed()) {
    return reader.error();
  }
  return entry;
}

}  // namespace peridotfork::platform
