#include "peridotfork/lease/lease_holder.h"

#include <algorithm>
#include <functional>

namespace peridotfork {

LeaseHolder::LeaseHolder(const Clock& clock, LeaseOptions options, ViewHistory& history)
    : clock_(clock), options_(options), history_(history) {}

void LeaseHolder::AdoptView(const View& view) {
  const View* current = history_.view();
  if (current != nullptr && view.version <= current->version) {
    return;
  }
  for (auto& [home, lease] : leases_) {
    const BootTime end = Expiry(lease);
    if (history_.settled() || clock_.now() >= end) {
      lease.carried_from.clear();
    }
    if (clock_.now() < end) {
      lease.carried_from.push_back(*current);
      lease.carried_expiry = end;
    }
    lease.grants.clear();
  }
  history_.AdoptView(view);
}

protocol::LeaseRequest LeaseHolder::MakeRequest(const std::vector<HostId>& homes) {
  const BootTime now = clock_.now();
  std::erase_if(request_times_,
                [&](const auto& entry) { return entry.second + options_.duration < now; });
  request_times_[++last_request_number_] = now;
  protocol::LeaseRequest request;
  request.number = last_request_number_;
  request.homes = homes;
  if (history_.view() != nullptr) {
    request.view = history_.view()->version;
  }
  return request;
}

std::vector<HostId> LeaseHolder::Recipients() const {
  if (history_.view() == nullptr) {
    return {};
  }
  std::vector<HostId> result = history_.view()->ids();
  for (const protocol::OlderView& older : history_.older()) {
    result.insert(result.end(), older.members.begin(), older.members.end());
  }
  std::sort(result.begin(), result.end());
  result.erase(std::unique(result.begin(), result.end()), result.end());
  std::erase_if(result, [&](const HostId& host) { return history_.IsRetired(host); });
  return result;
}

void LeaseHolder::Handle(const HostId& grantor, const protocol::LeaseReply& reply) {
  const auto sent = request_times_.find(reply.number);
  const View* view = history_.view();
  if (sent == request_times_.end() || view == nullptr || reply.view != view->version) {
    return;
  }
  history_.RecordReply(grantor, reply, sent->second);
  for (const HostId& home : reply.granted) {
    Lease& lease = leases_[home];
    if (reply.number > lease.released_through) {
      BootTime& end = lease.grants[grantor];
      end = std::max(end, sent->second + options_.holder_duration());
      ExtendCarriedExpiry(lease);
    }
  }
}

std::optional<BootTime> LeaseHolder::ExpiryOf(const HostId& home) const {
  const auto lease = leases_.find(home);
  if (lease == leases_.end()) {
    return std::nullopt;
  }
  const BootTime end = Expiry(lease->second) - options_.max_clock_skew;
  return clock_.now() < end ? std::optional(end) : std::nullopt;
}

std::vector<View> LeaseHolder::CarriedFrom(const HostId& home) const {
  const auto lease = leases_.find(home);
  return lease == leases_.end() || history_.settled() ? std::vector<View>()
                                                      : lease->second.carried_from;
}

std::vector<HostId> LeaseHolder::held() const {
  std::vector<HostId> result;
  for (const auto& [home, lease] : leases_) {
    if (ExpiryOf(home)) {
      result.push_back(home);
    }
  }
  return result;
}

protocol::LeaseRelease LeaseHolder::Release(const std::vector<HostId>& homes) {
  for (const HostId& home : homes) {
    leases_[home] = Lease{{}, last_request_number_, {}, {}};
  }
  return protocol::LeaseRelease{last_request_number_, homes};
}

// A carried-over lease that has expired is not extended: a holder in another
// view may have started to use its targets in the meantime.
void LeaseHolder::ExtendCarriedExpiry(Lease& lease) const {
  if (lease.carried_from.empty() || clock_.now() >= lease.carried_expiry) {
    return;
  }
  BootTime end = MajorityExpiry(lease, history_.view()->ids());
  for (const protocol::OlderView& older : history_.older()) {
    const bool held_in_view =
        std::any_of(lease.carried_from.begin(), lease.carried_from.end(),
                    [&](const View& view) { return view.version == older.view; });
    if (!held_in_view) {
      return;
    }
    if (history_.MajorityOf(older.members) != 0) {
      end = std::min(end, MajorityExpiry(lease, older.members));
    }
  }
  lease.carried_expiry = std::max(lease.carried_expiry, end);
}

BootTime LeaseHolder::Expiry(const Lease& lease) const {
  if (history_.settled()) {
    return MajorityExpiry(lease, history_.view()->ids());
  }
  return lease.carried_from.empty() ? BootTime() : lease.carried_expiry;
}

BootTime LeaseHolder::MajorityExpiry(const Lease& lease, const std::vector<HostId>& members) const {
  std::vector<BootTime> ends;
  for (const HostId& host : members) {
    const auto grant = lease.grants.find(host);
    if (grant != lease.grants.end() && !history_.IsRetired(host)) {
      ends.push_back(grant->second);
    }
  }
  const std::size_t majority = history_.MajorityOf(members);
  if (majority == 0 || ends.size() < majority) {
    return BootTime();
  }
  std::sort(ends.begin(), ends.end(), std::greater<>());
  return ends[majority - 1];
}

}  // namespace peridotfork
