#include "peridotfork/gateway/crash_guard.h"

#include <algorithm>
#include <boost/container_hash/hash.hpp>
#include <string>
#include <string_view>
#include <utility>

namespace peridotfork {
namespace {

constexpr std::chrono::seconds kCheckWindow{1};
// Losses in one report, so that it fits into a datagram.
constexpr std::size_t kMaxReportedLosses = 8;
// Longer times of another host would overflow. No quarantine lasts nearly as long.
constexpr std::chrono::hours kMaxReportedTime{24};

std::string_view View(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

std::chrono::nanoseconds Bounded(std::chrono::milliseconds time) {
  return std::clamp<std::chrono::milliseconds>(time, std::chrono::milliseconds(0),
                                               kMaxReportedTime);
}

}  // namespace

CrashGuard::CrashGuard(const Clock& clock,
                       Logger& log,
                       ProcessId self,
                       Publisher publish,
                       CrashGuardOptions options)
    : clock_(clock),
      log_(log),
      self_(std::move(self)),
      publish_(std::move(publish)),
      options_(options),
      quarantine_(clock, options.quarantine) {}

std::uint64_t CrashGuard::Fingerprint(const http::RawRequest& request,
                                      const CallerIdentity& identity) {
  return Fingerprint(request.base(), request.body(), identity);
}

std::uint64_t CrashGuard::Fingerprint(const http::RequestHead& head,
                                      const std::string& body,
                                      const CallerIdentity& identity) {
  std::string text(View(head.method_string()));
  text.append(1, ' ').append(View(head.target())).append(1, '\n').append(body);
  const ServiceId host(std::string(View(head[boost::beast::http::field::host])));
  const CallerId caller(identity.tenant == nullptr ? std::string() : identity.tenant->id.value());
  return Quarantine::Fingerprint(caller, host, text);
}

std::size_t CrashGuard::suspects() const {
  const RankedLock lock(mutex_);
  return quarantine_.size();
}

std::chrono::nanoseconds CrashGuard::Remaining(std::uint64_t fingerprint) const {
  const RankedLock lock(mutex_);
  return quarantine_.Remaining(CallerId(), fingerprint);
}

bool CrashGuard::TryAcquireCheck() {
  const RankedLock lock(mutex_);
  const BootTime now = clock_.now();
  if (now - check_window_start_ >= kCheckWindow) {
    check_window_start_ = now;
    checks_in_window_ = 0;
  }
  if (checks_in_window_ >= options_.checks_per_second) {
    return false;
  }
  ++checks_in_window_;
  return true;
}

void CrashGuard::OnTargetDown(std::uint64_t fingerprint, const TargetLoss& loss, bool repeatable) {
  protocol::TargetLossNotice notice{self_, 0, fingerprint, loss.group};
  bool quarantined = false;
  {
    const RankedLock lock(mutex_);
    notice.number = ++last_number_;
    Remember(fingerprint, {notice.origin, notice.number, notice.group});
    quarantined = AddLoss(fingerprint, loss);
    if (!repeatable) {
      quarantine_.OnNotice(CallerId(), fingerprint, options_.quarantine.duration);
      quarantined = true;
    }
  }
  LogLoss(notice, quarantined);
  publish_(notice);
}

void CrashGuard::OnAnswered(std::uint64_t fingerprint, GroupIndex group) {
  const RankedLock lock(mutex_);
  std::vector<protocol::LossRecord> cleared = Clear(fingerprint, group);
  if (!cleared.empty() && answer_notices_.size() < options_.max_answer_notices) {
    answer_notices_.push_back({fingerprint, group, std::move(cleared)});
  }
}

std::vector<protocol::TargetAnswerNotice> CrashGuard::TakeAnswerNotices() {
  const RankedLock lock(mutex_);
  return std::exchange(answer_notices_, {});
}

void CrashGuard::OnNotice(const protocol::TargetAnswerNotice& notice) {
  const RankedLock lock(mutex_);
  for (const protocol::LossRecord& loss : notice.losses) {
    // The notice of the loss may arrive after this one.
    Remember(notice.fingerprint, loss);
  }
  Clear(notice.fingerprint, notice.group);
}

std::vector<protocol::LossRecord> CrashGuard::Clear(std::uint64_t fingerprint, GroupIndex group) {
  quarantine_.OnAnswered(CallerId(), fingerprint, group);
  has_suspects_ = quarantine_.size() > 0;
  std::vector<protocol::LossRecord> cleared;
  const auto known = losses_.find(fingerprint);
  if (known != losses_.end()) {
    std::erase_if(known->second, [&](const protocol::LossRecord& loss) {
      if (loss.group != group) {
        return false;
      }
      cleared.push_back(loss);
      return true;
    });
  }
  return cleared;
}

void CrashGuard::OnNotice(const protocol::TargetLossNotice& notice) {
  bool quarantined = false;
  {
    const RankedLock lock(mutex_);
    if (!Remember(notice.fingerprint, {notice.origin, notice.number, notice.group})) {
      return;
    }
    quarantined = AddLoss(notice.fingerprint, {notice.group, clock_.now()});
  }
  LogLoss(notice, quarantined);
  publish_(notice);
}

bool CrashGuard::AddLoss(std::uint64_t fingerprint, const TargetLoss& loss) {
  has_suspects_ = true;
  return quarantine_.OnTargetLost(CallerId(), fingerprint, loss);
}

bool CrashGuard::Remember(std::uint64_t fingerprint, const protocol::LossRecord& loss) {
  const NoticeKey key(loss.origin.host, loss.origin.incarnation, loss.number);
  if (!known_notices_.insert(key).second) {
    return false;
  }
  notice_order_.push_back(key);
  if (notice_order_.size() > options_.max_notices) {
    known_notices_.erase(notice_order_.front());
    notice_order_.pop_front();
  }
  std::set<protocol::LossRecord>& losses = losses_[fingerprint];
  losses.insert(loss);
  if (losses.size() > kMaxReportedLosses) {
    losses.erase(std::prev(losses.end()));
  }
  return true;
}

void CrashGuard::ForgetExpired() {
  std::erase_if(losses_, [this](const auto& suspect) {
    return quarantine_.Classify(CallerId(), suspect.first) == Suspicion::kNone;
  });
}

std::uint64_t CrashGuard::Digest() {
  const RankedLock lock(mutex_);
  ForgetExpired();
  std::size_t digest = 0;
  for (const auto& [fingerprint, losses] : losses_) {
    boost::hash_combine(digest, fingerprint);
    for (const protocol::LossRecord& loss : losses) {
      boost::hash_combine(digest, loss.origin.host.value());
      boost::hash_combine(digest, loss.origin.incarnation.value());
      boost::hash_combine(digest, loss.number);
    }
  }
  return digest;
}

std::vector<protocol::SuspectReport> CrashGuard::Report() {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  const RankedLock lock(mutex_);
  ForgetExpired();
  std::vector<protocol::SuspectRecord> records;
  records.reserve(losses_.size());
  for (const auto& [fingerprint, losses] : losses_) {
    records.push_back({fingerprint,
                       duration_cast<milliseconds>(quarantine_.Remaining(CallerId(), fingerprint)),
                       duration_cast<milliseconds>(quarantine_.KeptFor(CallerId(), fingerprint)),
                       {losses.begin(), losses.end()}});
  }
  std::ranges::sort(records, std::greater{}, [](const protocol::SuspectRecord& record) {
    return std::pair(record.quarantined_for, record.kept_for);
  });
  records.resize(std::min(records.size(), options_.max_reported));
  std::vector<protocol::SuspectReport> reports(1);
  std::size_t losses = 0;
  for (protocol::SuspectRecord& record : records) {
    losses += record.losses.size();
    if (losses > kMaxReportedLosses) {
      losses = record.losses.size();
      reports.emplace_back();
    }
    reports.back().suspects.push_back(std::move(record));
  }
  return reports;
}

void CrashGuard::OnReport(const HostId& from, const protocol::SuspectReport& report) {
  for (const protocol::SuspectRecord& record : report.suspects) {
    bool quarantined = false;
    {
      const RankedLock lock(mutex_);
      std::vector<GroupIndex> groups;
      for (const protocol::LossRecord& loss : record.losses) {
        if (Remember(record.fingerprint, loss)) {
          groups.push_back(loss.group);
        }
      }
      const bool is_known =
          quarantine_.Classify(CallerId(), record.fingerprint) != Suspicion::kNone;
      if (groups.empty() && !is_known) {
        // An answer has cleared these losses here.
        continue;
      }
      quarantined = quarantine_.Adopt(CallerId(), record.fingerprint, groups,
                                      Bounded(record.quarantined_for), Bounded(record.kept_for));
      has_suspects_ = quarantine_.size() > 0;
    }
    if (quarantined) {
      log_.Request("A request that crashes targets is refused, as another host does.",
                   {{"fingerprint", std::to_string(record.fingerprint)},
                    {"from", from.value()},
                    {"losses", std::to_string(record.losses.size())},
                    {"quarantined_ms", std::to_string(record.quarantined_for.count())}});
    }
  }
}

void CrashGuard::LogLoss(const protocol::TargetLossNotice& notice, bool quarantined) {
  log_.Request(quarantined ? "A request that crashes targets is refused from now on."
                           : "A target went down while running a request.",
               {{"fingerprint", std::to_string(notice.fingerprint)},
                {"group", std::to_string(notice.group.value())},
                {"seen_by", notice.origin.host.value()},
                {"notice", std::to_string(notice.number)}});
}

}  // namespace peridotfork
