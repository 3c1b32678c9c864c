#ifndef PERIDOTFORK_STANDIN_TARGET_MODEL_H_
#define PERIDOTFORK_STANDIN_TARGET_MODEL_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "peridotfork/core/clock.h"
#include "peridotfork/core/error.h"
#include "peridotfork/core/ids.h"
#include "peridotfork/standin/cold_start.h"
#include "peridotfork/standin/lagging_report.h"
#include "peridotfork/standin/target_journal.h"
#include "peridotfork/standin/target_traits.h"

namespace peridotfork::standin {

enum class Condition { kCold, kWarm, kDraining, kDown };

struct HealthReport {
  Condition condition = Condition::kWarm;
  std::vector<StoredSnapshot> snapshots;
  Slots slots;
  std::uint32_t bears = 0;

  friend bool operator==(const HealthReport&, const HealthReport&) = default;
};

struct LoadReport {
  std::uint32_t busy = 0;
  std::uint32_t queued = 0;
  // Age of `busy` and `queued`.
  std::chrono::milliseconds age{0};

  friend bool operator==(const LoadReport&, const LoadReport&) = default;
};

// A request as passed to the model. A booking without a snapshot accepts any
// stored snapshot.
struct WorkRequest {
  std::string attempt;
  WorkKind kind = WorkKind::kSearch;
  std::uint64_t body_hash = 0;
  std::string booking_key;
  std::optional<Snapshot> snapshot;
  WallTime deadline;
  // The text that is searched for the crash word.
  std::string text;
};

// Result of accepted work: its id and the snapshot that it runs on.
struct Admission {
  WorkId work;
  StoredSnapshot snapshot;
};

// A unit of work that ended and needs a response. `started` is false if it never
// ran; then `outcome` is kCancelled, kDeadline or kCrashed.
struct Finished {
  WorkId work;
  WorkOutcome outcome = WorkOutcome::kDone;
  bool started = true;
};

// Simulates one target, without I/O. The owner calls ProcessDueEvents() at
// next_event() and responds to the work that it returns. Not thread-safe.
class TargetModel {
 public:
  // The target starts warm. `seed` seeds the random service times, stragglers and
  // shedding.
  TargetModel(TargetTraits traits,
              std::vector<StoredSnapshot> snapshots,
              std::uint64_t seed,
              const Clock& clock);
  TargetModel(const TargetModel&) = delete;
  TargetModel& operator=(const TargetModel&) = delete;

  // Accepts or refuses work. Call ProcessDueEvents() before and after.
  Result<Admission> Submit(const WorkRequest& request);

  // Cancels the waiting searches and bookings and the running searches of an
  // attempt. A booking that has started keeps running. Returns the number of
  // cancelled units of work.
  std::uint32_t Cancel(const std::string& attempt);

  // Ends and starts the work that is due, and crashes or restarts the target if
  // that is due. Returns the work that ended since the last call.
  std::vector<Finished> ProcessDueEvents();

  // When ProcessDueEvents() must be called next.
  std::optional<BootTime> next_event() const;

  // Returns whether one more connection is within the limit; if so, counts it as
  // open until Disconnected().
  bool Connected();
  void Disconnected();

  // Commands for tests and operators. Restart() crashes a target that is up.
  void Crash();
  void Restart();
  void MarkCold() { MarkCold(traits_.cold); }
  void MarkCold(const ColdTraits& traits);
  void MarkWarm();
  void set_draining(bool draining);
  void set_shedding(double share) { shedding_share_ = share; }
  void set_slow_factor(double factor) { slow_factor_ = factor; }
  void set_straggler_rate(double rate) { traits_.straggler_rate = rate; }
  void set_straggler_factor(double factor) { traits_.straggler_factor = factor; }
  void set_snapshots(std::vector<StoredSnapshot> snapshots);
  void set_health_lag(std::chrono::milliseconds lag) { traits_.health_lag = lag; }
  void set_load_lag(std::chrono::milliseconds lag) { traits_.load_lag = lag; }
  void set_restart_delay(std::chrono::milliseconds delay) { traits_.restart_delay = delay; }
  // Overrides what the endpoints report, regardless of the actual values.
  void set_wrong_health(std::optional<HealthReport> report) { wrong_health_ = std::move(report); }
  void set_wrong_load(std::optional<LoadReport> report) { wrong_load_ = report; }
  // A request whose text contains the word crashes the target. An empty word
  // disables this.
  void set_crash_word(std::string word) { crash_word_ = std::move(word); }

  const ColdTraits& cold_traits() const { return traits_.cold; }

  // Actual values, without lag or overrides.
  Condition condition() const;
  HealthReport true_health() const;
  LoadReport true_load() const;
  std::uint32_t connections() const { return connections_; }
  std::uint32_t peak_connections() const { return peak_connections_; }
  std::chrono::microseconds connect_cost() const { return traits_.connect_cost; }

  // Values that the endpoints report: delayed or overridden.
  HealthReport reported_health();
  LoadReport reported_load();

  const TargetJournal& journal() const { return journal_; }

 private:
  struct Work {
    WorkId id;
    WorkRequest request;
    StoredSnapshot snapshot;
    BootTime deadline;
    BootTime end;
    bool crashes = false;
  };

  std::optional<ErrorKind> ReasonToRefuse(const WorkRequest& request);
  std::optional<StoredSnapshot> FindSnapshot(const WorkRequest& request) const;
  void StartQueued(BootTime now);
  void Start(Work work, BootTime now);
  void EndDueWork(BootTime now);
  void EndExpiredWork(BootTime now);
  void End(const Work& work, WorkOutcome outcome, bool started);
  void RestartIfDue(BootTime now);
  void UpdateReports(BootTime now);
  bool CrashIfOverloaded(BootTime now);
  std::chrono::nanoseconds DrawServiceTime(BootTime now);
  double Uniform();
  std::uint32_t in_flight() const {
    return static_cast<std::uint32_t>(running_.size() + queue_.size());
  }

  TargetTraits traits_;
  const Clock& clock_;
  std::mt19937_64 random_;
  std::vector<StoredSnapshot> snapshots_;
  ColdStart cold_start_;
  bool draining_ = false;
  bool down_ = false;
  std::optional<BootTime> restart_time_;
  double shedding_share_ = 0;
  double slow_factor_ = 1;
  std::string crash_word_;
  std::vector<Work> running_;
  std::deque<Work> queue_;
  std::vector<Finished> finished_;
  std::uint64_t last_work_ = 0;
  std::uint32_t connections_ = 0;
  std::uint32_t peak_connections_ = 0;
  LaggingReport<HealthReport> health_;
  LaggingReport<LoadReport> load_;
  std::optional<HealthReport> wrong_health_;
  std::optional<LoadReport> wrong_load_;
  TargetJournal journal_;
};

}  // namespace peridotfork::standin

#endif  // PERIDOTFORK_STANDIN_TARGET_MODEL_H_
