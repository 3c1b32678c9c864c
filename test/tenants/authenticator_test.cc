#include "peridotfork/tenants/authenticator.h"

#include <doctest/doctest.h>

namespace peridotfork {
namespace {

TenantSpec MakeTenant(const std::string& name, std::vector<std::string> keys) {
  TenantSpec spec;
  spec.tenant.id = TenantId(name);
  spec.api_keys = std::move(keys);
  return spec;
}

CataloguePtr MakeCatalogue(std::optional<std::vector<TenantSpec>> tenants) {
  return CataloguePtr(new Catalogue(Revision(1), {}, {}, {}, std::move(tenants)));
}

const std::vector<TenantSpec> kTenants = {MakeTenant("north", {"key-one", "key-two"}),
                                          MakeTenant("south", {"key-three"})};

// Name of the tenant, "none" for a request without one, "refused" for a refused request.
std::string Identify(const Catalogue& catalogue,
                     const std::vector<std::string_view>& credentials,
                     bool is_public = false) {
  Route route;
  route.is_public = is_public;
  const Result<CallerIdentity> identity = IdentifyCaller(catalogue, route, credentials);
  if (!identity.has_value()) {
    return "refused";
  }
  return identity.value().tenant == nullptr ? "none" : identity.value().tenant->id.value();
}

TEST_CASE("a key identifies its tenant, whatever the letter case of the scheme") {
  const CataloguePtr catalogue = MakeCatalogue(kTenants);
  CHECK(Identify(*catalogue, {"Bearer key-one"}) == "north");
  CHECK(Identify(*catalogue, {"bearer key-two"}) == "north");
  CHECK(Identify(*catalogue, {"BEARER   key-three"}) == "south");
}

TEST_CASE("credentials that are not exactly one valid key are refused") {
  const CataloguePtr catalogue = MakeCatalogue(kTenants);
  const std::vector<std::vector<std::string_view>> refused = {
      {},
      {""},
      {"Bearer"},
      {"Bearer "},
      {"Bearerkey-one"},
      {"key-one"},
      {"Basic key-one"},
      {"Bearer key-on"},
      {"Bearer key-one2"},
      {"Bearer KEY-ONE"},
      {"Bearer key-one key-one"},
      {"Bearer key-one,Bearer key-one"},
      {"Bearer key-one\t"},
      {"Bearer key-one", "Bearer key-one"},
      {"Bearer key-one", ""},
  };
  for (const auto& credentials : refused) {
    CAPTURE(credentials.empty() ? std::string() : std::string(credentials.front()));
    CHECK(Identify(*catalogue, credentials) == "refused");
  }
}

TEST_CASE("an error does not tell which keys exist") {
  const CataloguePtr catalogue = MakeCatalogue(kTenants);
  const auto error = [&](std::string_view credentials) {
    return ToString(IdentifyCaller(*catalogue, Route(), {credentials}).error());
  };
  CHECK(error("Bearer key-on") == error("Basic key-one"));
  CHECK(error("Bearer key-on").find("key-on") == std::string::npos);
}

TEST_CASE("an empty list of tenants accepts no key and does not open any route") {
  const CataloguePtr catalogue = MakeCatalogue(std::vector<TenantSpec>());
  CHECK(Identify(*catalogue, {"Bearer key-one"}) == "refused");
  CHECK(Identify(*catalogue, {}) == "refused");
}

TEST_CASE("a public route needs no key, and a valid one still names the tenant") {
  const CataloguePtr catalogue = MakeCatalogue(kTenants);
  CHECK(Identify(*catalogue, {}, true) == "none");
  CHECK(Identify(*catalogue, {"Bearer unknown"}, true) == "none");
  CHECK(Identify(*catalogue, {"Bearer key-three"}, true) == "south");
}

TEST_CASE("without tenants in the configuration nobody is identified") {
  const CataloguePtr catalogue = MakeCatalogue(std::nullopt);
  Route route;
  const Result<CallerIdentity> identity = IdentifyCaller(*catalogue, route, {"Bearer key-one"});
  REQUIRE(identity.has_value());
  CHECK_FALSE(identity.value().enforced);
}

TEST_CASE("a key of two tenants belongs to the first and is reported by its digest") {
  const CataloguePtr catalogue =
      MakeCatalogue(std::vector{MakeTenant("north", {"same"}), MakeTenant("south", {"same"})});
  CHECK(Identify(*catalogue, {"Bearer same"}) == "north");
  REQUIRE(catalogue->duplicate_keys().size() == 1);
  CHECK(catalogue->duplicate_keys().front() == ApiKeyTable::ShortDigest("same"));
  CHECK(catalogue->duplicate_keys().front().size() == 8);
}

}  // namespace
}  // namespace peridotfork
