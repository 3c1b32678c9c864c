#include "peridotfork/internal/config/section.h"

#include <algorithm>
#include <array>
#include <boost/functional/hash.hpp>
#include <charconv>
#include <map>
#include <set>
#include <utility>

#include "peridotfork/config/key_table.h"

namespace peridotfork {
namespace {

constexpr std::string_view kTargetKeyPrefix = "target.";

// Upper bounds that catch mistyped values; the planned sizes are far below.
// Durations are in milliseconds.
constexpr Limits kCountLimits = {1, 100'000};
constexpr Limits kDurationLimits = {1, 3'600'000};
constexpr std::uint64_t kMaxGroupIndex = 99'999;

struct KindName {
  ServiceKind kind;
  std::string_view name;
};

constexpr std::array kServiceKinds = {
    KindName{ServiceKind::kSearch, "search"},
    KindName{ServiceKind::kBooking, "booking"},
};

bool IsTargetEntry(const IniEntry& entry) {
  return entry.key.rfind(kTargetKeyPrefix, 0) == 0;
}

}  // namespace

Result<void> ReadValue(std::string_view text, const Limits&, ServiceKind& value) {
  for (const KindName& entry : kServiceKinds) {
    if (entry.name == text) {
      value = entry.kind;
      return boost::outcome_v2::success();
    }
  }
  return MakeError(ErrorKind::kMalformed, {}, "expected search or booking");
}

std::string PrintValue(const ServiceKind& value) {
  return value == ServiceKind::kSearch ? "search" : "booking";
}

namespace {

template <typename Struct>
using Table = std::vector<KeySpec<Struct>>;

// The keys of each kind of section.
const Table<FleetConfig>& KeysOf(const FleetConfig&) {
  using S = FleetConfig;
  static const Table<S> table = {
      MakeKey<S, &S::owner>("", "owner", nullptr, "Team that owns the section."),
      MakeKey<S, &S::retired>("", "retired", "", "Hosts that are permanently lost."),
      MakeKey<S, &S::callers>("", "callers", "",
                              "If not empty, only these callers may have a section."),
      MakeKey<S, &S::allow_shrink>(
          "", "allow_shrink", "",
          "Revision in which more than half of the sections may be removed."),
  };
  return table;
}

const Table<ServiceConfig>& KeysOf(const ServiceConfig&) {
  using S = ServiceConfig;
  static const Table<S> table = {
      MakeKey<S, &S::deployment>("", "deployment", nullptr, "Deployment of the service."),
      MakeKey<S, &S::owner>("", "owner", nullptr, "Team that owns the section."),
      MakeKey<S, &S::kind>("", "kind", nullptr,
                           "Kind of the service: search, or booking, which also answers searches."),
      MakeKey<S, &S::slots>("", "slots", nullptr,
                            "Maximum number of requests that run at a time on one target.",
                            kCountLimits),
      MakeKey<S, &S::connections>("", "connections", nullptr,
                                  "Maximum number of connections to one target.", kCountLimits),
      MakeKey<S, &S::connect_cost>("", "connect_cost", nullptr, "Time to open a connection.",
                                   {0, 3'600'000}),
      MakeKey<S, &S::deadline>("", "deadline", nullptr, "Maximum time of a query.",
                               kDurationLimits),
      MakeKey<S, &S::objective_latency>("", "objective_latency", "",
                                        "Latency objective for answers.", kDurationLimits),
      MakeKey<S, &S::objective_coverage>("", "objective_coverage", "",
                                         "Fraction of answers that must have full coverage."),
  };
  return table;
}

const Table<GroupConfig>& KeysOf(const GroupConfig&) {
  using S = GroupConfig;
  static const Table<S> table = {
      MakeKey<S, &S::owner>("", "owner", "", "Team that owns the section."),
      MakeKey<S, &S::cell>("", "cell", "", "Cell that owns the group."),
  };
  return table;
}

const Table<TargetSection>& KeysOf(const TargetSection&) {
  using S = TargetSection;
  static const Table<S> table = {
      MakeKey<S, &S::owner>("", "owner", "", "Team that owns the section."),
      MakeKey<S, &S::leaving>("", "leaving", nullptr, "If true, the target receives no new work."),
  };
  return table;
}

const Table<DataCentreConfig>& KeysOf(const DataCentreConfig&) {
  using S = DataCentreConfig;
  static const Table<S> table = {
      MakeKey<S, &S::owner>("", "owner", "", "Team that owns the section."),
      MakeKey<S, &S::drained>("", "drained", nullptr,
                              "If true, the data centre receives no new work."),
  };
  return table;
}

const Table<CallerConfig>& KeysOf(const CallerConfig&) {
  using S = CallerConfig;
  static const Table<S> table = {
      MakeKey<S, &S::owner>("", "owner", "", "Team that owns the section."),
      MakeKey<S, &S::rate>("", "rate", nullptr, "Maximum number of requests per second."),
      MakeKey<S, &S::in_flight>("", "in_flight", nullptr, "Maximum number of concurrent requests.",
                                kCountLimits),
  };
  return table;
}

// Parses the id in a header, which follows the kind and one space.
template <typename Config>
Result<void> ReadHeaderId(std::string_view text, Config* config) {
  return ReadValue(text, Limits{}, config->id);
}

Result<void> ReadHeaderId(std::string_view text, FleetConfig*) {
  if (!text.empty()) {
    return MakeError(ErrorKind::kMalformed, {}, "expected [fleet] without a name");
  }
  return boost::outcome_v2::success();
}

Result<void> ReadHeaderId(std::string_view text, GroupConfig* group) {
  const std::size_t slash = text.find('/');
  const auto service = ParseName(text.substr(0, slash));
  const std::string_view digits =
      slash == std::string_view::npos ? std::string_view() : text.substr(slash + 1);
  const auto index = ParseCount(digits, 0, kMaxGroupIndex);
  // Only the canonical form is accepted, so that different section names mean
  // different groups.
  if (!service || !index || std::to_string(index.value()) != digits) {
    return MakeError(ErrorKind::kMalformed, {}, "expected a service and a number, such as a/0");
  }
  group->id = {ServiceId(service.value()), GroupIndex(static_cast<std::uint32_t>(index.value()))};
  return boost::outcome_v2::success();
}

template <typename Config>
std::vector<IniFault> ReadTargets(const IniSection&, Config*) {
  return {};
}

Result<TargetConfig> ReadTarget(const IniEntry& entry, const GroupId& group) {
  TargetConfig target;
  target.group = group;
  const std::string_view value = entry.value;
  const std::size_t blank = std::min(value.find_first_of(" \t"), value.size());
  auto read = ReadValue(std::string_view(entry.key).substr(kTargetKeyPrefix.size()), {}, target.id);
  if (read) {
    read = ReadValue(value.substr(0, blank), {}, target.address);
  }
  if (read) {
    read = ReadValue(TrimBlanks(value.substr(blank)), {}, target.data_centre);
  }
  if (!read) {
    return MakeError(read.error().kind(), {},
                     "expected target.ID = ADDRESS DATA_CENTRE; " + read.error().detail);
  }
  return target;
}

std::vector<IniFault> ReadTargets(const IniSection& section, GroupConfig* group) {
  std::vector<IniFault> faults;
  std::set<std::string> addresses;
  for (const IniEntry& entry : section.entries) {
    if (!IsTargetEntry(entry)) {
      continue;
    }
    auto target = ReadTarget(entry, group->id);
    if (!target) {
      faults.push_back(ValueFault(section, entry, target.error()));
    } else if (!addresses.insert(target.value().address.value()).second) {
      faults.push_back(ValueFault(
          section, entry, MakeError(ErrorKind::kDuplicate, {}, "two targets have this address")));
    } else {
      group->targets.push_back(std::move(target).value());
    }
  }
  const auto by_id = [](const TargetConfig& a, const TargetConfig& b) { return a.id < b.id; };
  std::sort(group->targets.begin(), group->targets.end(), by_id);
  return faults;
}

bool ShouldSkip(const GroupConfig&, const IniEntry& entry) {
  return IsTargetEntry(entry);
}

template <typename Config>
bool ShouldSkip(const Config&, const IniEntry&) {
  return false;
}

ParsedSection MakeHeaderFault(IniFault fault) {
  return {nullptr, std::move(fault), false, false};
}

ParsedSection MakeBodyFault(const std::vector<IniFault>& faults) {
  const auto by_line = [](const IniFault& a, const IniFault& b) { return a.line < b.line; };
  const bool unknown = std::any_of(faults.begin(), faults.end(), [](const IniFault& fault) {
    return fault.kind == ErrorKind::kUnknownField;
  });
  return {nullptr, *std::min_element(faults.begin(), faults.end(), by_line), true, !unknown};
}

template <typename Config>
std::vector<Claim> ClaimsOf(const Config&) {
  return {};
}

std::vector<Claim> ClaimsOf(const GroupConfig& group) {
  std::vector<Claim> claims;
  for (const TargetConfig& target : group.targets) {
    const std::string key = std::string(kTargetKeyPrefix) + target.id.value();
    claims.push_back({"target " + target.id.value(), key});
    claims.push_back({"address " + target.address.value(), key});
  }
  return claims;
}

template <typename Config>
ParsedSection ParseAs(std::string_view id, const IniSection& source) {
  Config config;
  if (const auto read = ReadHeaderId(id, &config); !read) {
    const Error& error = read.error();
    return MakeHeaderFault(
        {error.kind(), source.line, source.name, {}, std::string(id), error.detail});
  }
  const auto skip = [&](const IniEntry& entry) { return ShouldSkip(config, entry); };
  std::vector<IniFault> faults = ReadSection(KeysOf(config), "", source, skip, config);
  std::vector<IniFault> target_faults = ReadTargets(source, &config);
  faults.insert(faults.end(), target_faults.begin(), target_faults.end());
  if (!faults.empty()) {
    return MakeBodyFault(faults);
  }
  auto section = boost::intrusive_ptr<Section>(new Section);
  section->name = source.name;
  section->text = source.text;
  section->text_hash = boost::hash<std::string>()(source.text);
  section->claims = ClaimsOf(config);
  section->body = std::move(config);
  return {std::move(section), {}};
}

// Collects section bodies by kind.
class Assembler {
 public:
  void operator()(const FleetConfig& fleet) { contents_.fleet = fleet; }
  void operator()(const ServiceConfig& service) { services_[service.id] = service; }
  void operator()(const GroupConfig& group) { groups_.push_back(&group); }
  void operator()(const DataCentreConfig& config) { contents_.data_centres.push_back(config); }
  void operator()(const CallerConfig& caller) { contents_.callers.push_back(caller); }
  void operator()(const TargetSection& target) {
    if (target.leaving) {
      leaving_.insert(target.id);
    }
  }

  DocumentContents Finish() && {
    for (const GroupConfig* group : groups_) {
      AddGroup(*group);
    }
    const auto by_id = [](const auto& a, const auto& b) { return a.id < b.id; };
    const auto by_index = [](const GroupConfig& a, const GroupConfig& b) {
      return a.id.index < b.id.index;
    };
    for (auto& [id, service] : services_) {
      std::sort(service.groups.begin(), service.groups.end(), by_index);
      contents_.services.push_back(std::move(service));
    }
    std::sort(contents_.data_centres.begin(), contents_.data_centres.end(), by_id);
    std::sort(contents_.callers.begin(), contents_.callers.end(), by_id);
    return std::move(contents_);
  }

 private:
  void AddGroup(const GroupConfig& group) {
    const auto service = services_.find(group.id.service);
    if (service == services_.end()) {
      return;
    }
    for (TargetConfig& target : service->second.groups.emplace_back(group).targets) {
      target.leaving = leaving_.contains(target.id);
    }
  }

  DocumentContents contents_;
  std::map<ServiceId, ServiceConfig> services_;
  std::vector<const GroupConfig*> groups_;
  std::set<TargetId> leaving_;
};

struct SectionKind {
  std::string_view name;
  ParsedSection (*parse)(std::string_view id, const IniSection& source);
};

constexpr std::array kSectionKinds = {
    SectionKind{"fleet", &ParseAs<FleetConfig>},
    SectionKind{"service", &ParseAs<ServiceConfig>},
    SectionKind{"group", &ParseAs<GroupConfig>},
    SectionKind{"target", &ParseAs<TargetSection>},
    SectionKind{"data_centre", &ParseAs<DataCentreConfig>},
    SectionKind{"caller", &ParseAs<CallerConfig>},
};

}  // namespace

ParsedSection ParseSection(const IniSection& section) {
  const std::string_view name = section.name;
  const std::size_t blank = std::min(name.find(' '), name.size());
  std::vector<std::string> known;
  for (const SectionKind& kind : kSectionKinds) {
    if (kind.name == name.substr(0, blank)) {
      return kind.parse(blank == name.size() ? std::string_view() : name.substr(blank + 1),
                        section);
    }
    known.emplace_back(kind.name);
  }
  return MakeHeaderFault(UnknownSectionFault(section, known));
}

DocumentContents Assemble(const std::vector<SectionPtr>& sections) {
  Assembler assembler;
  for (const SectionPtr& section : sections) {
    std::visit(assembler, section->body);
  }
  return std::move(assembler).Finish();
}

}  // namespace peridotfork
