#ifndef PERIDOTFORK_TEST_CONFIG_SAMPLE_DOCUMENT_H_
#define PERIDOTFORK_TEST_CONFIG_SAMPLE_DOCUMENT_H_

#include <map>
#include <sstream>
#include <string>

#include "peridotfork/config/document_store.h"

namespace peridotfork {

// The sections of a document by name, so that tests can change single sections.
using SectionTexts = std::map<std::string, std::string>;

inline SectionTexts SampleSections() {
  const auto group = [](const std::string& index) {
    const char* const places[] = {"a hartford", "b worcester", "c concord"};
    std::ostringstream text;
    text << "[group hearing-desk/" << index << "]\n";
    for (int i = 0; i < 3; ++i) {
      const std::string place = places[i];
      text << "target.hd-" << index << "-" << place[0] << " = 127.0.0.1:7" << index << "0" << i
           << place.substr(1) << "\n";
    }
    return text.str();
  };
  return {
      {"fleet", "# Platform.\n[fleet]\nowner = platform-team\n"},
      {"service hearing-desk",
       "[service hearing-desk]\ndeployment = association\nowner = hearing-team\nkind = search\n"
       "slots = 3\nconnections = 30\nconnect_cost = 6ms\ndeadline = 400ms\n"},
      {"group hearing-desk/0", group("0")},
      {"group hearing-desk/1", group("1")},
      {"data_centre hartford", "[data_centre hartford]\ndrained = no\n"},
      {"caller clerk-desk", "[caller clerk-desk]\nrate = 200/s\nin_flight = 50\n"},
      {"caller web-desk", "[caller web-desk]\nrate = 50/s\nin_flight = 5\n"},
      {"target hd-0-a", "[target hd-0-a]\nleaving = yes\n"},
  };
}

inline std::string Joined(const SectionTexts& sections) {
  std::string text;
  for (const auto& [name, section] : sections) {
    text += section;
  }
  return text;
}

// Lets `to` pull from `from` as an agent does.
inline Result<ApplyReport> Pull(const DocumentStore& from, DocumentStore* to) {
  return to->ApplySections(from.revision(), from.SectionsNotIn(to->versions()), from.all_names());
}

}  // namespace peridotfork

#endif  // PERIDOTFORK_TEST_CONFIG_SAMPLE_DOCUMENT_H_
