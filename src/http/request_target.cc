#include "peridotfork/http/request_target.h"

namespace peridotfork::http {
namespace {

bool IsUnreserved(char character) {
  constexpr std::string_view kMarks = "-._~";
  return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
         (character >= '0' && character <= '9') || kMarks.find(character) != std::string_view::npos;
}

// Encodes all bytes but the unreserved ones and those in `kept` as %XX.
std::string PercentEncode(std::string_view text, std::string_view kept) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string encoded;
  encoded.reserve(text.size());
  for (const char character : text) {
    if (IsUnreserved(character) || kept.find(character) != std::string_view::npos) {
      encoded += character;
    } else {
      const auto byte = static_cast<unsigned char>(character);
      encoded.append(1, '%').append(1, kDigits[byte / 16]).append(1, kDigits[byte % 16]);
    }
  }
  return encoded;
}

int HexDigit(char character) {
  if (character >= '0' && character <= '9') {
    return character - '0';
  }
  const char lower = static_cast<char>(character | 0x20);
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

std::string PercentDecode(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size() && HexDigit(text[i + 1]) >= 0 &&
        HexDigit(text[i + 2]) >= 0) {
      decoded += static_cast<char>(HexDigit(text[i + 1]) * 16 + HexDigit(text[i + 2]));
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

}  // namespace

std::string EncodeTarget(const Request& request) {
  std::string target = PercentEncode(request.path, "/");
  char separator = '?';
  for (const auto& [key, value] : request.query) {
    target += separator;
    target.append(PercentEncode(key, "")).append(1, '=').append(PercentEncode(value, ""));
    separator = '&';
  }
  return target;
}

void DecodeTarget(std::string_view target, Request& request) {
  const std::size_t mark = target.find('?');
  request.path = PercentDecode(target.substr(0, mark));
  std::string_view rest = mark == std::string_view::npos ? "" : target.substr(mark + 1);
  while (!rest.empty()) {
    const std::size_t end = rest.find('&');
    const std::string_view pair = rest.substr(0, end);
    const std::size_t equals = pair.find('=');
    if (equals != std::string_view::npos) {
      request.query[PercentDecode(pair.substr(0, equals))] = PercentDecode(pair.substr(equals + 1));
    }
    rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
  }
}

}  // namespace peridotfork::http
