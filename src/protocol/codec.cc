#include "peridotfork/protocol/codec.h"

#include <array>
#include <chrono>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <type_traits>
#include <utility>

namespace peridotfork::protocol {
namespace {

using Json = nlohmann::json;

// Thrown on a decoding failure and converted to a Result by Decode().
struct DecodeFailure {
  Error error;
};

[[noreturn]] void Fail(ErrorKind kind, const std::string& path, std::string detail = {}) {
  throw DecodeFailure{MakeError(kind, path, std::move(detail))};
}

template <typename T>
concept HasFields = requires {
  T::kFields;
};

template <typename T>
struct IsStrongValue : std::false_type {};
template <typename Tag, typename Rep>
struct IsStrongValue<StrongValue<Tag, Rep>> : std::true_type {};

template <typename T>
struct IsVector : std::false_type {};
template <typename T>
struct IsVector<std::vector<T>> : std::true_type {};

template <typename T>
struct IsDuration : std::false_type {};
template <typename Rep, typename Period>
struct IsDuration<std::chrono::duration<Rep, Period>> : std::true_type {};

template <typename T>
struct IsTimePoint : std::false_type {};
template <typename C, typename D>
struct IsTimePoint<std::chrono::time_point<C, D>> : std::true_type {};

// Highest value of each enum that is used in messages.
template <typename Enum>
constexpr Enum kLastValue = Enum{};
template <>
constexpr Role kLastValue<Role> = Role::kGateway;
template <>
constexpr ErrorKind kLastValue<ErrorKind> = ErrorKind::kInternal;
template <>
constexpr MemberState kLastValue<MemberState> = MemberState::kLeft;
template <>
constexpr TargetState kLastValue<TargetState> = TargetState::kSuspect;

// Field lists of the id structs of the core. They are defined here so that the core
// does not depend on the protocol.
constexpr auto FieldsOf(const Snapshot*) {
  return std::make_tuple(MakeField("index", &Snapshot::index), MakeField("map", &Snapshot::map));
}

constexpr auto FieldsOf(const ProcessId*) {
  return std::make_tuple(MakeField("host", &ProcessId::host), MakeField("role", &ProcessId::role),
                         MakeField("incarnation", &ProcessId::incarnation));
}

template <HasFields T>
constexpr auto FieldsOf(const T*) {
  return T::kFields;
}

template <typename T>
Json ToJson(const T& value) {
  if constexpr (IsStrongValue<T>::value) {
    return ToJson(value.value());
  } else if constexpr (IsDuration<T>::value) {
    return value.count();
  } else if constexpr (IsTimePoint<T>::value) {
    return value.time_since_epoch().count();
  } else if constexpr (std::is_enum_v<T>) {
    return static_cast<int>(value);
  } else if constexpr (IsVector<T>::value) {
    Json array = Json::array();
    for (const auto& item : value) {
      array.push_back(ToJson(item));
    }
    return array;
  } else if constexpr (std::is_arithmetic_v<T> || std::is_same_v<T, std::string>) {
    return value;
  } else {
    Json object = Json::object();
    std::apply(
        [&](const auto&... field) { ((object[field.name] = ToJson(value.*field.member)), ...); },
        FieldsOf(&value));
    return object;
  }
}

template <typename T>
void FromJson(const Json& json, T* value, const std::string& path);

template <typename Integer>
void IntegerFromJson(const Json& json, Integer* value, const std::string& path) {
  if (!json.is_number_integer()) {
    Fail(ErrorKind::kWrongType, path, "expected an integer");
  }
  const bool fits = json.is_number_unsigned() ? std::in_range<Integer>(json.get<std::uint64_t>())
                                              : std::in_range<Integer>(json.get<std::int64_t>());
  if (!fits) {
    Fail(ErrorKind::kOutOfRange, path);
  }
  *value = json.get<Integer>();
}

template <typename T>
void ObjectFromJson(const Json& json, T* value, const std::string& path) {
  if (!json.is_object()) {
    Fail(ErrorKind::kWrongType, path, "expected a map");
  }
  constexpr auto kFieldList = FieldsOf(static_cast<const T*>(nullptr));
  std::size_t found = 0;
  const auto read = [&](const auto& field) {
    const auto item = json.find(field.name);
    if (item == json.end()) {
      Fail(ErrorKind::kMissingField, path + "." + field.name);
    }
    FromJson(*item, &(value->*field.member), path + "." + field.name);
    ++found;
  };
  std::apply([&](const auto&... field) { (read(field), ...); }, kFieldList);
  if (found == json.size()) {
    return;
  }
  for (const auto& [key, unused] : json.items()) {
    const bool known = std::apply(
        [&key = key](const auto&... field) { return ((key == field.name) || ...); }, kFieldList);
    if (!known) {
      Fail(ErrorKind::kUnknownField, path + "." + key.substr(0, 64));
    }
  }
}

template <typename T>
void FromJson(const Json& json, T* value, const std::string& path) {
  if constexpr (IsStrongValue<T>::value) {
    typename T::rep rep{};
    FromJson(json, &rep, path);
    *value = T(std::move(rep));
  } else if constexpr (IsDuration<T>::value) {
    typename T::rep count{};
    IntegerFromJson(json, &count, path);
    *value = T(count);
  } else if constexpr (IsTimePoint<T>::value) {
    typename T::rep count{};
    IntegerFromJson(json, &count, path);
    *value = T(typename T::duration(count));
  } else if constexpr (std::is_enum_v<T>) {
    int number = 0;
    IntegerFromJson(json, &number, path);
    if (number < 0 || number > static_cast<int>(kLastValue<T>)) {
      Fail(ErrorKind::kOutOfRange, path, std::to_string(number));
    }
    *value = static_cast<T>(number);
  } else if constexpr (IsVector<T>::value) {
    if (!json.is_array()) {
      Fail(ErrorKind::kWrongType, path, "expected an array");
    }
    value->resize(json.size());
    for (std::size_t i = 0; i < json.size(); ++i) {
      FromJson(json[i], &(*value)[i], path + "[" + std::to_string(i) + "]");
    }
  } else if constexpr (std::is_same_v<T, bool>) {
    if (!json.is_boolean()) {
      Fail(ErrorKind::kWrongType, path, "expected a boolean");
    }
    *value = json.get<bool>();
  } else if constexpr (std::is_floating_point_v<T>) {
    if (!json.is_number()) {
      Fail(ErrorKind::kWrongType, path, "expected a number");
    }
    *value = json.get<T>();
  } else if constexpr (std::is_integral_v<T>) {
    IntegerFromJson(json, value, path);
  } else if constexpr (std::is_same_v<T, std::string>) {
    if (!json.is_string()) {
      Fail(ErrorKind::kWrongType, path, "expected a string");
    }
    *value = json.get<std::string>();
  } else {
    ObjectFromJson(json, value, path);
  }
}

// The fields that every message on the wire has in addition to its body.
struct Frame {
  std::uint32_t version = 0;
  std::string type;
  ProcessId from;
  Address reply_to;
  Incarnation to_incarnation;

  static constexpr auto kFields = std::make_tuple(MakeField("v", &Frame::version),
                                                  MakeField("type", &Frame::type),
                                                  MakeField("from", &Frame::from),
                                                  MakeField("reply_to", &Frame::reply_to),
                                                  MakeField("to", &Frame::to_incarnation));
};

using BodyDecoder = Message (*)(const Json& body);

template <typename T>
Message DecodeBody(const Json& body) {
  T message;
  FromJson(body, &message, "body");
  return message;
}

struct BodyType {
  const char* name;
  BodyDecoder decode;
};

template <std::size_t... kIndex>
constexpr auto MakeBodyTypes(std::index_sequence<kIndex...>) {
  return std::array{BodyType{std::variant_alternative_t<kIndex, Message>::kName,
                             &DecodeBody<std::variant_alternative_t<kIndex, Message>>}...};
}

constexpr auto kBodyTypes = MakeBodyTypes(std::make_index_sequence<std::variant_size_v<Message>>());

Envelope DecodeEnvelope(Json json) {
  if (!json.is_object()) {
    Fail(ErrorKind::kWrongType, "frame", "expected a map");
  }
  const auto version = json.find("v");
  if (version == json.end()) {
    Fail(ErrorKind::kMissingField, "frame.v");
  }
  if (*version != kProtocolVersion) {
    Fail(ErrorKind::kUnsupportedVersion, "frame.v");
  }
  const auto body_item = json.find("body");
  if (body_item == json.end()) {
    Fail(ErrorKind::kMissingField, "frame.body");
  }
  const Json body = std::move(*body_item);
  json.erase("body");
  Frame frame;
  FromJson(json, &frame, "frame");
  for (const BodyType& type : kBodyTypes) {
    if (frame.type == type.name) {
      return Envelope{std::move(frame.from), std::move(frame.reply_to), frame.to_incarnation,
                      type.decode(body)};
    }
  }
  Fail(ErrorKind::kUnknownName, "frame.type", frame.type.substr(0, 64));
}

}  // namespace

const char* MessageName(const Message& message) {
  return std::visit([](const auto& body) { return std::decay_t<decltype(body)>::kName; }, message);
}

std::vector<std::uint8_t> Encode(const Envelope& envelope) {
  const Frame frame{kProtocolVersion, MessageName(envelope.message), envelope.from,
                    envelope.reply_to, envelope.to_incarnation};
  Json json = ToJson(frame);
  json["body"] = std::visit([](const auto& body) { return ToJson(body); }, envelope.message);
  return Json::to_msgpack(json);
}

Result<Envelope> Decode(std::span<const std::uint8_t> bytes) {
  if (bytes.size() > kMaxMessageBytes) {
    return MakeError(ErrorKind::kTooLarge, "frame", std::to_string(bytes.size()) + " bytes");
  }
  Json json = Json::from_msgpack(bytes.begin(), bytes.end(), /*strict=*/true,
                                 /*allow_exceptions=*/false);
  if (json.is_discarded()) {
    return MakeError(ErrorKind::kMalformed, "frame", "not MessagePack");
  }
  try {
    return DecodeEnvelope(std::move(json));
  } catch (const DecodeFailure& failure) {
    return failure.error;
  } catch (const Json::exception& exception) {
    return MakeError(ErrorKind::kMalformed, "frame", exception.what());
  }
}

}  // namespace peridotfork::protocol
