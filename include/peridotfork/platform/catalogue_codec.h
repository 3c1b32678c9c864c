#ifndef PERIDOTFORK_PLATFORM_CATALOGUE_CODEC_H_
#define PERIDOTFORK_PLATFORM_CATALOGUE_CODEC_H_

#include <string_view>

#include "peridotfork/catalogue/catalogue.h"
#include "peridotfork/core/error.h"

namespace peridotfork::platform {

// Decodes the operators' configuration from JSON. A missing field or a field of the wrong type
// invalidates the whole configuration.
Result<CataloguePtr> DecodeCatalogue(std::string_view text);

// Decodes the entry that a target publishes about itself from JSON.
Result<TargetEntry> DecodeTargetEntry(const TargetId& id, std::string_view text);

}  // namespace peridotfork::platform

#endif  // PERIDOTFORK_PLATFORM_CATALOGUE_CODEC_H_
