#include "peridotfork/standin/standin_target.h"

#include <boost/asio/post.hpp>
#include <charconv>

#include "peridotfork/internal/standin/stable_hash.h"
#include "peridotfork/internal/standin/target_control.h"

namespace peridotfork::standin {
namespace {

// Delay before another attempt to bind the port of a restarted target.
constexpr std::chrono::milliseconds kRebindPause{50};

std::vector<StoredSnapshot> FirstSnapshots(const TargetSpec& spec) {
  return {{{IndexVersion(1), PartitionMapVersion(1)}, spec.group_count}};
}

}  // namespace

const StandinTarget::Route StandinTarget::kRoutes[] = {
    {"POST", "/search", &StandinTarget::Search},   {"POST", "/book", &StandinTarget::Book},
    {"POST", "/cancel", &StandinTarget::Cancel},   {"GET", "/health", &StandinTarget::Health},
    {"GET", "/load", &StandinTarget::Load},        {"GET", "/journal", &StandinTarget::Journal},
    {"POST", "/control", &StandinTarget::Control},
};

StandinTarget::StandinTarget(WorkerPool& pool,
                             const Clock& clock,
                             const RecordSet& records,
                             TargetSpec spec,
                             std::uint64_t seed)
    : pool_(pool),
      clock_(clock),
      records_(records),
      spec_(std::move(spec)),
      listener_(new TargetListener(pool.context(), *this)),
      model_(spec_.traits, FirstSnapshots(spec_), StableHash(spec_.id.value(), seed), clock),
      timer_(pool.context()) {}

StandinTarget::~StandinTarget() {
  listener_->Clear();
}

Result<void> StandinTarget::Listen() {
  const Result<void> opened = listener_->Open(spec_.address);
  if (!opened) {
    return opened.error();
  }
  address_ = listener_->address();
  const RankedLock lock(mutex_);
  listening_ = true;
  return boost::outcome_v2::success();
}

bool StandinTarget::OnConnect() {
  const RankedLock lock(mutex_);
  return model_.Connected();
}

void StandinTarget::OnDisconnect() {
  const RankedLock lock(mutex_);
  model_.Disconnected();
}

std::chrono::microseconds StandinTarget::connect_cost() const {
  const RankedLock lock(mutex_);
  return model_.connect_cost();
}

void StandinTarget::Handle(http::Request request, http::Responder respond) {
  for (const Route& route : kRoutes) {
    if (request.method == route.method && request.path == route.path) {
      (this->*route.handle)(request, respond);
      return;
    }
  }
  respond(http::ErrorResponse(404, MakeError(ErrorKind::kUnknownName, "path", request.path)));
}

void StandinTarget::Search(const http::Request& request, const http::Responder& respond) {
  Run(WorkKind::kSearch, request.body, respond);
}

void StandinTarget::Book(const http::Request& request, const http::Responder& respond) {
  Run(WorkKind::kBooking, request.body, respond);
}

void StandinTarget::Run(WorkKind kind, const std::string& body, const http::Responder& respond) {
  Result<TargetRequest> request = DecodeTargetRequest(kind, body);
  if (!request) {
    respond(http::ErrorResponse(400, request.error()));
    return;
  }
  if (request.value().group != spec_.group) {
    respond(http::ErrorResponse(
        400, MakeError(ErrorKind::kUnknownName, "body.group", "target serves a different group")));
    return;
  }
  std::vector<CompletedWork> ready;
  std::optional<http::Response> refusal;
  {
    const RankedLock lock(mutex_);
    ready = ProcessDueEventsLocked();
    const Result<Admission> admission = model_.Submit(request.value().work);
    if (admission) {
      pending_.emplace(admission.value().work,
                       Pending{std::move(request).value(), admission.value().snapshot, respond});
      ArmTimerLocked();
    } else {
      refusal = EncodeFailure(admission.error(), ReportLocked());
    }
  }
  Answer(ready);
  if (refusal) {
    respond(std::move(*refusal));
  }
}

void StandinTarget::Cancel(const http::Request& request, const http::Responder& respond) {
  const Result<std::string> attempt = DecodeCancel(request.body);
  if (!attempt) {
    respond(http::ErrorResponse(400, attempt.error()));
    return;
  }
  std::uint32_t count = 0;
  std::vector<CompletedWork> ready;
  {
    const RankedLock lock(mutex_);
    count = model_.Cancel(attempt.value());
    ready = ProcessDueEventsLocked();
  }
  Answer(ready);
  respond(JsonResponse(200, {{"cancelled", count}}));
}

void StandinTarget::Health(const http::Request& /*request*/, const http::Responder& respond) {
  HealthReport report;
  {
    const RankedLock lock(mutex_);
    report = model_.reported_health();
  }
  respond(EncodeHealth(report));
}

void StandinTarget::Load(const http::Request& /*request*/, const http::Responder& respond) {
  LoadReport report;
  {
    const RankedLock lock(mutex_);
    report = model_.reported_load();
  }
  respond(EncodeLoad(report));
}

void StandinTarget::Journal(const http::Request& request, const http::Responder& respond) {
  std::uint64_t after = 0;
  if (const auto found = request.query.find("after"); found != request.query.end()) {
    std::from_chars(found->second.data(), found->second.data() + found->second.size(), after);
  }
  JournalView view;
  {
    const RankedLock lock(mutex_);
    view = ViewJournal(model_, WorkId(after));
  }
  respond(EncodeJournal(spec_.id, spec_.group, view));
}

void StandinTarget::Control(const http::Request& request, const http::Responder& respond) {
  std::optional<bool> silent;
  Result<void> applied = boost::outcome_v2::success();
  std::vector<CompletedWork> ready;
  {
    const RankedLock lock(mutex_);
    TargetControl control(model_);
    applied = control.Apply(request.body);
    silent = control.silent();
    ready = ProcessDueEventsLocked();
  }
  Answer(ready);
  if (silent) {
    listener_->SetSilent(*silent);
  }
  respond(applied ? JsonResponse(200, {{"target", spec_.id.value()}, {"ok", true}})
                  : http::ErrorResponse(400, applied.error()));
}

std::vector<StandinTarget::CompletedWork> StandinTarget::ProcessDueEventsLocked() {
  std::vector<CompletedWork> ready;
  for (const Finished& finished : model_.ProcessDueEvents()) {
    auto node = pending_.extract(finished.work);
    // After a crash the connections are reset without a response.
    if (!node.empty() && finished.outcome != WorkOutcome::kCrashed) {
      ready.push_back(CompletedWork{finished, std::move(node.mapped()), ReportLocked()});
    }
  }
  const bool up = model_.condition() != Condition::kDown;
  if (up != listening_ || model_.journal().crashes() != crashes_handled_) {
    boost::asio::post(listener_->executor(), [this] { SyncListener(); });
  }
  ArmTimerLocked();
  return ready;
}

void StandinTarget::ArmTimerLocked() {
  const std::optional<BootTime> next = model_.next_event();
  if (next == timer_due_) {
    return;
  }
  timer_due_ = next;
  if (!next) {
    timer_.cancel();
    return;
  }
  timer_.expires_after(*next - clock_.now());
  timer_.async_wait([this](const boost::system::error_code& code) {
    if (!code) {
      ProcessDueEvents();
    }
  });
}

TargetReport StandinTarget::ReportLocked() const {
  return {model_.condition(), model_.true_load(), model_.true_health().snapshots};
}

void StandinTarget::ProcessDueEvents() {
  std::vector<CompletedWork> ready;
  {
    const RankedLock lock(mutex_);
    timer_due_.reset();
    ready = ProcessDueEventsLocked();
  }
  Answer(ready);
}

void StandinTarget::Answer(const std::vector<CompletedWork>& ready) const {
  for (const CompletedWork& item : ready) {
    item.pending.respond(MakeResponse(item));
  }
}

http::Response StandinTarget::MakeResponse(const CompletedWork& ready) const {
  const auto& [finished, pending, report] = ready;
  const Snapshot& snapshot = pending.snapshot.snapshot;
  if (finished.outcome == WorkOutcome::kCancelled) {
    const char* detail =
        finished.started ? "cancelled after the work started" : "cancelled before the work started";
    return EncodeFailure(MakeError(ErrorKind::kCancelled, "target", detail), report);
  }
  if (finished.outcome != WorkOutcome::kDone) {
    const ErrorKind kind = finished.started ? ErrorKind::kTimedOut : ErrorKind::kExpired;
    return EncodeFailure(MakeError(kind, "target", "deadline exceeded"), report);
  }
  if (pending.request.work.kind == WorkKind::kBooking) {
    return EncodeBooked(pending.request, spec_.id, snapshot, report);
  }
  RecordQuery query;
  query.group = spec_.group;
  query.group_count = pending.snapshot.group_count;
  query.snapshot = snapshot;
  query.words = pending.request.words;
  query.limit = pending.request.limit;
  return EncodeHits(records_.Search(query), snapshot, report);
}

void StandinTarget::SyncListener() {
  bool up = false;
  bool crashed = false;
  {
    const RankedLock lock(mutex_);
    up = model_.condition() != Condition::kDown;
    crashed = model_.journal().crashes() != crashes_handled_;
    crashes_handled_ = model_.journal().crashes();
  }
  // A target that crashed and has already restarted is up, but its connections
  // must still be reset.
  if (crashed && listener_->is_open()) {
    listener_->CloseAndReset();
  }
  if (up && !listener_->is_open() && !listener_->Open(address_)) {
    pool_.After(kRebindPause,
                [this] { boost::asio::post(listener_->executor(), [this] { SyncListener(); }); });
    return;
  }
  const RankedLock lock(mutex_);
  listening_ = up;
}

}  // namespace peridotfork::standin
