#ifndef PERIDOTFORK_STANDIN_RECORD_SET_H_
#define PERIDOTFORK_STANDIN_RECORD_SET_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "peridotfork/core/ids.h"
#include "peridotfork/internal/standin/record_generators.h"

namespace peridotfork::standin {

// One search hit. `json` is an object with "id", "rank", "as_of" (the index
// version that was searched) and the fields of the record.
struct Record {
  RecordId id;
  double rank = 0;
  std::string json;
};

// The words to search for and the group and snapshot to search in.
struct RecordQuery {
  GroupId group;
  std::uint32_t group_count = 1;
  Snapshot snapshot;
  // A record matches if it contains all words, ignoring case. Without words,
  // every record matches.
  std::vector<std::string> words;
  std::size_t limit = 10;
};

// Sample records of both deployments, generated from a seed. Equal seeds give
// equal sets, so the replicas of a group agree. Immutable and thread-safe.
class RecordSet {
 public:
  explicit RecordSet(std::uint64_t seed);

  // Returns the highest-ranked hits of one group, by descending rank and then by
  // id. Empty for a service without records.
  std::vector<Record> Search(const RecordQuery& query) const;

  // Number of distinct records of a service.
  std::size_t size(const ServiceId& service) const;

 private:
  struct Entry {
    GeneratedRecord raw;
    // TextHash() of the id, stored because a search visits thousands of records.
    std::uint64_t hash = 0;
  };
  struct ServiceRecords {
    std::vector<Entry> entries;
    std::unordered_map<std::string, std::vector<std::uint32_t>> by_word;
    std::vector<std::uint32_t> all;
  };

  void Add(const std::string& service, std::vector<GeneratedRecord> records);
  static std::vector<std::uint32_t> Matches(const ServiceRecords& records,
                                            const std::vector<std::string>& words);

  // Whether the partition map assigns the record to the group. Some records are
  // stored in two groups, so that a merge has to remove duplicates.
  static bool Stores(const Entry& entry, const RecordQuery& query);

  static double Rank(const Entry& entry, const std::vector<std::string>& words);
  static Record MakeRecord(const Entry& entry, double rank, IndexVersion index);

  std::unordered_map<std::string, ServiceRecords> services_;
};

// Splits text into lower-case words of letters and digits.
std::vector<std::string> SplitWords(const std::string& text);

}  // namespace peridotfork::standin

#endif  // PERIDOTFORK_STANDIN_RECORD_SET_H_
