#include "peridotfork/platform/message_codec.h"

#include <doctest/doctest.h>

#include <boost/beast/http.hpp>

namespace peridotfork::platform {
namespace {

namespace bhttp = boost::beast::http;

http::RawRequest SampleRequest() {
  http::RawRequest request(bhttp::verb::post, "/goka/2f?x=1", 11);
  request.set(bhttp::field::host, "HUFI27.example:8226");
  request.set("Request-Id", "9c41d07be2a35f68");
  request.set("Timeout-Ms", "1500");
  request.set("Target-Instance", "i-caller");
  request.set(bhttp::field::connection, "keep-alive, X-Hop");
  request.set("X-Hop", "1");
  request.set("X-Kept", "2");
  request.set(bhttp::field::transfer_encoding, "chunked");
  request.body() = "body";
  return request;
}

TEST_CASE("a request is decoded") {
  const IngressRequest decoded = PlatformCodec().DecodeRequest(SampleRequest());
  CHECK(decoded.host == "hufi27.example");
  CHECK(decoded.path == "/goka/2f");
  CHECK(decoded.id == RequestId("9c41d07be2a35f68"));
  CHECK(decoded.caller_timeout == std::chrono::milliseconds(1500));
}

TEST_CASE("a caller timeout that is no number counts as none") {
  for (const char* text : {"", "soon", "1e3", "1 2", "-", "99999999999999999999"}) {
    http::RawRequest request = SampleRequest();
    request.set("Timeout-Ms", text);
    CHECK_FALSE(PlatformCodec().DecodeRequest(request).caller_timeout.has_value());
  }
}

TEST_CASE("a forwarded request keeps all fields except those of one connection or attempt") {
  const PlatformCodec codec;
  http::RawRequest forwarded = codec.MakeForwarded(SampleRequest(), {});
  CHECK(forwarded.method() == bhttp::verb::post);
  CHECK(forwarded.target() == "/goka/2f?x=1");
  CHECK(forwarded["Request-Id"] == "9c41d07be2a35f68");
  CHECK(forwarded["X-Kept"] == "2");
  CHECK(forwarded.body() == "body");
  CHECK(forwarded[bhttp::field::content_length] == "4");
  for (const char* name :
       {"X-Hop", "Connection", "Transfer-Encoding", "Timeout-Ms", "Target-Instance"}) {
    CAPTURE(name);
    CHECK(forwarded.find(name) == forwarded.end());
  }
  codec.AddAttemptFields(forwarded, TargetId("i-1"), std::chrono::milliseconds(700));
  CHECK(forwarded["Timeout-Ms"] == "700");
  CHECK(forwarded["Target-Instance"] == "i-1");
}

TEST_CASE("an enforced identity replaces the credentials and any tenant that the caller names") {
  const PlatformCodec codec;
  http::RawRequest request = SampleRequest();
  request.insert(bhttp::field::authorization, "Bearer key-one");
  request.insert(bhttp::field::authorization, "Bearer key-two");
  request.insert("tenant", "forged");
  request.insert("Tenant", "forged-too");
  request.set(bhttp::field::connection, "Tenant, Authorization");
  CHECK(codec.Credentials(request) ==
        std::vector<std::string_view>{"Bearer key-one", "Bearer key-two"});

  const Tenant tenant{TenantId("north"), std::nullopt, Rate(0), 0};
  const http::RawRequest named = codec.MakeForwarded(request, {true, &tenant});
  CHECK(named.find("Authorization") == named.end());
  CHECK(named.count("Tenant") == 1);
  CHECK(named["Tenant"] == "north");
  const http::RawRequest unnamed = codec.MakeForwarded(request, {true, nullptr});
  CHECK(unnamed.find("Authorization") == unnamed.end());
  CHECK(unnamed.find("Tenant") == unnamed.end());
}

TEST_CASE("without tenants the fields of a caller are forwarded as they came") {
  http::RawRequest request = SampleRequest();
  request.insert(bhttp::field::authorization, "Basic x");
  request.insert("Tenant", "its-own");
  const http::RawRequest forwarded = PlatformCodec().MakeForwarded(request, {});
  CHECK(forwarded[bhttp::field::authorization] == "Basic x");
  CHECK(forwarded["Tenant"] == "its-own");
}

TEST_CASE("a response to another request does not match") {
  http::RawResponse response;
  CHECK(PlatformCodec().Matches(response, RequestId("a")));
  response.set("Request-Id", "a");
  CHECK(PlatformCodec().Matches(response, RequestId("a")));
  CHECK_FALSE(PlatformCodec().Matches(response, RequestId("b")));
}

TEST_CASE("the fourth figure of a target's load says how long work takes there") {
  const auto factor = [](const char* text) -> std::optional<double> {
    http::RawResponse response;
    response.set("Server-Load", text);
    const auto load = PlatformCodec().DecodeAnswer(response).signals.load;
    return load ? load->work_factor : std::optional<double>(-1);
  };
  CHECK(factor("3,0,8,250") == 2.5);
  CHECK(factor("3,0,8,62.5") == 0.625);
  for (const char* none : {"3,0,8", "3,0,8,", "3,0,8,x", "3,0,8,0", "3,0,8,-5", "3,0,8,nan",
                           "3,0,8,inf", "3,0,8,1e9"}) {
    CAPTURE(none);
    CHECK_FALSE(factor(none).has_value());
  }
}

TEST_CASE("what a target reports of the run and of its load is decoded") {
  http::RawResponse response;
  response.result(503);
  response.set("Not-Executed", "1");
  response.set("Server-Load", "3,1,8");
  const UpstreamAnswer shed = PlatformCodec().DecodeAnswer(response);
  CHECK(shed.not_run);
  CHECK_FALSE(shed.misdirected);
  REQUIRE(shed.signals.load);
  CHECK(shed.signals.load->waiting == 1);
  CHECK(shed.signals.load->slots == Slots(8));
  response = {};
  response.result(421);
  CHECK(PlatformCodec().DecodeAnswer(response).misdirected);
  CHECK(PlatformCodec().DecodeAnswer(response).not_run);
  response.result(500);
  response.set("Server-Load", "3,x,8");
  response.set(bhttp::field::content_encoding, "gzip");
  const UpstreamAnswer failed = PlatformCodec().DecodeAnswer(response);
  CHECK_FALSE(failed.not_run);
  CHECK_FALSE(failed.signals.load);
  CHECK(failed.transformed);
}

TEST_CASE("the limit that a target names is a decimal number that is not negative") {
  const auto limit = [](const char* text) {
    http::RawResponse response;
    response.set("Server-Limit", text);
    return PlatformCodec().DecodeAnswer(response).signals.limit;
  };
  CHECK(limit("29.8") == Rate(29.8));
  CHECK(limit("0") == Rate(0));
  for (const char* none : {"", "x", "-1", "nan", "inf", "1e999", "30 per second"}) {
    CAPTURE(none);
    CHECK_FALSE(limit(none).has_value());
  }
}

TEST_CASE("a target that is leaving is recognized by any of its responses") {
  for (const unsigned status : {200U, 421U, 500U, 503U}) {
    http::RawResponse response;
    response.result(status);
    CHECK_FALSE(PlatformCodec().DecodeAnswer(response).signals.leaving);
    response.set("Server-Leaving", "1");
    CHECK(PlatformCodec().DecodeAnswer(response).signals.leaving);
    response.set("Server-Leaving", "0");
    CHECK_FALSE(PlatformCodec().DecodeAnswer(response).signals.leaving);
  }
}

TEST_CASE("a rejection states for how long the target wants no requests") {
  using std::chrono::milliseconds;
  struct Case {
    const char* text;
    std::optional<milliseconds> hold;
  };
  const Case cases[] = {
      {"3", milliseconds(3000)},
      {"0.25", milliseconds(250)},
      {"0.0001", milliseconds(1)},
      {"1e3", std::chrono::seconds(1000)},
      {"1e300", std::chrono::hours(24)},
      {"99999999999999999999", std::chrono::hours(24)},
      {"0", std::nullopt},
      {"-1", std::nullopt},
      {"", std::nullopt},
      {"inf", std::nullopt},
      {"nan", std::nullopt},
      {"soon", std::nullopt},
      {"3 s", std::nullopt},
      {"Fri, 31 Dec 2027 23:59:59 GMT", std::nullopt},
  };
  for (const Case& test : cases) {
    CAPTURE(test.text);
    http::RawResponse response;
    response.set(bhttp::field::retry_after, test.text);
    for (const unsigned status : {503U, 429U}) {
      response.result(status);
      CHECK(PlatformCodec().DecodeAnswer(response).signals.hold == test.hold);
    }
    // An answer of a request that ran asks for nothing.
    for (const unsigned status : {200U, 500U}) {
      response.result(status);
      CHECK_FALSE(PlatformCodec().DecodeAnswer(response).signals.hold);
    }
  }
}

// Guards against an answer to HEAD that states the length 0, and a 204 that states any.
TEST_CASE("the length of an answer without a body stays that of the target") {
  const auto encode = [](unsigned status, const char* length, const std::string& body) {
    http::RawResponse response(bhttp::int_to_status(status), 11);
    if (length != nullptr) {
      response.set(bhttp::field::content_length, length);
    }
    response.body() = body;
    const http::RawResponse encoded =
        PlatformCodec().Encode(PlatformCodec().DecodeAnswer(std::move(response)));
    return std::string(encoded[bhttp::field::content_length]);
  };
  CHECK(encode(200, "5", "") == "5");
  CHECK(encode(200, "0", "") == "0");
  CHECK(encode(200, nullptr, "") == "0");
  CHECK(encode(200, nullptr, "notes") == "5");
  CHECK(encode(200, "5", "notes") == "5");
  CHECK(encode(204, nullptr, "").empty());
  CHECK(encode(204, "0", "").empty());
  CHECK(encode(304, "5", "") == "5");
  CHECK(encode(304, nullptr, "").empty());
}

TEST_CASE("a field that a second Connection field names is not forwarded") {
  http::RawRequest request = SampleRequest();
  request.insert(bhttp::field::connection, "x-other, Request-Id");
  request.set("X-Other", "1");
  const http::RawRequest forwarded = PlatformCodec().MakeForwarded(request, {});
  CHECK(forwarded.find("X-Hop") == forwarded.end());
  CHECK(forwarded.find("X-Other") == forwarded.end());
  CHECK(forwarded["Request-Id"] == "9c41d07be2a35f68");
}

TEST_CASE("a merged answer contains the signatures of its parts and the number of missing parts") {
  const http::RawResponse response =
      PlatformCodec().Encode(MergedAnswer{{"s-1", "s-2"}, 1, std::string(32, 'r')});
  CHECK(response.result_int() == 200);
  CHECK(response["Part-Stamps"] == "s-1, s-2");
  CHECK(response["Missing-Parts"] == "1");
  CHECK(response.body().size() == 32);
}

TEST_CASE("an error response carries no signature and has Retry-After") {
  const http::RawResponse response = PlatformCodec().EncodeError(
      503, MakeError(ErrorKind::kShed, "gateway", "bytes \xff"), std::chrono::milliseconds(60));
  CHECK(response["Retry-After"] == "0.060");
  CHECK(response.find("Response-Stamp") == response.end());
  CHECK(response.body().find("\"shed\"") != std::string::npos);
}

}  // namespace
}  // namespace peridotfork::platform
