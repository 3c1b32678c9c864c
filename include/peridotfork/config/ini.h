#ifndef PERIDOTFORK_CONFIG_INI_H_
#define PERIDOTFORK_CONFIG_INI_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "peridotfork/core/error.h"

namespace peridotfork {

struct IniEntry {
  std::string key;
  std::string value;
  std::size_t line = 0;
};

// One section. `line` is the line of its header. `text` holds its source lines,
// each terminated by a line feed: the comment lines directly above the header,
// the header and the section's body without trailing blank lines. Parsing `text`
// again gives the same section.
struct IniSection {
  std::string name;
  std::size_t line = 0;
  std::vector<IniEntry> entries;
  std::string text;
};

// An error in one line of an INI text. `section`, `key` and `value` are empty
// where unknown.
struct IniFault {
  ErrorKind kind = ErrorKind::kMalformed;
  // 0 if there is no line, such as for a missing section.
  std::size_t line = 0;
  std::string section;
  std::string key;
  std::string value;
  // States the expected form.
  std::string reason;

  // Converts to an Error located at, for example, "line 3, section fleet, key
  // owner".
  Error ToError() const;
};

// One parsed section, with its faults in line order. The name is empty if the
// header cannot be parsed, and for text before the first header. Lines with a
// fault yield no entry.
struct ParsedIniSection {
  IniSection section;
  std::vector<IniFault> faults;
};

// The unparsed lines of one section, or those before the first header. Equal
// texts parse to equal sections.
struct IniSource {
  std::string text;
  // Line number of the first line within the whole text.
  std::size_t line = 0;
  bool has_header = false;
};

// Maximum length of a line and of a section or key name. inih truncates longer
// ones without an error, so they are refused here.
inline constexpr std::size_t kMaxIniLine = 199;
inline constexpr std::size_t kMaxIniName = 49;

// SplitIni() splits a text at its headers, ParseIniSource() parses one of the
// results. Thread-safe.
std::vector<IniSource> SplitIni(std::string_view text);
ParsedIniSection ParseIniSource(const IniSource& source);

// Parses a text section by section and continues after a fault. Returns all
// sections, including those with the same name. Thread-safe.
std::vector<ParsedIniSection> ParseIniSections(std::string_view text);

// Parses a text that must be valid as a whole. Returns the first fault as the
// error; a duplicate section is a fault too. Thread-safe.
Result<std::vector<IniSection>> ParseIni(std::string_view text);

}  // namespace peridotfork

#endif  // PERIDOTFORK_CONFIG_INI_H_
