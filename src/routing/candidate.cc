#include "peridotfork/routing/candidate.h"

namespace peridotfork::routing {

bool IsUsable(const Candidate& candidate) {
  if (candidate.leaving || candidate.drained) {
    return false;
  }
  if (candidate.condition == nullptr) {
    return true;
  }
  switch (candidate.condition->state) {
    case protocol::TargetState::kUnknown:
    case protocol::TargetState::kWarm:
      return true;
    case protocol::TargetState::kCold:
      return candidate.condition->allowance.value() > 0;
    case protocol::TargetState::kDraining:
    case protocol::TargetState::kSuspect:
      return false;
  }
  return false;
}

bool IsSaturated(std::span<const Candidate> candidates) {
  std::uint64_t queued = 0;
  std::uint64_t slots = 0;
  for (const Candidate& candidate : candidates) {
    if (candidate.condition != nullptr && IsUsable(candidate)) {
      queued += candidate.condition->queued;
      slots += candidate.condition->allowance.value();
    }
  }
  return queued > slots;
}

}  // namespace peridotfork::routing
