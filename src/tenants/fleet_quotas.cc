#include "peridotfork/tenants/fleet_quotas.h"

#include <algorithm>
#include <array>
#include <utility>

#include "peridotfork/membership/placement.h"

namespace peridotfork {
namespace {

// Tenants in one message, so that it fits into one datagram.
constexpr std::size_t kTenantsPerMessage = 16;
// While little of a quota is left, all members are told the balance this often, and less often in a
// large fleet, so that the messages of an owner stay few.
constexpr std::chrono::milliseconds kMinAnnounceInterval{100};
constexpr std::chrono::milliseconds kAnnounceIntervalPerMember{2};

}  // namespace

FleetQuotas::FleetQuotas(const Clock& clock,
                         const ProcessId& self,
                         const FleetView& fleet,
                         PeerSender& sender,
                         double slack)
    : clock_(clock), self_(self), fleet_(fleet), sender_(sender), slack_(slack) {}

void FleetQuotas::Update(const Catalogue& catalogue) {
  const RankedLock lock(mutex_);
  const BootTime now = clock_.now();
  std::map<TenantId, TenantState> next;
  for (const Tenant& tenant : catalogue.tenants()) {
    const QuotaLimit limit{tenant.quota_rate, tenant.quota_burst, slack_};
    if (limit.unlimited()) {
      continue;
    }
    const auto known = tenants_.find(tenant.id);
    if (known == tenants_.end()) {
      next.emplace(tenant.id, TenantState{limit, QuotaAllowance(now, first_total_)});
    } else {
      known->second.limit = limit;
      next.insert(tenants_.extract(known));
    }
  }
  for (const auto& [id, state] : tenants_) {
    first_total_ = std::max(first_total_, state.allowance.total());
  }
  tenants_ = std::move(next);
  std::erase_if(owned_, [&](const auto& item) { return !tenants_.contains(item.first); });
}

bool FleetQuotas::enabled() const {
  const RankedLock lock(mutex_);
  return !tenants_.empty();
}

std::size_t FleetQuotas::fleet_size() const {
  return fleet_.joined() ? fleet_.Members().size() + fleet_.unaccounted() : kAssumedFleet;
}

std::optional<std::chrono::nanoseconds> FleetQuotas::Admit(const TenantId& tenant) {
  const RankedLock lock(mutex_);
  const auto found = tenants_.find(tenant);
  if (found == tenants_.end()) {
    return std::nullopt;
  }
  ChooseOwners(tenant, found->second);
  const auto wait = found->second.allowance.Admit(found->second.limit, fleet_size(), clock_.now());
  refused_ += wait ? 1 : 0;
  return wait;
}

void FleetQuotas::Return(const TenantId& tenant) {
  const RankedLock lock(mutex_);
  if (const auto found = tenants_.find(tenant); found != tenants_.end()) {
    found->second.allowance.Return(clock_.now());
  }
}

void FleetQuotas::ChooseOwners(const TenantId& tenant, TenantState& state) {
  const std::uint64_t version = fleet_.version();
  if (!fleet_.joined() || state.owners_version == version) {
    return;
  }
  state.owners_version = version;
  std::vector<FleetMember> members = fleet_.Members();
  const std::size_t count = std::min(members.size(), QuotaAllowance::kOwners);
  std::ranges::partial_sort(members, members.begin() + static_cast<std::ptrdiff_t>(count),
                            std::ranges::greater(), [&](const FleetMember& member) {
                              return RendezvousScore(tenant.value(), member.host.value());
                            });
  std::array<std::optional<FleetMember>, QuotaAllowance::kOwners> owners;
  std::copy_n(members.begin(), count, owners.begin());
  state.allowance.SetOwners(owners);
}

void FleetQuotas::Flush() {
  std::vector<Outgoing> outgoing;
  {
    const RankedLock lock(mutex_);
    const BootTime now = clock_.now();
    std::map<Address, protocol::QuotaUsage> by_owner;
    for (auto& [id, state] : tenants_) {
      ChooseOwners(id, state);
      while (const std::optional<QuotaAllowance::Report> report = state.allowance.NextReport(now)) {
        const protocol::TenantUsage usage{id, report->baseline, report->total};
        if (report->owner.host != self_.host) {
          by_owner[report->owner.address].tenants.push_back(usage);
          continue;
        }
        state.allowance.OnBalance(self_, Count(self_, usage), now);
        Announce(id, outgoing);
      }
    }
    for (auto& [to, usage] : by_owner) {
      for (std::size_t i = 0; i < usage.tenants.size(); i += kTenantsPerMessage) {
        const auto first = usage.tenants.begin() + static_cast<std::ptrdiff_t>(i);
        const std::size_t count = std::min(kTenantsPerMessage, usage.tenants.size() - i);
        outgoing.push_back(
            {to, protocol::QuotaUsage{{first, first + static_cast<std::ptrdiff_t>(count)}}});
      }
    }
  }
  SendAll(std::move(outgoing));
}

void FleetQuotas::OnUsage(const ProcessId& from,
                          const Address& reply_to,
                          const protocol::QuotaUsage& usage) {
  std::vector<Outgoing> outgoing;
  {
    const RankedLock lock(mutex_);
    protocol::QuotaBalance reply;
    for (const protocol::TenantUsage& tenant : usage.tenants) {
      // Not known here yet, or no longer: the sender goes by what it knows.
      if (tenants_.contains(tenant.tenant) && reply.tenants.size() < kTenantsPerMessage) {
        reply.tenants.push_back(Count(from, tenant));
        Announce(tenant.tenant, outgoing);
      }
    }
    if (!reply.tenants.empty()) {
      outgoing.push_back({reply_to, std::move(reply)});
    }
  }
  SendAll(std::move(outgoing));
}

protocol::TenantBalance FleetQuotas::Count(const ProcessId& from,
                                           const protocol::TenantUsage& usage) {
  const BootTime now = clock_.now();
  const QuotaLimit limit = OwnedLimit(tenants_.at(usage.tenant).limit);
  QuotaBucket& bucket = owned_.try_emplace(usage.tenant, limit, now).first->second;
  bucket.OnUsage(from, usage.baseline, usage.total, limit, now);
  return {usage.tenant, usage.total, bucket.Balance(limit, now), bucket.ActiveHosts(now),
          bucket.UsageRate(now)};
}

void FleetQuotas::Announce(const TenantId& tenant, std::vector<Outgoing>& out) {
  const BootTime now = clock_.now();
  const QuotaLimit limit = OwnedLimit(tenants_.at(tenant).limit);
  QuotaBucket& bucket = owned_.at(tenant);
  const std::vector<FleetMember> members = fleet_.Members();
  const auto interval = std::max<std::chrono::nanoseconds>(
      kMinAnnounceInterval, kAnnounceIntervalPerMember * members.size());
  if (!bucket.TakeAnnouncement(limit, interval, now)) {
    return;
  }
  for (const FleetMember& member : members) {
    const ProcessId process{member.host, Role::kGateway, member.incarnation};
    const std::optional<std::uint64_t> counted = bucket.CountedTotal(process);
    if (counted && member.host != self_.host) {
      out.push_back({member.address,
                     protocol::QuotaBalance{{{tenant, *counted, bucket.Balance(limit, now),
                                              bucket.ActiveHosts(now), bucket.UsageRate(now)}}}});
    }
  }
}

void FleetQuotas::SendAll(std::vector<Outgoing> messages) {
  for (Outgoing& outgoing : messages) {
    sender_.Send(outgoing.to, std::move(outgoing.message));
  }
}

QuotaLimit FleetQuotas::OwnedLimit(const QuotaLimit& limit) const {
  const auto members = static_cast<double>(fleet_.Members().size());
  const double share = members / (members + static_cast<double>(fleet_.unaccounted()));
  return {Rate(limit.rate.value() * share), limit.burst * share, limit.slack * share};
}

void FleetQuotas::OnBalance(const ProcessId& from, const protocol::QuotaBalance& balance) {
  const RankedLock lock(mutex_);
  const BootTime now = clock_.now();
  for (const protocol::TenantBalance& tenant : balance.tenants) {
    if (const auto found = tenants_.find(tenant.tenant); found != tenants_.end()) {
      found->second.allowance.OnBalance(from, tenant, now);
    }
  }
}

std::uint64_t FleetQuotas::refused() const {
  const RankedLock lock(mutex_);
  return refused_;
}

}  // namespace peridotfork
