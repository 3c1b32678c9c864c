#ifndef PERIDOTFORK_TEST_REPLAY_GATHER_MODEL_H_
#define PERIDOTFORK_TEST_REPLAY_GATHER_MODEL_H_

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "peridotfork/balance/target_table.h"
#include "peridotfork/fanout/fan_out.h"

namespace peridotfork {

// How a simulated target behaves from some time on.
enum class TargetBehaviour { kHealthy, kSlow, kSilent };

struct GatherModelOptions {
  std::size_t hosts = 8;
  std::size_t shards = 20;
  std::size_t replicas = 3;
  double gathers_per_second = 40;
  std::chrono::milliseconds work{20};
  double slow_factor = 8;
  double required_coverage = 0.95;
  std::chrono::milliseconds objective{150};
  std::chrono::milliseconds timeout{2500};
  BalanceOptions balance;
};

// Results of the gathers that started in some period.
struct GatherTally {
  int gathers = 0;
  int in_objective = 0;
  int complete = 0;
  int failed = 0;
  int first_attempts = 0;
  int extra_attempts = 0;

  double in_objective_share() const { return gathers == 0 ? 0 : 1.0 * in_objective / gathers; }
};

// Seeded simulation of hosts that each run gathers over the same targets, with the real TargetTable
// and FanOut, and with targets that become slow or silent. Time is simulated.
class GatherModel {
 public:
  GatherModel(unsigned seed, GatherModelOptions options)
      : options_(options), random_(seed), behaviour_(options.shards * options.replicas) {
    std::vector<TargetEntry> entries;
    for (std::size_t i = 0; i < behaviour_.size(); ++i) {
      TargetEntry entry;
      entry.id = TargetId(std::to_string(i));
      entry.service = ShardOf(i);
      entry.address = Address("10.0.0.1:1");
      entry.data_centre = DataCentreId(std::to_string(i % options.replicas));
      entry.slots = Slots(4);
      entry.started_ms = 1;
      entries.push_back(entry);
    }
    std::vector<ServiceSpec> services;
    for (std::size_t i = 0; i < options.shards; ++i) {
      services.push_back({ShardOf(i * options.replicas), Connections(78), Rate(0)});
    }
    const CataloguePtr catalogue(new Catalogue(Revision(1), {}, services, {}));
    for (std::size_t i = 0; i < options.hosts; ++i) {
      hosts_.push_back(std::make_unique<TargetTable>(
          clock_, log_, HostId("h" + std::to_string(i)),
          DataCentreId(std::to_string(i % options.replicas)), options.balance));
      hosts_.back()->Update(entries, {}, catalogue.get());
    }
    route_.id = RouteId("r");
    route_.objective = options.objective;
    route_.timeout = options.timeout;
    route_.max_attempts = 2;
  }

  // Gives a share of the targets of distinct shards a behaviour, in one replica of each.
  void Disturb(double share, TargetBehaviour behaviour) {
    const auto count = static_cast<std::size_t>(share * static_cast<double>(behaviour_.size()));
    std::vector<std::size_t> healthy;
    for (std::size_t i = 0; i < behaviour_.size(); ++i) {
      if (behaviour_[i] == TargetBehaviour::kHealthy) {
        healthy.push_back(i);
      }
    }
    std::shuffle(healthy.begin(), healthy.end(), random_);
    for (std::size_t i = 0; i < std::min(count, healthy.size()); ++i) {
      behaviour_[healthy[i]] = behaviour;
    }
  }

  void Restore() { std::ranges::fill(behaviour_, TargetBehaviour::kHealthy); }

  // Starts gathers at random times for `period`, and runs until all have ended.
  GatherTally Run(std::chrono::milliseconds period) {
    tally_ = {};
    const BootTime end = clock_.now() + period;
    std::exponential_distribution<double> pause(options_.gathers_per_second);
    const std::function<void()> arrive = [&] {
      if (clock_.now() >= end) {
        return;
      }
      StartGather();
      After(std::chrono::duration<double>(pause(random_)), arrive);
    };
    arrive();
    while (!events_.empty()) {
      const auto event = events_.begin();
      clock_.Advance(std::max(event->first - clock_.now(), std::chrono::nanoseconds(0)));
      const std::function<void()> run = std::move(event->second);
      events_.erase(event);
      run();
    }
    return tally_;
  }

 private:
  struct Gather {
    Gather(FanOutPlan plan, TargetTable& table)
        : fan_out(plan), host(table), tried(plan.shards), open(plan.shards) {}

    FanOut fan_out;
    TargetTable& host;
    BootTime start;
    std::vector<std::vector<AttemptPtr>> tried;
    std::vector<std::vector<AttemptPtr>> open;
    bool ended = false;
  };
  using GatherPtr = std::shared_ptr<Gather>;

  // How long a host waits for the answer of an attempt after its gather has ended.
  static constexpr std::chrono::milliseconds kGrace{300};

  ServiceId ShardOf(std::size_t target) const {
    return ServiceId("s" + std::to_string(target / options_.replicas));
  }

  void After(std::chrono::duration<double> delay, std::function<void()> run) {
    events_.emplace(clock_.now() + std::chrono::duration_cast<std::chrono::nanoseconds>(delay),
                    std::move(run));
  }

  void StartGather() {
    TargetTable& host = *hosts_[random_() % hosts_.size()];
    FanOutPlan plan;
    plan.shards = options_.shards;
    plan.max_attempts = route_.max_attempts;
    plan.required_coverage = options_.required_coverage;
    plan.hedge_delay = host.HedgeDelay(route_);
    plan.partial_answer_at = clock_.now() + route_.objective - std::chrono::milliseconds(10);
    plan.placement_deadline = clock_.now() + std::chrono::milliseconds(27);
    plan.answer_deadline = clock_.now() + route_.timeout - std::chrono::milliseconds(12);
    const auto gather = std::make_shared<Gather>(plan, host);
    gather->start = clock_.now();
    ++tally_.gathers;
    Advance(gather);
  }

  void Advance(const GatherPtr& gather) {
    if (gather->ended) {
      return;
    }
    while (const auto spec = gather->fan_out.Next(clock_.now())) {
      Send(gather, *spec);
    }
    if (const auto outcome = gather->fan_out.Outcome(clock_.now())) {
      End(gather, *outcome);
      return;
    }
    const BootTime wake = gather->fan_out.wake_time();
    After(std::max(wake - clock_.now(), std::chrono::nanoseconds(1)),
          [this, gather] { Advance(gather); });
  }

  void Send(const GatherPtr& gather, const FanOut::AttemptSpec& spec) {
    const AttemptPtr attempt = gather->host.Pick({&route_, ShardOf(spec.shard * options_.replicas),
                                                  spec.purpose, gather->tried[spec.shard]});
    if (attempt == nullptr) {
      gather->fan_out.OnNoTarget(spec, clock_.now());
      return;
    }
    gather->fan_out.OnSent(spec.shard, clock_.now());
    ++(spec.purpose == AttemptPurpose::kFirst ? tally_.first_attempts : tally_.extra_attempts);
    gather->tried[spec.shard].push_back(attempt);
    gather->open[spec.shard].push_back(attempt);
    const TargetBehaviour behaviour =
        behaviour_[static_cast<std::size_t>(std::stoi(attempt->target->id().value()))];
    if (behaviour == TargetBehaviour::kSilent) {
      return;
    }
    const double factor = behaviour == TargetBehaviour::kSlow ? options_.slow_factor : 1;
    const double spread = std::uniform_real_distribution<double>(0.6, 1.5)(random_);
    After(std::chrono::duration<double>(options_.work) * factor * spread,
          [this, gather, shard = spec.shard, attempt] { OnAnswer(gather, shard, attempt); });
  }

  void OnAnswer(const GatherPtr& gather, std::size_t shard, const AttemptPtr& attempt) {
    if (!attempt->open) {
      return;
    }
    gather->host.Finish(*attempt, AttemptOutcome::kAnswered);
    gather->host.ObserveRoute(route_, clock_.now() - attempt->sent);
    std::erase(gather->open[shard], attempt);
    gather->fan_out.OnEnd(shard, AttemptResult::kAnswered);
    Advance(gather);
  }

  void End(const GatherPtr& gather, FanOutOutcome outcome) {
    gather->ended = true;
    const bool served = outcome == FanOutOutcome::kComplete || outcome == FanOutOutcome::kPartial;
    tally_.complete += outcome == FanOutOutcome::kComplete ? 1 : 0;
    tally_.failed += served ? 0 : 1;
    tally_.in_objective += served && clock_.now() - gather->start <= route_.objective ? 1 : 0;
    After(kGrace, [this, gather] {
      for (const auto& attempts : gather->open) {
        for (const AttemptPtr& attempt : attempts) {
          gather->host.Finish(*attempt, AttemptOutcome::kTimedOut);
        }
      }
    });
  }

  const GatherModelOptions options_;
  std::mt19937 random_;
  ManualClock clock_;
  Logger log_{"model", clock_};
  Route route_;
  std::vector<std::unique_ptr<TargetTable>> hosts_;
  std::vector<TargetBehaviour> behaviour_;
  std::multimap<BootTime, std::function<void()>> events_;
  GatherTally tally_;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_TEST_REPLAY_GATHER_MODEL_H_
