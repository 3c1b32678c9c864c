#ifndef PERIDOTFORK_STANDIN_TARGET_DOCUMENT_H_
#define PERIDOTFORK_STANDIN_TARGET_DOCUMENT_H_

#include <string>
#include <vector>

#include "peridotfork/core/error.h"
#include "peridotfork/core/ids.h"
#include "peridotfork/standin/target_traits.h"

namespace peridotfork::standin {

// One target as defined in the operators' document.
struct TargetSpec {
  TargetId id;
  Address address;
  DataCentreId data_centre;
  GroupId group;
  std::uint32_t group_count = 0;
  TargetTraits traits;
};

// Parses the [service ...] and [group ...] sections of the document and ignores
// the others. Performs fewer checks than the tier's own document parser.
Result<std::vector<TargetSpec>> ReadTargets(const std::string& document);

}  // namespace peridotfork::standin

#endif  // PERIDOTFORK_STANDIN_TARGET_DOCUMENT_H_
