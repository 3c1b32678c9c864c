#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <vector>

#include "peridotfork/lease/lease_grantor.h"
#include "peridotfork/lease/lease_holder.h"
#include "peridotfork/membership/placement.h"

namespace peridotfork {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::vector<HostId> Ids(const std::vector<std::string>& names) {
  std::vector<HostId> result;
  result.reserve(names.size());
  for (const std::string& name : names) {
    result.emplace_back(name);
  }
  return result;
}

View MakeView(std::uint64_t version, const std::vector<std::string>& names) {
  View view{ViewVersion(version), {}};
  for (const std::string& name : names) {
    view.members.push_back({HostId(name), DataCentreId("hartford"), Address("a"), false});
  }
  return view;
}

// The agent of host "a"; the test simulates its peers.
struct Fixture {
  Fixture() { clock.Advance(options.duration); }

  // Replies to `request` on behalf of `hosts`.
  void Answer(const std::vector<std::string>& hosts,
              const protocol::LeaseRequest& request,
              const std::vector<protocol::OlderView>& older = {}) {
    for (const std::string& host : hosts) {
      holder.Handle(
          HostId(host),
          protocol::LeaseReply{request.view, request.number, request.homes, {}, older, true});
    }
  }
  void Renew(const std::vector<std::string>& hosts) { Answer(hosts, holder.MakeRequest({home})); }
  ProcessId Agent(const char* host) const { return {HostId(host), Role::kAgent, Incarnation(1)}; }

  ManualClock clock;
  LeaseOptions options;
  HostId home{"a"};
  ViewHistory history{clock, options, HostId("a"), clock.now()};
  LeaseHolder holder{clock, options, history};
  LeaseGrantor grantor{clock, options, history};
};

TEST_CASE_FIXTURE(Fixture,
                  "a home is held from the grant of a majority on, counted from the send time") {
  holder.AdoptView(MakeView(1, {"a", "b", "c"}));
  const BootTime sent = clock.now();
  const protocol::LeaseRequest request = holder.MakeRequest({home});
  clock.Advance(milliseconds(400));
  Answer({"a"}, request);
  CHECK_FALSE(holder.ExpiryOf(home));
  // A later request does not change the send time of the earlier one.
  holder.MakeRequest({home});
  Answer({"b"}, request);
  CHECK(holder.ExpiryOf(home) == sent + milliseconds(2940 - 50));
  clock.Advance(seconds(3));
  CHECK_FALSE(holder.ExpiryOf(home));
}

// Guards against a holder that keeps a home with a majority of a smaller new view
// while the other hosts of the older view grant the home to another host.
TEST_CASE_FIXTURE(Fixture, "a carried-over home also needs a majority of the older view") {
  holder.AdoptView(MakeView(1, {"a", "b", "c", "d", "e"}));
  Renew({"a", "b", "c"});
  const auto end = holder.ExpiryOf(home);
  REQUIRE(end);
  clock.Advance(milliseconds(500));
  holder.AdoptView(MakeView(2, {"a", "b", "f"}));
  Renew({"a", "b"});
  CHECK(holder.ExpiryOf(home) == end);
  Renew({"a", "b", "c"});
  CHECK(*holder.ExpiryOf(home) > *end);
}

// Guards against the use of a target that another host still uses under a lease of
// the older view.
TEST_CASE_FIXTURE(Fixture,
                  "a carried-over home is limited to its older targets until the view is settled") {
  const View old_view = MakeView(1, {"a", "b", "c"});
  const View new_view = MakeView(2, {"a", "b"});
  holder.AdoptView(old_view);
  Renew({"a", "b", "c"});
  holder.AdoptView(new_view);
  Renew({"a", "b"});
  const DataCentreId dc("hartford");
  const auto count = [&] {
    const Coverage coverage(new_view, holder, home);
    int covered = 0;
    for (int i = 0; i < 300; ++i) {
      covered += coverage.Covers(TargetId("t" + std::to_string(i)), dc);
    }
    return covered;
  };
  const int carried = count();
  CHECK(carried > 60);
  for (int i = 0; i < 7; ++i) {
    clock.Advance(milliseconds(500));
    Renew({"a", "b"});
  }
  CHECK(history.settled());
  CHECK(holder.CarriedFrom(home).empty());
  CHECK(count() > carried + 20);
}

// Guards against a holder that resumes an expired lease after another host may have
// taken the home over.
TEST_CASE_FIXTURE(Fixture, "a home whose lease has expired is not held until the view is settled") {
  holder.AdoptView(MakeView(1, {"a", "b", "c"}));
  Renew({"a", "b", "c"});
  holder.AdoptView(MakeView(2, {"a", "b", "d"}));
  clock.Advance(seconds(3));
  Renew({"a", "b"});
  CHECK_FALSE(holder.ExpiryOf(home));
  for (int i = 0; i < 7; ++i) {
    clock.Advance(milliseconds(500));
    Renew({"a", "b"});
  }
  CHECK(holder.ExpiryOf(home));
}

// Guards against carrying a home over a skipped view in which another host may hold
// it.
TEST_CASE_FIXTURE(Fixture, "a home is not carried over a view that the holder has skipped") {
  holder.AdoptView(MakeView(1, {"a", "b", "c"}));
  Renew({"a", "b", "c"});
  const auto end = holder.ExpiryOf(home);
  clock.Advance(milliseconds(500));
  holder.AdoptView(MakeView(3, {"a", "b", "c"}));
  Answer({"a", "b", "c"}, holder.MakeRequest({home}), {{ViewVersion(2), Ids({"a", "b", "c"})}});
  CHECK(holder.ExpiryOf(home) == end);
}

TEST_CASE_FIXTURE(Fixture, "a release discards grants of earlier requests") {
  holder.AdoptView(MakeView(1, {"a", "b", "c"}));
  const protocol::LeaseRequest request = holder.MakeRequest({home});
  const protocol::LeaseRelease release = holder.Release({home});
  Answer({"a", "b", "c"}, request);
  CHECK_FALSE(holder.ExpiryOf(home));
  CHECK(release.number == request.number);
}

TEST_CASE_FIXTURE(Fixture, "retired hosts count in no majority") {
  holder.AdoptView(MakeView(1, {"a", "b", "c", "d", "e"}));
  history.SetRetired({HostId("c"), HostId("d"), HostId("e")});
  Renew({"a"});
  CHECK_FALSE(holder.ExpiryOf(home));
  Renew({"a", "b"});
  CHECK(holder.ExpiryOf(home));
}

TEST_CASE_FIXTURE(Fixture, "a grantor grants nothing before it is informed") {
  holder.AdoptView(MakeView(1, {"a", "b", "c"}));
  const protocol::LeaseRequest request{ViewVersion(1), 1, {home}};
  CHECK(grantor.Handle(Agent("b"), request).denied == std::vector{home});
  CHECK_FALSE(grantor.Handle(Agent("b"), request).informed);
  clock.Advance(options.duration);
  CHECK(grantor.Handle(Agent("b"), request).denied == std::vector{home});
  Renew({"b"});
  CHECK_FALSE(history.informed());
  Renew({"b", "c"});
  CHECK(grantor.Handle(Agent("b"), request).granted == std::vector{home});
}

struct InformedFixture : Fixture {
  InformedFixture() {
    holder.AdoptView(MakeView(1, {"a", "b", "c"}));
    clock.Advance(options.duration);
    Renew({"b", "c"});
  }
};

TEST_CASE_FIXTURE(InformedFixture,
                  "a grantor grants a home to one process until the grant expires") {
  const protocol::LeaseRequest request{ViewVersion(1), 1, {home}};
  ProcessId restarted = Agent("b");
  restarted.incarnation = Incarnation(2);
  CHECK(grantor.Handle(Agent("b"), request).granted.size() == 1);
  CHECK(grantor.Handle(Agent("c"), request).granted.empty());
  CHECK(grantor.Handle(restarted, request).granted.empty());
  CHECK(grantor.Grants().size() == 1);
  clock.Advance(options.duration);
  CHECK(grantor.Grants().empty());
  CHECK(grantor.Handle(Agent("c"), request).granted.size() == 1);
}

// Guards against a delayed release that ends a newer lease.
TEST_CASE_FIXTURE(InformedFixture, "a release does not end a grant of a later request") {
  grantor.Handle(Agent("b"), {ViewVersion(1), 6, {home}});
  grantor.Release(Agent("b"), {5, {home}});
  grantor.Release(Agent("c"), {9, {home}});
  CHECK(grantor.Grants().size() == 1);
  grantor.Release(Agent("b"), {6, {home}});
  CHECK(grantor.Grants().empty());
}

TEST_CASE_FIXTURE(InformedFixture,
                  "a grantor refuses requests of other views and reports older views") {
  holder.AdoptView(MakeView(2, {"a", "b", "c"}));
  const protocol::LeaseReply reply = grantor.Handle(Agent("b"), {ViewVersion(1), 1, {home}});
  CHECK(reply.granted.empty());
  CHECK(reply.view == ViewVersion(2));
  REQUIRE(reply.older_views.size() == 1);
  CHECK(reply.older_views[0].view == ViewVersion(1));
  CHECK(grantor.Handle(Agent("b"), {ViewVersion(2), 2, {home}}).granted.size() == 1);
}

}  // namespace
}  // namespace peridotfork
