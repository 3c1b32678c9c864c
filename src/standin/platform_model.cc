#include "peridotfork/standin/platform_model.h"

#include <algorithm>
#include <utility>

namespace peridotfork::standin {

void PlatformModel::AdvanceSecond() {
  const auto second =
      std::chrono::duration_cast<std::chrono::seconds>(clock_.now().time_since_epoch());
  if (second == second_) {
    return;
  }
  const bool adjacent = second == second_ + std::chrono::seconds(1);
  counts_.last_second = adjacent ? counts_.this_second : 0;
  counts_.this_second = 0;
  second_ = second;
}

Result<void> PlatformModel::CountCall(ValueKind kind) {
  AdvanceSecond();
  ++(kind == ValueKind::kDocument ? counts_.document : counts_.hosts);
  ++counts_.this_second;
  counts_.most_in_a_second = std::max(counts_.most_in_a_second, counts_.this_second);
  if (counts_.this_second > limits_.calls_per_second) {
    ++counts_.over_budget;
    return MakeError(ErrorKind::kShed, "platform", "call budget exceeded");
  }
  if (down_) {
    ++counts_.while_down;
    return MakeError(ErrorKind::kUnavailable, "platform", "the service is down");
  }
  return boost::outcome_v2::success();
}

Result<std::uint64_t> PlatformModel::Publish(ValueKind kind,
                                             std::string text,
                                             std::optional<std::uint64_t> revision) {
  if (text.size() > limits_.largest_value.value()) {
    return MakeError(ErrorKind::kTooLarge, "platform",
                     std::to_string(text.size()) + " bytes exceed the limit of " +
                         std::to_string(limits_.largest_value.value()));
  }
  const std::uint64_t newest = newest_revision(kind);
  if (revision && *revision <= newest) {
    return MakeError(ErrorKind::kStaleRevision, "platform",
                     std::to_string(*revision) + " is not higher than " + std::to_string(newest));
  }
  const std::uint64_t assigned = revision.value_or(newest + 1);
  std::deque<PublishedValue>& history = value(kind).history;
  history.push_back({assigned, std::move(text), clock_.now()});
  if (history.size() > kMaxHistory) {
    history.pop_front();
  }
  return assigned;
}

const PublishedValue* PlatformModel::Visible(ValueKind kind) const {
  const Value& stored = value(kind);
  const auto is_visible = [&](const PublishedValue& published) {
    return published.published + stored.lag <= clock_.now() &&
           (!stored.served_revision || published.revision <= *stored.served_revision);
  };
  const auto found = std::find_if(stored.history.rbegin(), stored.history.rend(), is_visible);
  if (found != stored.history.rend()) {
    return &*found;
  }
  // The lag does not apply to the oldest value, so that readers always find one.
  return stored.history.empty() ? nullptr : &stored.history.front();
}

const PublishedValue* PlatformModel::VisibleAfter(ValueKind kind, std::uint64_t after) const {
  const PublishedValue* visible = Visible(kind);
  return visible != nullptr && visible->revision > after ? visible : nullptr;
}

std::uint64_t PlatformModel::newest_revision(ValueKind kind) const {
  const std::deque<PublishedValue>& history = value(kind).history;
  return history.empty() ? 0 : history.back().revision;
}

std::optional<BootTime> PlatformModel::next_change() const {
  std::optional<BootTime> next;
  for (const Value& stored : values_) {
    for (const PublishedValue& published : stored.history) {
      const BootTime time = published.published + stored.lag;
      if (time > clock_.now() && (!next || time < *next)) {
        next = time;
      }
    }
  }
  return next;
}

void PlatformModel::set_stale(ValueKind kind, bool stale) {
  const PublishedValue* visible = Visible(kind);
  if (!stale || visible == nullptr) {
    value(kind).served_revision.reset();
  } else {
    value(kind).served_revision = visible->revision;
  }
}

void PlatformModel::set_served_revision(ValueKind kind, std::optional<std::uint64_t> revision) {
  value(kind).served_revision = revision;
}

void PlatformModel::set_lag(ValueKind kind, std::chrono::milliseconds lag) {
  value(kind).lag = lag;
}

const CallCounts& PlatformModel::counts() {
  AdvanceSecond();
  return counts_;
}

}  // namespace peridotfork::standin
