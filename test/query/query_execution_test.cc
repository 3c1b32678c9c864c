#include "peridotfork/query/query_execution.h"

#include <doctest/doctest.h>

#include "query/fake_query_environment.h"

namespace peridotfork::query {
namespace {

using std::chrono::milliseconds;

std::vector<SendAttempt> Sends(const QueryActions& actions) {
  return ActionsOfType<SendAttempt>(actions);
}

std::optional<QueryOutcome> Outcome(const QueryActions& actions) {
  const std::vector<FinishQuery> finish = ActionsOfType<FinishQuery>(actions);
  return finish.empty() ? std::nullopt : std::optional(finish.front().outcome);
}

QueryActions Answer(QueryExecution& query, const SendAttempt& send) {
  return query.OnReply(send.attempt, kOk, send.snapshot,
                       {{RecordId(std::to_string(send.group.value())), 1, "{}"}});
}

QueryActions Fail(QueryExecution& query, const SendAttempt& send, ErrorKind outcome) {
  return query.OnReply(send.attempt, outcome, {}, {});
}

// Advances the clock to the next timer and runs it.
QueryActions AdvanceToTimer(FakeQueryEnvironment& environment, QueryExecution& query) {
  environment.clock.Advance(query.NextTimer() - environment.clock.now());
  return query.OnTimer();
}

struct Fixture : FakeQueryEnvironment {
  Fixture(int group_count, int replicas) {
    for (int i = 0; i < group_count; ++i) {
      AddGroup(replicas, {kOld, kNew});
    }
  }
};

TEST_CASE("a query that all groups answer is complete") {
  Fixture environment(2, 3);
  QueryExecution query = environment.MakeQuery(milliseconds(400), Require::kComplete);
  const auto sends = Sends(query.Start());
  REQUIRE(sends.size() == 2);
  CHECK(Answer(query, sends[1]).empty());
  const auto outcome = Outcome(Answer(query, sends[0]));
  REQUIRE(outcome);
  CHECK(outcome->result == QueryResult::kComplete);
  CHECK(outcome->coverage == Coverage{2, 2, 2});
  CHECK(query.NextTimer() == BootTime::max());
}

// Guards against a caller that has to wait until its deadline although the query is
// already certain to be refused.
TEST_CASE("a query that requires all groups is refused once one is lost") {
  Fixture environment(2, 1);
  QueryExecution query = environment.MakeQuery(milliseconds(400), Require::kComplete);
  const auto sends = Sends(query.Start());
  const QueryActions actions = Fail(query, sends[0], ErrorKind::kShed);
  const auto outcome = Outcome(actions);
  REQUIRE(outcome);
  CHECK(outcome->result == QueryResult::kRefused);
  CHECK(outcome->reason == ErrorKind::kShed);
  const std::vector<MissingGroup> missing{{GroupIndex(0), ErrorKind::kShed},
                                          {GroupIndex(1), ErrorKind::kCancelled}};
  CHECK(outcome->missing == missing);
  REQUIRE(ActionsOfType<CancelAttempt>(actions).size() == 1);
  CHECK(ActionsOfType<CancelAttempt>(actions)[0].attempt == sends[1].attempt);
}

TEST_CASE("a partial answer is returned one answer margin before the deadline") {
  Fixture environment(2, 1);
  QueryExecution query = environment.MakeQuery(milliseconds(400));
  const BootTime deadline = environment.clock.now() + milliseconds(400);
  const auto sends = Sends(query.Start());
  Answer(query, sends[0]);
  std::optional<QueryOutcome> outcome;
  while (!outcome) {
    outcome = Outcome(AdvanceToTimer(environment, query));
  }
  CHECK(environment.clock.now() == deadline - kAnswerMargin);
  CHECK(outcome->result == QueryResult::kPartial);
  CHECK(outcome->missing == std::vector<MissingGroup>{{GroupIndex(1), ErrorKind::kTimedOut}});
  CHECK(Answer(query, sends[1]).empty());
}

TEST_CASE("a query whose time is used up sends no attempts") {
  Fixture environment(1, 1);
  QueryExecution query = environment.MakeQuery(kAnswerMargin);
  const QueryActions actions = query.Start();
  CHECK(Sends(actions).empty());
  CHECK(Outcome(actions)->reason == ErrorKind::kExpired);
}

TEST_CASE("the outcome of an attempt decides whether another replica is tried") {
  const std::vector<std::pair<ErrorKind, std::size_t>> cases{
      {ErrorKind::kShed, 1},     {ErrorKind::kNotOwner, 1},  {ErrorKind::kTargetLost, 1},
      {ErrorKind::kTimedOut, 1}, {ErrorKind::kMalformed, 0}, {ErrorKind::kQuarantined, 0}};
  for (const auto& test : cases) {
    CAPTURE(ErrorKindName(test.first));
    Fixture environment(1, 2);
    QueryExecution query = environment.MakeQuery(milliseconds(400));
    const auto sends = Sends(query.Start());
    const auto retry = Sends(Fail(query, sends[0], test.first));
    REQUIRE(retry.size() == test.second);
    CHECK((retry.empty() || retry[0].target != sends[0].target));
  }
}

// Guards against a query that crashes every replica of a group by being retried.
TEST_CASE("a group makes no further attempts after two lost targets") {
  Fixture environment(1, 3);
  QueryExecution query = environment.MakeQuery(milliseconds(400));
  const auto first = Sends(query.Start());
  const auto second = Sends(Fail(query, first[0], ErrorKind::kTargetLost));
  const auto outcome = Outcome(Fail(query, second.at(0), ErrorKind::kTargetLost));
  REQUIRE(outcome);
  CHECK(outcome->missing == std::vector<MissingGroup>{{GroupIndex(0), ErrorKind::kTargetLost}});
}

TEST_CASE("no retry is sent when the budget is used up") {
  Fixture environment(1, 3);
  CHECK(environment.retries.TryTakeBatch(20));
  QueryExecution query = environment.MakeQuery(milliseconds(400));
  const auto sends = Sends(query.Start());
  CHECK(Outcome(Fail(query, sends[0], ErrorKind::kShed)));
}

// Gives group 0 a p95 of 10 ms.
void ObserveLatencies(FakeQueryEnvironment& environment) {
  for (int i = 0; i < 100; ++i) {
    environment.latencies.Observe(TargetId("0-0"), {ServiceId("desk"), GroupIndex(0)},
                                  milliseconds(10));
  }
}

TEST_CASE("a late attempt is hedged at the p95 and the slower attempt is cancelled") {
  Fixture environment(1, 3);
  ObserveLatencies(environment);
  QueryExecution query = environment.MakeQuery(milliseconds(400));
  const BootTime start = environment.clock.now();
  const auto first = Sends(query.Start());
  const auto hedge = Sends(AdvanceToTimer(environment, query));
  REQUIRE(hedge.size() == 1);
  CHECK(environment.clock.now() - start == milliseconds(10));
  const QueryActions actions = Answer(query, hedge[0]);
  CHECK(ActionsOfType<CancelAttempt>(actions).at(0).attempt == first[0].attempt);
  CHECK(Outcome(actions)->attempts.hedges == 1);
}

// Guards against a group that keeps waiting for a straggler because its hedge was shed.
TEST_CASE("a hedge that fails is replaced at once by one to the remaining replica") {
  Fixture environment(1, 3);
  ObserveLatencies(environment);
  QueryExecution query = environment.MakeQuery(milliseconds(400));
  query.Start();
  const auto hedge = Sends(AdvanceToTimer(environment, query));
  CHECK(Sends(Fail(query, hedge.at(0), ErrorKind::kShed)).empty());
  CHECK(query.NextTimer() <= environment.clock.now());
  const auto second = Sends(query.OnTimer());
  REQUIRE(second.size() == 1);
  CHECK(second[0].target != hedge[0].target);
}

TEST_CASE("a hedge that lacked budget is sent once the budget has refilled") {
  Fixture environment(1, 3);
  ObserveLatencies(environment);
  CHECK(environment.hedges.TryTakeBatch(10));
  QueryExecution query = environment.MakeQuery(milliseconds(400));
  query.Start();
  CHECK(Sends(AdvanceToTimer(environment, query)).empty());
  environment.hedges.OnSubRequests(50);
  CHECK(Sends(AdvanceToTimer(environment, query)).size() == 1);
}

TEST_CASE("a saturated group gets no extra attempt") {
  Fixture environment(1, 3);
  ObserveLatencies(environment);
  for (protocol::TargetCondition& replica : environment.groups[0]) {
    replica.queued = 4;
  }
  QueryExecution query = environment.MakeQuery(milliseconds(400));
  query.Start();
  while (!query.finished()) {
    CHECK(Sends(AdvanceToTimer(environment, query)).empty());
  }
}

// Guards against a lost message that leaves a group missing when there is no latency
// data for hedging.
TEST_CASE("an attempt that is silent for half of its time is sent again") {
  Fixture environment(1, 2);
  environment.hedging = &environment.no_hedge;
  QueryExecution query = environment.MakeQuery(milliseconds(405));
  const BootTime start = environment.clock.now();
  query.Start();
  CHECK(Sends(AdvanceToTimer(environment, query)).size() == 1);
  CHECK(environment.clock.now() - start == milliseconds(200));
}

// Starts a query over two groups with one replica each. One group answers; the other
// reports after `delay` that its snapshot is gone.
QueryActions LoseSnapshot(FakeQueryEnvironment& environment,
                          QueryExecution& query,
                          milliseconds delay) {
  const auto sends = Sends(query.Start());
  Answer(query, sends.at(0));
  environment.clock.Advance(delay);
  return Fail(query, sends.at(1), ErrorKind::kSnapshotGone);
}

TEST_CASE("a lost snapshot restarts the query on a newer one at most once") {
  Fixture environment(2, 1);
  environment.newer = SnapshotChoice{kNew, 2, 2};
  QueryExecution query = environment.MakeQuery(milliseconds(400));
  const auto again = Sends(LoseSnapshot(environment, query, milliseconds(200)));
  REQUIRE(again.size() == 2);
  CHECK(again[0].snapshot == kNew);
  environment.newer = SnapshotChoice{{IndexVersion(9), PartitionMapVersion(2)}, 2, 2};
  Answer(query, again[0]);
  const auto outcome = Outcome(Fail(query, again[1], ErrorKind::kSnapshotGone));
  REQUIRE(outcome);
  CHECK(outcome->snapshot == kNew);
  CHECK(outcome->coverage == Coverage{2, 1, 1});
  CHECK(outcome->missing == std::vector<MissingGroup>{{GroupIndex(1), ErrorKind::kSnapshotGone}});
}

TEST_CASE("a lost snapshot is reported if a restart lacks time, a newer snapshot or a gain") {
  const std::vector<std::pair<std::optional<SnapshotChoice>, int>> cases{
      {SnapshotChoice{kNew, 2, 2}, 201}, {std::nullopt, 10}, {SnapshotChoice{kNew, 2, 1}, 10}};
  for (const auto& [newer, delay] : cases) {
    Fixture environment(2, 1);
    environment.newer = newer;
    QueryExecution query = environment.MakeQuery(milliseconds(400));
    const auto outcome = Outcome(LoseSnapshot(environment, query, milliseconds(delay)));
    REQUIRE(outcome);
    CHECK(outcome->snapshot == kOld);
    CHECK(outcome->missing.at(0).reason == ErrorKind::kSnapshotGone);
  }
}

}  // namespace
}  // namespace peridotfork::query
