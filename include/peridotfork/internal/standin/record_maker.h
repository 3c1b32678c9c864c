#ifndef PERIDOTFORK_INTERNAL_STANDIN_RECORD_MAKER_H_
#define PERIDOTFORK_INTERNAL_STANDIN_RECORD_MAKER_H_

#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

namespace peridotfork::standin {

// One generated record. `revised_field` is the name of the numeric field that
// later index versions change.
struct RawRecord {
  std::string id;
  nlohmann::json fields;
  std::string revised_field;
  bool in_two_groups = false;
};

// Generate the records of each service. The result depends only on the state of
// `random`.
std::vector<RawRecord> MakeLevies(std::mt19937_64& random);
std::vector<RawRecord> MakeGrants(std::mt19937_64& random);
std::vector<RawRecord> MakeForecasts(std::mt19937_64& random);
std::vector<RawRecord> MakeReports(std::mt19937_64& random);
std::vector<RawRecord> MakeDogs(std::mt19937_64& random);
std::vector<RawRecord> MakeBillingEntries(std::mt19937_64& random);
std::vector<RawRecord> MakeWalks(std::mt19937_64& random);
std::vector<RawRecord> MakeRosterSlots(std::mt19937_64& random);

}  // namespace peridotfork::standin

#endif  // PERIDOTFORK_INTERNAL_STANDIN_RECORD_MAKER_H_
