#include "peridotfork/tenants/authenticator.h"

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <optional>
#include <string>

namespace peridotfork {
namespace {

constexpr std::string_view kScheme = "Bearer";

// The key in a value such as "Bearer KEY"; none if it has another form.
std::optional<std::string_view> ParseBearer(std::string_view value) {
  if (!boost::algorithm::istarts_with(value, kScheme)) {
    return std::nullopt;
  }
  value.remove_prefix(kScheme.size());
  const std::size_t start = value.find_first_not_of(' ');
  // At least one space separates the scheme from the key, which contains neither spaces nor commas:
  // a comma would begin a second set of credentials.
  if (start == 0 || start == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view key = value.substr(start);
  return key.find_first_of(" \t,") == std::string_view::npos ? std::optional(key) : std::nullopt;
}

}  // namespace

Result<CallerIdentity> IdentifyCaller(const Catalogue& catalogue,
                                      const Route& route,
                                      const std::vector<std::string_view>& credentials) {
  if (!catalogue.has_tenants()) {
    return CallerIdentity{};
  }
  CallerIdentity identity{true, nullptr};
  if (credentials.size() == 1) {
    if (const std::optional<std::string_view> key = ParseBearer(credentials.front())) {
      identity.tenant = catalogue.FindTenant(*key);
    }
  }
  if (identity.tenant == nullptr && !route.is_public) {
    return MakeError(ErrorKind::kUnknownName, "API key",
                     "the request needs the API key of a tenant");
  }
  return identity;
}

}  // namespace peridotfork
