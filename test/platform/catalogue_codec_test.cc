#include "peridotfork/platform/catalogue_codec.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <random>

#include "platform/samples.h"

namespace peridotfork::platform {
namespace {

TEST_CASE("a configuration is decoded into routes, services and limits") {
  const Result<CataloguePtr> decoded = DecodeCatalogue(kConfigurationText);
  REQUIRE(decoded.has_value());
  const Catalogue& catalogue = *decoded.value();
  CHECK(catalogue.version() == Revision(7));
  CHECK(catalogue.limits().max_body == Bytes(262144));
  CHECK(catalogue.limits().idle_timeout == std::chrono::seconds(15));
  const Route* gather = catalogue.FindRoute("leno12.example", "/nono/1");
  REQUIRE(gather != nullptr);
  REQUIRE(gather->gather);
  CHECK(gather->gather->shards.size() == 2);
  CHECK(gather->gather->top_records == 5);
  CHECK(gather->gather->required_coverage == doctest::Approx(0.75));
  CHECK(gather->objective == std::chrono::milliseconds(60));
  CHECK(gather->repeatability == Repeatability::kIdempotent);
  const Route* single = catalogue.FindRoute("hufi27.example", "/goka/1");
  REQUIRE(single != nullptr);
  CHECK(single->repeatability == Repeatability::kAtMostOnce);
  CHECK(single->services.front().service == ServiceId("s3"));
  CHECK(catalogue.FindRoute("hufi27.example", "/split/1")->services.size() == 2);
  CHECK(catalogue.services().at(ServiceId("s1")).cold_rate == Rate(2.5));
  CHECK(catalogue.services().at(ServiceId("s1")).max_connections == Connections(31));
}

TEST_CASE("tenants with their keys, quotas and ranks are decoded, and public routes") {
  nlohmann::json document = nlohmann::json::parse(kConfigurationText);
  CHECK_FALSE(DecodeCatalogue(document.dump()).value()->has_tenants());
  document["tenants"] = nlohmann::json::parse(R"([
    {"name":"north","api_keys":["k1","k2"],"priority":0,"rate_per_s":23,"burst":7.5},
    {"name":"south","api_keys":[]}])");
  document["routes"][0]["public"] = true;
  const Result<CataloguePtr> decoded = DecodeCatalogue(document.dump());
  REQUIRE(decoded.has_value());
  const Catalogue& catalogue = *decoded.value();
  CHECK(catalogue.has_tenants());
  REQUIRE(catalogue.FindTenant("k2") != nullptr);
  const Tenant& north = *catalogue.FindTenant("k2");
  CHECK(north.id == TenantId("north"));
  CHECK(north.priority == 0U);
  CHECK(north.quota_rate == Rate(23));
  CHECK(north.quota_burst == doctest::Approx(7.5));
  CHECK(catalogue.FindTenant("k3") == nullptr);
  CHECK(catalogue.FindTenant("") == nullptr);
  CHECK_FALSE(catalogue.tenants()[1].priority.has_value());
  CHECK(catalogue.tenants()[1].quota_rate == Rate(0));
  CHECK(catalogue.routes()[0].is_public);
  CHECK_FALSE(catalogue.routes()[1].is_public);
  document["tenants"] = nlohmann::json::array();
  CHECK(DecodeCatalogue(document.dump()).value()->has_tenants());
  document["tenants"] = nlohmann::json::parse(R"([{"name":"north","api_keys":["k1",5]}])");
  CHECK_FALSE(DecodeCatalogue(document.dump()).has_value());
}

TEST_CASE("a configuration with a missing or invalid field is refused with its path") {
  using nlohmann::json;
  struct Case {
    const char* pointer;
    json value;
    ErrorKind kind;
  };
  const Case cases[] = {
      {"/version", "7", ErrorKind::kWrongType},
      {"/version", -1, ErrorKind::kOutOfRange},
      {"/version", 1.5, ErrorKind::kWrongType},
      {"/routes", json::object(), ErrorKind::kWrongType},
      {"/routes/0/host", 5, ErrorKind::kWrongType},
      {"/routes/0/route_type", "both", ErrorKind::kUnknownName},
      {"/routes/0/gather", json::array(), ErrorKind::kOutOfRange},
      {"/routes/0/gather/0", "s2", ErrorKind::kWrongType},
      {"/routes/0/min_coverage", 1.01, ErrorKind::kOutOfRange},
      {"/routes/1/timeout_ms", json(), ErrorKind::kWrongType},
      {"/routes/2/traffic_split", json::array(), ErrorKind::kOutOfRange},
      {"/services/0/max_conns", "many", ErrorKind::kWrongType},
      {"/limits/max_body_bytes", false, ErrorKind::kWrongType},
  };
  for (const Case& test : cases) {
    CAPTURE(test.pointer);
    json document = json::parse(kConfigurationText);
    document[json::json_pointer(test.pointer)] = test.value;
    const Result<CataloguePtr> decoded = DecodeCatalogue(document.dump());
    REQUIRE_FALSE(decoded.has_value());
    CHECK(decoded.error().kind() == test.kind);
    CHECK(decoded.error().where.starts_with("configuration"));
  }
  json document = json::parse(kConfigurationText);
  document["routes"][1].erase("backend");
  CHECK(DecodeCatalogue(document.dump()).error().kind() == ErrorKind::kMissingField);
}

TEST_CASE("a target entry is decoded") {
  const Result<TargetEntry> decoded = DecodeTargetEntry(TargetId("i-1"), kTargetText);
  REQUIRE(decoded.has_value());
  CHECK(decoded.value().service == ServiceId("s1"));
  CHECK(decoded.value().address == Address("10.128.0.9:8080"));
  CHECK(decoded.value().started_ms == 1700000000000U);
  CHECK(decoded.value().sequence == 4);
  CHECK_FALSE(decoded.value().draining);
}

TEST_CASE("an invalid target entry is refused") {
  for (const char* text :
       {"", "null", "[]", "{}", "\xff\xfe", R"({"backend":"s1"})",
        R"({"backend":"s1","address":"a","zone":"z","slots":1,"state":"resting",)"
        R"("cold_left_ms":0,"seq":1})",
        R"({"backend":"s1","address":7,"zone":"z","slots":1,"state":"ready",)"
        R"("cold_left_ms":0,"seq":1})"}) {
    CAPTURE(text);
    CHECK_FALSE(DecodeTargetEntry(TargetId("i-1"), text).has_value());
  }
}

// Entries that another writer may leave among those of the targets.
TEST_CASE("an odd entry names no target and ends no process") {
  using nlohmann::json;
  constexpr std::size_t kDepth = 200'000;
  const std::string nested = std::string(kDepth, '[') + std::string(kDepth, ']');
  const std::string objects = [] {
    std::string text;
    for (std::size_t i = 0; i < kDepth; ++i) {
      text += R"({"a":)";
    }
    return text + "1" + std::string(kDepth, '}');
  }();
  const std::string head = std::string(kTargetText, sizeof kTargetText - 2);
  const std::vector<std::string> odd = {
      nested,
      objects,
      std::string(kDepth, '['),
      head + R"(,"slots":)" + nested + "}",
      head + R"(,"state":)" + objects + "}",
      head + R"(,"seq":1e400})",
      head + R"(,"seq":-1})",
      head + R"(,"seq":18446744073709551616})",
      head + R"(,"born":1e300})",
      head + R"(,"born":1.5})",
      head + R"(,"slots":4294967297})",
      head + R"(,"slots":1e300})",
      head + R"(,"slots":)" + std::string(100'000, '9') + "}",
      head + R"(,"cold_left_ms":9007199254740991})",
      head + R"(,"cold_left_ms":1e308})",
      head + R"(,"address":"10.128.0.9:99999"})",
      head + R"(,"address":"10.128.0.9:65536"})",
      head + R"(,"address":"10.128.0.9:0"})",
      head + R"(,"address":"10.128.0.9:-1"})",
      head + R"(,"address":"10.128.0.9"})",
      head + R"(,"address":"10.128.0.999:80"})",
      head + R"(,"address":""})",
      head + R"(,"backend":null})",
      std::string(1 << 20, '\0'),
  };
  for (std::size_t i = 0; i < odd.size(); ++i) {
    CAPTURE(i);
    CHECK_FALSE(DecodeTargetEntry(TargetId("i-1"), odd[i]).has_value());
  }
  // Unknown fields are ignored, whatever they contain.
  CHECK(DecodeTargetEntry(TargetId("i-1"), head + R"(,"other":)" + nested + "}").has_value());
}

TEST_CASE("a configuration with a number that is too large is refused") {
  using nlohmann::json;
  for (const char* pointer :
       {"/routes/0/timeout_ms", "/routes/0/target_latency_ms", "/limits/idle_timeout_ms",
        "/routes/0/max_attempts", "/services/0/max_conns"}) {
    CAPTURE(pointer);
    json document = json::parse(kConfigurationText);
    document[json::json_pointer(pointer)] = 9007199254740991;
    const Result<CataloguePtr> decoded = DecodeCatalogue(document.dump());
    REQUIRE_FALSE(decoded.has_value());
    CHECK(decoded.error().kind() == ErrorKind::kOutOfRange);
  }
}

TEST_CASE("mutated configurations and target entries are decoded or refused without a crash") {
  int refused = 0;
  for (unsigned seed = 0; seed < 2000; ++seed) {
    std::mt19937 random(seed);
    const Result<CataloguePtr> catalogue = DecodeCatalogue(Mutate(kConfigurationText, random));
    const Result<TargetEntry> entry =
        DecodeTargetEntry(TargetId("i-1"), Mutate(kTargetText, random));
    refused += catalogue.has_value() ? 0 : 1;
    if (!entry.has_value()) {
      CHECK(entry.error().kind() != ErrorKind::kOk);
    }
  }
  CHECK(refused > 500);
}

}  // namespace
}  // namespace peridotfork::platform
