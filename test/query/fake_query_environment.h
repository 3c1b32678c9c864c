#ifndef PERIDOTFORK_TEST_QUERY_FAKE_QUERY_ENVIRONMENT_H_
#define PERIDOTFORK_TEST_QUERY_FAKE_QUERY_ENVIRONMENT_H_

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "peridotfork/query/query_execution.h"

namespace peridotfork::query {

inline constexpr Snapshot kOld{IndexVersion(7), PartitionMapVersion(1)};
inline constexpr Snapshot kNew{IndexVersion(8), PartitionMapVersion(2)};
inline constexpr ErrorKind kOk = ErrorKind::kOk;

// Stands in for the tables of an entry, with groups of replicas that the test sets up.
class FakeQueryEnvironment : public QueryEnvironment {
 public:
  AttemptId NewAttempt() override { return AttemptId(++last_attempt); }

  std::vector<routing::Candidate> Candidates(const GroupId& group, Snapshot snapshot) override {
    std::vector<routing::Candidate> candidates;
    for (const protocol::TargetCondition& replica : groups.at(group.index.value())) {
      if (std::ranges::count(replica.snapshots, snapshot) > 0) {
        candidates.push_back({.target = replica.target, .condition = &replica});
      }
    }
    return candidates;
  }

  std::optional<SnapshotChoice> NewerSnapshot(const ServiceId& /*service*/,
                                              Snapshot than) override {
    return newer && newer->snapshot > than ? newer : std::nullopt;
  }

  // Adds a group of warm replicas that hold `snapshots`.
  void AddGroup(int replicas, const std::vector<Snapshot>& snapshots) {
    auto& group = groups.emplace_back();
    for (int i = 0; i < replicas; ++i) {
      group.push_back(
          {.target = TargetId(std::to_string(groups.size() - 1) + "-" + std::to_string(i)),
           .state = protocol::TargetState::kWarm,
           .allowance = Slots(3),
           .snapshots = snapshots});
    }
  }

  QueryExecution MakeQuery(std::chrono::milliseconds time,
                           Require require = Require::kPartial,
                           std::uint32_t limit = 0) {
    const auto count = static_cast<std::uint32_t>(groups.size());
    return QueryExecution({clock, chooser, *hedging, hedges, retries, *this},
                          {.service = ServiceId("desk"),
                           .snapshot = {kOld, count, count},
                           .deadline = clock.now() + time,
                           .require = require,
                           .limit = limit,
                           .seed = last_attempt});
  }

  ManualClock clock;
  routing::Budget hedges{routing::kHedgeBudget};
  routing::Budget retries{routing::kRetryBudget};
  routing::LatencyTracker latencies{clock};
  routing::ExpectedTimeChooser chooser{clock, DataCentreId("hartford")};
  routing::QuantileHedge quantile_hedge{latencies};
  routing::NoHedge no_hedge;
  const routing::HedgePolicy* hedging = &quantile_hedge;
  std::vector<std::vector<protocol::TargetCondition>> groups;
  std::optional<SnapshotChoice> newer;
  std::uint64_t last_attempt = 0;
};

template <typename Action>
std::vector<Action> ActionsOfType(const QueryActions& actions) {
  std::vector<Action> only;
  for (const QueryAction& action : actions) {
    if (const auto* wanted = std::get_if<Action>(&action)) {
      only.push_back(*wanted);
    }
  }
  return only;
}

}  // namespace peridotfork::query

#endif  // PERIDOTFORK_TEST_QUERY_FAKE_QUERY_ENVIRONMENT_H_
