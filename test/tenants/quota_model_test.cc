#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "peridotfork/tenants/fleet_quotas.h"

namespace peridotfork {
namespace {

using std::chrono::milliseconds;

// The bound of the platform on what may run in any window, beyond rate times window and burst.
constexpr double kWindowSeconds = 5;
constexpr double kTolerance = 1.25;
constexpr double kSlack = 20;

const TenantId kTenant("north");

CataloguePtr MakeCatalogue(double rate, double burst) {
  TenantSpec spec;
  spec.tenant.id = kTenant;
  spec.tenant.quota_rate = Rate(rate);
  spec.tenant.quota_burst = burst;
  return CataloguePtr(new Catalogue(Revision(1), {}, {}, {}, std::vector{spec}));
}

// Hosts in one process that admit requests of one tenant, over a network with delay and loss whose
// parts can be cut off from each other. Time is simulated.
class QuotaModel {
 public:
  QuotaModel(unsigned seed, std::size_t hosts, double rate, double burst)
      : random_(seed), rate_(rate), burst_(burst), catalogue_(MakeCatalogue(rate, burst)) {
    for (std::size_t i = 0; i < hosts; ++i) {
      hosts_.push_back(std::make_unique<Host>(*this, i));
      hosts_.back()->Restart();
    }
  }

  // Requests arrive at random hosts for the time.
  void Run(double seconds, double requests_per_second) {
    const BootTime end = clock_.now() + std::chrono::duration_cast<std::chrono::nanoseconds>(
                                            std::chrono::duration<double>(seconds));
    std::exponential_distribution<double> pause(requests_per_second);
    double next = pause(random_);
    const BootTime start = clock_.now();
    while (clock_.now() < end) {
      while (std::chrono::duration<double>(clock_.now() - start).count() >= next) {
        next += pause(random_);
        Request();
      }
      Deliver();
      for (const auto& host : hosts_) {
        host->quotas->Flush();
      }
      clock_.Advance(milliseconds(5));
    }
  }

  // Splits the hosts into parts that can't reach each other; each sees its own part as the fleet
  // and the rest as lost after some seconds.
  void Split(std::size_t parts) {
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      hosts_[i]->part = i % parts;
    }
  }
  void NoticeSplit() {
    for (const auto& host : hosts_) {
      host->seen_part = host->part;
      ++host->view_version;
    }
  }
  void RestartAll() {
    for (const auto& host : hosts_) {
      host->Restart();
    }
  }
  void Restart(std::size_t host) { hosts_[host]->Restart(); }
  void Publish(double rate, double burst) {
    rate_ = rate;
    burst_ = burst;
    catalogue_ = MakeCatalogue(rate, burst);
    for (const auto& host : hosts_) {
      host->quotas->Update(*catalogue_);
    }
  }
  void ResetCounts() { asked_ = refused_ = messages_ = 0; }

  double refused_share() const { return asked_ == 0 ? 0 : 1.0 * refused_ / asked_; }
  double asked() const { return asked_; }
  double messages() const { return messages_; }

  // The largest number of requests admitted in any window that begins after `since` seconds, as a
  // share of the bound.
  double WorstWindow(double since = 0) const {
    const double bound = (rate_ * kWindowSeconds + burst_) * kTolerance + kSlack;
    double worst = 0;
    for (std::size_t first = 0, last = 0; first < admitted_.size(); ++first) {
      while (last < admitted_.size() && admitted_[last] - admitted_[first] < kWindowSeconds) {
        ++last;
      }
      if (admitted_[first] >= since) {
        worst = std::max(worst, static_cast<double>(last - first) / bound);
      }
    }
    return worst;
  }
  double seconds() const {
    return std::chrono::duration<double>(clock_.now() - BootTime(std::chrono::hours(1))).count();
  }

 private:
  struct Host final : FleetView, PeerSender {
    Host(QuotaModel& model, std::size_t number) : model(model), number(number) {}

    void Restart() {
      ++incarnation;
      for (const auto& other : model.hosts_) {
        ++other->view_version;
      }
      quotas = std::make_unique<FleetQuotas>(model.clock_, id(), *this, *this, kSlack);
      quotas->Update(*model.catalogue_);
    }
    ProcessId id() const {
      return {HostId("h" + std::to_string(number)), Role::kGateway, Incarnation(incarnation)};
    }
    FleetMember self() const override {
      return {id().host, id().incarnation, Address(std::to_string(number)), DataCentreId("a")};
    }
    std::vector<FleetMember> Members() const override {
      std::vector<FleetMember> members;
      for (const auto& host : model.hosts_) {
        if (host->seen_part == seen_part) {
          members.push_back(host->self());
        }
      }
      return members;
    }
    std::size_t unaccounted() const override { return model.hosts_.size() - Members().size(); }
    std::uint64_t version() const override { return view_version; }
    std::uint64_t contacts() const override { return 1; }
    bool joined() const override { return true; }
    void Send(const Address& to, protocol::Message message) override {
      model.Send(*this, std::stoul(to.value()), std::move(message));
    }

    QuotaModel& model;
    const std::size_t number;
    std::uint64_t incarnation = 0;
    std::uint64_t view_version = 1;
    std::size_t part = 0;
    std::size_t seen_part = 0;
    std::unique_ptr<FleetQuotas> quotas;
  };
  struct Datagram {
    ProcessId from;
    std::size_t from_number;
    std::size_t to;
    protocol::Message message;
  };

  void Request() {
    ++asked_;
    Host& host = *hosts_[random_() % hosts_.size()];
    if (host.quotas->Admit(kTenant)) {
      ++refused_;
    } else {
      admitted_.push_back(seconds());
    }
  }

  void Send(const Host& from, std::size_t to, protocol::Message message) {
    ++messages_;
    constexpr unsigned kLossPercent = 2;
    if (hosts_[to]->part == from.part && random_() % 100 >= kLossPercent) {
      const auto delay = milliseconds(1 + random_() % 10);
      network_.emplace(clock_.now() + delay,
                       Datagram{from.id(), from.number, to, std::move(message)});
    }
  }

  void Deliver() {
    while (!network_.empty() && network_.begin()->first <= clock_.now()) {
      const Datagram datagram = network_.begin()->second;
      network_.erase(network_.begin());
      FleetQuotas& quotas = *hosts_[datagram.to]->quotas;
      if (const auto* const usage = std::get_if<protocol::QuotaUsage>(&datagram.message)) {
        quotas.OnUsage(datagram.from, Address(std::to_string(datagram.from_number)), *usage);
      } else {
        quotas.OnBalance(datagram.from, std::get<protocol::QuotaBalance>(datagram.message));
      }
    }
  }

  std::mt19937 random_;
  double rate_;
  double burst_;
  CataloguePtr catalogue_;
  ManualClock clock_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::multimap<BootTime, Datagram> network_;
  std::vector<double> admitted_;
  int asked_ = 0;
  int refused_ = 0;
  int messages_ = 0;
};

constexpr std::size_t kFleets[] = {4, 25, 118};

TEST_CASE("a tenant below its quota is hardly ever refused in calm") {
  for (const std::size_t hosts : kFleets) {
    for (const double rate : {2.0, 25.0, 200.0}) {
      CAPTURE(hosts);
      CAPTURE(rate);
      QuotaModel model(1, hosts, rate, rate);
      // The first answers of the owners, which do not depend on the load.
      model.Run(1, rate * 0.6);
      model.ResetCounts();
      model.Run(20, rate * 0.6);
      CHECK(model.refused_share() < 0.02);
      CHECK(model.WorstWindow() <= 1);
      // Two reports and two replies for each request, and few messages without any.
      CHECK(model.messages() < 4.5 * model.asked() + 0.2 * 20 * static_cast<double>(hosts));
    }
  }
}

TEST_CASE("a tenant with many times its quota never exceeds the bound of any window") {
  for (const std::size_t hosts : kFleets) {
    for (const double rate : {2.0, 25.0, 200.0}) {
      CAPTURE(hosts);
      CAPTURE(rate);
      QuotaModel model(2, hosts, rate, rate);
      model.Run(20, rate * 7.5);
      CHECK(model.WorstWindow() <= 1);
      // The quota is used up.
      CHECK(1 - model.refused_share() > 0.9 / 7.5);
    }
  }
}

TEST_CASE("a fleet that is split into three parts keeps the bound of all windows") {
  for (const std::size_t hosts : kFleets) {
    CAPTURE(hosts);
    QuotaModel model(3, hosts, 25, 25);
    model.Run(6, 25 * 7.5);
    model.Split(3);
    model.Run(4, 25 * 7.5);
    model.NoticeSplit();
    model.Run(10, 25 * 7.5);
    model.Split(1);
    model.NoticeSplit();
    model.Run(6, 25 * 7.5);
    CHECK(model.WorstWindow() <= 1);
  }
}

TEST_CASE("a restart of all hosts or of single owners does not open the quota") {
  for (const std::size_t hosts : kFleets) {
    CAPTURE(hosts);
    QuotaModel model(4, hosts, 25, 25);
    model.Run(6, 25 * 7.5);
    for (std::size_t i = 0; i < 4; ++i) {
      model.Restart(i);
      model.Run(1, 25 * 7.5);
    }
    model.RestartAll();
    model.Run(8, 25 * 7.5);
    CHECK(model.WorstWindow() <= 1);
  }
}

TEST_CASE("a lower limit binds one window after all hosts have it") {
  QuotaModel model(5, 25, 50, 50);
  model.Run(10, 150);
  model.Publish(5, 5);
  const double published = model.seconds();
  model.Run(15, 150);
  CHECK(model.WorstWindow(published + kWindowSeconds) <= 1);
}

TEST_CASE("few requests below the quota are refused after a split") {
  QuotaModel model(6, 24, 50, 50);
  model.Run(10, 30);
  model.Split(3);
  model.ResetCounts();
  model.Run(4, 30);
  model.NoticeSplit();
  model.Run(6, 30);
  CHECK(model.refused_share() < 0.10);
}

TEST_CASE("a request that did not run gives its permit back") {
  ManualClock clock;
  QuotaAllowance allowance(clock.now());
  CHECK_FALSE(allowance.Admit({Rate(0.1), 1, 0}, 1, clock.now()).has_value());
  CHECK(allowance.Admit({Rate(0.1), 1, 0}, 1, clock.now()).has_value());
  allowance.Return(clock.now());
  CHECK_FALSE(allowance.Admit({Rate(0.1), 1, 0}, 1, clock.now()).has_value());
}

// Guards against permits that add up over hours and then open the quota.
TEST_CASE("a permit that is not used soon after it came back is void") {
  ManualClock clock;
  QuotaAllowance allowance(clock.now());
  const QuotaLimit limit{Rate(0.001), 1, 0};
  CHECK_FALSE(allowance.Admit(limit, 1, clock.now()).has_value());
  allowance.Return(clock.now());
  allowance.Return(clock.now());
  clock.Advance(milliseconds(500));
  CHECK(allowance.Admit(limit, 1, clock.now()).has_value());
  allowance.Return(clock.now());
  CHECK_FALSE(allowance.Admit(limit, 1, clock.now()).has_value());
  CHECK(allowance.Admit(limit, 1, clock.now()).has_value());
}

// Guards against a tenant that is refused for hours after its limit was lowered, since nothing is
// reported any more that would bound its debt.
TEST_CASE("a lower limit also bounds the debt from before") {
  ManualClock clock;
  const QuotaLimit before{Rate(1000), 1000, 0};
  const QuotaLimit after{Rate(1), 1, 0};
  const ProcessId process{HostId("h"), Role::kGateway, Incarnation(1)};
  QuotaBucket bucket(before, clock.now());
  bucket.OnUsage(process, 0, 6000, before, clock.now());
  CHECK(bucket.Balance(before, clock.now()) == doctest::Approx(-5000));
  CHECK(bucket.Balance(after, clock.now()) == doctest::Approx(-5));
  clock.Advance(std::chrono::seconds(6));
  CHECK(bucket.Balance(after, clock.now()) == doctest::Approx(1));
}

// Guards against a tenant that is refused for seconds after a split has ended: what a host admitted
// while others were its owners is no debt here.
TEST_CASE("an owner does not count what was admitted while it was none") {
  ManualClock clock;
  const QuotaLimit limit{Rate(10), 10, 0};
  const ProcessId process{HostId("h"), Role::kGateway, Incarnation(1)};
  QuotaBucket bucket(limit, clock.now());
  bucket.OnUsage(process, 0, 3, limit, clock.now());
  CHECK(bucket.Balance(limit, clock.now()) == doctest::Approx(7));
  bucket.OnUsage(process, 1000, 1002, limit, clock.now());
  CHECK(bucket.Balance(limit, clock.now()) == doctest::Approx(5));
  // A late report from before.
  bucket.OnUsage(process, 0, 4, limit, clock.now());
  CHECK(bucket.Balance(limit, clock.now()) == doctest::Approx(5));
}

// Guards against false senders that use up the memory of an owner.
TEST_CASE("the number of processes that an owner remembers is bounded") {
  ManualClock clock;
  const QuotaLimit limit{Rate(1e9), 1e9, 0};
  QuotaBucket bucket(limit, clock.now());
  const auto process = [](int i) {
    return ProcessId{HostId("h" + std::to_string(i)), Role::kGateway, Incarnation(1)};
  };
  for (int i = 0; i < 8192; ++i) {
    clock.Advance(std::chrono::microseconds(1));
    bucket.OnUsage(process(i), 0, 1, limit, clock.now());
  }
  CHECK(bucket.ActiveHosts(clock.now()) == 8192);
  bucket.OnUsage(process(8192), 0, 1, limit, clock.now());
  CHECK(bucket.ActiveHosts(clock.now()) == 8192);
  CHECK_FALSE(bucket.CountedTotal(process(0)).has_value());
  CHECK(bucket.CountedTotal(process(8192)) == 1);
}

// Guards against one wrong report that stops the refill of a tenant at all hosts for minutes.
TEST_CASE("a total near the largest number holds a tenant back for a few seconds only") {
  ManualClock clock;
  const QuotaLimit limit{Rate(10), 10, 0};
  const ProcessId process{HostId("h"), Role::kGateway, Incarnation(1)};
  QuotaBucket bucket(limit, clock.now());
  bucket.OnUsage(process, 0, ~std::uint64_t{0}, limit, clock.now());
  CHECK(bucket.Balance(limit, clock.now()) == doctest::Approx(-50));
  clock.Advance(std::chrono::seconds(7));
  CHECK(bucket.Balance(limit, clock.now()) == doctest::Approx(10));
  CHECK(bucket.UsageRate(clock.now()) < 10);
}

// Guards against a balance that is no number, which would compare as a full quota.
TEST_CASE("a balance that is not finite is ignored") {
  ManualClock clock;
  const QuotaLimit limit{Rate(10), 100, 0};
  const FleetMember owner{HostId("o"), Incarnation(1), Address("1"), DataCentreId("a")};
  const ProcessId process{HostId("o"), Role::kGateway, Incarnation(1)};
  QuotaAllowance allowance(clock.now());
  allowance.SetOwners({owner, std::nullopt});
  const auto tell = [&](double balance, double usage_rate) {
    allowance.OnBalance(process, {kTenant, 0, balance, 1, usage_rate}, clock.now());
  };
  tell(0, 0);
  CHECK(allowance.Admit(limit, 1, clock.now()).has_value());
  tell(std::nan(""), 0);
  tell(std::numeric_limits<double>::infinity(), 0);
  tell(50, std::nan(""));
  CHECK(allowance.Admit(limit, 1, clock.now()).has_value());
  tell(0, -1e9);
  clock.Advance(milliseconds(50));
  CHECK(allowance.Admit(limit, 1, clock.now()).has_value());
}

// Keeps what is sent; the fleet has this host and one other.
struct TwoHosts final : FleetView, PeerSender {
  FleetMember self() const override {
    return {HostId("h1"), Incarnation(1), Address("1"), DataCentreId("a")};
  }
  std::vector<FleetMember> Members() const override {
    return {self(), {HostId("h2"), Incarnation(1), Address("2"), DataCentreId("a")}};
  }
  std::size_t unaccounted() const override { return 0; }
  std::uint64_t version() const override { return 1; }
  std::uint64_t contacts() const override { return 1; }
  bool joined() const override { return true; }
  void Send(const Address&, protocol::Message message) override {
    sent.push_back(std::move(message));
  }

  std::vector<protocol::Message> sent;
};

// Guards against an owner that ignores what a host admits, since it has seen higher counts of the
// same process before the tenant was removed and added again.
TEST_CASE("the counts of a tenant that comes back go on from where they were") {
  ManualClock clock;
  TwoHosts fleet;
  FleetQuotas quotas(clock, {HostId("h1"), Role::kGateway, Incarnation(1)}, fleet, fleet, kSlack);
  const auto last_usage = [&] {
    quotas.Flush();
    REQUIRE_FALSE(fleet.sent.empty());
    return std::get<protocol::QuotaUsage>(fleet.sent.back()).tenants.back();
  };
  quotas.Update(*MakeCatalogue(1000, 1000));
  quotas.Flush();
  CHECK_FALSE(quotas.Admit(kTenant).has_value());
  CHECK(last_usage().total == 1);
  quotas.Update(*MakeCatalogue(0, 0));
  quotas.Update(*MakeCatalogue(1000, 1000));
  quotas.Flush();
  CHECK_FALSE(quotas.Admit(kTenant).has_value());
  CHECK(last_usage().baseline == 1);
  CHECK(last_usage().total == 2);
}

}  // namespace
}  // namespace peridotfork
