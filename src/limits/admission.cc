#include "peridotfork/limits/admission.h"

#include <algorithm>
#include <cmath>

namespace peridotfork {

Admission::Admission(const Clock& clock, AdmissionOptions options)
    : clock_(clock), options_(options) {}

Result<void> Admission::TryAdmit(const CallerId& caller) {
  const auto found = callers_.find(caller);
  if (found == callers_.end() || !found->second.known) {
    return MakeError(ErrorKind::kUnknownName, "caller " + caller.value());
  }
  CallerState& state = found->second;
  Refill(state);
  state.last_request = clock_.now();
  if (state.in_flight >= state.limits.in_flight) {
    return MakeError(ErrorKind::kCallerLimit, "caller " + caller.value(), "in-flight limit");
  }
  if (state.tokens < 1) {
    return MakeError(ErrorKind::kCallerLimit, "caller " + caller.value(), "rate limit");
  }
  if (!HasCapacity(state)) {
    return MakeError(ErrorKind::kQueueFull, "caller " + caller.value(),
                     "the entry has no capacity left for this caller");
  }
  state.tokens -= 1;
  ++state.in_flight;
  ++in_flight_;
  return boost::outcome_v2::success();
}

void Admission::Release(const CallerId& caller) {
  const auto found = callers_.find(caller);
  if (found == callers_.end() || found->second.in_flight == 0) {
    return;
  }
  --in_flight_;
  if (--found->second.in_flight == 0 && !found->second.known) {
    callers_.erase(found);
  }
}

void Admission::SetLimits(const std::map<CallerId, CallerLimits>& limits) {
  for (auto& [caller, state] : callers_) {
    state.known = false;
  }
  for (const auto& [caller, granted] : limits) {
    const auto [it, inserted] = callers_.try_emplace(caller);
    CallerState& state = it->second;
    if (inserted) {
      state.limits = granted;
      state.tokens = Burst(granted);
      state.refilled = clock_.now();
      state.last_request = clock_.now() - options_.activity_window;
    }
    Refill(state);
    state.known = true;
    state.limits = granted;
    state.tokens = std::min(state.tokens, Burst(granted));
  }
  std::erase_if(callers_, [](const auto& entry) {
    return !entry.second.known && entry.second.in_flight == 0;
  });
}

double Admission::Burst(const CallerLimits& limits) const {
  if (limits.rate.value() <= 0) {
    return 0;
  }
  return std::max(1.0, limits.rate.value() * std::chrono::duration<double>(options_.burst).count());
}

void Admission::Refill(CallerState& state) const {
  const BootTime now = clock_.now();
  const double seconds = std::chrono::duration<double>(now - state.refilled).count();
  state.tokens = std::min(Burst(state.limits), state.tokens + state.limits.rate.value() * seconds);
  state.refilled = now;
}

bool Admission::IsActive(const CallerState& state) const {
  return state.known &&
         (state.in_flight > 0 || clock_.now() - state.last_request < options_.activity_window);
}

Admission::ShareInputs Admission::ComputeShareInputs() const {
  ShareInputs inputs;
  bool has_inactive = false;
  for (const auto& [caller, state] : callers_) {
    const std::uint32_t weight = state.known ? state.limits.in_flight : 0;
    if (IsActive(state)) {
      inputs.weight += weight;
    } else {
      has_inactive = has_inactive || weight > 0;
    }
  }
  if (has_inactive) {
    const double part = std::ceil(options_.reserve_fraction * options_.total_in_flight);
    inputs.reserved = static_cast<std::uint32_t>(part);
  }
  return inputs;
}

std::uint32_t Admission::ShareOf(const CallerState& state, const ShareInputs& inputs) const {
  const std::uint64_t weight = state.limits.in_flight;
  if (weight == 0 || inputs.weight == 0) {
    return 0;
  }
  const std::uint32_t total = options_.total_in_flight;
  const std::uint64_t shared = total - std::min(inputs.reserved, total);
  return static_cast<std::uint32_t>(
      std::clamp<std::uint64_t>(shared * weight / inputs.weight, 1, weight));
}

std::uint64_t Admission::ReservedForOthers(const CallerState& state,
                                           const ShareInputs& inputs) const {
  std::uint64_t held = inputs.reserved;
  for (const auto& [caller, other] : callers_) {
    if (&other != &state && IsActive(other)) {
      const std::uint32_t share = ShareOf(other, inputs);
      held += share - std::min(share, other.in_flight);
    }
  }
  return held;
}

bool Admission::HasCapacity(const CallerState& state) const {
  if (in_flight_ >= options_.total_in_flight) {
    return false;
  }
  const ShareInputs inputs = ComputeShareInputs();
  return state.in_flight < ShareOf(state, inputs) ||
         options_.total_in_flight - in_flight_ > ReservedForOthers(state, inputs);
}

std::uint32_t Admission::in_flight(const CallerId& caller) const {
  const auto found = callers_.find(caller);
  return found == callers_.end() ? 0 : found->second.in_flight;
}

std::uint32_t Admission::Share(const CallerId& caller) const {
  const auto found = callers_.find(caller);
  if (found == callers_.end() || !found->second.known) {
    return 0;
  }
  ShareInputs inputs = ComputeShareInputs();
  inputs.weight += IsActive(found->second) ? 0 : found->second.limits.in_flight;
  return ShareOf(found->second, inputs);
}

}  // namespace peridotfork
