#include "peridotfork/standin/target_document.h"

#include <ini.h>

#include <algorithm>
#include <charconv>
#include <map>
#include <optional>
#include <sstream>
#include <utility>

namespace peridotfork::standin {
namespace {

constexpr std::string_view kServicePrefix = "service ";
constexpr std::string_view kGroupPrefix = "group ";
constexpr std::string_view kTargetPrefix = "target.";

// Size of the request queue of a target for each slot; further requests are shed.
constexpr std::uint32_t kQueuedRequestsPerSlot = 2;

// Parses the number at the start of `text`; `unit` receives the rest.
std::optional<std::uint32_t> LeadingNumber(const std::string& text, std::string* unit = nullptr) {
  std::uint32_t value = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc()) {
    return std::nullopt;
  }
  if (unit != nullptr) {
    unit->assign(rest, end);
  }
  return value;
}

std::optional<std::chrono::microseconds> ParseDuration(const std::string& text) {
  static const std::map<std::string, std::int64_t> kUnits = {
      {"us", 1}, {"ms", 1000}, {"s", 1000000}};
  std::string unit;
  const auto number = LeadingNumber(text, &unit);
  const auto factor = kUnits.find(unit);
  if (!number || factor == kUnits.end()) {
    return std::nullopt;
  }
  return std::chrono::microseconds(*number * factor->second);
}

class Reader {
 public:
  // Callback of inih for each key; returning zero would report an error.
  static int OnKey(void* self, const char* section, const char* name, const char* value) {
    static_cast<Reader*>(self)->ReadKey(section, name, value);
    return 1;
  }

  Result<std::vector<TargetSpec>> Finish(int bad_line) {
    if (bad_line != 0) {
      return MakeError(ErrorKind::kMalformed, "line " + std::to_string(bad_line));
    }
    if (error_) {
      return *error_;
    }
    for (TargetSpec& target : targets_) {
      target.group_count = group_counts_[target.group.service];
      const auto traits = services_.find(target.group.service);
      if (traits == services_.end()) {
        return MakeError(ErrorKind::kUnknownName, "group of target " + target.id.value(),
                         "no section for service " + target.group.service.value());
      }
      target.traits = traits->second;
    }
    return std::move(targets_);
  }

 private:
  void ReadKey(const std::string& section, const std::string& name, const std::string& value) {
    if (section.starts_with(kServicePrefix)) {
      ReadServiceKey(section, name, value);
    } else if (section.starts_with(kGroupPrefix)) {
      ReadGroupKey(section, name, value);
    }
  }

  void ReadServiceKey(const std::string& section,
                      const std::string& name,
                      const std::string& value) {
    TargetTraits& traits = services_[ServiceId(section.substr(kServicePrefix.size()))];
    if (name == "slots" || name == "connections") {
      const auto number = LeadingNumber(value);
      if (!number || *number == 0) {
        return Fail(section, name, value);
      }
      if (name == "slots") {
        traits.slots = Slots(*number);
        traits.queue_limit = kQueuedRequestsPerSlot * *number;
      } else {
        traits.connections = Connections(*number);
      }
    } else if (name == "connect_cost") {
      const auto cost = ParseDuration(value);
      if (!cost) {
        return Fail(section, name, value);
      }
      traits.connect_cost = *cost;
    }
  }

  void ReadGroupKey(const std::string& section, const std::string& name, const std::string& value) {
    const std::string group = section.substr(kGroupPrefix.size());
    const std::size_t slash = group.rfind('/');
    const auto index = LeadingNumber(slash == std::string::npos ? "" : group.substr(slash + 1));
    if (!index) {
      return Fail(section, name, "expected SERVICE/NUMBER");
    }
    const ServiceId service(group.substr(0, slash));
    std::uint32_t& count = group_counts_[service];
    count = std::max(count, *index + 1);
    if (!name.starts_with(kTargetPrefix)) {
      return;
    }
    TargetSpec target;
    std::string address;
    std::string data_centre;
    std::istringstream(value) >> address >> data_centre;
    if (data_centre.empty()) {
      return Fail(section, name, "expected ADDRESS DATA-CENTRE");
    }
    target.id = TargetId(name.substr(kTargetPrefix.size()));
    target.address = Address(address);
    target.data_centre = DataCentreId(data_centre);
    target.group = GroupId{service, GroupIndex(*index)};
    targets_.push_back(std::move(target));
  }

  void Fail(const std::string& section, const std::string& name, const std::string& detail) {
    if (!error_) {
      error_ = MakeError(ErrorKind::kMalformed, "section " + section + ", key " + name, detail);
    }
  }

  std::vector<TargetSpec> targets_;
  std::map<ServiceId, TargetTraits> services_;
  std::map<ServiceId, std::uint32_t> group_counts_;
  std::optional<Error> error_;
};

}  // namespace

Result<std::vector<TargetSpec>> ReadTargets(const std::string& document) {
  Reader reader;
  const int bad_line = ini_parse_string(document.c_str(), &Reader::OnKey, &reader);
  return reader.Finish(bad_line);
}

}  // namespace peridotfork::standin
