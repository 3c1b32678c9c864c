#ifndef PERIDOTFORK_CATALOGUE_CATALOGUE_H_
#define PERIDOTFORK_CATALOGUE_CATALOGUE_H_

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "peridotfork/core/ids.h"
#include "peridotfork/core/units.h"
#include "peridotfork/tenants/api_key_table.h"
#include "peridotfork/tenants/tenant_id.h"

namespace peridotfork {

using RouteId = StrongValue<struct RouteIdTag, std::string>;

enum class Repeatability {
  // May run more than once.
  kIdempotent,
  // May run at most once for each request.
  kAtMostOnce,
};

// One of the services among which the requests of a route are split.
struct WeightedService {
  ServiceId service;
  double weight = 1;
};

// Fan-out of a route: every request is run on all shards.
struct GatherSpec {
  std::vector<ServiceId> shards;
  std::uint32_t top_records = 0;
  // Minimum share of the shards that a successful answer contains.
  double required_coverage = 1;
};

struct Route {
  RouteId id;
  std::string host;
  std::string prefix;
  Repeatability repeatability = Repeatability::kIdempotent;
  // Maximum time within which a caller gets a response.
  std::chrono::milliseconds timeout{0};
  // Responses within this time meet the service level objective.
  std::chrono::milliseconds objective{0};
  // Maximum number of targets of one service that may run one request.
  std::uint32_t max_attempts = 1;
  // 0 is the most urgent.
  std::uint32_t priority = 0;
  // Requests need no API key even if the configuration has tenants.
  bool is_public = false;
  // Empty if `gather` is set.
  std::vector<WeightedService> services;
  std::optional<GatherSpec> gather;

  bool idempotent() const { return gather || repeatability == Repeatability::kIdempotent; }
};

struct ServiceSpec {
  ServiceId id;
  // Maximum number of connections that one target accepts from all callers together.
  Connections max_connections{1};
  // Requests per second that a cold target can handle.
  Rate cold_rate{0};
};

// A customer of the deployment whose requests carry one of its API keys.
struct Tenant {
  TenantId id;
  // Takes precedence over the priority of the route; none if the tenant has no priority.
  std::optional<std::uint32_t> priority;
  // Limit on the requests of the tenant on all hosts together; a rate of 0 means no limit.
  Rate quota_rate{0};
  double quota_burst = 0;
};

// A tenant as it is published, with its API keys.
struct TenantSpec {
  Tenant tenant;
  std::vector<std::string> api_keys;
};

// Limits on what callers may send to the ingress.
struct IngressLimits {
  Bytes max_header{16384};
  Bytes max_body{262144};
  std::chrono::milliseconds header_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};
};

// One version of the operators' configuration. Immutable and therefore thread-safe.
class Catalogue : public boost::intrusive_ref_counter<Catalogue> {
 public:
  Catalogue(Revision version,
            std::vector<Route> routes,
            std::vector<ServiceSpec> services,
            IngressLimits limits,
            std::optional<std::vector<TenantSpec>> tenants = std::nullopt);

  Revision version() const { return version_; }
  const IngressLimits& limits() const { return limits_; }
  const std::vector<Route>& routes() const { return routes_; }
  const std::map<ServiceId, ServiceSpec>& services() const { return services_; }

  // Whether requests need an API key, unless their route is public. True also if the list of
  // tenants is empty; then no key is valid.
  bool has_tenants() const { return has_tenants_; }
  const std::vector<Tenant>& tenants() const { return tenants_; }

  // Returns the tenant that holds the key; null if none does.
  const Tenant* FindTenant(std::string_view api_key) const;

  // Short digests of keys that several tenants hold; such a key belongs to the first of them.
  const std::vector<std::string>& duplicate_keys() const { return duplicate_keys_; }

  // Returns the route of `host` with the longest prefix that matches `path`; null if none does.
  const Route* FindRoute(std::string_view host, std::string_view path) const;

 private:
  const Revision version_;
  const std::vector<Route> routes_;
  std::map<ServiceId, ServiceSpec> services_;
  const IngressLimits limits_;
  const bool has_tenants_;
  std::vector<Tenant> tenants_;
  ApiKeyTable api_keys_;
  std::vector<std::string> duplicate_keys_;
  // Index into `routes_` by host and prefix.
  std::unordered_map<std::string, std::size_t> by_prefix_;
};

using CataloguePtr = boost::intrusive_ptr<const Catalogue>;

// Returns the service that runs request number `sequence` of a route. Over any series of
// consecutive sequence numbers, requests are split approximately in proportion to the weights.
const ServiceId& ChooseService(const Route& route, std::uint64_t sequence);

// Report of a target about itself.
struct TargetEntry {
  TargetId id;
  ServiceId service;
  Address address;
  DataCentreId data_centre;
  Slots slots{1};
  bool draining = false;
  // Remaining time for which the target is cold.
  std::chrono::milliseconds cold_time_left{0};
  // Start time of the target in Unix milliseconds; distinguishes its incarnations.
  std::optional<std::uint64_t> started_ms;
  // Sequence number of the report; restarts with each incarnation.
  std::uint64_t sequence = 0;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_CATALOGUE_CATALOGUE_H_
