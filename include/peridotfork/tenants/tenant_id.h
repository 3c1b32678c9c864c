#ifndef PERIDOTFORK_TENANTS_TENANT_ID_H_
#define PERIDOTFORK_TENANTS_TENANT_ID_H_

#include <string>

#include "peridotfork/internal/core/strong_value.h"

namespace peridotfork {

// Name of a tenant; unique within one configuration.
using TenantId = StrongValue<struct TenantIdTag, std::string>;

}  // namespace peridotfork

#endif  // PERIDOTFORK_TENANTS_TENANT_ID_H_
