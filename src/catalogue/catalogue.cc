#include "peridotfork/catalogue/catalogue.h"

#include <cmath>
#include <utility>

namespace peridotfork {
namespace {

std::string PrefixKey(std::string_view host, std::string_view prefix) {
  std::string key;
  key.reserve(host.size() + 1 + prefix.size());
  key.append(host).append(1, ' ').append(prefix);
  return key;
}

}  // namespace

Catalogue::Catalogue(Revision version,
                     std::vector<Route> routes,
                     std::vector<ServiceSpec> services,
                     IngressLimits limits,
                     std::optional<std::vector<TenantSpec>> tenants)
    : version_(version),
      routes_(std::move(routes)),
      limits_(limits),
      has_tenants_(tenants.has_value()) {
  if (tenants) {
    for (TenantSpec& spec : *tenants) {
      for (const std::string& key : spec.api_keys) {
        if (!api_keys_.Add(key, tenants_.size())) {
          duplicate_keys_.push_back(ApiKeyTable::ShortDigest(key));
        }
      }
      tenants_.push_back(std::move(spec.tenant));
    }
  }
  for (ServiceSpec& service : services) {
    ServiceId id = service.id;
    services_.emplace(std::move(id), std::move(service));
  }
  for (std::size_t i = 0; i < routes_.size(); ++i) {
    by_prefix_.emplace(PrefixKey(routes_[i].host, routes_[i].prefix), i);
  }
}

const Tenant* Catalogue::FindTenant(std::string_view api_key) const {
  const std::optional<std::size_t> index = api_keys_.Find(api_key);
  return index ? &tenants_[*index] : nullptr;
}

const Route* Catalogue::FindRoute(std::string_view host, std::string_view path) const {
  // Every prefix ends with a slash, so only the parts of the path that do are looked up.
  std::size_t end = path.rfind('/');
  while (end != std::string_view::npos) {
    const auto found = by_prefix_.find(PrefixKey(host, path.substr(0, end + 1)));
    if (found != by_prefix_.end()) {
      return &routes_[found->second];
    }
    end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1);
  }
  return nullptr;
}

const ServiceId& ChooseService(const Route& route, std::uint64_t sequence) {
  double total = 0;
  for (const WeightedService& service : route.services) {
    total += service.weight;
  }
  // The fractional parts of multiples of the golden ratio are spread evenly over any run of
  // consecutive sequence numbers.
  constexpr double kGoldenRatio = 0.6180339887498949;
  double integral_part = 0;
  double position = std::modf(static_cast<double>(sequence) * kGoldenRatio, &integral_part) * total;
  for (const WeightedService& service : route.services) {
    position -= service.weight;
    if (position < 0) {
      return service.service;
    }
  }
  return route.services.back().service;
}

}  // namespace peridotfork
