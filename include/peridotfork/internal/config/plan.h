#ifndef PERIDOTFORK_INTERNAL_CONFIG_PLAN_H_
#define PERIDOTFORK_INTERNAL_CONFIG_PLAN_H_

#include <string>
#include <string_view>
#include <vector>

#include "peridotfork/config/section_text.h"
#include "peridotfork/core/clock.h"
#include "peridotfork/core/error.h"
#include "peridotfork/core/ids.h"
#include "peridotfork/internal/config/section_state.h"

namespace peridotfork {

// Builds the document of `sections`; reuses that of `state` if they are equal.
DocumentPtr BuildDocument(const StoreState& state, const SectionMap& sections);

// Plans how the platform's document of `revision` changes a store. Fails if the
// whole document is refused.
Result<Plan> PlanDocument(const StoreState& state,
                          Revision revision,
                          std::string_view text,
                          WallTime now);

// Plans how a peer's sections at `revision` change a store; `revision` must not
// be lower than that of the store. Fails if a section is neither sent nor known.
Result<Plan> PlanSections(const StoreState& state,
                          Revision revision,
                          const std::vector<SectionText>& changed,
                          const std::vector<std::string>& all_names,
                          WallTime now);

}  // namespace peridotfork

#endif  // PERIDOTFORK_INTERNAL_CONFIG_PLAN_H_
