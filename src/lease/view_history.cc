#include "peridotfork/lease/view_history.h"

#include <algorithm>
#include <utility>

namespace peridotfork {

ViewHistory::ViewHistory(const Clock& clock, LeaseOptions options, HostId self, BootTime start)
    : clock_(clock), options_(options), self_(std::move(self)), start_(start) {}

void ViewHistory::AdoptView(const View& view) {
  if (view_ && view.version <= view_->version) {
    return;
  }
  if (settled()) {
    older_.clear();
  }
  if (view_) {
    older_[view_->version] = OlderViewState{view_->ids(), std::nullopt};
  }
  view_ = view;
  answers_.clear();
  majority_answered_ = false;
}

void ViewHistory::RecordReply(const HostId& host,
                              const protocol::LeaseReply& reply,
                              BootTime sent) {
  if (!view_ || reply.view != view_->version) {
    return;
  }
  Answer& answer = answers_[host];
  if (sent >= answer.sent) {
    answer = Answer{sent, reply.informed};
  }
  // Once the current view is settled, older views that are reported later can
  // have no lease holders.
  if (!settled()) {
    for (const protocol::OlderView& older : reply.older_views) {
      if (older.view < view_->version) {
        older_.try_emplace(older.view, OlderViewState{older.members, std::nullopt});
      }
    }
  }
  UpdateInformed();
  UpdateSettled();
}

bool ViewHistory::quiet_period_over() const {
  return clock_.now() >= start_ + options_.duration;
}

bool ViewHistory::settled() const {
  return majority_answered_ && std::all_of(older_.begin(), older_.end(), [&](const auto& entry) {
           return entry.second.expiry && *entry.second.expiry <= clock_.now();
         });
}

std::vector<protocol::OlderView> ViewHistory::older() const {
  std::vector<protocol::OlderView> result;
  if (!settled()) {
    for (const auto& [version, older] : older_) {
      result.push_back({version, older.members});
    }
  }
  return result;
}

std::size_t ViewHistory::MajorityOf(const std::vector<HostId>& members) const {
  const auto count = std::count_if(members.begin(), members.end(),
                                   [&](const HostId& host) { return !IsRetired(host); });
  return count == 0 ? 0 : static_cast<std::size_t>(count) / 2 + 1;
}

void ViewHistory::UpdateInformed() {
  if (informed_ || !quiet_period_over()) {
    return;
  }
  const std::vector<HostId> members = view_->ids();
  std::vector<HostId> others;
  std::copy_if(members.begin(), members.end(), std::back_inserter(others),
               [&](const HostId& host) { return host != self_ && !IsRetired(host); });
  const std::size_t majority = MajorityOf(members);
  const std::size_t answered = CountAnswers(others, false);
  const bool cold_start = clock_.now() >= start_ + options_.cold_start_wait;
  informed_ = CountAnswers(others, true) >= majority || answered == others.size() ||
              (cold_start && answered + 1 >= majority);
}

// Only replies to requests sent within the last lease duration count towards a
// majority. A host that has restarted since such a reply, even into an older
// view, has not granted anything in that view yet, and it will not find a
// majority there that could inform it.
void ViewHistory::UpdateSettled() {
  majority_answered_ = majority_answered_ || MajorityAnswered(view_->ids());
  for (auto& [version, older] : older_) {
    if (!older.expiry && MajorityAnswered(older.members)) {
      older.expiry = clock_.now() + options_.max_grant_duration();
    }
  }
}

bool ViewHistory::MajorityAnswered(const std::vector<HostId>& members) const {
  return CountAnswers(members, true) >= MajorityOf(members);
}

std::size_t ViewHistory::CountAnswers(const std::vector<HostId>& members,
                                      bool informed_only) const {
  const BootTime oldest =
      std::max(clock_.now() - options_.holder_duration(), start_ + options_.duration);
  const auto counts = [&](const HostId& host) {
    const auto answer = answers_.find(host);
    return answer != answers_.end() && answer->second.sent >= oldest && !IsRetired(host) &&
           (answer->second.informed || !informed_only);
  };
  return static_cast<std::size_t>(std::count_if(members.begin(), members.end(), counts));
}

}  // namespace peridotfork
