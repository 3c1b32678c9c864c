#include "peridotfork/routing/replica_chooser.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace peridotfork::routing {
namespace {

// Used for all candidates if none has an estimate. Only the ratios of expected times matter.
constexpr std::chrono::nanoseconds kDefaultLatency = std::chrono::milliseconds(1);

bool IsEligible(const ChoiceRequest& request, const Candidate& candidate) {
  return IsUsable(candidate) &&
         std::ranges::find(request.tried, candidate.target) == request.tried.end();
}

// Indices of the candidates that may be chosen, rotated by the random number so that ties are
// distributed evenly.
std::vector<std::size_t> EligiblePositions(const ChoiceRequest& request) {
  std::vector<std::size_t> open;
  for (std::size_t i = 0; i < request.candidates.size(); ++i) {
    if (IsEligible(request, request.candidates[i])) {
      open.push_back(i);
    }
  }
  if (!open.empty()) {
    const auto shift = static_cast<std::ptrdiff_t>(request.random_value % open.size());
    std::rotate(open.begin(), open.begin() + shift, open.end());
  }
  return open;
}

// Latency assumed for replicas without an estimate: that of the fastest known replica, so that they
// receive attempts and soon have an estimate.
std::chrono::nanoseconds MinLatency(std::span<const Candidate> candidates) {
  std::optional<std::chrono::nanoseconds> lowest;
  for (const Candidate& candidate : candidates) {
    if (candidate.latency && (!lowest || *candidate.latency < *lowest)) {
      lowest = candidate.latency;
    }
  }
  return std::max(lowest.value_or(kDefaultLatency), std::chrono::nanoseconds(1));
}

double Decay(std::chrono::nanoseconds age, std::chrono::nanoseconds half_life) {
  const auto half_lives = std::chrono::duration<double>(age) / half_life;
  return std::exp2(-std::max(0.0, half_lives));
}

// Estimated number of attempts at the target, from all senders. The attempts of this entry are
// counted exactly; the reported load of others is added with a weight that decays with its age.
double Backlog(const Candidate& candidate, std::chrono::nanoseconds half_life) {
  const double own = candidate.own_in_flight;
  if (candidate.condition == nullptr) {
    return own;
  }
  const protocol::TargetCondition& condition = *candidate.condition;
  const double load = condition.reported_load * Decay(condition.reported_age, half_life);
  const double reported = std::max<double>(condition.in_use, load) + condition.queued;
  return own + std::max(0.0, reported - own) * Decay(candidate.condition_age, half_life);
}

double EffectiveSlots(const Candidate& candidate) {
  if (candidate.condition == nullptr) {
    return 1;
  }
  return std::max<double>(1, candidate.condition->allowance.value());
}

}  // namespace

ExpectedTimeChooser::ExpectedTimeChooser(const Clock& clock,
                                         DataCentreId self,
                                         ExpectedTimeOptions options)
    : clock_(clock), self_(std::move(self)), options_(options) {}

std::optional<std::size_t> ExpectedTimeChooser::Choose(const ChoiceRequest& request) const {
  if (const std::optional<std::size_t> explored = Explore(request)) {
    return explored;
  }
  const std::chrono::nanoseconds unknown = MinLatency(request.candidates);
  std::optional<std::size_t> best;
  std::optional<std::size_t> local;
  double best_time = 0;
  double local_time = 0;
  for (const std::size_t i : EligiblePositions(request)) {
    const double time = ExpectedTime(request.candidates[i], unknown);
    if (!best || time < best_time) {
      best = i;
      best_time = time;
    }
    if (request.candidates[i].data_centre == self_ && (!local || time < local_time)) {
      local = i;
      local_time = time;
    }
  }
  return local && local_time <= best_time * options_.locality_factor ? local : best;
}

double ExpectedTimeChooser::ExpectedTime(const Candidate& candidate,
                                         std::chrono::nanoseconds default_latency) const {
  // If an attempt has been waiting for longer than the estimate, the estimate is too low.
  const std::chrono::nanoseconds latency =
      std::max(candidate.latency.value_or(default_latency), candidate.oldest_pending_age);
  const double backlog = Backlog(candidate, options_.load_half_life);
  return std::chrono::duration<double>(latency).count() * (1 + backlog) / EffectiveSlots(candidate);
}

std::optional<std::size_t> ExpectedTimeChooser::Explore(const ChoiceRequest& request) const {
  if (!request.may_explore || request.random_value % options_.exploration_interval != 0) {
    return std::nullopt;
  }
  const BootTime idle_threshold = clock_.now() - options_.exploration_age;
  std::optional<std::size_t> oldest;
  for (std::size_t i = 0; i < request.candidates.size(); ++i) {
    const Candidate& candidate = request.candidates[i];
    if (IsEligible(request, candidate) && candidate.last_sent &&
        *candidate.last_sent <= idle_threshold &&
        (!oldest || *candidate.last_sent < *request.candidates[*oldest].last_sent)) {
      oldest = i;
    }
  }
  return oldest;
}

std::optional<std::size_t> RandomChooser::Choose(const ChoiceRequest& request) const {
  const std::vector<std::size_t> open = EligiblePositions(request);
  return open.empty() ? std::nullopt : std::optional(open.front());
}

}  // namespace peridotfork::routing
