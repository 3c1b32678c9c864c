#include "peridotfork/config/key_table.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace peridotfork {
namespace {

// Levenshtein distance between `a` and `b`.
std::size_t EditDistance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{0});
  for (std::size_t i = 0; i < a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i + 1;
    for (std::size_t j = 0; j < b.size(); ++j) {
      const std::size_t replaced = diagonal + (a[i] == b[j] ? 0 : 1);
      diagonal = row[j + 1];
      row[j + 1] = std::min({replaced, row[j] + 1, diagonal + 1});
    }
  }
  return row.back();
}

std::string UnknownReason(std::string_view what,
                          std::string_view name,
                          const std::vector<std::string>& known) {
  std::string reason = std::string(what) + " is unknown";
  const std::string nearest = NearestName(name, known);
  if (!nearest.empty()) {
    return reason + "; the nearest known one is " + nearest;
  }
  reason += "; expected one of";
  for (const std::string& expected : known) {
    reason += (&expected == &known.front() ? " " : ", ") + expected;
  }
  return reason;
}

}  // namespace

std::string NearestName(std::string_view name, const std::vector<std::string>& known) {
  std::string nearest;
  std::size_t best = std::max<std::size_t>(2, name.size() / 2) + 1;
  for (const std::string& candidate : known) {
    const std::size_t distance = EditDistance(name, candidate);
    if (distance < best) {
      best = distance;
      nearest = candidate;
    }
  }
  return nearest;
}

IniFault UnknownSectionFault(const IniSection& section, const std::vector<std::string>& known) {
  return {ErrorKind::kUnknownField,
          section.line,
          section.name,
          {},
          {},
          UnknownReason("the section", section.name, known)};
}

IniFault UnknownKeyFault(const IniSection& section,
                         const IniEntry& entry,
                         const std::vector<std::string>& known) {
  return {ErrorKind::kUnknownField,
          entry.line,
          section.name,
          entry.key,
          entry.value,
          UnknownReason("the key", entry.key, known)};
}

IniFault ValueFault(const IniSection& section, const IniEntry& entry, const Error& error) {
  return {error.kind(), entry.line, section.name, entry.key, entry.value, error.detail};
}

IniFault MissingKeyFault(const std::string& section, std::size_t line, const char* key) {
  return {ErrorKind::kMissingField, line, section, key, {}, "the key is missing"};
}

}  // namespace peridotfork
