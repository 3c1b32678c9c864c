#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <numeric>
#include <random>
#include <string>

#include "peridotfork/balance/target_table.h"

namespace peridotfork {
namespace {

using std::chrono::milliseconds;

// Hosts of three data centres that run single requests over many targets with two slots each. Time
// is simulated.
class SpreadModel {
 public:
  explicit SpreadModel(BalanceOptions options) {
    std::vector<TargetEntry> entries;
    for (std::size_t i = 0; i < kTargets; ++i) {
      TargetEntry entry;
      entry.id = TargetId("t" + std::to_string(i));
      entry.service = ServiceId("ledger");
      entry.address = Address("10.0.0.1:1");
      entry.data_centre = DataCentreId(std::to_string(i % 3));
      entry.slots = Slots(2);
      entries.push_back(entry);
    }
    const CataloguePtr catalogue(
        new Catalogue(Revision(1), {}, {{ServiceId("ledger"), Connections(480), Rate(0)}}, {}));
    for (std::size_t i = 0; i < kHosts; ++i) {
      hosts_.push_back(std::make_unique<TargetTable>(clock_, log_, HostId("h" + std::to_string(i)),
                                                     DataCentreId(std::to_string(i % 3)), options));
      hosts_.back()->Update(entries, {}, catalogue.get());
    }
    route_.id = RouteId("r");
    route_.objective = milliseconds(800);
  }

  // Runs `requests` and returns the mean time that they waited for a slot, in milliseconds.
  double Run(int requests, double per_second) {
    std::mt19937 random(3);
    std::exponential_distribution<double> pause(per_second);
    std::uniform_int_distribution<std::size_t> host(0, kHosts - 1);
    std::array<std::vector<BootTime>, kTargets> slots;
    slots.fill({BootTime(), BootTime()});
    double waited = 0;
    for (int i = 0; i < requests; ++i) {
      Advance(std::chrono::duration_cast<std::chrono::nanoseconds>(
          std::chrono::duration<double>(pause(random))));
      TargetTable& table = *hosts_[host(random)];
      const AttemptPtr attempt =
          table.Pick({&route_, ServiceId("ledger"), AttemptPurpose::kFirst, {}});
      REQUIRE(attempt != nullptr);
      const auto target = std::stoul(attempt->target->id().value().substr(1));
      ++arrivals_[target];
      BootTime& slot = *std::ranges::min_element(slots[target]);
      const BootTime start = std::max(slot, clock_.now());
      waited += std::chrono::duration<double, std::milli>(start - clock_.now()).count();
      slot = start + kWork;
      ends_.emplace(slot, [&table, attempt, this, target, &slots] {
        LoadReport load;
        load.slots = Slots(2);
        load.running = static_cast<std::uint32_t>(std::ranges::count_if(
            slots[target], [this](BootTime end) { return end > clock_.now(); }));
        table.Finish(*attempt, AttemptOutcome::kAnswered, {load, false, std::nullopt});
        table.ObserveRoute(route_, clock_.now() - attempt->sent);
      });
    }
    Advance(std::chrono::seconds(30));
    return waited / requests;
  }

  // How much busier the busiest target is than the mean.
  double Unevenness() const {
    const double sum = std::accumulate(arrivals_.begin(), arrivals_.end(), 0.0);
    return *std::ranges::max_element(arrivals_) / (sum / kTargets);
  }

 private:
  static constexpr std::size_t kHosts = 70;
  static constexpr std::size_t kTargets = 46;
  static constexpr milliseconds kWork{220};

  void Advance(std::chrono::nanoseconds time) {
    const BootTime end = clock_.now() + time;
    while (!ends_.empty() && ends_.begin()->first <= end) {
      const auto event = ends_.begin();
      clock_.Advance(std::max(event->first - clock_.now(), std::chrono::nanoseconds(0)));
      const std::function<void()> run = std::move(event->second);
      ends_.erase(event);
      run();
    }
    clock_.Advance(end - clock_.now());
  }

  ManualClock clock_;
  Logger log_{"test", clock_};
  Route route_;
  std::vector<std::unique_ptr<TargetTable>> hosts_;
  std::multimap<BootTime, std::function<void()>> ends_;
  std::array<double, kTargets> arrivals_{};
};

// Guards against hosts that all choose the same few of many equal targets.
TEST_CASE("requests of many hosts are spread over many targets with few slots") {
  BalanceOptions ordered;
  ordered.spread_min_targets = 1000;
  SpreadModel before(ordered);
  const double waited_before = before.Run(4000, 27);
  SpreadModel after({});
  const double waited_after = after.Run(4000, 27);
  MESSAGE("waited " << waited_before << " ms, then " << waited_after << " ms; busiest target "
                    << before.Unevenness() << " and " << after.Unevenness() << " times the mean");
  CHECK(after.Unevenness() < 2);
  CHECK(before.Unevenness() > 2);
  CHECK(waited_after < waited_before / 2);
}

}  // namespace
}  // namespace peridotfork
