#ifndef PERIDOTFORK_PLATFORM_CATALOGUE_CODEC_H_
#define PERIDOTFORK_PLATFORM_CATALOGUE_CODEC_H_

#include <string_view>

#include "peridotfork/catalogue/catalogue.h"
#include "peridotfork/core/error.h"

namespace peridotfork::platform {

// Decodes the operators' configuration from JSON. Returns an error if a required field is missing
// or any value is invalid.
Result<CataloguePtr> DecodeCatalogue(std::string_view text);

// Decodes from JSON the report that a target publishes about itself.
Result<TargetEntry> DecodeTargetEntry(const TargetId& id, std::string_view text);

}  // namespace peridotfork::platform

#endif  // PERIDOTFORK_PLATFORM_CATALOGUE_CODEC_H_
