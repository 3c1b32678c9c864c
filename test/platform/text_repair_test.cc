#include "peridotfork/internal/platform/text_repair.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <random>

namespace peridotfork::platform {
namespace {

TEST_CASE("valid JSON text is kept") {
  for (const std::string text : {R"({"a":"b"})", R"("\u00e9\ud83d\ude00\\u\"\n")",
                                 "\"\xc3\xa9\xe2\x82\xac\xf0\x9f\x98\x80\"",
                                 "\"\xed\x9f\xbf\xee\x80\x80\xf4\x8f\xbf\xbf\"", ""}) {
    CHECK(RepairJsonText(text) == text);
  }
}

TEST_CASE("invalid bytes and lone surrogates are replaced, and their bytes are known") {
  const auto original = [](const std::string& text) {
    const std::string repaired = RepairJsonText("\"" + text + "\"");
    const auto parsed = nlohmann::json::parse(repaired, nullptr, false);
    return parsed.is_string() ? OriginalBytes(parsed.get<std::string>()) : "unreadable";
  };
  for (const std::string text :
       {"a\xff", "\x80", "\xc3", "\xc0\xaf", "\xed\xa0\x80", "\xf4\x90\x80\x80", "\xf8\x80",
        "\xe2\x82", "\xc3\xa9\xff\xc3\xa9"}) {
    CAPTURE(text);
    CHECK(RepairJsonText(text) != text);
    CHECK(original(text) == text);
  }
  CHECK(original(R"(\udcff)") == "\xff");
  CHECK(original(R"(\udc80b)") ==
        "\x80"
        "b");
  CHECK(original(R"(\ud83d)") == "\xed\xa0\xbd");
  CHECK(original(R"(\ud83d\u0041\udc00)") ==
        "\xed\xa0\xbd"
        "A"
        "\xed\xb0\x80");
  CHECK(original(R"(\ud83d\ude00)") == "\xf0\x9f\x98\x80");
  CHECK(original(R"(\\udcff)") == R"(\udcff)");
  CHECK(RepairJsonText("\\") == "\\");
  CHECK(RepairJsonText("\\u12") == "\\u12");
}

TEST_CASE("a string with any bytes can be parsed after the repair") {
  for (unsigned seed = 0; seed < 2000; ++seed) {
    std::mt19937 random(seed);
    std::string text = "[\"";
    for (int i = 0; i < 40; ++i) {
      const char byte = static_cast<char>(random());
      const bool is_plain = byte != '"' && byte != '\\' && static_cast<unsigned char>(byte) >= ' ';
      text += is_plain && random() % 4 > 0 ? std::string(1, byte)
                                           : R"(\ud8)" + std::to_string(10 + random() % 90);
    }
    text += "\"]";
    CAPTURE(seed);
    CHECK_FALSE(nlohmann::json::parse(RepairJsonText(text), nullptr, false).is_discarded());
  }
}

}  // namespace
}  // namespace peridotfork::platform
