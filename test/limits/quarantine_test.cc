#include "peridotfork/limits/quarantine.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "peridotfork/limits/target_queue.h"

namespace peridotfork {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const CallerId kClerk{"clerk"};
const CallerId kPortal{"portal"};
constexpr std::uint64_t kFingerprint = 77;

class QuarantineTest {
 protected:
  // Sends an attempt and reports its loss 5 ms later.
  bool Lose(bool alone, std::uint32_t group = 0, const CallerId& caller = kClerk) {
    clock_.Advance(milliseconds(1));
    const BootTime sent = clock_.now();
    clock_.Advance(milliseconds(5));
    return quarantine_.OnTargetLost(caller, kFingerprint, {GroupIndex{group}, sent, alone});
  }

  ManualClock clock_;
  Quarantine quarantine_{clock_, {}};
};

TEST_CASE("a fingerprint distinguishes callers, services and bodies and is stable") {
  const auto fingerprint_of = [](const char* caller, const char* service, const char* body) {
    return Quarantine::Fingerprint(CallerId{caller}, ServiceId{service}, body);
  };
  CHECK(fingerprint_of("a", "bc", "d") != fingerprint_of("ab", "c", "d"));
  CHECK(fingerprint_of("a", "b", "cd") != fingerprint_of("a", "bc", "d"));
  // Entries of different builds exchange fingerprints, so the value must not change.
  CHECK(fingerprint_of("clerk-desk", "hearing-desk", "{}") == 13169287134520171982U);
}

TEST_CASE_FIXTURE(QuarantineTest,
                  "a request is quarantined for 60 s after its second loss if one of the lost "
                  "attempts ran alone") {
  CHECK_FALSE(Lose(false));
  CHECK(quarantine_.Classify(kClerk, kFingerprint) == Suspicion::kSuspect);
  CHECK(Lose(true));
  CHECK(quarantine_.IsQuarantined(kClerk, kFingerprint));
  CHECK(quarantine_.Remaining(kClerk, kFingerprint) == seconds(60));
  clock_.Advance(seconds(60));
  CHECK_FALSE(quarantine_.IsQuarantined(kClerk, kFingerprint));
  // It is still a suspect, and one more loss quarantines it again.
  CHECK(quarantine_.Classify(kClerk, kFingerprint) == Suspicion::kSuspect);
  CHECK(Lose(true));
}

TEST_CASE_FIXTURE(QuarantineTest, "an answer from the group of the loss clears the request") {
  Lose(false, 3);
  quarantine_.OnAnswered(kClerk, kFingerprint, GroupIndex{4});
  CHECK(quarantine_.Classify(kClerk, kFingerprint) == Suspicion::kSuspect);
  quarantine_.OnAnswered(kClerk, kFingerprint, GroupIndex{3});
  CHECK(quarantine_.Classify(kClerk, kFingerprint) == Suspicion::kNone);
  CHECK(quarantine_.size() == 0);
}

// Guards against quarantining after two losses among other attempts, which can be a coincidence.
TEST_CASE_FIXTURE(QuarantineTest,
                  "a request that never ran alone is quarantined after three losses") {
  CHECK_FALSE(Lose(false));
  CHECK_FALSE(Lose(false));
  CHECK(Lose(false));
}

// Guards against quarantining because of the failure of a data centre, which fails attempts of one
// query in many groups at once.
TEST_CASE_FIXTURE(QuarantineTest,
                  "losses of attempts that were in flight at the same time count once") {
  const BootTime sent = clock_.now();
  for (std::uint32_t group = 0; group < 40; ++group) {
    clock_.Advance(milliseconds(2));
    CHECK_FALSE(quarantine_.OnTargetLost(kClerk, kFingerprint, {GroupIndex{group}, sent, true}));
  }
  CHECK(Lose(true, 41));
}

TEST_CASE_FIXTURE(QuarantineTest,
                  "a quarantine notice applies only to the caller and request that it names") {
  quarantine_.OnNotice(kClerk, kFingerprint, seconds(30));
  CHECK(quarantine_.IsQuarantined(kClerk, kFingerprint));
  CHECK_FALSE(quarantine_.IsQuarantined(kPortal, kFingerprint));
  CHECK_FALSE(quarantine_.IsQuarantined(kClerk, kFingerprint + 1));
  // A notice with less remaining time does not shorten the quarantine, and one with too much does
  // not extend it beyond the maximum.
  quarantine_.OnNotice(kClerk, kFingerprint, seconds(10));
  CHECK(quarantine_.Remaining(kClerk, kFingerprint) == seconds(30));
  quarantine_.OnNotice(kClerk, kFingerprint, std::chrono::hours(9));
  CHECK(quarantine_.Remaining(kClerk, kFingerprint) == seconds(60));
  quarantine_.OnNotice(kPortal, kFingerprint, seconds(-1));
  CHECK(quarantine_.Classify(kPortal, kFingerprint) == Suspicion::kNone);
}

TEST_CASE_FIXTURE(QuarantineTest, "losses of one caller do not count for another") {
  CHECK_FALSE(Lose(true, 0, kClerk));
  CHECK_FALSE(Lose(true, 0, kPortal));
  CHECK(Lose(true, 0, kClerk));
  CHECK_FALSE(quarantine_.IsQuarantined(kPortal, kFingerprint));
}

TEST_CASE_FIXTURE(QuarantineTest, "the table is bounded and evicts the oldest entries first") {
  for (std::uint64_t fingerprint = 0; fingerprint < 10'500; ++fingerprint) {
    clock_.Advance(std::chrono::microseconds(1));
    quarantine_.OnNotice(kClerk, fingerprint, seconds(60));
  }
  CHECK(quarantine_.size() == 10'000);
  CHECK_FALSE(quarantine_.IsQuarantined(kClerk, 499));
  CHECK(quarantine_.IsQuarantined(kClerk, 500));
  clock_.Advance(minutes(12));
  quarantine_.OnNotice(kClerk, 1, seconds(60));
  CHECK(quarantine_.size() == 1);
}

// Model of two entries that send through TargetQueues to one group of 3 replicas. One request
// crashes every target that runs it. It and healthy requests are sent repeatedly, and lost attempts
// are retried at once on another replica.
class CrashModel {
 public:
  explicit CrashModel(unsigned seed) : random_(seed) {}

  void Run() {
    for (int step = 0; step < 3000; ++step) {
      clock_.Advance(milliseconds(1));
      SendNew();
      FinishDue();
      StartAll();
    }
  }

  int total_crashes() const { return crashes_by_entry_[0] + crashes_by_entry_[1]; }
  int max_crashes_per_entry() const { return std::max(crashes_by_entry_[0], crashes_by_entry_[1]); }
  bool crashing_blocked() const { return Blocked(kCrashingRequest); }
  int answers() const { return answers_; }
  int healthy_losses() const { return healthy_losses_; }
  bool healthy_blocked() const { return healthy_blocked_; }

 private:
  static constexpr std::uint64_t kCrashingRequest = 1;
  static constexpr std::uint64_t kHealthyRequests = 12;

  struct Sent {
    std::uint64_t fingerprint = 0;
    std::size_t target = 0;
    std::size_t entry = 0;
    BootTime sent;
    BootTime ends;
    bool running = false;
  };
  struct Target {
    explicit Target(const Clock& clock) : queue(clock, {.slots = Slots{3}}) {}
    TargetQueue queue;
    BootTime back;
  };

  std::uint32_t Pick(std::uint32_t below) { return static_cast<std::uint32_t>(random_() % below); }

  bool Blocked(std::uint64_t fingerprint) const {
    return entries_[0].IsQuarantined(kClerk, fingerprint) ||
           entries_[1].IsQuarantined(kClerk, fingerprint);
  }

  bool InFlight(std::uint64_t fingerprint, std::size_t entry) const {
    return std::any_of(attempts_.begin(), attempts_.end(), [&](const auto& attempt) {
      return attempt.second.fingerprint == fingerprint && attempt.second.entry == entry;
    });
  }

  WorkLimits Limits() const { return {Slots{3}, clock_.now() + seconds(3), milliseconds(0)}; }

  void SendNew() {
    if (Pick(3) == 0) {
      Send(kCrashingRequest + 1 + Pick(kHealthyRequests), Pick(2), Pick(3));
    }
    // The crashing request is sent again only after its previous attempt on this entry has ended.
    const std::size_t entry = Pick(2);
    if (Pick(60) == 0 && !InFlight(kCrashingRequest, entry)) {
      Send(kCrashingRequest, entry, Pick(3));
    }
  }

  void Send(std::uint64_t print, std::size_t entry, std::size_t target) {
    const Suspicion suspicion = entries_[entry].Classify(kClerk, print);
    if (suspicion == Suspicion::kQuarantined || targets_[target].back > clock_.now()) {
      return;
    }
    const Attempt attempt{.id = AttemptId{++last_id_},
                          .from = {HostId{std::to_string(entry)}, Role::kEntry, Incarnation{1}},
                          .deadline = clock_.wall_now() + milliseconds(400),
                          .alone = suspicion == Suspicion::kSuspect};
    if (targets_[target].queue.Enqueue(attempt, Limits())) {
      attempts_[attempt.id] = {print, target, entry, clock_.now(), {}, false};
    }
  }

  void StartAll() {
    for (Target& target : targets_) {
      for (;;) {
        const NextWork work = target.queue.Next(Limits());
        for (const DroppedAttempt& dropped : work.dropped) {
          attempts_.erase(dropped.attempt.id);
        }
        if (!work.start) {
          break;
        }
        Sent& run = attempts_.at(work.start->attempt.id);
        run.running = true;
        run.ends = clock_.now() + milliseconds(4 + Pick(12));
      }
    }
  }

  void FinishDue() {
    for (std::size_t i = 0; i < targets_.size(); ++i) {
      bool crash = false;
      for (auto it = attempts_.begin(); it != attempts_.end();) {
        const auto& [id, run] = *it;
        const bool due = run.target == i && run.running && run.ends <= clock_.now();
        crash = crash || (due && run.fingerprint == kCrashingRequest);
        it = due && run.fingerprint != kCrashingRequest ? Answer(it) : std::next(it);
      }
      if (crash) {
        Crash(i);
      }
    }
  }

  using Attempts = std::map<AttemptId, Sent>;

  ProcessId Sender(const Sent& run) const {
    return {HostId{std::to_string(run.entry)}, Role::kEntry, Incarnation{1}};
  }

  Attempts::iterator Answer(Attempts::iterator it) {
    const Sent& run = it->second;
    targets_[run.target].queue.Finish(Sender(run), it->first);
    entries_[run.entry].OnAnswered(kClerk, run.fingerprint, GroupIndex{0});
    ++answers_;
    return attempts_.erase(it);
  }

  // Fails all attempts that run on the target; each entry then retries its lost attempts.
  void Crash(std::size_t target) {
    targets_[target].back = clock_.now() + milliseconds(50);
    std::vector<Sent> lost;
    std::erase_if(attempts_, [&](const auto& entry) {
      const auto& [id, run] = entry;
      if (run.target != target || !run.running) {
        return false;
      }
      const auto finished = targets_[target].queue.Finish(Sender(run), id);
      REQUIRE(finished);
      OnLost(run, finished->alone);
      lost.push_back(run);
      return true;
    });
    CancelBlocked();
    for (const Sent& run : lost) {
      Send(run.fingerprint, run.entry, (target + 1) % targets_.size());
    }
  }

  void OnLost(const Sent& run, bool alone) {
    (run.fingerprint == kCrashingRequest ? crashes_by_entry_[run.entry] : healthy_losses_) += 1;
    if (entries_[run.entry].OnTargetLost(kClerk, run.fingerprint,
                                         {GroupIndex{0}, run.sent, alone})) {
      entries_[1 - run.entry].OnNotice(kClerk, run.fingerprint, seconds(60));
      healthy_blocked_ = healthy_blocked_ || run.fingerprint != kCrashingRequest;
      blocked_now_ = run.fingerprint;
    }
  }

  // Each entry cancels the waiting attempts of a quarantined request.
  void CancelBlocked() {
    std::erase_if(attempts_, [this](const auto& entry) {
      const auto& [id, run] = entry;
      return run.fingerprint == blocked_now_ &&
             targets_[run.target].queue.Cancel(Sender(run), id) == CancelResult::kRemoved;
    });
    blocked_now_ = 0;
  }

  std::mt19937 random_;
  ManualClock clock_;
  std::array<Quarantine, 2> entries_{Quarantine(clock_, {}), Quarantine(clock_, {})};
  std::array<Target, 3> targets_{Target(clock_), Target(clock_), Target(clock_)};
  Attempts attempts_;
  std::uint64_t last_id_ = 0;
  std::array<int, 2> crashes_by_entry_{};
  int answers_ = 0;
  int healthy_losses_ = 0;
  bool healthy_blocked_ = false;
  std::uint64_t blocked_now_ = 0;
};

TEST_CASE("the crashing request is quarantined after few crashes and no healthy request is") {
  int two_crashes = 0;
  int healthy_losses = 0;
  for (unsigned seed = 0; seed < 300; ++seed) {
    INFO("seed ", seed);
    CrashModel model(seed);
    model.Run();
    CHECK(model.crashing_blocked());
    CHECK_FALSE(model.healthy_blocked());
    CHECK(model.max_crashes_per_entry() <= 2);
    CHECK(model.answers() > 500);
    two_crashes += model.total_crashes() == 2 ? 1 : 0;
    healthy_losses += model.healthy_losses();
  }
  CHECK(two_crashes >= 250);
  CHECK(healthy_losses > 100);
}

}  // namespace
}  // namespace peridotfork
