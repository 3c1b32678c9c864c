#ifndef PERIDOTFORK_LOAD_MIX_H_
#define PERIDOTFORK_LOAD_MIX_H_

#include <string>
#include <string_view>
#include <vector>

#include "peridotfork/core/error.h"

namespace peridotfork::load {

// One kind of search request and its relative frequency.
struct MixEntry {
  std::string caller;
  std::string service;
  double weight = 1;
  std::vector<std::string> queries;
};

using Mix = std::vector<MixEntry>;

// Returns the mix of the deployment `name` ("association" or "rounds"), or only the entry for the
// service `name`, such as "hearing-desk".
Result<Mix> FindMix(std::string_view name);

}  // namespace peridotfork::load

#endif  // PERIDOTFORK_LOAD_MIX_H_
