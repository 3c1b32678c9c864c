#ifndef PERIDOTFORK_ROUTING_REPLICA_CHOOSER_H_
#define PERIDOTFORK_ROUTING_REPLICA_CHOOSER_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>

#include "peridotfork/core/clock.h"
#include "peridotfork/core/ids.h"
#include "peridotfork/routing/candidate.h"

namespace peridotfork::routing {

struct ChoiceRequest {
  std::span<const Candidate> candidates;
  // Targets to which the sub-request has already been sent.
  std::span<const TargetId> tried;
  // Whether a replica may be chosen only to refresh its latency estimate. Not set for retries and
  // hedges, which need the best remaining replica.
  bool may_explore = false;
  // Random number for this choice.
  std::uint64_t random_value = 0;
};

// Strategy that chooses the replica for one attempt. Implementations are stateless and thread-safe.
class ReplicaChooser {
 public:
  virtual ~ReplicaChooser() = default;

  // Returns an index into `request.candidates`, or nullopt if no usable candidate is left.
  virtual std::optional<std::size_t> Choose(const ChoiceRequest& request) const = 0;
};

struct ExpectedTimeOptions {
  // A replica in the local data centre is preferred if its expected time is at most this multiple
  // of the lowest expected time.
  double locality_factor = 1.2;
  // Half-life of the weight of reported load.
  std::chrono::nanoseconds load_half_life = std::chrono::milliseconds(200);
  // A replica to which this entry has sent nothing for `exploration_age` is chosen in one of
  // `exploration_interval` choices. Otherwise a replica that was slow once would keep its old
  // estimate and never be chosen again.
  std::chrono::nanoseconds exploration_age = std::chrono::seconds(5);
  std::uint32_t exploration_interval = 64;
};

// Chooses the replica with the lowest expected time: latency * (1 + backlog) / slots.
class ExpectedTimeChooser final : public ReplicaChooser {
 public:
  ExpectedTimeChooser(const Clock& clock, DataCentreId self, ExpectedTimeOptions options = {});

  std::optional<std::size_t> Choose(const ChoiceRequest& request) const override;

 private:
  double ExpectedTime(const Candidate& candidate, std::chrono::nanoseconds default_latency) const;
  std::optional<std::size_t> Explore(const ChoiceRequest& request) const;

  const Clock& clock_;
  DataCentreId self_;
  ExpectedTimeOptions options_;
};

// Chooses a usable replica uniformly at random. Baseline for measurements.
class RandomChooser final : public ReplicaChooser {
 public:
  std::optional<std::size_t> Choose(const ChoiceRequest& request) const override;
};

}  // namespace peridotfork::routing

#endif  // PERIDOTFORK_ROUTING_REPLICA_CHOOSER_H_
