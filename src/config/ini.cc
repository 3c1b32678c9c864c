#include "peridotfork/config/ini.h"

#include <ini.h>

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

#include "peridotfork/config/units.h"

namespace peridotfork {
namespace {

// A marker line that SectionReader inserts after each header, because inih calls
// its handler only for entries and would not report an empty section. It cannot
// occur in the text, since control characters are refused.
constexpr std::string_view kMarkerLine = "\x01=";
constexpr std::string_view kMarkerKey = "\x01";

struct Line {
  std::size_t number = 0;
  std::string_view text;
};

// Splits a text into lines, numbered from `first`.
std::vector<Line> SplitLines(std::string_view text, std::size_t first) {
  std::vector<Line> lines;
  while (!text.empty()) {
    const std::size_t end = text.find('\n');
    std::string_view line = text.substr(0, end);
    if (!line.empty() && line.back() == '\r') {
      line.remove_suffix(1);
    }
    lines.push_back({first + lines.size(), line});
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
  }
  return lines;
}

bool IsBlank(std::string_view line) {
  return TrimBlanks(line).empty();
}

bool IsComment(std::string_view line) {
  const std::string_view text = TrimBlanks(line);
  return !text.empty() && (text.front() == ';' || text.front() == '#');
}

bool IsHeader(std::string_view line) {
  const std::string_view text = TrimBlanks(line);
  return !text.empty() && text.front() == '[';
}

bool IsControl(char c) {
  return (static_cast<unsigned char>(c) < 0x20 && c != '\t') || c == 0x7f;
}

IniFault MakeFault(ErrorKind kind, std::size_t line, std::string reason) {
  IniFault fault;
  fault.kind = kind;
  fault.line = line;
  fault.reason = std::move(reason);
  return fault;
}

// Reports what inih would truncate or skip without an error. `text` must be
// trimmed.
std::optional<IniFault> CheckHeader(std::string_view text, std::size_t line) {
  const std::size_t close = text.find(']');
  if (close == std::string_view::npos || close == 1) {
    return MakeFault(ErrorKind::kMalformed, line, "expected a header such as [fleet]");
  }
  if (close - 1 > kMaxIniName) {
    return MakeFault(ErrorKind::kTooLarge, line,
                     "expected a section name of at most 49 characters");
  }
  const std::string_view rest = text.substr(close + 1);
  if (!IsBlank(rest) && !IsComment(rest)) {
    return MakeFault(ErrorKind::kMalformed, line, "expected only a comment after a header");
  }
  return std::nullopt;
}

// Start of a trailing comment, by the same rule as inih's.
std::size_t FindComment(std::string_view text) {
  const std::size_t blank = text.find(" ;");
  return std::min(blank, text.find("\t;"));
}

std::optional<IniFault> CheckEntry(std::string_view text, std::size_t line) {
  const std::string_view key = TrimBlanks(text.substr(0, text.find_first_of("=:")));
  if (key.empty()) {
    return MakeFault(ErrorKind::kMalformed, line, "expected key = value; the key is missing");
  }
  if (key.size() > kMaxIniName && key.size() != text.size()) {
    return MakeFault(ErrorKind::kTooLarge, line, "expected a key of at most 49 characters");
  }
  // A header whose preceding line feed is missing would otherwise be accepted as
  // part of a value.
  if (text.substr(0, FindComment(text)).find_first_of("[]") != std::string_view::npos) {
    return MakeFault(ErrorKind::kMalformed, line, "brackets are allowed only around a header");
  }
  return std::nullopt;
}

std::optional<IniFault> CheckLine(const Line& line) {
  if (std::any_of(line.text.begin(), line.text.end(), IsControl)) {
    return MakeFault(ErrorKind::kMalformed, line.number, "control characters are not allowed");
  }
  if (line.text.size() > kMaxIniLine) {
    return MakeFault(ErrorKind::kTooLarge, line.number,
                     "expected a line of at most 199 characters");
  }
  const std::string_view text = TrimBlanks(line.text);
  if (IsBlank(text) || IsComment(text)) {
    return std::nullopt;
  }
  return IsHeader(text) ? CheckHeader(text, line.number) : CheckEntry(text, line.number);
}

// Feeds the lines of one section to inih and collects its entries and faults.
class SectionReader {
 public:
  SectionReader(const Line* begin, const Line* end, ParsedIniSection* part)
      : next_(begin), end_(end), part_(part) {}

  void Read() {
    // The result names only the first malformed line; ReportUnhandledLine() reports all.
    ini_parse_stream(&SectionReader::ReadLine, this, &SectionReader::Handle, this);
    ReportUnhandledLine();
    for (IniFault& fault : part_->faults) {
      fault.section = part_->section.name;
    }
  }

 private:
  static char* ReadLine(char* buffer, int size, void* self) {
    return static_cast<SectionReader*>(self)->Next(buffer, static_cast<std::size_t>(size));
  }

  char* Next(char* buffer, std::size_t size) {
    ReportUnhandledLine();
    if (marker_pending_) {
      marker_pending_ = false;
      return Copy(kMarkerLine, buffer, size);
    }
    while (next_ != end_) {
      const Line& line = *next_++;
      if (auto fault = CheckLine(line)) {
        part_->faults.push_back(std::move(*fault));
        continue;
      }
      // inih takes an indented line as a continuation of the previous one, so
      // leading blanks are removed.
      const std::string_view text = TrimBlanks(line.text);
      if (text.empty() || IsComment(text)) {
        continue;
      }
      current_ = line.number;
      marker_pending_ = IsHeader(text);
      entry_pending_ = !marker_pending_;
      return Copy(text, buffer, size);
    }
    return nullptr;
  }

  static char* Copy(std::string_view text, char* buffer, std::size_t size) {
    const std::size_t length = std::min(text.size(), size - 1);
    std::copy_n(text.begin(), length, buffer);
    buffer[length] = '\0';
    return buffer;
  }

  // inih calls the handler once for each valid entry before it requests the next
  // line, so a line for which the handler was not called is malformed.
  void ReportUnhandledLine() {
    if (entry_pending_) {
      entry_pending_ = false;
      part_->faults.push_back(MakeFault(ErrorKind::kMalformed, current_,
                                        "expected [section], key = value or a comment"));
    }
  }

  static int Handle(void* self, const char* section, const char* name, const char* value) {
    static_cast<SectionReader*>(self)->Take(section, name, value);
    return 1;
  }

  void Take(std::string_view section, std::string_view key, std::string_view value) {
    entry_pending_ = false;
    if (key == kMarkerKey) {
      part_->section.name = section;
      part_->section.line = current_;
      if (section.empty()) {
        part_->faults.push_back(
            MakeFault(ErrorKind::kMalformed, current_, "expected a header such as [fleet]"));
      }
      return;
    }
    if (keys_.insert(std::string(key)).second) {
      part_->section.entries.push_back({std::string(key), std::string(value), current_});
      return;
    }
    part_->faults.push_back({ErrorKind::kDuplicate,
                             current_,
                             {},
                             std::string(key),
                             std::string(value),
                             "the key occurs twice in its section"});
  }

  const Line* next_;
  const Line* end_;
  ParsedIniSection* part_;
  bool marker_pending_ = false;
  bool entry_pending_ = false;
  std::size_t current_ = 0;
  std::set<std::string> keys_;
};

std::string JoinLines(const Line* begin, const Line* end) {
  while (end != begin && IsBlank((end - 1)->text)) {
    --end;
  }
  std::string text;
  for (const Line* line = begin; line != end; ++line) {
    text.append(line->text).push_back('\n');
  }
  return text;
}

// Faults in the lines before the first section.
std::vector<IniFault> CheckPreamble(const std::vector<Line>& lines) {
  std::vector<IniFault> faults;
  for (const Line& line : lines) {
    if (auto fault = CheckLine(line)) {
      faults.push_back(std::move(*fault));
    } else if (!IsBlank(line.text) && !IsComment(line.text)) {
      faults.push_back(MakeFault(ErrorKind::kMalformed, line.number,
                                 "an entry before the first section is not allowed"));
    }
  }
  return faults;
}

// First line of each section. The comment lines directly above a header belong
// to its section.
std::vector<const Line*> FindStarts(const std::vector<Line>& lines) {
  std::vector<const Line*> starts;
  std::size_t comments = 0;
  for (const Line& line : lines) {
    if (IsHeader(line.text)) {
      starts.push_back(&line - comments);
    }
    comments = IsComment(line.text) ? comments + 1 : 0;
  }
  return starts;
}

}  // namespace

Error IniFault::ToError() const {
  std::string where;
  const auto add = [&where](std::string_view what, std::string_view name) {
    if (!name.empty()) {
      where += (where.empty() ? "" : ", ") + std::string(what) + std::string(name);
    }
  };
  add("line ", line == 0 ? "" : std::to_string(line));
  add("section ", section);
  add("key ", key);
  return MakeError(kind, std::move(where), value.empty() ? reason : "\"" + value + "\": " + reason);
}

std::vector<IniSource> SplitIni(std::string_view text) {
  constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";
  if (text.substr(0, kByteOrderMark.size()) == kByteOrderMark) {
    text.remove_prefix(kByteOrderMark.size());
  }
  const std::vector<Line> lines = SplitLines(text, 1);
  const Line* const end = lines.data() + lines.size();
  const std::vector<const Line*> starts = FindStarts(lines);
  std::vector<IniSource> sources;
  const Line* const first = starts.empty() ? end : starts.front();
  if (first != lines.data()) {
    sources.push_back({JoinLines(lines.data(), first), 1, false});
  }
  for (std::size_t i = 0; i < starts.size(); ++i) {
    const Line* const next = i + 1 < starts.size() ? starts[i + 1] : end;
    sources.push_back({JoinLines(starts[i], next), starts[i]->number, true});
  }
  return sources;
}

ParsedIniSection ParseIniSource(const IniSource& source) {
  ParsedIniSection part;
  const std::vector<Line> lines = SplitLines(source.text, source.line);
  if (!source.has_header) {
    part.faults = CheckPreamble(lines);
    return part;
  }
  part.section.text = source.text;
  part.section.line = source.line;
  SectionReader(lines.data(), lines.data() + lines.size(), &part).Read();
  return part;
}

std::vector<ParsedIniSection> ParseIniSections(std::string_view text) {
  std::vector<ParsedIniSection> parts;
  for (const IniSource& source : SplitIni(text)) {
    ParsedIniSection part = ParseIniSource(source);
    if (source.has_header || !part.faults.empty()) {
      parts.push_back(std::move(part));
    }
  }
  return parts;
}

Result<std::vector<IniSection>> ParseIni(std::string_view text) {
  std::vector<IniSection> sections;
  std::set<std::string> names;
  for (ParsedIniSection& part : ParseIniSections(text)) {
    if (!part.faults.empty()) {
      return part.faults.front().ToError();
    }
    if (!names.insert(part.section.name).second) {
      IniFault fault =
          MakeFault(ErrorKind::kDuplicate, part.section.line, "the section occurs twice");
      fault.section = part.section.name;
      return fault.ToError();
    }
    sections.push_back(std::move(part.section));
  }
  return sections;
}

}  // namespace peridotfork
