#ifndef PERIDOTFORK_TENANTS_FLEET_QUOTAS_H_
#define PERIDOTFORK_TENANTS_FLEET_QUOTAS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "peridotfork/catalogue/catalogue.h"
#include "peridotfork/core/clock.h"
#include "peridotfork/membership/fleet.h"
#include "peridotfork/protocol/message.h"
#include "peridotfork/runtime/ranked_mutex.h"
#include "peridotfork/tenants/quota_allowance.h"
#include "peridotfork/tenants/quota_bucket.h"
#include "peridotfork/tenants/tenant_id.h"

namespace peridotfork {

// Keeps the quotas of tenants over all hosts. Each quota has two owners, which are the first two
// members of the fleet by rendezvous hashing of the tenant's name; this process may be one. Does no
// I/O but through the sender. Thread-safe.
class FleetQuotas {
 public:
  // `fleet` and `sender` must outlive the object.
  // `slack` is the number of requests by which a quota may be exceeded in any window.
  FleetQuotas(const Clock& clock,
              const ProcessId& self,
              const FleetView& fleet,
              PeerSender& sender,
              double slack);

  // Takes the quotas of the configuration. A tenant whose limit has changed keeps its state.
  void Update(const Catalogue& catalogue);

  // Whether any tenant has a quota.
  bool enabled() const;

  // Admits a request of the tenant and returns none, or returns when to come back.
  std::optional<std::chrono::nanoseconds> Admit(const TenantId& tenant);

  // An admitted request has ended without having been sent to a target.
  void Return(const TenantId& tenant);

  // Reports what was admitted to the owners. Called a short time after Admit(), and periodically.
  void Flush();

  void OnUsage(const ProcessId& from, const Address& reply_to, const protocol::QuotaUsage& usage);
  void OnBalance(const ProcessId& from, const protocol::QuotaBalance& balance);

  // Requests refused for a quota since the start.
  std::uint64_t refused() const;

 private:
  struct TenantState {
    QuotaLimit limit;
    QuotaAllowance allowance;
    std::uint64_t owners_version = 0;
  };
  struct Outgoing {
    Address to;
    protocol::Message message;
  };

  // The functions below require the lock.
  void ChooseOwners(const TenantId& tenant, TenantState& state);
  protocol::TenantBalance Count(const ProcessId& from, const protocol::TenantUsage& usage);
  // Adds messages to all members about a quota of which little is left.
  void Announce(const TenantId& tenant, std::vector<Outgoing>& out);
  void SendAll(std::vector<Outgoing> messages);
  // The limit that this process applies as an owner: less than the whole one while members that may
  // be serving callers can't be reached.
  QuotaLimit OwnedLimit(const QuotaLimit& limit) const;
  std::size_t fleet_size() const;

  const Clock& clock_;
  const ProcessId self_;
  const FleetView& fleet_;
  PeerSender& sender_;
  const double slack_;
  // The rank is shared with the leases of the agent, which are not in this process.
  mutable RankedMutex mutex_{LockRank::kLeases};
  std::map<TenantId, TenantState> tenants_;
  // Quotas that this process keeps as an owner.
  std::map<TenantId, QuotaBucket> owned_;
  std::uint64_t refused_ = 0;
  // Where the counts of a new tenant begin: above those of all tenants that were dropped, since an
  // owner that has not seen a tenant go and come back would ignore counts that it has seen before.
  std::uint64_t first_total_ = 0;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_TENANTS_FLEET_QUOTAS_H_
