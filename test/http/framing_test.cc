#include "peridotfork/http/framing.h"

#include <doctest/doctest.h>

#include <string>

namespace peridotfork::http {
namespace {

std::string Head(const std::string& fields, const std::string& version = "HTTP/1.1") {
  return "POST /a " + version + "\r\nHost: a\r\n" + fields + "\r\n";
}

TEST_CASE("proper heads say how their bodies are delimited") {
  CHECK(DecideRequestFraming(Head("")).value().kind == BodyFraming::kNone);
  const auto with_length = DecideRequestFraming(Head("content-LENGTH:  12 \r\n"));
  REQUIRE(with_length.has_value());
  CHECK(with_length.value().kind == BodyFraming::kLength);
  CHECK(with_length.value().length == 12);
  for (const char* chunked : {"Transfer-Encoding: chunked\r\n", "transfer-encoding:Chunked\r\n"}) {
    CHECK(DecideRequestFraming(Head(chunked)).value().kind == BodyFraming::kChunked);
  }
  CHECK(DecideRequestFraming(Head("Content-Length: 5\r\n", "HTTP/1.0")).has_value());
  CHECK(DecideRequestFraming("GET /a HTTP/1.1\r\n\r\n").has_value());
  CHECK(DecideRequestFraming(Head("X-Empty:\r\nX-Text: \xc3\xa9 \"x\"\r\n")).has_value());
}

// Guards against a body that is read as a second request (review/2).
TEST_CASE("heads after which the end of the request is not certain are refused") {
  const char* const fields[] = {
      "Transfer-Encoding: gzip\r\n",
      "Transfer-Encoding: xchunked\r\n",
      "Transfer-Encoding: gzip, chunked\r\n",
      "Transfer-Encoding: chunked, identity\r\n",
      "Transfer-Encoding: chunked, chunked\r\n",
      "Transfer-Encoding: \"chunked\"\r\n",
      "Transfer-Encoding:\r\n",
      "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
      "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
      "Content-Length: 5\r\nContent-Length: 6\r\n",
      "Content-Length: 5\r\nContent-Length: 5\r\n",
      "Content-Length: 5, 5\r\n",
      "Content-Length: +5\r\n",
      "Content-Length: -5\r\n",
      "Content-Length: 0x5\r\n",
      "Content-Length: 5 5\r\n",
      "Content-Length:\r\n",
      "Content-Length: 18446744073709551616\r\n",
      "Content-Length : 5\r\n",
      "Transfer-Encoding : chunked\r\n",
      " Content-Length: 5\r\n",
      "X-Folded: a\r\n Content-Length: 5\r\n",
      "X-Bare: a\nContent-Length: 5\r\n",
      "X-Bare: a\rContent-Length: 5\r\n",
      "NoColon\r\n",
      ": no name\r\n",
      "X\x01Y: a\r\n",
  };
  for (const char* text : fields) {
    CAPTURE(text);
    CHECK_FALSE(DecideRequestFraming(Head(text)).has_value());
  }
  CHECK_FALSE(DecideRequestFraming(Head("Transfer-Encoding: chunked\r\n", "HTTP/1.0")).has_value());
  CHECK_FALSE(DecideRequestFraming(Head(std::string("X: a\0b\r\n", 8))).has_value());
  CHECK_FALSE(DecideRequestFraming("GET /a HTTP/1.1\r\n").has_value());
  CHECK_FALSE(DecideRequestFraming("").has_value());
}

TEST_CASE("the size of a head is known only when it is complete") {
  CHECK(HeadSize("GET / HTTP/1.1\r\n") == 0);
  CHECK(HeadSize("GET / HTTP/1.1\r\n\r\nbody") == 18);
  CHECK_FALSE(HasBareLineEnd("GET / HTTP/1.1\r"));
  CHECK(HasBareLineEnd("GET / HTTP/1.1\n"));
  CHECK(HasBareLineEnd("GET / HTTP/1.1\rX"));
}

}  // namespace
}  // namespace peridotfork::http
