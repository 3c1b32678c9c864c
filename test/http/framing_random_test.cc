#include <doctest/doctest.h>

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "peridotfork/http/framing.h"

namespace peridotfork::http {
namespace {

namespace bhttp = boost::beast::http;

// A request that a reader has found in the bytes of a connection.
struct SeenRequest {
  std::string target;
  std::string body;

  friend bool operator==(const SeenRequest&, const SeenRequest&) = default;
};

constexpr std::size_t kMaxBody = 200;

// Reads requests as a CallerSession does: the framing is decided first, then Beast parses.
std::vector<SeenRequest> ReadAsSession(std::string bytes) {
  std::vector<SeenRequest> seen;
  for (;;) {
    while (bytes.starts_with("\r\n")) {
      bytes.erase(0, 2);
    }
    const std::size_t head = HeadSize(bytes);
    if (head == 0 || !DecideRequestFraming(std::string_view(bytes).substr(0, head)).has_value()) {
      return seen;
    }
    bhttp::request_parser<bhttp::string_body> parser;
    parser.body_limit(kMaxBody);
    parser.eager(true);
    boost::beast::error_code error;
    while (!parser.is_done()) {
      const std::size_t used = parser.put(boost::asio::buffer(bytes), error);
      bytes.erase(0, used);
      if (error || used == 0) {
        return seen;
      }
    }
    seen.push_back({std::string(parser.get().target()), parser.get().body()});
  }
}

// Strict reference reader, written from RFC 9112 apart from the product's code. Ends at the first
// thing that is not exactly as the RFC has it.
class ReferenceReader {
 public:
  explicit ReferenceReader(std::string bytes) : bytes_(std::move(bytes)) {}

  std::vector<SeenRequest> ReadAll() {
    std::vector<SeenRequest> seen;
    while (const std::optional<SeenRequest> request = ReadOne()) {
      seen.push_back(*request);
    }
    return seen;
  }

 private:
  std::optional<std::string> Line() {
    const std::size_t end = bytes_.find("\r\n", at_);
    if (end == std::string::npos) {
      return std::nullopt;
    }
    std::string line = bytes_.substr(at_, end - at_);
    at_ = end + 2;
    return line.find_first_of(std::string("\r\n\0", 3)) == std::string::npos
               ? std::optional(std::move(line))
               : std::nullopt;
  }

  std::optional<SeenRequest> ReadOne() {
    while (bytes_.compare(at_, 2, "\r\n") == 0) {
      at_ += 2;
    }
    const std::optional<std::string> start = Line();
    if (!start) {
      return std::nullopt;
    }
    const std::size_t first = start->find(' ');
    const std::size_t second = start->find(' ', first + 1);
    if (first == std::string::npos || second == std::string::npos) {
      return std::nullopt;
    }
    SeenRequest request;
    request.target = start->substr(first + 1, second - first - 1);
    const bool current = start->substr(second + 1) == "HTTP/1.1";
    std::vector<std::string> lengths;
    std::vector<std::string> codings;
    for (;;) {
      const std::optional<std::string> line = Line();
      if (!line) {
        return std::nullopt;
      }
      if (line->empty()) {
        break;
      }
      const std::size_t colon = line->find(':');
      if (colon == 0 || colon == std::string::npos || line->find_first_of(" \t") < colon) {
        return std::nullopt;
      }
      std::string value = line->substr(colon + 1);
      value.erase(0, value.find_first_not_of(" \t"));
      value.erase(value.find_last_not_of(" \t") + 1);
      if (boost::algorithm::iequals(line->substr(0, colon), "Content-Length")) {
        lengths.push_back(value);
      } else if (boost::algorithm::iequals(line->substr(0, colon), "Transfer-Encoding")) {
        codings.push_back(value);
      }
    }
    if (codings.empty()) {
      return ReadLength(std::move(request), lengths);
    }
    const bool chunked =
        codings.size() == 1 && boost::algorithm::iequals(codings.front(), "chunked");
    return chunked && current && lengths.empty() ? ReadChunks(std::move(request)) : std::nullopt;
  }

  std::optional<SeenRequest> ReadLength(SeenRequest request,
                                        const std::vector<std::string>& lengths) {
    if (lengths.empty()) {
      return request;
    }
    const std::string& text = lengths.front();
    const bool number = !text.empty() && text.size() < 9 &&
                        text.find_first_not_of("0123456789") == std::string::npos;
    if (lengths.size() > 1 || !number || std::stoul(text) > kMaxBody ||
        bytes_.size() - at_ < std::stoul(text)) {
      return std::nullopt;
    }
    request.body = bytes_.substr(at_, std::stoul(text));
    at_ += request.body.size();
    return request;
  }

  std::optional<SeenRequest> ReadChunks(SeenRequest request) {
    for (;;) {
      const std::optional<std::string> line = Line();
      if (!line) {
        return std::nullopt;
      }
      const std::string digits = line->substr(0, line->find_first_of("; \t"));
      if (digits.empty() || digits.size() > 8 ||
          digits.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos) {
        return std::nullopt;
      }
      const std::size_t size = std::stoul(digits, nullptr, 16);
      if (size == 0) {
        break;
      }
      if (request.body.size() + size > kMaxBody || bytes_.size() - at_ < size + 2 ||
          bytes_.compare(at_ + size, 2, "\r\n") != 0) {
        return std::nullopt;
      }
      request.body += bytes_.substr(at_, size);
      at_ += size + 2;
    }
    for (bool first = true;; first = false) {
      const std::optional<std::string> line = Line();
      if (!line) {
        return std::nullopt;
      }
      if (line->empty()) {
        return request;
      }
      // RFC 9112, section 5.2: a server may take a folded line for a space. The trailer is dropped,
      // and its end is as certain.
      const bool is_folded = !first && (line->front() == ' ' || line->front() == '\t');
      if (!is_folded && line->find(':') == std::string::npos) {
        return std::nullopt;
      }
    }
  }

  const std::string bytes_;
  std::size_t at_ = 0;
};

class Generator {
 public:
  explicit Generator(unsigned seed) : random_(seed) {}

  int Below(int bound) { return std::uniform_int_distribution<int>(0, bound - 1)(random_); }

  // A proper request of one of the forms that callers use.
  std::string Proper(int number) {
    std::string head = (Below(2) == 0 ? "POST /r" : "GET /r") + std::to_string(number) +
                       " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: id" + std::to_string(number) +
                       "\r\n";
    switch (Below(3)) {
      case 0:
        return head + "\r\n";
      case 1: {
        const std::string body(static_cast<std::size_t>(Below(60)), 'b');
        return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
      }
      default:
        head += "Transfer-Encoding: chunked\r\n\r\n";
        for (int i = Below(3); i > 0; --i) {
          head += Below(2) == 0 ? "5\r\nhello\r\n" : "A;x=1\r\n0123456789\r\n";
        }
        return head + (Below(4) == 0 ? "0\r\nX-Trailer: 1\r\n\r\n" : "0\r\n\r\n");
    }
  }

  // Replaces, removes or inserts pieces that matter for framing.
  std::string Mutate(std::string text) {
    static const std::vector<std::string> kPieces = {"Transfer-Encoding: gzip\r\n",
                                                     "Transfer-Encoding: chunked\r\n",
                                                     "Content-Length: 3\r\n",
                                                     "Content-Length: +3\r\n",
                                                     "transfer-encoding:\tchunked \r\n",
                                                     "\r\n",
                                                     "\n",
                                                     "\r",
                                                     " ",
                                                     "\t",
                                                     "0",
                                                     "-1",
                                                     "0x1",
                                                     ";",
                                                     ":",
                                                     "\"chunked\"",
                                                     ", chunked",
                                                     "ffffffffffffffff",
                                                     "chunked",
                                                     "HTTP/1.0",
                                                     std::string(1, '\0'),
                                                     "GET /inner HTTP/1.1\r\nHost: a\r\n\r\n"};
    for (int i = 1 + Below(2); i > 0; --i) {
      const auto at = static_cast<std::size_t>(Below(static_cast<int>(text.size()) + 1));
      const std::string& piece = kPieces[static_cast<std::size_t>(Below(22))];
      switch (Below(3)) {
        case 0:
          text.insert(at, piece);
          break;
        case 1:
          text.replace(at, std::min<std::size_t>(piece.size(), text.size() - at), piece);
          break;
        default:
          text.erase(at, 1 + static_cast<std::size_t>(Below(3)));
      }
    }
    return text;
  }

 private:
  std::mt19937 random_;
};

// Guards against a proper caller that is refused.
TEST_CASE("each proper request of a connection is seen") {
  Generator generator(1);
  for (int round = 0; round < 2000; ++round) {
    std::string bytes;
    for (int i = 0; i < 3; ++i) {
      bytes += generator.Proper(i);
    }
    CAPTURE(bytes);
    REQUIRE(ReadAsSession(bytes).size() == 3);
    REQUIRE(ReadAsSession(bytes) == ReferenceReader(bytes).ReadAll());
  }
}

// Guards against request smuggling. Reading may end earlier than the reference, never differently.
TEST_CASE("no request is seen that a strict reader does not see") {
  Generator generator(2);
  int compared = 0;
  for (int round = 0; round < 20'000; ++round) {
    std::string bytes;
    for (int i = 0; i < 3; ++i) {
      const std::string proper = generator.Proper(i);
      bytes += generator.Below(2) == 0 ? generator.Mutate(proper) : proper;
    }
    const std::vector<SeenRequest> ours = ReadAsSession(bytes);
    const std::vector<SeenRequest> reference = ReferenceReader(bytes).ReadAll();
    CAPTURE(bytes);
    REQUIRE(ours.size() <= reference.size());
    REQUIRE(std::equal(ours.begin(), ours.end(), reference.begin()));
    compared += static_cast<int>(ours.size());
  }
  // The comparison means something only if requests are seen.
  CHECK(compared > 10'000);
}

}  // namespace
}  // namespace peridotfork::http
