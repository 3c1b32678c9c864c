#ifndef PERIDOTFORK_TENANTS_AUTHENTICATOR_H_
#define PERIDOTFORK_TENANTS_AUTHENTICATOR_H_

#include <string_view>
#include <vector>

#include "peridotfork/catalogue/catalogue.h"
#include "peridotfork/core/error.h"

namespace peridotfork {

// Whose request it is.
struct CallerIdentity {
  // The configuration has tenants, so that the caller's credentials and any tenant that the caller
  // names itself must not reach a target.
  bool enforced = false;
  // The tenant that holds the key of the request; null if there is none.
  const Tenant* tenant = nullptr;
};

// Decides whose request it is from its route and the credentials in its head: the values of all
// its authorization fields. Returns kUnknownName if the route needs a key and the request has
// none, several, or one that no tenant holds. The error does not say which.
Result<CallerIdentity> IdentifyCaller(const Catalogue& catalogue,
                                      const Route& route,
                                      const std::vector<std::string_view>& credentials);

}  // namespace peridotfork

#endif  // PERIDOTFORK_TENANTS_AUTHENTICATOR_H_
