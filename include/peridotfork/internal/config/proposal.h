#ifndef PERIDOTFORK_INTERNAL_CONFIG_PROPOSAL_H_
#define PERIDOTFORK_INTERNAL_CONFIG_PROPOSAL_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "peridotfork/config/ini.h"
#include "peridotfork/internal/config/section.h"
#include "peridotfork/internal/config/section_state.h"

namespace peridotfork {

// The candidates for one section name: `next`, or `previous` if `next` is
// refused. `source` provides line numbers for faults; null if the section is not
// in the document.
struct Proposal {
  std::string name;
  std::size_t order = 0;
  const IniSource* source = nullptr;
  std::optional<AcceptedSection> next;
  std::optional<AcceptedSection> previous;

  // Null if both were refused or absent.
  const AcceptedSection* current() const;

  // Whether the current text differs from the one previously in force.
  bool is_new() const;

  // Drops `next`, or `previous` if there is no `next`.
  void Refuse();

  // Fault in this section at the line of `key`, or at the header if `key` is
  // empty.
  IniFault MakeFault(ErrorKind kind, const std::string& key, std::string reason) const;
};

// Decides which of two sections keeps a name claimed by both.
class ClaimOrder {
 public:
  virtual ~ClaimOrder() = default;
  virtual bool Precedes(const std::string& claim, const Proposal& a, const Proposal& b) const = 0;
};

// For documents from the platform: precedence goes to a section whose previous
// text stays in force, then to the section that held the name before, then to
// the first in document order.
class DocumentOrder final : public ClaimOrder {
 public:
  bool Precedes(const std::string& claim, const Proposal& a, const Proposal& b) const override;
};

// For stores at the same revision: the text with the lower version held the name
// first. Both stores reach the same result.
class VersionOrder final : public ClaimOrder {
 public:
  bool Precedes(const std::string& claim, const Proposal& a, const Proposal& b) const override;
};

// Refuses sections until no two of them claim the same name.
void ResolveClaims(const ClaimOrder& order,
                   std::vector<Proposal>* proposals,
                   std::vector<IniFault>* faults);

// Refuses groups whose service is not in the document, and sections of callers
// that [fleet] does not list. A service counts as known even if its section was
// refused.
void RefuseUnknownReferences(std::vector<Proposal>* proposals, std::vector<IniFault>* faults);

// Refuses sections that move a known target to another data centre.
void RefuseMovedTargets(const TargetDataCentres& known,
                        std::vector<Proposal>* proposals,
                        std::vector<IniFault>* faults);

// Refuses [target ID] sections of targets that are in no group. If any [group]
// section was refused, refuses nothing, since that group may contain the target.
void RefuseUnknownTargets(std::vector<Proposal>* proposals, std::vector<IniFault>* faults);

}  // namespace peridotfork

#endif  // PERIDOTFORK_INTERNAL_CONFIG_PROPOSAL_H_
