#include "peridotfork/discovery/store_follower.h"

#include <algorithm>
#include <utility>

namespace peridotfork {
namespace {

// A shorter failure counts as a lost call and not as an outage: no entry expires meanwhile.
constexpr std::chrono::milliseconds kMinOutage{500};
constexpr std::uint32_t kMaxDoublings = 5;

std::string Milliseconds(std::chrono::nanoseconds time) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

}  // namespace

StoreFollower::StoreFollower(WorkerPool& pool,
                             const Clock& clock,
                             MetadataStore& store,
                             Logger& log,
                             Listener listener,
                             FollowerOptions options)
    : pool_(pool),
      clock_(clock),
      store_(store),
      log_(log),
      listener_(std::move(listener)),
      options_(options),
      directory_(clock),
      freshness_({options.max_age, options.watch_duration(), options.batch_delay()}) {}

void StoreFollower::Start() {
  pool_.Post([this] { ListPage(); });
}

void StoreFollower::ListPage() {
  if (stopped_) {
    return;
  }
  ++calls_;
  std::string page;
  {
    const RankedLock lock(mutex_);
    call_start_ = clock_.now();
    page = next_page_;
    if (page.empty()) {
      listing_start_ = call_start_;
    }
  }
  store_.List(page, [this](Result<StoreReply> reply) { OnPage(std::move(reply)); });
}

bool StoreFollower::BeginsNextPageAgain(const StoreReply& reply) {
  const RankedLock lock(mutex_);
  return !reply.next_page.empty() && reply.next_page == next_page_;
}

void StoreFollower::OnPage(Result<StoreReply> result) {
  if (result.has_value() && BeginsNextPageAgain(result.value())) {
    result = MakeError(ErrorKind::kMalformed, "store", "the pages of a listing do not advance");
  }
  if (!result.has_value()) {
    OnFailure(result.error());
    return;
  }
  StoreReply& reply = result.value();
  LogFaults(reply);
  bool complete = false;
  {
    const RankedLock lock(mutex_);
    OnAnswered();
    const bool is_first_page = !listing_revision_;
    if (ObserveEra(reply) && !is_first_page) {
      // The pages so far are of the era before.
      ResetListing();
    } else {
      // The pages do not form a consistent snapshot. The watch therefore starts at the revision of
      // the first page, and repeats the changes made during the listing.
      listing_revision_ = listing_revision_.value_or(reply.revision);
      ++listed_pages_;
      std::ranges::move(reply.changes, std::back_inserter(listed_changes_));
      next_page_ = reply.next_page;
      complete = next_page_.empty();
    }
    if (complete) {
      directory_.Replace(listed_changes_);
      revision_ = std::exchange(listing_revision_, std::nullopt);
      log_.Info("Listed the store.", {{"changes", std::to_string(listed_changes_.size())},
                                      {"revision", std::to_string(revision_->value())}});
      backlog_.OnListed(listed_pages_);
      ResetListing();
      Publish();
      freshness_.OnListed(listing_start_);
      current_as_of_ = freshness_.current_as_of();
    }
  }
  if (complete) {
    WatchNext();
  } else {
    ListPage();
  }
}

void StoreFollower::WatchNext() {
  std::chrono::milliseconds duration{0};
  {
    const RankedLock lock(mutex_);
    duration = freshness_.NextWatchDuration(clock_.now());
  }
  Watch(duration);
}

void StoreFollower::Watch(std::chrono::milliseconds duration) {
  if (stopped_) {
    return;
  }
  ++calls_;
  StoreRevision after;
  {
    const RankedLock lock(mutex_);
    call_start_ = clock_.now();
    after = revision_.value_or(StoreRevision(0));
    watch_duration_ = duration;
  }
  store_.Watch(after, duration, [this](Result<StoreReply> reply) { OnChanges(std::move(reply)); });
}

void StoreFollower::OnChanges(Result<StoreReply> result) {
  if (!result.has_value()) {
    OnFailure(result.error());
    return;
  }
  const StoreReply& reply = result.value();
  LogFaults(reply);
  std::chrono::milliseconds pause{0};
  NextRead next = NextRead::kList;
  {
    const RankedLock lock(mutex_);
    OnAnswered();
    // In a new era, changes may be missing after the revision that was watched.
    if (!ObserveEra(reply)) {
      next = ApplyChanges(reply);
    }
    if (next == NextRead::kReadOn || next == NextRead::kList) {
      freshness_.OnIncomplete();
    } else {
      freshness_.OnWatched(call_start_, watch_duration_, reply.empty, clock_.now());
      current_as_of_ = freshness_.current_as_of();
      pause = freshness_.NextBatchDelay(clock_.now());
    }
    if (next == NextRead::kList) {
      revision_.reset();
      ResetListing();
    }
  }
  Continue(next, pause);
}

NextRead StoreFollower::ApplyChanges(const StoreReply& reply) {
  revision_ = std::max(reply.revision, revision_.value_or(StoreRevision(0)));
  if (!reply.changes.empty()) {
    const CataloguePtr before = directory_.catalogue();
    directory_.Apply(reply.changes);
    const CataloguePtr& after = directory_.catalogue();
    if (after != before) {
      log_.Info("Activated a configuration.",
                {{"version", std::to_string(after->version().value())},
                 {"revision", std::to_string(reply.revision.value())}});
    }
    Publish();
  }
  const NextRead next = backlog_.OnWatched(reply);
  if (next == NextRead::kList) {
    log_.Info("Listing the store, since that takes fewer replies than its changes.",
              {{"revision", std::to_string(reply.revision.value())}});
  }
  return next;
}

void StoreFollower::Continue(NextRead next, std::chrono::milliseconds pause) {
  if (next == NextRead::kList) {
    ListPage();
  } else if (next == NextRead::kReadOn) {
    Watch(Freshness::kMinWatch);
  } else if (next == NextRead::kPause && pause > std::chrono::milliseconds(0)) {
    pool_.After(pause, [this] { WatchNext(); });
  } else {
    WatchNext();
  }
}

void StoreFollower::OnAnswered() {
  consecutive_failures_ = 0;
  directory_.OnReply(clock_.now() - call_start_);
  if (!failing_since_) {
    return;
  }
  const auto outage = clock_.now() - *std::exchange(failing_since_, std::nullopt);
  log_.Info("The store answers again.", {{"away_ms", Milliseconds(outage)}});
  if (outage >= kMinOutage) {
    directory_.OnStoreReturned();
  }
}

bool StoreFollower::ObserveEra(const StoreReply& reply) {
  if (!reply.era || (era_ && *reply.era <= *era_)) {
    return false;
  }
  const std::optional<StoreEra> before = std::exchange(era_, reply.era);
  if (!before) {
    return false;
  }
  log_.Warning("The store was restored from a copy.",
               {{"era", std::to_string(era_->value())},
                {"era_before", std::to_string(before->value())},
                {"revision", std::to_string(reply.revision.value())},
                {"revision_before", revision_ ? std::to_string(revision_->value()) : ""}});
  directory_.OnStoreRestored();
  return true;
}

void StoreFollower::ResetListing() {
  listed_changes_.clear();
  listed_pages_ = 0;
  listing_revision_.reset();
  next_page_.clear();
}

void StoreFollower::OnFailure(const Error& error) {
  ++failures_;
  bool skips_changes = false;
  bool list = false;
  std::chrono::nanoseconds call_time{0};
  std::chrono::nanoseconds delay{0};
  {
    const RankedLock lock(mutex_);
    call_time = clock_.now() - call_start_;
    // The store has answered, but the changes can't be read: their history is gone, or they do not
    // fit into a reply that is accepted. The same watch would fail again.
    skips_changes = error.kind() == ErrorKind::kStaleRevision ||
                    (error.kind() == ErrorKind::kTooLarge && revision_);
    if (skips_changes) {
      directory_.OnReply(call_time);
      revision_.reset();
    } else {
      failing_since_ = failing_since_.value_or(clock_.now());
      delay = RetryDelay(call_time);
    }
    ++consecutive_failures_;
    freshness_.OnFailed();
    list = !revision_;
    if (list) {
      ResetListing();
    }
  }
  log_.Warning("A call to the store failed.", {{"error", ToString(error)},
                                               {"call_ms", Milliseconds(call_time)},
                                               {"retry_in_ms", Milliseconds(delay)}});
  if (skips_changes) {
    ListPage();
    return;
  }
  pool_.After(delay, [this, list] {
    if (list) {
      ListPage();
    } else {
      WatchNext();
    }
  });
}

std::chrono::nanoseconds StoreFollower::RetryDelay(std::chrono::nanoseconds call_time) const {
  // A host without a configuration can't serve at all.
  const bool is_urgent = directory_.catalogue() == nullptr;
  const std::chrono::nanoseconds interval = std::min(
      is_urgent ? options_.max_first_retry_delay : options_.max_retry_delay,
      options_.initial_retry_delay * (1 << std::min(consecutive_failures_, kMaxDoublings)));
  return std::max(interval - call_time, std::chrono::nanoseconds(0));
}

void StoreFollower::LogFaults(const StoreReply& reply) {
  refused_values_ += reply.faults.size();
  for (const Error& fault : reply.faults) {
    log_.Warning("A value in the store was refused.", {{"error", ToString(fault)}});
  }
}

void StoreFollower::Publish() {
  listener_(directory_);
  ScheduleRemovals();
}

void StoreFollower::ScheduleRemovals() {
  const std::optional<BootTime> due = directory_.next_removal();
  if (due && !std::exchange(removal_scheduled_, true)) {
    pool_.After(*due - clock_.now(), [this] { RemoveExpired(); });
  }
}

void StoreFollower::RemoveExpired() {
  const RankedLock lock(mutex_);
  removal_scheduled_ = false;
  if (stopped_) {
    return;
  }
  if (directory_.RemoveExpired()) {
    log_.Info("Removed targets that did not report again.");
    listener_(directory_);
  }
  // The removals may have been deferred further since this call was scheduled.
  ScheduleRemovals();
}

}  // namespace peridotfork
