#include <doctest/doctest.h>

#include <map>
#include <random>
#include <set>
#include <tuple>

#include "query/fake_query_environment.h"

// Runs queries against simulated targets that reply at random, and compares every
// answer with the replies that the model has recorded.
namespace peridotfork::query {
namespace {

using std::chrono::milliseconds;

struct Reply {
  AttemptId attempt;
  ErrorKind outcome = kOk;
  Snapshot snapshot;
  std::vector<Record> records;
};

class Model : public FakeQueryEnvironment {
 public:
  explicit Model(std::uint32_t seed) : random_(seed) {
    for (int i = Pick(1, 8); i > 0; --i) {
      // Drawn one by one, so that a seed gives the same model with every compiler.
      const int targets = Pick(1, 4);
      const bool has_new = Chance(70);
      AddGroup(targets, has_new ? std::vector{kOld, kNew} : std::vector{kOld});
    }
    if (Chance(30)) {
      hedging = &no_hedge;
    }
    has_pauses_ = Chance(20);
    newer = SnapshotChoice{kNew, 0, 0};
  }

  void RunQuery() {
    Prepare();
    not_owner_replies_ = 0;
    QueryExecution query = MakeQuery(time_, require_, limit_);
    Apply(query.Start());
    while (!outcome_) {
      Step(query);
    }
    CHECK(query.finished());
    CHECK(live_.empty());
    CheckOutcome();
  }

  void CheckBudgets() const {
    const double first = total_.first;
    CHECK(total_.hedges <= 10 + 0.02 * first + 1e-6);
    CHECK(total_.retries + wasted_ <= 20 + 0.05 * first + 1e-6);
  }

  AttemptCounts total() const { return total_; }

 private:
  int Pick(int low, int high) { return std::uniform_int_distribution(low, high)(random_); }
  bool Chance(int percent) { return Pick(1, 100) <= percent; }

  void Prepare() {
    const auto count = static_cast<std::uint32_t>(groups.size());
    newer = SnapshotChoice{kNew, count, static_cast<std::uint32_t>(Pick(0, 1)) * count};
    require_ = Chance(50) ? Require::kPartial : Require::kComplete;
    limit_ = Chance(50) ? 0 : static_cast<std::uint32_t>(Pick(1, 6));
    time_ = milliseconds(Pick(1, 200));
    fault_percent_ = Chance(50) ? 2 : 30;
    start_ = clock.now();
    answered_.clear();
    tried_.clear();
    sent_ = {};
    outcome_.reset();
  }

  // Advances to the next reply or timer, or past both if the process is paused.
  void Step(QueryExecution& query) {
    const BootTime timer = query.NextTimer();
    const bool reply_first = !replies_.empty() && replies_.begin()->first <= timer;
    const BootTime next = reply_first ? replies_.begin()->first : timer;
    const milliseconds pause(has_pauses_ && Chance(5) ? Pick(1, 300) : 0);
    clock.Advance(std::max(next - clock.now(), std::chrono::nanoseconds(0)) + pause);
    if (!reply_first) {
      Apply(query.OnTimer());
      return;
    }
    const Reply reply = replies_.begin()->second;
    replies_.erase(replies_.begin());
    const auto attempt = live_.find(reply.attempt);
    if (attempt != live_.end()) {
      if (reply.outcome == kOk && reply.snapshot == attempt->second.snapshot) {
        answered_[reply.snapshot].insert(attempt->second.group.value());
      }
      live_.erase(attempt);
    }
    Apply(query.OnReply(reply.attempt, reply.outcome, reply.snapshot, reply.records));
  }

  void Apply(const QueryActions& actions) {
    for (const QueryAction& action : actions) {
      REQUIRE_FALSE(outcome_);
      if (const auto* send = std::get_if<SendAttempt>(&action)) {
        OnSend(*send);
      } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
        CHECK(live_.erase(cancel->attempt) == 1);
      } else {
        outcome_ = std::get<FinishQuery>(action).outcome;
      }
    }
  }

  void OnSend(const SendAttempt& send) {
    CHECK(clock.now() < start_ + time_ - kAnswerMargin);
    CHECK(tried_.insert({send.snapshot, send.target}).second);
    CHECK(answered_[send.snapshot].count(send.group.value()) == 0);
    CHECK(std::ranges::count_if(
              live_, [&](const auto& live) { return live.second.group == send.group; }) < 2);
    CHECK(live_.emplace(send.attempt, send).second);
    ++sent_[send.snapshot];
    ScheduleReply(send);
  }

  // Schedules a reply of any kind, sometimes two, sometimes none.
  void ScheduleReply(const SendAttempt& send) {
    static constexpr ErrorKind kFailures[] = {ErrorKind::kShed,         ErrorKind::kSnapshotGone,
                                              ErrorKind::kSnapshotGone, ErrorKind::kTargetLost,
                                              ErrorKind::kTimedOut,     ErrorKind::kNotOwner,
                                              ErrorKind::kMalformed,    ErrorKind::kCancelled};
    if (Chance(fault_percent_)) {
      return;
    }
    Reply reply{send.attempt, kOk, send.snapshot, {}};
    if (Chance(fault_percent_)) {
      reply.outcome = kFailures[Pick(0, 7)];
      not_owner_replies_ += reply.outcome == ErrorKind::kNotOwner ? 1 : 0;
    } else if (Chance(fault_percent_ / 2)) {
      reply.snapshot = send.snapshot == kOld ? kNew : kOld;
    }
    reply.records = RecordsOf(send.group.value(), reply.snapshot);
    if (Chance(fault_percent_ / 4)) {
      reply.attempt = AttemptId(send.attempt.value() + 1'000'000);
    }
    for (int copies = Chance(fault_percent_) ? 2 : 1; copies > 0; --copies) {
      const milliseconds latency(Chance(fault_percent_) ? Pick(50, 500) : Pick(1, 20));
      replies_.emplace(clock.now() + latency, reply);
      latencies.Observe(send.target, {ServiceId("desk"), send.group}, latency);
    }
  }

  // Returns three records, one of which the next group also has.
  static std::vector<Record> RecordsOf(std::uint32_t group, Snapshot snapshot) {
    std::vector<Record> records;
    for (std::uint32_t i = 0; i < 3; ++i) {
      const std::uint32_t id = group * 2 + i;
      records.push_back({RecordId(std::to_string(id)), static_cast<double>(id % 4),
                         std::to_string(snapshot.index.value())});
    }
    return records;
  }

  void CheckOutcome() {
    const QueryOutcome& outcome = *outcome_;
    const std::set<std::uint32_t>& answered = answered_[outcome.snapshot];
    if (!has_pauses_) {
      CHECK(clock.now() <= std::max(start_, start_ + time_ - kAnswerMargin));
    }
    CHECK(outcome.coverage.groups_total == groups.size());
    CHECK(outcome.coverage.groups_answered == answered.size());
    CHECK(outcome.missing.size() == groups.size() - answered.size());
    for (const MissingGroup& group : outcome.missing) {
      CHECK(answered.count(group.group.value()) == 0);
      CHECK(group.reason != kOk);
    }
    CHECK((outcome.result == QueryResult::kComplete) == outcome.missing.empty());
    CHECK((outcome.result != QueryResult::kPartial || require_ == Require::kPartial));
    CHECK((outcome.result == QueryResult::kRefused) == (outcome.reason != kOk));
    CheckRecords(outcome, answered);
    CountAttempts(outcome);
  }

  void CheckRecords(const QueryOutcome& outcome, const std::set<std::uint32_t>& answered) const {
    std::set<std::tuple<double, std::string>> expected;
    if (outcome.result != QueryResult::kRefused) {
      for (const std::uint32_t group : answered) {
        for (const Record& record : RecordsOf(group, outcome.snapshot)) {
          expected.insert({-record.rank, record.id.value()});
        }
      }
    }
    CHECK(outcome.coverage.records == expected.size());
    const std::size_t count =
        limit_ == 0 ? expected.size() : std::min<std::size_t>(limit_, expected.size());
    REQUIRE(outcome.records.size() == count);
    auto next = expected.begin();
    for (const Record& record : outcome.records) {
      CHECK(std::tuple(-record.rank, record.id.value()) == *next++);
      CHECK(record.json == std::to_string(outcome.snapshot.index.value()));
    }
  }

  void CountAttempts(const QueryOutcome& outcome) {
    const AttemptCounts& counts = outcome.attempts;
    CHECK(counts.first + counts.hedges + counts.retries + counts.reroutes ==
          sent_[kOld] + sent_[kNew]);
    // A reroute is not charged to the budget, so each one requires a reply that says that
    // the attempt reached no target.
    CHECK(counts.reroutes <= not_owner_replies_);
    CHECK(counts.restarts <= 1);
    CHECK((counts.restarts == 1) == (outcome.snapshot == kNew));
    total_.first += counts.first;
    total_.hedges += counts.hedges;
    total_.retries += counts.retries;
    total_.restarts += counts.restarts;
    wasted_ += counts.restarts > 0 ? answered_[kOld].size() : 0;
  }

  std::mt19937 random_;
  bool has_pauses_ = false;
  // Scheduled for the current query.
  std::uint32_t not_owner_replies_ = 0;
  int fault_percent_ = 0;
  Require require_ = Require::kPartial;
  std::uint32_t limit_ = 0;
  milliseconds time_{0};
  BootTime start_;
  // Kept across queries, so that a query also receives replies to the previous one.
  std::multimap<BootTime, Reply> replies_;
  std::map<AttemptId, SendAttempt> live_;
  std::map<Snapshot, std::set<std::uint32_t>> answered_;
  std::set<std::pair<Snapshot, TargetId>> tried_;
  std::map<Snapshot, std::uint32_t> sent_;
  std::optional<QueryOutcome> outcome_;
  AttemptCounts total_;
  std::size_t wasted_ = 0;
};

// Guards invariants 1, 2 and 5 of the design and the limits on extra attempts.
TEST_CASE("answers are correct whatever the targets reply") {
  AttemptCounts total;
  for (std::uint32_t seed = 1; seed <= 400; ++seed) {
    CAPTURE(seed);
    Model model(seed);
    for (int i = 0; i < 25; ++i) {
      model.RunQuery();
    }
    model.CheckBudgets();
    total.hedges += model.total().hedges;
    total.retries += model.total().retries;
    total.restarts += model.total().restarts;
  }
  // Verifies that the model exercises all of these paths.
  CHECK(total.hedges > 100);
  CHECK(total.retries > 100);
  CHECK(total.restarts > 100);
  MESSAGE("hedges ", total.hedges, ", retries ", total.retries, ", restarts ", total.restarts);
}

}  // namespace
}  // namespace peridotfork::query
