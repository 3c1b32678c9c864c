#include "peridotfork/standin/record_set.h"

#include <algorithm>
#include <cctype>
#include <iterator>
#include <optional>
#include <set>
#include <utility>

#include "peridotfork/internal/standin/stable_hash.h"

namespace peridotfork::standin {
namespace {

// Each index version changes one record in this many.
constexpr std::uint64_t kRevisedShare = 10;

// Maximum rank that each query word adds. It makes the rank of a record differ
// between queries.
constexpr double kWordWeight = 0.5;

// Make the hashes for ranks and index versions independent of those for partition
// maps. With a common salt, map 2 would assign all records that index version 2
// changes to one group.
constexpr std::uint64_t kRankSalt = 1ULL << 62;
constexpr std::uint64_t kIndexSalt = 1ULL << 63;

double UnitInterval(std::uint64_t hash) {
  return static_cast<double>(hash >> 11) * 0x1.0p-53;
}

std::string AllText(const nlohmann::json& fields) {
  std::string text;
  for (const auto& [name, value] : fields.items()) {
    text += value.is_string() ? value.get<std::string>() : value.dump();
    text += ' ';
  }
  return text;
}

// Number of index versions up to `index` that changed the record with this id
// hash.
std::uint64_t Revisions(std::uint64_t id_hash, IndexVersion index) {
  std::uint64_t count = 0;
  for (std::uint64_t version = 2; version <= index.value(); ++version) {
    count += SaltHash(id_hash, kIndexSalt + version) % kRevisedShare == 0 ? 1 : 0;
  }
  return count;
}

// Increases the number by 3% of its original value for each revision, at least
// by 1.
void Revise(nlohmann::json& value, std::uint64_t revisions) {
  const auto first = value.get<std::int64_t>();
  const std::int64_t step = std::max<std::int64_t>(1, first * 3 / 100);
  value = first + step * static_cast<std::int64_t>(revisions);
}

}  // namespace

std::vector<std::string> SplitWords(const std::string& text) {
  std::vector<std::string> words;
  std::string word;
  for (const char c : text + " ") {
    const auto byte = static_cast<unsigned char>(c);
    // Bytes of multi-byte UTF-8 sequences count as letters.
    if (std::isalnum(byte) != 0 || byte >= 0x80) {
      word += static_cast<char>(std::tolower(byte));
    } else if (!word.empty()) {
      words.push_back(std::exchange(word, {}));
    }
  }
  return words;
}

RecordSet::RecordSet(std::uint64_t seed) {
  const auto random = [seed](std::uint64_t salt) { return std::mt19937_64(MixBits(seed ^ salt)); };
  auto levies = random(1);
  auto grants = random(2);
  auto forecasts = random(3);
  auto reports = random(4);
  auto dogs = random(5);
  auto billing = random(6);
  auto walks = random(7);
  auto roster = random(8);
  Add("hearing-desk", MakeLevies(levies));
  Add("member-portal", MakeGrants(grants));
  Add("report-builder", MakeForecasts(forecasts));
  Add("history-archive", MakeReports(reports));
  Add("walker-app", MakeDogs(dogs));
  Add("billing", MakeBillingEntries(billing));
  Add("owner-portal", MakeWalks(walks));
  Add("roster", MakeRosterSlots(roster));
}

void RecordSet::Add(const std::string& service, std::vector<GeneratedRecord> records) {
  ServiceRecords& target = services_[service];
  for (GeneratedRecord& raw : records) {
    const auto position = static_cast<std::uint32_t>(target.entries.size());
    const std::vector<std::string> words = SplitWords(raw.id + " " + AllText(raw.fields));
    for (const std::string& word : std::set<std::string>(words.begin(), words.end())) {
      target.by_word[word].push_back(position);
    }
    target.all.push_back(position);
    const std::uint64_t hash = TextHash(raw.id);
    target.entries.push_back(Entry{std::move(raw), hash});
  }
}

std::vector<std::uint32_t> RecordSet::Matches(const ServiceRecords& records,
                                              const std::vector<std::string>& words) {
  if (words.empty()) {
    return records.all;
  }
  std::optional<std::vector<std::uint32_t>> found;
  for (const std::string& word : words) {
    const auto posting = records.by_word.find(word);
    if (posting == records.by_word.end()) {
      return {};
    }
    if (!found) {
      found = posting->second;
      continue;
    }
    std::vector<std::uint32_t> both;
    std::ranges::set_intersection(*found, posting->second, std::back_inserter(both));
    found = std::move(both);
  }
  return *std::move(found);
}

bool RecordSet::Stores(const Entry& entry, const RecordQuery& query) {
  const std::uint64_t hash = SaltHash(entry.hash, query.snapshot.map.value());
  const std::uint64_t first = hash % query.group_count;
  if (first == query.group.index.value()) {
    return true;
  }
  if (!entry.raw.in_two_groups || query.group_count < 2) {
    return false;
  }
  const std::uint64_t step = 1 + MixBits(hash) % (query.group_count - 1);
  return (first + step) % query.group_count == query.group.index.value();
}

double RecordSet::Rank(const Entry& entry, const std::vector<std::string>& words) {
  double rank = UnitInterval(SaltHash(entry.hash, kRankSalt));
  for (const std::string& word : words) {
    rank += kWordWeight * UnitInterval(SaltHash(entry.hash, TextHash(word)));
  }
  return rank;
}

Record RecordSet::MakeRecord(const Entry& entry, double rank, IndexVersion index) {
  nlohmann::json object = entry.raw.fields;
  Revise(object[entry.raw.revised_field], Revisions(entry.hash, index));
  object["id"] = entry.raw.id;
  object["rank"] = rank;
  object["as_of"] = index.value();
  return Record{RecordId(entry.raw.id), rank, object.dump()};
}

std::vector<Record> RecordSet::Search(const RecordQuery& query) const {
  const auto service = services_.find(query.group.service.value());
  if (service == services_.end() || query.group_count == 0) {
    return {};
  }
  std::vector<std::string> words;
  for (const std::string& text : query.words) {
    std::ranges::copy(SplitWords(text), std::back_inserter(words));
  }
  struct Hit {
    double rank;
    const Entry* entry;
  };
  std::vector<Hit> hits;
  for (const std::uint32_t position : Matches(service->second, words)) {
    const Entry& entry = service->second.entries[position];
    if (Stores(entry, query)) {
      hits.push_back({Rank(entry, words), &entry});
    }
  }
  const std::size_t kept = std::min(query.limit, hits.size());
  std::ranges::partial_sort(
      hits, hits.begin() + static_cast<std::ptrdiff_t>(kept), [](const Hit& a, const Hit& b) {
        return a.rank != b.rank ? a.rank > b.rank : a.entry->raw.id < b.entry->raw.id;
      });
  std::vector<Record> records;
  records.reserve(kept);
  for (std::size_t i = 0; i < kept; ++i) {
    records.push_back(MakeRecord(*hits[i].entry, hits[i].rank, query.snapshot.index));
  }
  return records;
}

std::size_t RecordSet::size(const ServiceId& service) const {
  const auto found = services_.find(service.value());
  return found == services_.end() ? 0 : found->second.entries.size();
}

}  // namespace peridotfork::standin
