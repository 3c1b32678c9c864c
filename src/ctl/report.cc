#include "peridotfork/ctl/report.h"

#include <time.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <iomanip>
#include <nlohmann/json.hpp>

namespace peridotfork::ctl {
namespace {

// Preserves the order of the columns.
using Json = nlohmann::ordered_json;

struct FindingName {
  FindingKind kind;
  std::string_view name;
};

constexpr std::array kFindingNames = {
    FindingName{FindingKind::kSectionRefused, "section_refused"},
    FindingName{FindingKind::kHostLags, "host_lags"},
    FindingName{FindingKind::kSectionsDiffer, "sections_differ"},
    FindingName{FindingKind::kNameDiffers, "name_differs"},
    FindingName{FindingKind::kNotJoined, "not_joined"},
    FindingName{FindingKind::kPeerNotLive, "peer_not_live"},
    FindingName{FindingKind::kTargetUnowned, "target_unowned"},
    FindingName{FindingKind::kTargetOwnedTwice, "target_owned_twice"},
    FindingName{FindingKind::kHomeUnheld, "home_unheld"},
    FindingName{FindingKind::kHomeHeldTwice, "home_held_twice"},
};

// A UTC time such as "2026-12-04T11:28:32.125Z".
std::string PrintTime(WallTime time) {
  const auto since_epoch = time.time_since_epoch();
  const auto seconds = std::chrono::floor<std::chrono::seconds>(since_epoch);
  const auto count = static_cast<time_t>(seconds.count());
  tm parts{};
  gmtime_r(&count, &parts);
  std::array<char, sizeof("2026-12-04T11:28:32")> text{};
  if (strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts) == 0) {
    return std::to_string(since_epoch.count()) + "us";
  }
  std::array<char, sizeof(".125Z")> fraction{};
  const auto milliseconds =
      std::chrono::floor<std::chrono::milliseconds>(since_epoch - seconds).count();
  snprintf(fraction.data(), fraction.size(), ".%03uZ", static_cast<unsigned>(milliseconds) % 1000U);
  return std::string(text.data()) + fraction.data();
}

// Replaces control characters, which must not get from a host's answer to the
// operator's terminal.
std::string Printable(std::string text) {
  const auto is_control = [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7f; };
  std::replace_if(text.begin(), text.end(), is_control, '?');
  return text;
}

struct TextOfCell {
  std::string operator()(std::monostate) const { return "-"; }
  std::string operator()(bool value) const { return value ? "yes" : "no"; }
  std::string operator()(std::uint64_t value) const { return std::to_string(value); }
  std::string operator()(double value) const {
    std::array<char, 32> text{};
    snprintf(text.data(), text.size(), "%.4f", value);
    return text.data();
  }
  std::string operator()(const std::string& value) const {
    return value.empty() ? "-" : Printable(value);
  }
  std::string operator()(const std::vector<std::string>& value) const {
    return (*this)(Join(value));
  }
  std::string operator()(std::chrono::milliseconds value) const {
    return std::to_string(value.count()) + "ms";
  }
  std::string operator()(WallTime value) const { return PrintTime(value); }
};

struct JsonOfCell {
  Json operator()(std::monostate) const { return nullptr; }
  Json operator()(std::chrono::milliseconds value) const { return value.count(); }
  Json operator()(WallTime value) const { return PrintTime(value); }
  template <typename Value>
  Json operator()(const Value& value) const {
    return value;
  }
};

void PrintRow(const std::vector<std::string>& cells,
              const std::vector<std::size_t>& widths,
              std::ostream& out) {
  for (std::size_t i = 0; i < cells.size(); ++i) {
    if (i + 1 == cells.size()) {
      out << cells[i] << "\n";
    } else {
      out << std::left << std::setw(static_cast<int>(widths[i] + 2)) << cells[i];
    }
  }
}

void PrintTable(const Table& table, std::ostream& out) {
  std::vector<std::vector<std::string>> lines(1);
  for (const Column& column : table.columns) {
    lines.front().emplace_back(column.title);
  }
  for (const std::vector<Cell>& row : table.rows) {
    std::vector<std::string>& line = lines.emplace_back();
    for (const Cell& cell : row) {
      line.push_back(std::visit(TextOfCell(), cell));
    }
  }
  std::vector<std::size_t> widths(table.columns.size());
  for (const std::vector<std::string>& line : lines) {
    for (std::size_t i = 0; i < line.size(); ++i) {
      widths[i] = std::max(widths[i], line[i].size());
    }
  }
  for (const std::vector<std::string>& line : lines) {
    PrintRow(line, widths, out);
  }
}

Json TableJson(const Table& table) {
  Json rows = Json::array();
  for (const std::vector<Cell>& row : table.rows) {
    Json& object = rows.emplace_back(Json::object());
    for (std::size_t i = 0; i < row.size(); ++i) {
      object[table.columns[i].key] = std::visit(JsonOfCell(), row[i]);
    }
  }
  return rows;
}

}  // namespace

std::string Join(const std::vector<std::string>& names) {
  std::string text;
  for (const std::string& name : names) {
    text += (text.empty() ? "" : ", ") + name;
  }
  return text;
}

std::string_view FindingKindName(FindingKind kind) {
  for (const FindingName& entry : kFindingNames) {
    if (entry.kind == kind) {
      return entry.name;
    }
  }
  return "unknown";
}

void PrintText(std::string_view,
               const Report& report,
               const std::vector<NoAnswer>& no_answers,
               std::ostream& out) {
  const char* separator = "";
  for (const Table& table : report.tables) {
    if (table.rows.empty()) {
      continue;
    }
    out << separator;
    PrintTable(table, out);
    separator = "\n";
  }
  for (const Finding& finding : report.findings) {
    out << separator << "FLAG " << FindingKindName(finding.kind) << ": "
        << Printable(finding.subject) << ": " << Printable(finding.detail) << "\n";
    separator = "";
  }
  for (const NoAnswer& missing : no_answers) {
    out << separator << "NO ANSWER: " << missing.host << " " << SpecOf(missing.role).name << " "
        << missing.address << ": " << Printable(ToString(missing.error)) << "\n";
    separator = "";
  }
}

void PrintJson(std::string_view command,
               const Report& report,
               const std::vector<NoAnswer>& no_answers,
               std::ostream& out) {
  Json json = {{"command", command}, {"tables", Json::object()}};
  for (const Table& table : report.tables) {
    json["tables"][table.name] = TableJson(table);
  }
  json["flags"] = Json::array();
  for (const Finding& finding : report.findings) {
    json["flags"].push_back({{"kind", FindingKindName(finding.kind)},
                             {"subject", finding.subject},
                             {"detail", finding.detail}});
  }
  json["no_answer"] = Json::array();
  for (const NoAnswer& missing : no_answers) {
    json["no_answer"].push_back({{"host", missing.host.value()},
                                 {"process", SpecOf(missing.role).name},
                                 {"address", missing.address.value()},
                                 {"kind", ErrorKindName(missing.error.kind())},
                                 {"where", missing.error.where},
                                 {"detail", missing.error.detail}});
  }
  // Text of a host's answer may not be UTF-8.
  out << json.dump(2, ' ', false, Json::error_handler_t::replace) << "\n";
}

}  // namespace peridotfork::ctl
