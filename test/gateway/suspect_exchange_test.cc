#include "peridotfork/gateway/suspect_exchange.h"

#include <doctest/doctest.h>

#include <set>
#include <string>
#include <utility>

namespace peridotfork {
namespace {

using std::chrono::milliseconds;

// The platform counts a host as in touch after this time.
constexpr milliseconds kContactBound{4000};
constexpr milliseconds kTick{100};

// A host whose messages are kept; the test plays the others.
struct Host final : FleetView, PeerSender {
  explicit Host(std::vector<Address> seeds = {Address("seed-1"), Address("self"),
                                              Address("seed-2")})
      : exchange(clock, guard, *this, *this, std::move(seeds), /*random_seed=*/7) {}

  FleetMember self() const override {
    return {HostId("h0"), Incarnation(1), Address("self"), DataCentreId("a")};
  }
  std::vector<FleetMember> Members() const override {
    std::vector<FleetMember> members = others;
    members.push_back(self());
    return members;
  }
  std::size_t unaccounted() const override { return 0; }
  std::uint64_t version() const override { return 1; }
  std::uint64_t contacts() const override { return contact_count; }
  bool joined() const override { return contact_count > 0; }
  void Send(const Address& to, protocol::Message message) override {
    sent.emplace_back(to, std::move(message));
  }

  void Run(milliseconds time) {
    for (milliseconds passed{0}; passed < time; passed += kTick) {
      exchange.Tick();
      clock.Advance(kTick);
    }
  }

  void AddOthers(int count) {
    for (int i = 1; i <= count; ++i) {
      const std::string name = "h" + std::to_string(i);
      others.push_back({HostId(name), Incarnation(1), Address(name), DataCentreId("a")});
    }
  }

  void LoseTarget() {
    TargetLoss loss;
    loss.sent = loss.noticed = clock.now();
    guard.OnTargetDown(1, loss, /*repeatable=*/true);
  }

  // Sums the queries sent since the last call.
  std::size_t TakeQueries() {
    std::size_t count = 0;
    for (const auto& [to, message] : std::exchange(sent, {})) {
      count += std::holds_alternative<protocol::SuspectQuery>(message) ? 1 : 0;
    }
    return count;
  }

  ManualClock clock;
  Logger log{"test", clock};
  std::vector<FleetMember> others;
  std::uint64_t contact_count = 0;
  std::vector<std::pair<Address, protocol::Message>> sent;
  CrashGuard guard{clock,
                   log,
                   {HostId("h0"), Role::kGateway, Incarnation(1)},
                   [](const protocol::TargetLossNotice&) {}};
  SuspectExchange exchange;
};

TEST_CASE("a host that starts asks a seed at once, and another one if that does not answer") {
  Host host;
  host.exchange.Tick();
  REQUIRE(host.sent.size() == 1);
  host.Run(milliseconds(600));
  REQUIRE(host.sent.size() == 2);
  CHECK(host.sent[0].first != host.sent[1].first);
  for (const auto& [to, message] : host.sent) {
    CHECK(to != Address("self"));
  }
  host.exchange.OnReport(HostId("h1"), {});
  host.Run(milliseconds(10'000));
  CHECK(host.sent.size() == 2);
}

// Adds up the time until a host that has started, or is no longer cut off, has asked in vain for as
// often as it may.
TEST_CASE("the questions of a host are asked before it counts as in touch") {
  const SuspectExchangeOptions options;
  CHECK(options.max_questions * options.question_interval + kTick <= kContactBound);
  Host host;
  host.Run(std::chrono::duration_cast<milliseconds>(kContactBound));
  CHECK(host.TakeQueries() == options.max_questions);
  host.Run(milliseconds(60'000));
  CHECK(host.TakeQueries() == 0);
}

// Guards against a host that was cut off and has missed the notice of a loss.
TEST_CASE("a host that gets in touch again asks a member") {
  Host host;
  host.AddOthers(10);
  host.Run(milliseconds(100));
  host.exchange.OnReport(HostId("h1"), {});
  host.sent.clear();
  host.Run(milliseconds(5000));
  CHECK(host.TakeQueries() == 0);
  ++host.contact_count;
  host.Run(milliseconds(100));
  CHECK(host.TakeQueries() == 1);
}

// Guards against a lost datagram that leaves one host without a quarantine.
TEST_CASE("hosts that know suspects compare them with other hosts, and the others send nothing") {
  Host host;
  host.AddOthers(4);
  host.exchange.OnReport(HostId("h1"), {});
  host.Run(milliseconds(10'000));
  CHECK(host.TakeQueries() == 0);
  host.LoseTarget();
  host.Run(milliseconds(10'000));
  CHECK(host.TakeQueries() >= 9);
  host.Run(std::chrono::duration_cast<milliseconds>(CrashGuardOptions().quarantine.memory));
  host.sent.clear();
  host.Run(milliseconds(10'000));
  CHECK(host.TakeQueries() == 0);
}

TEST_CASE("a query is answered with a report, and with a query in return if the asker knows more") {
  Host host;
  host.LoseTarget();
  const Address asker("h1");
  const auto answers = [&](const protocol::SuspectQuery& query) {
    host.sent.clear();
    host.exchange.OnQuery(asker, query);
    return host.sent.size();
  };
  CHECK(answers({0, false}) == 1);
  CHECK(std::get<protocol::SuspectReport>(host.sent[0].second).suspects.size() == 1);
  CHECK(answers({host.guard.Digest(), false}) == 1);
  CHECK(std::get<protocol::SuspectReport>(host.sent[0].second).suspects.empty());
  CHECK(answers({5, false}) == 2);
  CHECK(std::get<protocol::SuspectQuery>(host.sent[1].second).in_return);
  CHECK(answers({5, true}) == 1);
}

TEST_CASE("an answer that clears a loss is announced to all hosts once") {
  Host host;
  host.AddOthers(4);
  host.exchange.OnReport(HostId("h1"), {});
  host.LoseTarget();
  host.guard.OnAnswered(1, GroupIndex(0));
  host.guard.OnAnswered(1, GroupIndex(0));
  host.exchange.Tick();
  host.exchange.Tick();
  CHECK(host.sent.size() == 4);
  for (const auto& [to, message] : host.sent) {
    CHECK(std::holds_alternative<protocol::TargetAnswerNotice>(message));
  }
}

TEST_CASE("a notice of another host is passed on to a few hosts, an own one to all") {
  Host host;
  host.AddOthers(10);
  protocol::TargetLossNotice notice;
  notice.origin.host = HostId("h0");
  host.exchange.Publish(notice);
  CHECK(host.sent.size() == 10);
  host.sent.clear();
  notice.origin.host = HostId("h1");
  host.exchange.Publish(notice);
  CHECK(host.sent.size() == SuspectExchangeOptions().forwarded_notices);
}

}  // namespace
}  // namespace peridotfork
