#include "peridotfork/ctl/host_directory.h"

#include <string>
#include <utility>

#include "peridotfork/config/key_table.h"
#include "peridotfork/config/units.h"

namespace peridotfork::ctl {
namespace {

constexpr std::string_view kSectionPrefix = "host ";

struct ListedHost {
  Address agent;
  Address dispatcher;
  Address entry;
};

const std::vector<KeySpec<ListedHost>>& HostKeys() {
  static const std::vector<KeySpec<ListedHost>> keys = {
      MakeKey<ListedHost, &ListedHost::agent>("host", "agent", nullptr,
                                              "HTTP address of the agent"),
      MakeKey<ListedHost, &ListedHost::dispatcher>("host", "dispatcher", nullptr,
                                                   "HTTP address of the dispatcher"),
      MakeKey<ListedHost, &ListedHost::entry>("host", "entry", nullptr,
                                              "HTTP address of the entry"),
  };
  return keys;
}

Result<HostAddresses> ReadHost(const IniSection& section) {
  const std::string where = "line " + std::to_string(section.line);
  if (section.name.compare(0, kSectionPrefix.size(), kSectionPrefix) != 0) {
    return MakeError(ErrorKind::kUnknownName, where, "expected a section such as [host h1]");
  }
  const Result<std::string> id = ParseName(section.name.substr(kSectionPrefix.size()));
  if (!id.has_value()) {
    return MakeError(id.error().kind(), where, id.error().detail);
  }
  ListedHost listed;
  const auto skip_none = [](const IniEntry&) { return false; };
  const auto faults = ReadSection(HostKeys(), "host", section, skip_none, listed);
  if (!faults.empty()) {
    return faults.front().ToError();
  }
  return HostAddresses{HostId(id.value()), listed.agent, listed.dispatcher, listed.entry};
}

}  // namespace

Result<std::vector<HostAddresses>> ParseHostDirectory(std::string_view text) {
  const auto sections = ParseIni(text);
  if (!sections.has_value()) {
    return sections.error();
  }
  std::vector<HostAddresses> hosts;
  for (const IniSection& section : sections.value()) {
    auto host = ReadHost(section);
    if (!host.has_value()) {
      return host.error();
    }
    hosts.push_back(std::move(host).value());
  }
  if (hosts.empty()) {
    return MakeError(ErrorKind::kMissingField, "hosts file", "the file lists no host");
  }
  return hosts;
}

Result<std::vector<HostAddresses>> ParseAgentList(std::string_view text) {
  std::vector<HostAddresses> hosts;
  while (true) {
    const std::size_t comma = text.find(',');
    const std::string_view part = TrimBlanks(text.substr(0, comma));
    const Result<Address> address = ParseAddress(part);
    if (!address.has_value()) {
      return MakeError(address.error().kind(), "--agents \"" + std::string(part) + "\"",
                       address.error().detail);
    }
    hosts.push_back({{}, address.value(), {}, {}});
    if (comma == std::string_view::npos) {
      return hosts;
    }
    text.remove_prefix(comma + 1);
  }
}

}  // namespace peridotfork::ctl
