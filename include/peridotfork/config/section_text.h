#ifndef PERIDOTFORK_CONFIG_SECTION_TEXT_H_
#define PERIDOTFORK_CONFIG_SECTION_TEXT_H_

#include <string>

#include "peridotfork/core/ids.h"

namespace peridotfork {

// The text of one section, as exchanged between stores.
//
// `version` is the revision in which the text last changed. `confirmed` is the
// newest revision whose document contains this text; it is lower than the
// sender's revision if a later text was refused, and zero stands for the
// sender's revision. An empty text means that the document has the section but
// the sender never accepted a text for it. An empty name means that the document
// has lines that cannot be parsed, so that no section may be removed.
struct SectionText {
  std::string name;
  Revision version;
  Revision confirmed;
  std::string text;

  friend bool operator==(const SectionText&, const SectionText&) = default;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_CONFIG_SECTION_TEXT_H_
