#ifndef PERIDOTFORK_PUBLICATION_HOST_LIST_H_
#define PERIDOTFORK_PUBLICATION_HOST_LIST_H_

#include <string_view>

#include "peridotfork/core/error.h"
#include "peridotfork/lease/view.h"

namespace peridotfork {

// Reads the platform's host list. Errors name the host and the field. Fields
// that are not known are ignored, since the list is the platform's.
Result<View> ParseHostList(ViewVersion version, std::string_view text);

}  // namespace peridotfork

#endif  // PERIDOTFORK_PUBLICATION_HOST_LIST_H_
