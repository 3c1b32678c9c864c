#include "peridotfork/gateway/crash_guard.h"

#include <string>
#include <string_view>
#include <utility>

namespace peridotfork {
namespace {

constexpr std::chrono::seconds kCheckWindow{1};

std::string_view View(boost::beast::string_view text) {
  return {text.data(), text.size()};
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
  std::string text(View(request.method_string()));
  text.append(1, ' ').append(View(request.target())).append(1, '\n').append(request.body());
  const ServiceId host(std::string(View(request[boost::beast::http::field::host])));
  const CallerId caller(identity.tenant == nullptr ? std::string() : identity.tenant->id.value());
  return Quarantine::Fingerprint(caller, host, text);
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
    RememberNotice(notice);
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
  quarantine_.OnAnswered(CallerId(), fingerprint, group);
  has_suspects_ = quarantine_.size() > 0;
}

void CrashGuard::OnNotice(const protocol::TargetLossNotice& notice) {
  bool quarantined = false;
  {
    const RankedLock lock(mutex_);
    if (!RememberNotice(notice)) {
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

bool CrashGuard::RememberNotice(const protocol::TargetLossNotice& notice) {
  const NoticeKey key(notice.origin.host, notice.origin.incarnation, notice.number);
  if (!known_notices_.insert(key).second) {
    return false;
  }
  notice_order_.push_back(key);
  if (notice_order_.size() > options_.max_notices) {
    known_notices_.erase(notice_order_.front());
    notice_order_.pop_front();
  }
  return true;
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
