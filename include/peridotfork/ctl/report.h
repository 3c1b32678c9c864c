#ifndef PERIDOTFORK_CTL_REPORT_H_
#define PERIDOTFORK_CTL_REPORT_H_

#include <chrono>
#include <cstdint>
#include <ostream>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "peridotfork/core/clock.h"
#include "peridotfork/ctl/status.h"

namespace peridotfork::ctl {

// Joins the names with commas.
std::string Join(const std::vector<std::string>& names);

// One value in a table. std::monostate stands for an unknown value.
using Cell = std::variant<std::monostate,
                          bool,
                          std::uint64_t,
                          double,
                          std::string,
                          std::vector<std::string>,
                          std::chrono::milliseconds,
                          WallTime>;

struct Column {
  // Field name in JSON output.
  const char* key;
  // Heading in text output.
  const char* title;
};

// Each row has one cell for each column.
struct Table {
  const char* name;
  std::vector<Column> columns;
  std::vector<std::vector<Cell>> rows;
};

// Kinds of problem that operators have to look into.
enum class FindingKind {
  kSectionRefused,
  kHostLags,
  kSectionsDiffer,
  kNameDiffers,
  kNotJoined,
  kPeerNotLive,
  kTargetUnowned,
  kTargetOwnedTwice,
  kHomeUnheld,
  kHomeHeldTwice,
};

// Stable name of a kind, such as "target_unowned".
std::string_view FindingKindName(FindingKind kind);

struct Finding {
  FindingKind kind;
  // The affected host, target, home, section or revision.
  std::string subject;
  std::string detail;

  friend bool operator==(const Finding&, const Finding&) = default;
};

// The result of a command, independent of the output format.
struct Report {
  std::vector<Table> tables;
  std::vector<Finding> findings;
};

// Prints a report and the processes that did not answer.
using ReportPrinter = void (*)(std::string_view command,
                               const Report& report,
                               const std::vector<NoAnswer>& no_answers,
                               std::ostream& out);

void PrintText(std::string_view command,
               const Report& report,
               const std::vector<NoAnswer>& no_answers,
               std::ostream& out);
void PrintJson(std::string_view command,
               const Report& report,
               const std::vector<NoAnswer>& no_answers,
               std::ostream& out);

}  // namespace peridotfork::ctl

#endif  // PERIDOTFORK_CTL_REPORT_H_
