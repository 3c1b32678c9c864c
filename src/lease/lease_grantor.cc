#include "peridotfork/lease/lease_grantor.h"

#include <algorithm>

namespace peridotfork {

LeaseGrantor::LeaseGrantor(const Clock& clock, LeaseOptions options, const ViewHistory& history)
    : clock_(clock), options_(options), history_(history) {}

protocol::LeaseReply LeaseGrantor::Handle(const ProcessId& from,
                                          const protocol::LeaseRequest& request) {
  protocol::LeaseReply reply;
  reply.number = request.number;
  if (history_.view() != nullptr) {
    reply.view = history_.view()->version;
  }
  reply.older_views = history_.older();
  reply.informed = history_.informed();
  const bool may_grant = MayGrant(from, request);
  for (const HostId& home : request.homes) {
    (may_grant && Grant(from, request, home) ? reply.granted : reply.denied).push_back(home);
  }
  return reply;
}

void LeaseGrantor::Release(const ProcessId& from, const protocol::LeaseRelease& release) {
  for (const HostId& home : release.homes) {
    const auto entry = entries_.find(home);
    if (entry != entries_.end() && entry->second.holder == from &&
        entry->second.newest_request <= release.number) {
      entries_.erase(entry);
    }
  }
}

std::vector<LeaseGrant> LeaseGrantor::Grants() const {
  std::vector<LeaseGrant> result;
  for (const auto& [home, entry] : entries_) {
    if (clock_.now() < entry.expiry) {
      result.push_back({home, entry.view, entry.holder, entry.expiry});
    }
  }
  return result;
}

bool LeaseGrantor::MayGrant(const ProcessId& from, const protocol::LeaseRequest& request) const {
  const View* view = history_.view();
  return view != nullptr && request.view == view->version && history_.quiet_period_over() &&
         history_.informed() && view->Find(from.host) != nullptr;
}

bool LeaseGrantor::Grant(const ProcessId& from,
                         const protocol::LeaseRequest& request,
                         const HostId& home) {
  if (history_.view()->Find(home) == nullptr) {
    return false;
  }
  const auto [entry, added] = entries_.try_emplace(home);
  const bool taken = !added && clock_.now() < entry->second.expiry && entry->second.holder != from;
  if (taken) {
    return false;
  }
  const std::uint64_t number = entry->second.holder == from
                                   ? std::max(entry->second.newest_request, request.number)
                                   : request.number;
  entry->second = Entry{request.view, from, number, clock_.now() + options_.duration};
  return true;
}

}  // namespace peridotfork
