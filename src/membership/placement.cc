#include "peridotfork/membership/placement.h"

#include <algorithm>
#include <tuple>

namespace peridotfork {
namespace {

constexpr std::uint64_t kFnvOffset = 0xcbf29ce484222325;
constexpr std::uint64_t kFnvPrime = 0x100000001b3;

std::uint64_t Fnv1a(std::uint64_t hash, std::string_view bytes) {
  for (const char byte : bytes) {
    hash = (hash ^ static_cast<unsigned char>(byte)) * kFnvPrime;
  }
  return hash;
}

std::uint64_t Mix(std::uint64_t hash) {
  hash = (hash ^ (hash >> 33)) * 0xff51afd7ed558ccd;
  hash = (hash ^ (hash >> 33)) * 0xc4ceb9fe1a85ec53;
  return hash ^ (hash >> 33);
}

}  // namespace

std::uint64_t RendezvousScore(std::string_view key, std::string_view host) {
  const std::uint64_t key_hash = Fnv1a(kFnvOffset, key);
  return Mix(Fnv1a(Fnv1a(key_hash, std::string_view("\0", 1)), host));
}

HostId Placement::HomeOf(const TargetId& target, const DataCentreId& data_centre) const {
  const auto rank = [&](const ViewMember& member) {
    // The lowest rank is chosen, so the score is inverted.
    return std::tuple(member.leaving, member.data_centre != data_centre,
                      ~RendezvousScore(target.value(), member.id.value()), member.id);
  };
  const ViewMember* best = nullptr;
  for (const ViewMember& member : members_) {
    if (best == nullptr || rank(member) < rank(*best)) {
      best = &member;
    }
  }
  return best == nullptr ? HostId() : best->id;
}

std::vector<HostId> Placement::CandidatesFor(const HostId& home) const {
  std::vector<ViewMember> candidates;
  std::copy_if(members_.begin(), members_.end(), std::back_inserter(candidates),
               [&](const ViewMember& member) { return member.id != home; });
  const auto is_leaving = [](const ViewMember& member) { return member.leaving; };
  if (!std::all_of(candidates.begin(), candidates.end(), is_leaving)) {
    std::erase_if(candidates, is_leaving);
  }
  std::vector<std::pair<std::uint64_t, HostId>> ranked;
  ranked.reserve(candidates.size());
  for (const ViewMember& member : candidates) {
    ranked.emplace_back(~RendezvousScore(home.value(), member.id.value()), member.id);
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<HostId> result;
  result.reserve(ranked.size());
  for (auto& [score, host] : ranked) {
    result.push_back(std::move(host));
  }
  return result;
}

Coverage::Coverage(const View& view, const LeaseHolder& holder, const HostId& home) : home_(home) {
  placements_.emplace_back(view);
  for (const View& older : holder.CarriedFrom(home)) {
    placements_.emplace_back(older);
  }
}

bool Coverage::Covers(const TargetId& target, const DataCentreId& data_centre) const {
  return std::all_of(placements_.begin(), placements_.end(), [&](const Placement& placement) {
    return placement.HomeOf(target, data_centre) == home_;
  });
}

}  // namespace peridotfork
