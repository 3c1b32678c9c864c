#include "peridotfork/catalogue/catalogue.h"

#include <doctest/doctest.h>

#include <cmath>
#include <map>

namespace peridotfork {
namespace {

Route MakeRoute(const std::string& id, const std::string& host, const std::string& prefix) {
  Route route;
  route.id = RouteId(id);
  route.host = host;
  route.prefix = prefix;
  route.services = {{ServiceId("s"), 1}};
  return route;
}

TEST_CASE("the longest matching prefix of a path selects the route") {
  const CataloguePtr catalogue(new Catalogue(
      Revision(1),
      {MakeRoute("root", "a", "/"), MakeRoute("x", "a", "/x/"), MakeRoute("xy", "a", "/x/y/")}, {},
      {}));
  CHECK(catalogue->FindRoute("a", "/x/y/1")->id == RouteId("xy"));
  CHECK(catalogue->FindRoute("a", "/x/y/")->id == RouteId("xy"));
  CHECK(catalogue->FindRoute("a", "/x/y")->id == RouteId("x"));
  CHECK(catalogue->FindRoute("a", "/xz/1")->id == RouteId("root"));
  CHECK(catalogue->FindRoute("b", "/x/1") == nullptr);
  CHECK(catalogue->FindRoute("a", "x") == nullptr);
}

TEST_CASE("a path that no prefix matches has no route") {
  const CataloguePtr catalogue(new Catalogue(Revision(1), {MakeRoute("x", "a", "/x/")}, {}, {}));
  CHECK(catalogue->FindRoute("a", "/y/x/1") == nullptr);
  CHECK(catalogue->FindRoute("a", "/") == nullptr);
  CHECK(catalogue->FindRoute("a", "") == nullptr);
}

TEST_CASE("each service of a split gets its share in any run of requests") {
  Route route = MakeRoute("r", "a", "/");
  route.services = {{ServiceId("a"), 70}, {ServiceId("b"), 20}, {ServiceId("c"), 10}};
  constexpr int kRun = 200;
  for (std::uint64_t start = 0; start < 5000; start += 37) {
    std::map<ServiceId, int> counts;
    for (std::uint64_t i = 0; i < kRun; ++i) {
      ++counts[ChooseService(route, start + i)];
    }
    // The platform tolerates a deviation of a tenth of all requests.
    CHECK(std::abs(counts[ServiceId("a")] - 140) <= 20);
    CHECK(std::abs(counts[ServiceId("b")] - 40) <= 20);
    CHECK(std::abs(counts[ServiceId("c")] - 20) <= 20);
  }
}

TEST_CASE("a service of weight zero gets no requests") {
  Route route = MakeRoute("r", "a", "/");
  route.services = {{ServiceId("a"), 0}, {ServiceId("b"), 1}};
  for (std::uint64_t i = 0; i < 100; ++i) {
    CHECK(ChooseService(route, i) == ServiceId("b"));
  }
}

}  // namespace
}  // namespace peridotfork
