#ifndef PERIDOTFORK_INTERNAL_CONFIG_SECTION_H_
#define PERIDOTFORK_INTERNAL_CONFIG_SECTION_H_

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstddef>
#include <string>
#include <variant>
#include <vector>

#include "peridotfork/config/document.h"
#include "peridotfork/config/ini.h"
#include "peridotfork/core/ids.h"

namespace peridotfork {

// [target ID]
struct TargetSection {
  TargetId id;
  std::string owner;
  bool leaving = false;
};

using SectionBody = std::
    variant<FleetConfig, ServiceConfig, GroupConfig, TargetSection, DataCentreConfig, CallerConfig>;

// A name that must be unique within a document, and the key that uses it. The
// name is the id or the address of a target, such as "target hd-0-a".
struct Claim {
  std::string name;
  std::string key;
};

// One valid section of the document: its source, its contents and its claims.
// Immutable and thread-safe.
struct Section : boost::intrusive_ref_counter<Section, boost::thread_safe_counter> {
  std::string name;
  std::string text;
  std::size_t text_hash = 0;
  SectionBody body;
  std::vector<Claim> claims;
};

using SectionPtr = boost::intrusive_ptr<const Section>;

// A section, or its first fault. `name_known` is false if the fault is in the
// header, so that the name is unreliable. `lines_reliable` is false if a line may
// be the damaged header of another section: after a fault in the header, or for a
// key that the kind does not define.
struct ParsedSection {
  SectionPtr section;
  IniFault fault;
  bool name_known = true;
  bool lines_reliable = true;
};

// Parses a section whose lines are syntactically valid.
ParsedSection ParseSection(const IniSection& section);

// Builds the contents of the document that consists of `sections`. Groups
// without their service and [target ID] sections without their group are
// omitted.
DocumentContents Assemble(const std::vector<SectionPtr>& sections);

}  // namespace peridotfork

#endif  // PERIDOTFORK_INTERNAL_CONFIG_SECTION_H_
