#include "peridotfork/ctl/host_directory.h"

#include <doctest/doctest.h>

namespace peridotfork::ctl {
namespace {

TEST_CASE("a hosts file gives the addresses of each host") {
  const auto hosts = ParseHostDirectory(
      "[host h1]\nagent = 127.0.0.1:1\ndispatcher = 127.0.0.1:2\nentry = 127.0.0.1:3\n"
      "[host h2]\nagent = 127.0.0.2:1\ndispatcher = 127.0.0.2:2\nentry = 127.0.0.2:3\n");
  REQUIRE(hosts.has_value());
  REQUIRE(hosts.value().size() == 2);
  CHECK(hosts.value()[1] == HostAddresses{HostId("h2"), Address("127.0.0.2:1"),
                                          Address("127.0.0.2:2"), Address("127.0.0.2:3")});
}

// Guards against a host that is silently omitted.
TEST_CASE("an invalid hosts file is refused with the line and the key") {
  const auto missing = ParseHostDirectory("[host h1]\nagent = 127.0.0.1:1\nentry = 127.0.0.1:3\n");
  REQUIRE_FALSE(missing.has_value());
  CHECK(missing.error().kind() == ErrorKind::kMissingField);
  CHECK(missing.error().where.find("dispatcher") != std::string::npos);

  const auto malformed = ParseHostDirectory(
      "[host h1]\nagent = localhost:1\ndispatcher = 127.0.0.1:2\nentry = 127.0.0.1:3\n");
  REQUIRE_FALSE(malformed.has_value());
  CHECK(malformed.error().kind() == ErrorKind::kMalformed);
  CHECK(malformed.error().where.find("line 2") != std::string::npos);

  CHECK(ParseHostDirectory("[hosts]\n").error().kind() == ErrorKind::kUnknownName);
  CHECK(ParseHostDirectory("[host a b]\n").error().kind() == ErrorKind::kMalformed);
  CHECK(ParseHostDirectory("").error().kind() == ErrorKind::kMissingField);
}

TEST_CASE("a list of agents gives hosts without an id") {
  const auto hosts = ParseAgentList("127.0.0.1:1, 127.0.0.2:1");
  REQUIRE(hosts.has_value());
  REQUIRE(hosts.value().size() == 2);
  CHECK_FALSE(hosts.value()[0].id.has_value());
  CHECK(hosts.value()[1].agent == Address("127.0.0.2:1"));
  CHECK_FALSE(hosts.value()[1].entry.has_value());
  CHECK_FALSE(ParseAgentList("127.0.0.1:1,").has_value());
}

}  // namespace
}  // namespace peridotfork::ctl
