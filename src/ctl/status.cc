#include "peridotfork/ctl/status.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace peridotfork::ctl {
namespace {

using Json = nlohmann::json;

void ReadValue(const Json& json, bool& value, bool& fits) {
  fits = json.is_boolean();
  value = fits && json.get<bool>();
}

void ReadValue(const Json& json, std::uint64_t& value, bool& fits) {
  fits = json.is_number_unsigned();
  value = fits ? json.get<std::uint64_t>() : 0;
}

void ReadValue(const Json& json, std::string& value, bool& fits) {
  fits = json.is_string();
  value = fits ? json.get<std::string>() : std::string();
}

// Signed, since the time left of a lease that has just expired is negative.
void ReadValue(const Json& json, std::chrono::milliseconds& value, bool& fits) {
  fits = json.is_number_integer();
  value = std::chrono::milliseconds(fits ? json.get<std::int64_t>() : 0);
}

void ReadValue(const Json& json, WallTime& value, bool& fits) {
  fits = json.is_number_integer();
  value = WallTime(std::chrono::microseconds(fits ? json.get<std::int64_t>() : 0));
}

template <typename Tag, typename Rep>
void ReadValue(const Json& json, StrongValue<Tag, Rep>& value, bool& fits) {
  Rep raw{};
  ReadValue(json, raw, fits);
  value = StrongValue<Tag, Rep>(std::move(raw));
}

// Reads the fields of a JSON object. Keeps the first fault, with the path of its
// field; values read after it are not used.
class FieldReader {
 public:
  FieldReader(const Json& json, std::string path, std::optional<Error>& fault)
      : json_(json), path_(std::move(path)), fault_(fault) {
    if (!json_.is_object()) {
      Fail(ErrorKind::kWrongType, path_);
    }
  }

  template <typename Value>
  void Read(const char* key, Value& value) {
    if (const Json* const field = Find(key); field != nullptr) {
      bool fits = false;
      ReadValue(*field, value, fits);
      if (!fits) {
        Fail(ErrorKind::kWrongType, PathOf(key));
      }
    }
  }

  // Calls `read` with a reader of the object in field `key`.
  template <typename Read>
  void Object(const char* key, Read read) {
    if (const Json* const field = Find(key); field != nullptr) {
      FieldReader fields(*field, PathOf(key), fault_);
      read(fields);
    }
  }

  // Calls `read` with a reader and a new element of `values` for each object of
  // the array in field `key`.
  template <typename Value, typename Read>
  void Array(const char* key, std::vector<Value>& values, Read read) {
    const Json* const field = Find(key);
    if (field == nullptr) {
      return;
    }
    if (!field->is_array()) {
      Fail(ErrorKind::kWrongType, PathOf(key));
      return;
    }
    for (const Json& element : *field) {
      FieldReader fields(element, PathOf(key) + "[" + std::to_string(values.size()) + "]", fault_);
      read(fields, values.emplace_back());
    }
  }

 private:
  std::string PathOf(const char* key) const { return path_ + "." + key; }

  const Json* Find(const char* key) {
    if (!json_.is_object()) {
      return nullptr;
    }
    const auto found = json_.find(key);
    if (found == json_.end()) {
      Fail(ErrorKind::kMissingField, PathOf(key));
      return nullptr;
    }
    return &*found;
  }

  void Fail(ErrorKind kind, const std::string& path) {
    if (!fault_.has_value()) {
      fault_ = MakeError(kind, path);
    }
  }

  const Json& json_;
  const std::string path_;
  std::optional<Error>& fault_;
};

// Decodes an answer, using `read` to read its fields.
template <typename Status, typename Read>
Result<Status> Decode(std::string_view text, Read read) {
  const Json json = Json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (json.is_discarded()) {
    return MakeError(ErrorKind::kMalformed, "status", "the answer is not JSON");
  }
  Status status;
  std::optional<Error> fault;
  FieldReader fields(json, "status", fault);
  read(fields, status);
  if (fault.has_value()) {
    return std::move(*fault);
  }
  return status;
}

void ReadDocument(FieldReader& fields, AgentStatus& status) {
  fields.Read("revision", status.revision);
  fields.Read("digest", status.digest);
  fields.Array("sections", status.sections, [](FieldReader& item, AgentStatus::Section& section) {
    item.Read("name", section.name);
    item.Read("version", section.version);
    item.Read("since_us", section.since);
    item.Read("newest", section.newest);
  });
  fields.Array("refused", status.refused, [](FieldReader& item, AgentStatus::Refusal& refusal) {
    item.Read("section", refusal.section);
    item.Read("line", refusal.line);
    item.Read("key", refusal.key);
    item.Read("kind", refusal.kind);
    item.Read("reason", refusal.reason);
    item.Read("revision", refusal.revision);
    item.Read("since_us", refusal.since);
  });
}

template <typename Status, Result<Status> (*kDecode)(std::string_view), auto kMember>
Result<void> Store(std::string_view text, HostStatus& host) {
  Result<Status> status = kDecode(text);
  if (!status.has_value()) {
    return status.error();
  }
  host.*kMember = std::move(status).value();
  return boost::outcome_v2::success();
}

}  // namespace

Result<AgentStatus> DecodeAgentStatus(std::string_view text) {
  return Decode<AgentStatus>(text, [](FieldReader& fields, AgentStatus& status) {
    fields.Read("host", status.host);
    fields.Read("data_centre", status.data_centre);
    fields.Read("incarnation", status.incarnation);
    fields.Read("joined", status.joined);
    fields.Read("draining", status.draining);
    fields.Object("document", [&](FieldReader& document) { ReadDocument(document, status); });
    fields.Object("view", [&](FieldReader& view) { view.Read("version", status.view); });
    fields.Read("reader", status.reader);
    fields.Array("homes", status.homes, [](FieldReader& item, AgentStatus::Home& home) {
      item.Read("home", home.home);
      item.Read("ends_in_ms", home.ends_in);
      item.Read("handing_back", home.handing_back);
    });
    fields.Array("peers", status.peers, [](FieldReader& item, AgentStatus::Peer& peer) {
      item.Read("host", peer.host);
      item.Read("live", peer.live);
      item.Read("heard_ms_ago", peer.heard_ago);
    });
  });
}

Result<DispatcherStatus> DecodeDispatcherStatus(std::string_view text) {
  return Decode<DispatcherStatus>(text, [](FieldReader& fields, DispatcherStatus& status) {
    fields.Read("host", status.host);
    fields.Read("incarnation", status.incarnation);
    fields.Read("draining", status.draining);
    fields.Read("document", status.revision);
    fields.Array("targets", status.targets,
                 [](FieldReader& item, DispatcherStatus::Target& target) {
                   item.Read("target", target.target);
                   item.Read("owned", target.owned);
                   item.Read("state", target.state);
                   item.Read("allowance", target.allowance);
                   item.Read("in_use", target.in_use);
                   item.Read("queued", target.queued);
                 });
  });
}

Result<EntryStatus> DecodeEntryStatus(std::string_view text) {
  return Decode<EntryStatus>(text, [](FieldReader& fields, EntryStatus& status) {
    fields.Read("host", status.host);
    fields.Read("incarnation", status.incarnation);
    fields.Read("draining", status.draining);
    fields.Read("document", status.revision);
    fields.Read("in_flight", status.in_flight);
    fields.Object("queries", [&](FieldReader& queries) {
      queries.Read("complete", status.queries.complete);
      queries.Read("partial", status.queries.partial);
      queries.Read("refused", status.queries.refused);
    });
    fields.Object("attempts", [&](FieldReader& attempts) {
      attempts.Read("first", status.attempts.first);
      attempts.Read("hedges", status.attempts.hedges);
      attempts.Read("retries", status.attempts.retries);
      attempts.Read("late_replies", status.attempts.late_replies);
    });
  });
}

const std::vector<RoleSpec>& RoleTable() {
  static const std::vector<RoleSpec> roles = {
      {Role::kAgent, "agent", &HostAddresses::agent,
       &Store<AgentStatus, &DecodeAgentStatus, &HostStatus::agent>},
      {Role::kDispatcher, "dispatcher", &HostAddresses::dispatcher,
       &Store<DispatcherStatus, &DecodeDispatcherStatus, &HostStatus::dispatcher>},
      {Role::kEntry, "entry", &HostAddresses::entry,
       &Store<EntryStatus, &DecodeEntryStatus, &HostStatus::entry>},
  };
  return roles;
}

const RoleSpec& SpecOf(Role role) {
  return RoleTable()[static_cast<std::size_t>(role)];
}

}  // namespace peridotfork::ctl
