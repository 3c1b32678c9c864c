#ifndef PERIDOTFORK_PLATFORM_CATALOGUE_CODEC_H_
#define PERIDOTFORK_PLATFORM_CATALOGUE_CODEC_H_

#include <string_view>

#include "peridotfork/catalogue/catalogue.h"
#include "peridotfork/core/error.h"

namespace peridotfork::platform {

// The operators' configuration from its JSON text. A part of the wrong type or
// a missing one refuses the whole.
Result<CataloguePtr> DecodeCatalogue(std::string_view text);

// A target's own entry from its JSON text.
Result<TargetEntry> DecodeTargetEntry(const TargetId& id, std::string_view text);

}  // namespace peridotfork::platform

#endif  // PERIDOTFORK_PLATFORM_CATALOGUE_CODEC_H_
