#ifndef PERIDOTFORK_INTERNAL_CONFIG_SECTION_STATE_H_
#define PERIDOTFORK_INTERNAL_CONFIG_SECTION_STATE_H_

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "peridotfork/config/document.h"
#include "peridotfork/config/ini.h"
#include "peridotfork/core/clock.h"
#include "peridotfork/core/ids.h"
#include "peridotfork/internal/config/section.h"

namespace peridotfork {

// A section in force, with the revision that introduced its text, the newest
// revision whose document contains the text, and the time at which this host
// accepted it.
struct AcceptedSection {
  SectionPtr section;
  Revision version;
  Revision confirmed;
  WallTime since;
};

using SectionMap = std::map<std::string, AcceptedSection>;

// Data centre of each accepted target. Removed targets are kept while their
// number permits.
using TargetDataCentres = std::unordered_map<TargetId, DataCentreId>;

// The accepted state of a store. `unaccepted` holds the names of the document's
// sections that were refused and have no earlier accepted text, and an empty name
// if the document has lines that cannot be parsed.
struct StoreState {
  Revision revision;
  SectionMap sections;
  std::set<std::string> unaccepted;
  TargetDataCentres known_targets;
  DocumentPtr document;
};

// The state of a store after applying a revision.
struct Plan {
  SectionMap sections;
  std::set<std::string> unaccepted;
  DocumentPtr document;
  std::vector<IniFault> faults;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_INTERNAL_CONFIG_SECTION_STATE_H_
