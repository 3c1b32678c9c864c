#include "peridotfork/standin/target_model.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "peridotfork/internal/standin/stable_hash.h"

namespace peridotfork::standin {
namespace {

// Maximum time to a deadline. Later deadlines are clamped to this, so that their
// times on the boot clock do not overflow.
constexpr std::chrono::microseconds kMaxDeadline = std::chrono::hours(1);

}  // namespace

TargetModel::TargetModel(TargetTraits traits,
                         std::vector<StoredSnapshot> snapshots,
                         std::uint64_t seed,
                         const Clock& clock)
    : traits_(traits),
      clock_(clock),
      random_(MixBits(seed)),
      snapshots_(std::move(snapshots)),
      cold_start_(traits_) {
  UpdateReports(clock_.now());
}

Result<Admission> TargetModel::Submit(const WorkRequest& request) {
  if (const std::optional<ErrorKind> reason = ReasonToRefuse(request)) {
    journal_.Refused(*reason);
    return MakeError(*reason, "target");
  }
  const BootTime now = clock_.now();
  Work work;
  work.id = WorkId(++last_work_);
  work.request = request;
  work.snapshot = FindSnapshot(request).value_or(StoredSnapshot{});
  work.deadline = now + std::min(kMaxDeadline, request.deadline - clock_.wall_now());
  work.crashes = !crash_word_.empty() && request.text.find(crash_word_) != std::string::npos;
  const Admission admission{work.id, work.snapshot};
  queue_.push_back(std::move(work));
  StartQueued(now);
  UpdateReports(now);
  return admission;
}

std::optional<ErrorKind> TargetModel::ReasonToRefuse(const WorkRequest& request) {
  if (down_) {
    return ErrorKind::kUnavailable;
  }
  if (draining_) {
    return ErrorKind::kDraining;
  }
  if (request.deadline <= clock_.wall_now()) {
    return ErrorKind::kExpired;
  }
  if (!FindSnapshot(request)) {
    return ErrorKind::kSnapshotGone;
  }
  const bool full = in_flight() >= traits_.slots.value() + traits_.queue_limit;
  if (full || (shedding_share_ > 0 && Uniform() < shedding_share_)) {
    return ErrorKind::kShed;
  }
  return std::nullopt;
}

std::optional<StoredSnapshot> TargetModel::FindSnapshot(const WorkRequest& request) const {
  const auto matches = [&request](const StoredSnapshot& stored) {
    return !request.snapshot || stored.snapshot == *request.snapshot;
  };
  // The newest snapshot comes last and is used if the request specifies none.
  const auto found = std::find_if(snapshots_.rbegin(), snapshots_.rend(), matches);
  if (found == snapshots_.rend()) {
    return std::nullopt;
  }
  return *found;
}

std::uint32_t TargetModel::Cancel(const std::string& attempt) {
  const std::size_t before = finished_.size();
  std::erase_if(queue_, [&](const Work& work) {
    const bool ends = work.request.attempt == attempt;
    if (ends) {
      End(work, WorkOutcome::kCancelled, false);
    }
    return ends;
  });
  std::erase_if(running_, [&](const Work& work) {
    const bool ends = work.request.attempt == attempt && work.request.kind == WorkKind::kSearch;
    if (ends) {
      End(work, WorkOutcome::kCancelled, true);
    }
    return ends;
  });
  StartQueued(clock_.now());
  UpdateReports(clock_.now());
  return static_cast<std::uint32_t>(finished_.size() - before);
}

std::vector<Finished> TargetModel::ProcessDueEvents() {
  const BootTime now = clock_.now();
  RestartIfDue(now);
  if (!down_ && !CrashIfOverloaded(now)) {
    EndDueWork(now);
    EndExpiredWork(now);
    StartQueued(now);
  }
  UpdateReports(now);
  return std::exchange(finished_, {});
}

std::optional<BootTime> TargetModel::next_event() const {
  std::optional<BootTime> next = down_ ? restart_time_ : cold_start_.crash_time();
  const auto consider = [&next](BootTime time) { next = next ? std::min(*next, time) : time; };
  for (const Work& work : running_) {
    consider(work.end);
  }
  for (const Work& work : queue_) {
    consider(work.deadline);
  }
  if (!finished_.empty()) {
    consider(clock_.now());
  }
  return next;
}

void TargetModel::StartQueued(BootTime now) {
  while (!down_ && !queue_.empty() && running_.size() < traits_.slots.value()) {
    Work work = std::move(queue_.front());
    queue_.pop_front();
    Start(std::move(work), now);
  }
}

void TargetModel::Start(Work work, BootTime now) {
  const BootTime end = now + (work.crashes ? traits_.crash_delay : DrawServiceTime(now));
  work.end = std::min(end, work.deadline);
  JournalEntry entry;
  entry.work = work.id;
  entry.attempt = work.request.attempt;
  entry.kind = work.request.kind;
  entry.body_hash = work.request.body_hash;
  entry.booking_key = work.request.booking_key;
  entry.snapshot = work.snapshot.snapshot;
  entry.start = clock_.wall_now();
  entry.in_flight = in_flight() + 1;
  entry.bound = cold_start_.ConcurrencyLimit(now);
  journal_.Started(std::move(entry));
  running_.push_back(std::move(work));
}

void TargetModel::EndDueWork(BootTime now) {
  const auto is_due = [now](const Work& work) { return work.end <= now; };
  if (std::ranges::any_of(running_,
                          [&](const Work& work) { return is_due(work) && work.crashes; })) {
    Crash();
    return;
  }
  std::erase_if(running_, [&](const Work& work) {
    if (!is_due(work)) {
      return false;
    }
    const bool late = work.end >= work.deadline;
    End(work, late ? WorkOutcome::kDeadline : WorkOutcome::kDone, true);
    if (!late) {
      cold_start_.CountAnswer(now);
    }
    return true;
  });
}

void TargetModel::EndExpiredWork(BootTime now) {
  std::erase_if(queue_, [&](const Work& work) {
    const bool expired = work.deadline <= now;
    if (expired) {
      End(work, WorkOutcome::kDeadline, false);
    }
    return expired;
  });
}

void TargetModel::End(const Work& work, WorkOutcome outcome, bool started) {
  if (started) {
    journal_.Ended(work.id, outcome, clock_.wall_now());
  } else if (outcome == WorkOutcome::kDeadline) {
    journal_.Refused(ErrorKind::kExpired);
  }
  finished_.push_back(Finished{work.id, outcome, started});
}

bool TargetModel::CrashIfOverloaded(BootTime now) {
  const std::optional<BootTime> time = cold_start_.crash_time();
  if (!time || *time > now) {
    return false;
  }
  Crash();
  return true;
}

void TargetModel::Crash() {
  if (down_) {
    return;
  }
  for (const Work& work : running_) {
    End(work, WorkOutcome::kCrashed, true);
  }
  for (const Work& work : queue_) {
    End(work, WorkOutcome::kCrashed, false);
  }
  running_.clear();
  queue_.clear();
  down_ = true;
  journal_.Crashed();
  cold_start_.MarkWarm();
  cold_start_.SetInFlight(0, clock_.now());
  if (traits_.restart_delay.count() >= 0) {
    restart_time_ = clock_.now() + traits_.restart_delay;
  }
  UpdateReports(clock_.now());
}

void TargetModel::Restart() {
  Crash();
  restart_time_ = clock_.now();
}

void TargetModel::RestartIfDue(BootTime now) {
  if (down_ && restart_time_ && *restart_time_ <= now) {
    down_ = false;
    draining_ = false;
    restart_time_.reset();
    cold_start_.MarkCold(now);
  }
}

void TargetModel::MarkCold(const ColdTraits& traits) {
  traits_.cold = traits;
  cold_start_.MarkCold(clock_.now());
  UpdateReports(clock_.now());
}

void TargetModel::MarkWarm() {
  cold_start_.MarkWarm();
  UpdateReports(clock_.now());
}

void TargetModel::set_draining(bool draining) {
  draining_ = draining;
  UpdateReports(clock_.now());
}

void TargetModel::set_snapshots(std::vector<StoredSnapshot> snapshots) {
  std::ranges::sort(snapshots, {}, &StoredSnapshot::snapshot);
  snapshots_ = std::move(snapshots);
  UpdateReports(clock_.now());
}

bool TargetModel::Connected() {
  if (down_ || connections_ >= traits_.connections.value()) {
    return false;
  }
  ++connections_;
  peak_connections_ = std::max(peak_connections_, connections_);
  return true;
}

void TargetModel::Disconnected() {
  --connections_;
}

void TargetModel::UpdateReports(BootTime now) {
  cold_start_.SetInFlight(in_flight(), now);
  health_.Set(true_health(), now, traits_.health_lag);
  load_.Set(true_load(), now, traits_.load_lag);
}

std::chrono::nanoseconds TargetModel::DrawServiceTime(BootTime now) {
  std::normal_distribution<double> normal;
  double factor = std::exp(traits_.service_sigma * normal(random_));
  if (Uniform() < traits_.straggler_rate) {
    factor *= traits_.straggler_factor;
  }
  factor *= slow_factor_ * cold_start_.ServiceTimeFactor(now);
  const double nanoseconds =
      factor * static_cast<double>(std::chrono::nanoseconds(traits_.median_service).count());
  return std::chrono::nanoseconds(static_cast<std::int64_t>(nanoseconds));
}

double TargetModel::Uniform() {
  return static_cast<double>(random_() >> 11) * 0x1.0p-53;
}

Condition TargetModel::condition() const {
  if (down_) {
    return Condition::kDown;
  }
  if (draining_) {
    return Condition::kDraining;
  }
  return cold_start_.cold() ? Condition::kCold : Condition::kWarm;
}

HealthReport TargetModel::true_health() const {
  return HealthReport{condition(), snapshots_, traits_.slots,
                      cold_start_.ConcurrencyLimit(clock_.now())};
}

LoadReport TargetModel::true_load() const {
  return LoadReport{static_cast<std::uint32_t>(running_.size()),
                    static_cast<std::uint32_t>(queue_.size()), std::chrono::milliseconds(0)};
}

HealthReport TargetModel::reported_health() {
  return wrong_health_ ? *wrong_health_ : health_.Get(clock_.now(), traits_.health_lag);
}

LoadReport TargetModel::reported_load() {
  if (wrong_load_) {
    return *wrong_load_;
  }
  LoadReport report = load_.Get(clock_.now(), traits_.load_lag);
  report.age = traits_.load_lag;
  return report;
}

}  // namespace peridotfork::standin
