#ifndef PERIDOTFORK_CONFIG_KEY_TABLE_H_
#define PERIDOTFORK_CONFIG_KEY_TABLE_H_

#include <cstdint>
#include <limits>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "peridotfork/config/ini.h"
#include "peridotfork/core/error.h"
#include "peridotfork/internal/config/value.h"

namespace peridotfork {

// One key of a configuration struct: its section and name, its default, its help
// text, and how its value is parsed into the member and printed. `fallback` is
// null for a required key. The values of a list may be spread over several keys:
// "retired", "retired.1", "retired.2".
template <typename Struct>
struct KeySpec {
  const char* section;
  const char* key;
  const char* fallback;
  const char* help;
  Limits limits;
  bool is_list;
  Result<void> (*read)(std::string_view text, const Limits& limits, Struct& object);
  std::string (*print)(const Struct& object);
};

// Makes the table entry for the member pointer `kMember`, which may point to a
// member of a base of `Struct`.
template <typename Struct, auto kMember>
KeySpec<Struct> MakeKey(const char* section,
                        const char* key,
                        const char* fallback,
                        const char* help,
                        Limits limits = {}) {
  using Member = std::remove_cvref_t<decltype(std::declval<Struct&>().*kMember)>;
  return {section,
          key,
          fallback,
          help,
          limits,
          kIsList<Member>,
          [](std::string_view text, const Limits& allowed, Struct& object) {
            return ReadValue(text, allowed, object.*kMember);
          },
          [](const Struct& object) { return PrintValue(object.*kMember); }};
}

// The name in `known` with the smallest edit distance to `name`; empty if none
// is close enough for `name` to be a misspelling of it.
std::string NearestName(std::string_view name, const std::vector<std::string>& known);

// Fault for an unknown section or key; suggests the nearest known one.
IniFault UnknownSectionFault(const IniSection& section, const std::vector<std::string>& known);
IniFault UnknownKeyFault(const IniSection& section,
                         const IniEntry& entry,
                         const std::vector<std::string>& known);

// Fault for an entry whose value was refused with `error`.
IniFault ValueFault(const IniSection& section, const IniEntry& entry, const Error& error);

IniFault MissingKeyFault(const std::string& section, std::size_t line, const char* key);

// Whether `key` is the key of `spec`, or one of its numbered keys if it is a
// list.
template <typename Struct>
bool MatchesKey(const KeySpec<Struct>& spec, std::string_view key) {
  const std::string_view name = spec.key;
  return key == name || (spec.is_list && key.size() > name.size() + 1 &&
                         key.substr(0, name.size()) == name && key[name.size()] == '.');
}

// Reads the entries of one section into `object`, using the table entries of
// `section_name`. Missing keys get their fallback. Unknown keys for which `skip`
// returns true are left to the calling code.
template <typename Struct, typename Skip>
std::vector<IniFault> ReadSection(const std::vector<KeySpec<Struct>>& table,
                                  std::string_view section_name,
                                  const IniSection& section,
                                  Skip skip,
                                  Struct& object) {
  std::vector<IniFault> faults;
  std::vector<std::string> known;
  std::set<std::string> given;
  for (const KeySpec<Struct>& spec : table) {
    if (spec.section != section_name) {
      continue;
    }
    known.emplace_back(spec.key);
    bool found = false;
    for (const IniEntry& entry : section.entries) {
      if (!MatchesKey(spec, entry.key)) {
        continue;
      }
      found = true;
      given.insert(entry.key);
      if (const auto read = spec.read(entry.value, spec.limits, object); !read) {
        faults.push_back(ValueFault(section, entry, read.error()));
      }
    }
    if (found) {
      continue;
    }
    if (spec.fallback == nullptr) {
      faults.push_back(MissingKeyFault(section.name, section.line, spec.key));
    } else if (spec.fallback[0] != '\0') {
      static_cast<void>(spec.read(spec.fallback, spec.limits, object));
    }
  }
  for (const IniEntry& entry : section.entries) {
    if (!given.contains(entry.key) && !skip(entry)) {
      faults.push_back(UnknownKeyFault(section, entry, known));
    }
  }
  return faults;
}

}  // namespace peridotfork

#endif  // PERIDOTFORK_CONFIG_KEY_TABLE_H_
