#ifndef PERIDOTFORK_PUBLICATION_HOST_LIST_H_
#define PERIDOTFORK_PUBLICATION_HOST_LIST_H_

#include <string_view>

#include "peridotfork/core/error.h"
#include "peridotfork/lease/view.h"

namespace peridotfork {

// Parses the platform's host list. Errors name the host and the field. Unknown fields
// are ignored, because the platform defines the format and may extend it.
Result<View> ParseHostList(ViewVersion version, std::string_view text);

}  // namespace peridotfork

#endif  // PERIDOTFORK_PUBLICATION_HOST_LIST_H_
