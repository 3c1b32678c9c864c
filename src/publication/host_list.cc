#include "peridotfork/publication/host_list.h"

#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>

#include "peridotfork/http/client.h"

namespace peridotfork {
namespace {

using Json = nlohmann::json;

Result<std::string> StringField(const Json& host, const char* field, const std::string& where) {
  const auto item = host.find(field);
  if (item == host.end()) {
    return MakeError(ErrorKind::kMissingField, where + "." + field);
  }
  if (!item->is_string()) {
    return MakeError(ErrorKind::kWrongType, where + "." + field, "expected a string");
  }
  return item->get<std::string>();
}

Result<ViewMember> ParseMember(const Json& host, const std::string& where) {
  if (!host.is_object()) {
    return MakeError(ErrorKind::kWrongType, where, "expected a map");
  }
  const auto id = StringField(host, "id", where);
  const auto data_centre = StringField(host, "data_centre", where);
  const auto agent = StringField(host, "agent", where);
  const auto state = StringField(host, "state", where);
  for (const auto* field : {&id, &data_centre, &agent, &state}) {
    if (!field->has_value()) {
      return field->error();
    }
  }
  if (const auto endpoint = http::ParseEndpoint(Address(agent.value())); !endpoint.has_value()) {
    return MakeError(ErrorKind::kMalformed, where + ".agent", endpoint.error().detail);
  }
  if (state.value() != "live" && state.value() != "leaving") {
    return MakeError(ErrorKind::kOutOfRange, where + ".state", "expected live or leaving");
  }
  return ViewMember{HostId(id.value()), DataCentreId(data_centre.value()), Address(agent.value()),
                    state.value() == "leaving"};
}

}  // namespace

Result<View> ParseHostList(ViewVersion version, std::string_view text) {
  const Json json = Json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (json.is_discarded() || !json.is_object()) {
    return MakeError(ErrorKind::kMalformed, "hosts", "not a JSON map");
  }
  const auto hosts = json.find("hosts");
  if (hosts == json.end() || !hosts->is_array()) {
    return MakeError(ErrorKind::kMissingField, "hosts", "expected an array");
  }
  View view;
  view.version = version;
  std::set<HostId> seen;
  for (std::size_t i = 0; i < hosts->size(); ++i) {
    const std::string where = "hosts[" + std::to_string(i) + "]";
    auto member = ParseMember((*hosts)[i], where);
    if (!member.has_value()) {
      return member.error();
    }
    if (!seen.insert(member.value().id).second) {
      return MakeError(ErrorKind::kDuplicate, where + ".id", member.value().id.value());
    }
    view.members.push_back(std::move(member.value()));
  }
  return view;
}

}  // namespace peridotfork
