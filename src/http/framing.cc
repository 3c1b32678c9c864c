#include "peridotfork/http/framing.h"

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <cctype>
#include <charconv>
#include <optional>

namespace peridotfork::http {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";

Error Refuse(const char* reason) {
  return MakeError(ErrorKind::kMalformed, "request", reason);
}

bool IsTokenCharacter(char character) {
  constexpr std::string_view kOthers = "!#$%&'*+-.^_`|~";
  return std::isalnum(static_cast<unsigned char>(character)) != 0 ||
         kOthers.find(character) != std::string_view::npos;
}

std::string_view Trim(std::string_view text) {
  constexpr std::string_view kBlanks = " \t";
  const std::size_t begin = text.find_first_not_of(kBlanks);
  if (begin == std::string_view::npos) {
    return {};
  }
  return text.substr(begin, text.find_last_not_of(kBlanks) - begin + 1);
}

std::optional<std::uint64_t> ParseLength(std::string_view text) {
  std::uint64_t length = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, length);
  // from_chars() accepts no sign for unsigned numbers.
  if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return length;
}

// What the fields of a head say about the body.
struct FramingFields {
  std::optional<std::uint64_t> length;
  bool has_coding = false;
  bool is_chunked = false;
};

Result<void> AddField(std::string_view name, std::string_view value, FramingFields& fields) {
  if (boost::algorithm::iequals(name, "Content-Length")) {
    const std::optional<std::uint64_t> length = ParseLength(value);
    if (!length) {
      return Refuse("the content length is not a number");
    }
    // A repeated length is refused even if it is equal: other readers may join the values.
    if (fields.length) {
      return Refuse("several content lengths");
    }
    fields.length = length;
  } else if (boost::algorithm::iequals(name, "Transfer-Encoding")) {
    // Only the coding "chunked", alone, is supported; any other leaves the end of the body unknown.
    if (fields.has_coding || !boost::algorithm::iequals(value, "chunked")) {
      return Refuse("the transfer coding is not exactly one \"chunked\"");
    }
    fields.has_coding = true;
    fields.is_chunked = true;
  }
  return boost::outcome_v2::success();
}

Result<void> ReadField(std::string_view line, FramingFields& fields) {
  if (line.front() == ' ' || line.front() == '\t') {
    return Refuse("a folded header line");
  }
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos || colon == 0) {
    return Refuse("a header line without a name");
  }
  const std::string_view name = line.substr(0, colon);
  if (!std::ranges::all_of(name, &IsTokenCharacter)) {
    return Refuse("a header name with other characters than those of a token");
  }
  return AddField(name, Trim(line.substr(colon + 1)), fields);
}

}  // namespace

std::size_t HeadSize(std::string_view bytes) {
  const std::size_t end = bytes.find(kHeadEnd);
  return end == std::string_view::npos ? 0 : end + kHeadEnd.size();
}

bool HasBareLineEnd(std::string_view bytes) {
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    if (bytes[i] == '\n' && (i == 0 || bytes[i - 1] != '\r')) {
      return true;
    }
    if (bytes[i] == '\r' && i + 1 < bytes.size() && bytes[i + 1] != '\n') {
      return true;
    }
  }
  return false;
}

Result<RequestFraming> DecideRequestFraming(std::string_view head) {
  if (HeadSize(head) != head.size() || head.empty()) {
    return Refuse("the head is incomplete");
  }
  if (HasBareLineEnd(head) || head.find('\0') != std::string_view::npos) {
    return Refuse("a line end or a zero byte where none is allowed");
  }
  std::size_t end = head.find(kLineEnd);
  const std::string_view request_line = head.substr(0, end);
  head.remove_prefix(end + kLineEnd.size());
  FramingFields fields;
  while ((end = head.find(kLineEnd)) != 0) {
    BOOST_OUTCOME_TRYV(ReadField(head.substr(0, end), fields));
    head.remove_prefix(end + kLineEnd.size());
  }
  const bool is_current_version = request_line.ends_with(" HTTP/1.1");
  if (fields.has_coding && !is_current_version) {
    return Refuse("a transfer coding in another version than HTTP/1.1");
  }
  if (fields.has_coding && fields.length) {
    return Refuse("both a content length and a transfer coding");
  }
  if (fields.is_chunked) {
    return RequestFraming{BodyFraming::kChunked, 0};
  }
  return fields.length ? RequestFraming{BodyFraming::kLength, *fields.length} : RequestFraming{};
}

}  // namespace peridotfork::http
