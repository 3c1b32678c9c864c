#include "peridotfork/internal/standin/platform_control.h"

#include <algorithm>
#include <utility>

#include "peridotfork/internal/standin/program.h"

namespace peridotfork::standin {
namespace {

using nlohmann::json;

bool IsEnabled(const json& arguments) {
  return arguments.value("on", true);
}

// Returns the kind given by the argument "value"; kDocument if it is absent.
Result<ValueKind> KindOf(const json& arguments) {
  const auto name = arguments.value("value", std::string("document"));
  if (name == "document") {
    return ValueKind::kDocument;
  }
  if (name == "hosts") {
    return ValueKind::kHosts;
  }
  return MakeError(ErrorKind::kUnknownName, "value", name);
}

// Returns the text of the argument `name`, or the contents of the file given by
// the argument `name`_path; empty if both are absent.
Result<std::optional<std::string>> TextOf(const json& arguments, const std::string& name) {
  if (const auto path = arguments.find(name + "_path"); path != arguments.end()) {
    Result<std::string> text = ReadFile(path->get<std::string>());
    if (!text) {
      return text.error();
    }
    return std::optional<std::string>(std::move(text).value());
  }
  const auto found = arguments.find(name);
  if (found == arguments.end()) {
    return std::optional<std::string>();
  }
  return std::optional<std::string>(found->is_string() ? found->get<std::string>() : found->dump());
}

Result<PlatformCommand> Decode(const std::string& body) {
  PlatformCommand command;
  command.arguments = json::parse(body);
  Result<std::optional<std::string>> document = TextOf(command.arguments, "document");
  if (!document) {
    return document.error();
  }
  command.document = std::move(document).value();
  const Result<std::optional<std::string>> hosts = TextOf(command.arguments, "hosts");
  if (!hosts) {
    return hosts.error();
  }
  if (hosts.value()) {
    Result<json> list = DecodeHostList(*hosts.value());
    if (!list) {
      return list.error();
    }
    command.hosts = std::move(list).value();
  }
  return command;
}

}  // namespace

Result<PlatformCommand> DecodePlatformCommand(const std::string& body) {
  try {
    return Decode(body);
  } catch (const json::exception& error) {
    return MakeError(ErrorKind::kMalformed, "body", error.what());
  }
}

Result<json> DecodeHostList(const std::string& text) {
  json list = json::parse(text, nullptr, false);
  if (!list.is_object() || !list.contains("hosts") || !list.at("hosts").is_array()) {
    return MakeError(ErrorKind::kMalformed, "hosts", "expected an object with an array \"hosts\"");
  }
  return list;
}

Result<std::uint64_t> PublishHosts(PlatformModel& model, json hosts) {
  const std::uint64_t next = model.newest_revision(ValueKind::kHosts) + 1;
  const auto version = hosts.find("version");
  const std::uint64_t wanted =
      version != hosts.end() && version->is_number_unsigned() ? version->get<std::uint64_t>() : 0;
  hosts["version"] = std::max(next, wanted);
  return model.Publish(ValueKind::kHosts, hosts.dump(), std::max(next, wanted));
}

const PlatformControl::Entry PlatformControl::kCommands[] = {
    {"publish", &PlatformControl::Publish}, {"down", &PlatformControl::Down},
    {"up", &PlatformControl::Up},           {"stale", &PlatformControl::Stale},
    {"older", &PlatformControl::Older},     {"lag", &PlatformControl::Lag},
};

Result<void> PlatformControl::Apply(const PlatformCommand& command) {
  try {
    const auto name = command.arguments.at("command").get<std::string>();
    for (const Entry& entry : kCommands) {
      if (name == entry.name) {
        return (this->*entry.run)(command);
      }
    }
    return MakeError(ErrorKind::kUnknownName, "command", name);
  } catch (const json::exception& error) {
    return MakeError(ErrorKind::kMalformed, "body", error.what());
  }
}

Result<void> PlatformControl::Publish(const PlatformCommand& command) {
  if (!command.document && !command.hosts) {
    return MakeError(ErrorKind::kMissingField, "body", "requires document or hosts");
  }
  if (command.document) {
    std::optional<std::uint64_t> revision;
    if (command.arguments.contains("revision")) {
      revision = command.arguments.at("revision").get<std::uint64_t>();
    }
    const Result<std::uint64_t> published =
        model_.Publish(ValueKind::kDocument, *command.document, revision);
    if (!published) {
      return published.error();
    }
  }
  if (command.hosts) {
    const Result<std::uint64_t> published = PublishHosts(model_, *command.hosts);
    if (!published) {
      return published.error();
    }
  }
  return boost::outcome_v2::success();
}

Result<void> PlatformControl::Down(const PlatformCommand& /*command*/) {
  model_.set_down(true);
  return boost::outcome_v2::success();
}

Result<void> PlatformControl::Up(const PlatformCommand& /*command*/) {
  model_.set_down(false);
  return boost::outcome_v2::success();
}

Result<void> PlatformControl::Stale(const PlatformCommand& command) {
  const Result<ValueKind> kind = KindOf(command.arguments);
  if (!kind) {
    return kind.error();
  }
  model_.set_stale(kind.value(), IsEnabled(command.arguments));
  return boost::outcome_v2::success();
}

Result<void> PlatformControl::Older(const PlatformCommand& command) {
  const Result<ValueKind> kind = KindOf(command.arguments);
  if (!kind) {
    return kind.error();
  }
  std::optional<std::uint64_t> revision;
  if (IsEnabled(command.arguments)) {
    revision = command.arguments.at("revision").get<std::uint64_t>();
  }
  model_.set_served_revision(kind.value(), revision);
  return boost::outcome_v2::success();
}

Result<void> PlatformControl::Lag(const PlatformCommand& command) {
  const Result<ValueKind> kind = KindOf(command.arguments);
  if (!kind) {
    return kind.error();
  }
  model_.set_lag(kind.value(),
                 std::chrono::milliseconds(command.arguments.at("ms").get<std::int64_t>()));
  return boost::outcome_v2::success();
}

}  // namespace peridotfork::standin
