#include "peridotfork/protocol/codec.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <random>

namespace peridotfork::protocol {
namespace {

using Json = nlohmann::json;

Envelope SampleEnvelope() {
  TargetCondition condition;
  condition.target = TargetId("hd-0-a");
  condition.state = TargetState::kWarm;
  condition.allowance = Slots(3);
  condition.snapshots = {{IndexVersion(41), PartitionMapVersion(7)}};
  return {ProcessId{HostId("h1"), Role::kDispatcher, Incarnation(9)}, Address("127.0.0.1:1"),
          Incarnation(4), TargetStatus{{condition}}};
}

// Encodes the sample envelope, modifies its JSON form, decodes the result and returns
// the error.
template <typename Change>
Error DecodeModified(Change change) {
  Json json = Json::from_msgpack(Encode(SampleEnvelope()));
  change(json);
  const auto result = Decode(Json::to_msgpack(json));
  REQUIRE_FALSE(result.has_value());
  return result.error();
}

TEST_CASE("a decoded message equals the encoded one") {
  const auto decoded = Decode(Encode(SampleEnvelope()));
  REQUIRE(decoded.has_value());
  CHECK(decoded.value().from == SampleEnvelope().from);
  CHECK(decoded.value().to_incarnation == Incarnation(4));
  const auto& status = std::get<TargetStatus>(decoded.value().message);
  CHECK(status.targets.at(0).state == TargetState::kWarm);
  CHECK(status.targets.at(0).snapshots.at(0).index == IndexVersion(41));
}

TEST_CASE("an invalid field is refused with its path") {
  const Error missing =
      DecodeModified([](Json& json) { json["body"]["targets"][0].erase("queued"); });
  CHECK(missing.kind() == ErrorKind::kMissingField);
  CHECK(missing.where == "body.targets[0].queued");

  const Error unknown = DecodeModified([](Json& json) { json["body"]["colour"] = 1; });
  CHECK(unknown.kind() == ErrorKind::kUnknownField);
  CHECK(unknown.where == "body.colour");

  const Error type = DecodeModified([](Json& json) { json["from"]["host"] = 3; });
  CHECK(type.kind() == ErrorKind::kWrongType);
  CHECK(type.where == "frame.from.host");

  const Error range = DecodeModified([](Json& json) { json["body"]["targets"][0]["state"] = 17; });
  CHECK(range.kind() == ErrorKind::kOutOfRange);

  const Error negative =
      DecodeModified([](Json& json) { json["body"]["targets"][0]["in_use"] = -1; });
  CHECK(negative.kind() == ErrorKind::kOutOfRange);
}

TEST_CASE("another protocol version and an unknown message type are refused") {
  CHECK(DecodeModified([](Json& json) { json["v"] = 2; }).kind() == ErrorKind::kUnsupportedVersion);
  CHECK(DecodeModified([](Json& json) { json["type"] = "gossip"; }).kind() ==
        ErrorKind::kUnknownName);
}

TEST_CASE("a message over the size limit is refused before it is decoded") {
  const std::vector<std::uint8_t> bytes(kMaxMessageBytes + 1);
  CHECK(Decode(bytes).error().kind() == ErrorKind::kTooLarge);
}

// Guards against crashes and hangs on input from a broken peer.
TEST_CASE("mutated and truncated messages never crash the decoder") {
  const std::vector<std::uint8_t> good = Encode(SampleEnvelope());
  std::mt19937_64 random(20261204);
  for (int round = 0; round < 20000; ++round) {
    std::vector<std::uint8_t> bytes = good;
    const std::size_t changes = 1 + random() % 4;
    for (std::size_t i = 0; i < changes; ++i) {
      bytes[random() % bytes.size()] = static_cast<std::uint8_t>(random());
    }
    if (random() % 4 == 0) {
      bytes.resize(random() % bytes.size());
    }
    const auto decoded = Decode(bytes);
    if (!decoded.has_value()) {
      CHECK_FALSE(decoded.error().where.empty());
    }
  }
}

}  // namespace
}  // namespace peridotfork::protocol
