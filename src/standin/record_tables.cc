#include "peridotfork/internal/standin/record_tables.h"

#include <cctype>
#include <cstdio>

namespace peridotfork::standin {

std::string Slug(std::string_view text) {
  std::string slug;
  for (const char c : text) {
    if (std::isalnum(static_cast<unsigned char>(c)) != 0) {
      slug += static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    } else if (!slug.empty() && slug.back() != '-') {
      slug += '-';
    }
  }
  return slug;
}

std::string Slug(const Town& town) {
  return Slug(town.name) + "-" + Slug(town.state);
}

std::string FormatDate(std::int64_t year, std::int64_t month, std::int64_t day) {
  char text[48];
  std::snprintf(text, sizeof(text), "%04d-%02d-%02d", static_cast<int>(year),
                static_cast<int>(month), static_cast<int>(day));
  return text;
}

std::string FormatTime(std::int64_t minutes) {
  char text[32];
  std::snprintf(text, sizeof(text), "%02d:%02d", static_cast<int>(minutes / 60),
                static_cast<int>(minutes % 60));
  return text;
}

}  // namespace peridotfork::standin
