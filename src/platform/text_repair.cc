#include "peridotfork/internal/platform/text_repair.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>

namespace peridotfork::platform {
namespace {

// The byte B is replaced by the character U+10FF00 + B, which takes four bytes in UTF-8.
constexpr std::uint32_t kFirstReplacement = 0x10FF00;
constexpr std::size_t kReplacementLength = 4;
// Escaped surrogates that stand for one byte each.
constexpr std::uint32_t kFirstByteSurrogate = 0xDC80;
constexpr std::uint32_t kLastByteSurrogate = 0xDCFF;
// Length of an escape such as "\u00e9".
constexpr std::size_t kEscapeLength = 6;

// Lowest code point of a UTF-8 sequence of each length.
constexpr std::uint32_t kMinOfLength[] = {0, 0, 0x80, 0x800, 0x10000};
constexpr std::uint32_t kMaxCodePoint = 0x10FFFF;

bool IsContinuation(char byte) {
  return (static_cast<unsigned char>(byte) & 0xC0U) == 0x80U;
}

bool IsSurrogate(std::uint32_t code) {
  return code >= 0xD800 && code <= 0xDFFF;
}

// Continuation byte of the six bits of `code` from `shift` on.
char Continuation(std::uint32_t code, unsigned shift) {
  return static_cast<char>(0x80U | (code >> shift & 0x3FU));
}

// Appends the character that stands for `byte`.
void AppendReplacement(std::uint32_t byte, std::string& text) {
  const std::uint32_t code = kFirstReplacement + (byte & 0xFFU);
  text += static_cast<char>(0xF0U | code >> 18U);
  text += Continuation(code, 12);
  text += Continuation(code, 6);
  text += Continuation(code, 0);
}

// The byte whose replacement `text` begins with.
std::optional<char> ReplacedByte(std::string_view text) {
  constexpr std::string_view kPrefix = "\xF4\x8F";
  if (text.size() < kReplacementLength || !text.starts_with(kPrefix)) {
    return std::nullopt;
  }
  const auto third = static_cast<unsigned char>(text[2]);
  const auto fourth = static_cast<unsigned char>(text[3]);
  const bool is_replacement = third >= 0xBC;
  return is_replacement ? std::optional(static_cast<char>((third & 0x03U) << 6U | (fourth & 0x3FU)))
                        : std::nullopt;
}

// Appends replacements for the bytes that a lone surrogate stands for.
void AppendSurrogate(std::uint32_t code, std::string& text) {
  if (code >= kFirstByteSurrogate && code <= kLastByteSurrogate) {
    AppendReplacement(code, text);
    return;
  }
  AppendReplacement(0xE0U | code >> 12U, text);
  AppendReplacement(static_cast<unsigned char>(Continuation(code, 6)), text);
  AppendReplacement(static_cast<unsigned char>(Continuation(code, 0)), text);
}

// Length of the valid UTF-8 sequence that `text` begins with; 0 if there is none.
std::size_t SequenceLength(std::string_view text) {
  const auto first = static_cast<unsigned char>(text.front());
  if (first < 0x80) {
    return 1;
  }
  const std::size_t length = first >= 0xF0 ? 4 : first >= 0xE0 ? 3 : 2;
  if (first < 0xC0 || first > 0xF7 || text.size() < length) {
    return 0;
  }
  std::uint32_t code = first & (0xFFU >> (length + 1));
  for (const char byte : text.substr(1, length - 1)) {
    if (!IsContinuation(byte)) {
      return 0;
    }
    code = code << 6U | (static_cast<unsigned char>(byte) & 0x3FU);
  }
  const bool valid = code >= kMinOfLength[length] && code <= kMaxCodePoint && !IsSurrogate(code);
  return valid ? length : 0;
}

// The code unit of the escape "\uXXXX" that `text` begins with.
std::optional<std::uint32_t> EscapedCodeUnit(std::string_view text) {
  if (!text.starts_with("\\u") || text.size() < kEscapeLength) {
    return std::nullopt;
  }
  std::uint32_t code = 0;
  const char* const end = text.data() + kEscapeLength;
  const auto parsed = std::from_chars(text.data() + 2, end, code, 16);
  return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(code) : std::nullopt;
}

// Appends the escape that `text` begins with, repaired, and returns its length.
std::size_t RepairEscape(std::string_view text, std::string& repaired) {
  const std::optional<std::uint32_t> code = EscapedCodeUnit(text);
  if (!code || !IsSurrogate(*code)) {
    repaired += text.substr(0, 2);
    return std::min<std::size_t>(2, text.size());
  }
  const std::optional<std::uint32_t> next = EscapedCodeUnit(text.substr(kEscapeLength));
  const bool is_pair = *code < 0xDC00 && next && *next >= 0xDC00 && IsSurrogate(*next);
  if (is_pair) {
    repaired += text.substr(0, 2 * kEscapeLength);
    return 2 * kEscapeLength;
  }
  AppendSurrogate(*code, repaired);
  return kEscapeLength;
}

}  // namespace

std::string RepairJsonText(std::string_view json) {
  std::string repaired;
  repaired.reserve(json.size());
  while (!json.empty()) {
    std::size_t used = 0;
    if (json.front() == '\\') {
      used = RepairEscape(json, repaired);
    } else if (used = SequenceLength(json); used > 0) {
      repaired += json.substr(0, used);
    } else {
      AppendReplacement(static_cast<unsigned char>(json.front()), repaired);
      used = 1;
    }
    json.remove_prefix(used);
  }
  return repaired;
}

std::string OriginalBytes(std::string_view repaired) {
  std::string original;
  while (!repaired.empty()) {
    const std::optional<char> replaced = ReplacedByte(repaired);
    original += replaced.value_or(repaired.front());
    repaired.remove_prefix(replaced ? kReplacementLength : 1);
  }
  return original;
}

}  // namespace peridotfork::platform
