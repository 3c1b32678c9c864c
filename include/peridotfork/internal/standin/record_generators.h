#ifndef PERIDOTFORK_INTERNAL_STANDIN_RECORD_GENERATORS_H_
#define PERIDOTFORK_INTERNAL_STANDIN_RECORD_GENERATORS_H_

#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

namespace peridotfork::standin {

// One generated record. `revised_field` is the name of the numeric field that
// later index versions change.
struct GeneratedRecord {
  std::string id;
  nlohmann::json fields;
  std::string revised_field;
  bool in_two_groups = false;
};

// Generate the records of each service. The result depends only on the state of
// `random`.
std::vector<GeneratedRecord> MakeLevies(std::mt19937_64& random);
std::vector<GeneratedRecord> MakeGrants(std::mt19937_64& random);
std::vector<GeneratedRecord> MakeForecasts(std::mt19937_64& random);
std::vector<GeneratedRecord> MakeReports(std::mt19937_64& random);
std::vector<GeneratedRecord> MakeDogs(std::mt19937_64& random);
std::vector<GeneratedRecord> MakeBillingEntries(std::mt19937_64& random);
std::vector<GeneratedRecord> MakeWalks(std::mt19937_64& random);
std::vector<GeneratedRecord> MakeRosterSlots(std::mt19937_64& random);

}  // namespace peridotfork::standin

#endif  // PERIDOTFORK_INTERNAL_STANDIN_RECORD_GENERATORS_H_
