#include "peridotfork/internal/config/proposal.h"

#include <algorithm>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace peridotfork {
namespace {

struct Conflict {
  std::size_t winner;
  std::size_t loser;
  Claim claim;
};

template <typename Body>
const Body* NextBody(const Proposal& proposal) {
  return proposal.next ? std::get_if<Body>(&proposal.next->section->body) : nullptr;
}

template <typename Body>
const Body* CurrentBody(const Proposal& proposal) {
  const AcceptedSection* current = proposal.current();
  return current != nullptr ? std::get_if<Body>(&current->section->body) : nullptr;
}

bool HadClaim(const Proposal& proposal, const std::string& claim) {
  if (!proposal.previous) {
    return false;
  }
  const std::vector<Claim>& claims = proposal.previous->section->claims;
  return std::any_of(claims.begin(), claims.end(),
                     [&](const Claim& held) { return held.name == claim; });
}

// The claims of new texts. Conflicts among the other claims are impossible,
// since their sections were in force together.
std::unordered_set<std::string_view> NewClaims(const std::vector<Proposal>& proposals) {
  std::unordered_set<std::string_view> claims;
  for (const Proposal& proposal : proposals) {
    if (proposal.is_new()) {
      for (const Claim& claim : proposal.current()->section->claims) {
        claims.insert(claim.name);
      }
    }
  }
  return claims;
}

std::vector<Conflict> FindConflicts(const ClaimOrder& order,
                                    const std::vector<Proposal>& proposals) {
  struct Holder {
    std::size_t index;
    const Claim* claim;
  };
  const std::unordered_set<std::string_view> new_claims = NewClaims(proposals);
  std::vector<Conflict> conflicts;
  std::unordered_map<std::string_view, Holder> holders;
  const auto add = [&](std::size_t index, const Claim& claim) {
    const auto [place, added] = holders.try_emplace(claim.name, Holder{index, &claim});
    if (added) {
      return;
    }
    Holder& holder = place->second;
    if (order.Precedes(claim.name, proposals[holder.index], proposals[index])) {
      conflicts.push_back({holder.index, index, claim});
    } else {
      conflicts.push_back({index, holder.index, *holder.claim});
      holder = {index, &claim};
    }
  };
  for (std::size_t i = 0; i < proposals.size(); ++i) {
    if (const AcceptedSection* current = proposals[i].current()) {
      for (const Claim& claim : current->section->claims) {
        if (new_claims.contains(claim.name)) {
          add(i, claim);
        }
      }
    }
  }
  return conflicts;
}

// Removes conflicts whose winner itself loses to another section, since they may
// resolve without a refusal. If the conflicts form a cycle, keeps all of them.
void DropProvisionalConflicts(std::vector<Conflict>* conflicts) {
  std::unordered_set<std::size_t> losers;
  for (const Conflict& conflict : *conflicts) {
    losers.insert(conflict.loser);
  }
  std::vector<Conflict> settled;
  for (const Conflict& conflict : *conflicts) {
    if (!losers.contains(conflict.winner)) {
      settled.push_back(conflict);
    }
  }
  if (!settled.empty()) {
    *conflicts = std::move(settled);
  }
}

}  // namespace

const AcceptedSection* Proposal::current() const {
  if (next) {
    return &*next;
  }
  return previous ? &*previous : nullptr;
}

void Proposal::Refuse() {
  (next ? next : previous).reset();
}

bool Proposal::is_new() const {
  return next && (!previous || next->section != previous->section);
}

IniFault Proposal::MakeFault(ErrorKind kind, const std::string& key, std::string reason) const {
  IniFault fault{kind, 0, name, key, {}, std::move(reason)};
  if (source == nullptr) {
    return fault;
  }
  const ParsedIniSection part = ParseIniSource(*source);
  fault.line = part.section.line;
  for (const IniEntry& entry : part.section.entries) {
    if (entry.key == key) {
      fault.line = entry.line;
      fault.value = entry.value;
    }
  }
  return fault;
}

bool DocumentOrder::Precedes(const std::string& claim, const Proposal& a, const Proposal& b) const {
  const auto rank = [&claim](const Proposal& proposal) {
    return std::make_tuple(proposal.next.has_value(), !HadClaim(proposal, claim), proposal.order);
  };
  return rank(a) < rank(b);
}

bool VersionOrder::Precedes(const std::string&, const Proposal& a, const Proposal& b) const {
  return std::tie(a.current()->version, a.name) < std::tie(b.current()->version, b.name);
}

void ResolveClaims(const ClaimOrder& order,
                   std::vector<Proposal>* proposals,
                   std::vector<IniFault>* faults) {
  while (true) {
    std::vector<Conflict> conflicts = FindConflicts(order, *proposals);
    if (conflicts.empty()) {
      return;
    }
    DropProvisionalConflicts(&conflicts);
    std::unordered_set<std::size_t> refused;
    for (const Conflict& conflict : conflicts) {
      if (!refused.insert(conflict.loser).second) {
        continue;
      }
      Proposal& loser = (*proposals)[conflict.loser];
      faults->push_back(loser.MakeFault(
          ErrorKind::kDuplicate, conflict.claim.key,
          conflict.claim.name + " belongs to section " + (*proposals)[conflict.winner].name));
      loser.Refuse();
    }
  }
}

void RefuseUnknownReferences(std::vector<Proposal>* proposals, std::vector<IniFault>* faults) {
  std::vector<CallerId> callers;
  std::unordered_set<std::string> names;
  for (const Proposal& proposal : *proposals) {
    names.insert(proposal.name);
    if (const auto* fleet = CurrentBody<FleetConfig>(proposal)) {
      callers = fleet->callers;
    }
  }
  for (Proposal& proposal : *proposals) {
    std::string reason;
    if (const auto* group = NextBody<GroupConfig>(proposal)) {
      const std::string& service = group->id.service.value();
      if (!names.contains("service " + service)) {
        reason = "there is no section service " + service;
      }
    } else if (const auto* caller = NextBody<CallerConfig>(proposal)) {
      const bool listed = std::find(callers.begin(), callers.end(), caller->id) != callers.end();
      if (!callers.empty() && !listed) {
        reason = "the caller is unknown; expected one of the callers of section fleet";
      }
    }
    if (!reason.empty()) {
      faults->push_back(proposal.MakeFault(ErrorKind::kUnknownName, {}, std::move(reason)));
      proposal.Refuse();
    }
  }
}

void RefuseMovedTargets(const TargetDataCentres& known,
                        std::vector<Proposal>* proposals,
                        std::vector<IniFault>* faults) {
  for (Proposal& proposal : *proposals) {
    const auto* group = NextBody<GroupConfig>(proposal);
    if (group == nullptr) {
      continue;
    }
    for (const TargetConfig& target : group->targets) {
      const auto home = known.find(target.id);
      if (home != known.end() && home->second != target.data_centre) {
        faults->push_back(proposal.MakeFault(ErrorKind::kOutOfRange, "target." + target.id.value(),
                                             "the target belongs to " + home->second.value() +
                                                 "; moving it requires a new target id"));
        proposal.Refuse();
        break;
      }
    }
  }
}

void RefuseUnknownTargets(std::vector<Proposal>* proposals, std::vector<IniFault>* faults) {
  std::unordered_set<TargetId> targets;
  for (const Proposal& proposal : *proposals) {
    if (!proposal.next && proposal.name.rfind("group ", 0) == 0) {
      return;
    }
    if (const auto* group = CurrentBody<GroupConfig>(proposal)) {
      for (const TargetConfig& target : group->targets) {
        targets.insert(target.id);
      }
    }
  }
  for (Proposal& proposal : *proposals) {
    const auto* mark = NextBody<TargetSection>(proposal);
    if (mark != nullptr && !targets.contains(mark->id)) {
      faults->push_back(
          proposal.MakeFault(ErrorKind::kUnknownName, {}, "no group contains this target"));
      proposal.Refuse();
    }
  }
}

}  // namespace peridotfork
