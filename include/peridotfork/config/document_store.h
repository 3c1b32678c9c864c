#ifndef PERIDOTFORK_CONFIG_DOCUMENT_STORE_H_
#define PERIDOTFORK_CONFIG_DOCUMENT_STORE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "peridotfork/config/document.h"
#include "peridotfork/config/ini.h"
#include "peridotfork/config/section_text.h"
#include "peridotfork/core/clock.h"
#include "peridotfork/core/error.h"
#include "peridotfork/core/ids.h"
#include "peridotfork/internal/config/section_state.h"

namespace peridotfork {

struct KnownSectionVersion {
  std::string name;
  Revision version;

  friend bool operator==(const KnownSectionVersion&, const KnownSectionVersion&) = default;
};

// A refused section of the newest document, or the refusal of the whole document
// if fault.section is empty and fault.line is 0. `revision` and `time` are those
// of the first refusal for the same reason.
struct SectionRefusal {
  IniFault fault;
  Revision revision;
  WallTime time;
};

// `since` is the time at which this host accepted the text. `newest` is false if
// the newest document has a different text, which was refused.
struct SectionInForce {
  std::string name;
  Revision version;
  WallTime since;
  bool newest = true;
};

// The changes made by one accepted revision.
struct ApplyReport {
  Revision revision;
  std::vector<std::string> changed;
  std::vector<std::string> removed;
  std::vector<SectionRefusal> refused;
};

// Decides which sections of the operators' document are in force.
//
// Two stores at the same revision can differ in sections whose newest text was
// refused, if one of them skipped a revision. They converge by exchanging their
// sections: ApplySections() at the same revision keeps, for each section, the
// text that occurs in the newest revision. Stores must exchange sections if
// their digest() values differ.
//
// Not thread-safe; the documents that it returns are.
class DocumentStore {
 public:
  explicit DocumentStore(const Clock& clock) : clock_(clock) {}

  // Applies a whole document from the platform. Fails with kStaleRevision,
  // kShrinkHeldBack, kTooLarge or kMalformed (no section could be accepted),
  // leaving the configuration unchanged.
  Result<ApplyReport> Apply(Revision revision, std::string_view text);

  // Applies the sections that a peer at `revision` returned from SectionsNotIn()
  // for this store's versions(), together with the peer's all_names(). The
  // peer's reply must be discarded if change_count() changed since versions()
  // was read. Fails with kStaleRevision for a lower revision, and with
  // kMissingField if a section is neither sent nor known, leaving the
  // configuration unchanged. The checks for a shrinking document and for moved
  // targets are not repeated, since the peer has already applied them.
  Result<ApplyReport> ApplySections(Revision revision,
                                    const std::vector<SectionText>& changed,
                                    const std::vector<std::string>& all_names);

  // The sections to send to a store that holds the versions `known`: those with
  // another version, those whose newest text was refused here, and an empty text
  // for each name without an accepted text.
  std::vector<SectionText> SectionsNotIn(const std::vector<KnownSectionVersion>& known) const;

  std::vector<KnownSectionVersion> versions() const;
  // Names of the sections in force.
  std::vector<std::string> all_names() const;

  // Zero before the first document.
  Revision revision() const { return state_.revision; }

  // Null before the first document.
  DocumentPtr document() const { return state_.document; }

  // Equal for stores at the same revision with the same sections in force.
  std::uint64_t digest() const { return digest_; }

  // Incremented by each call that changed the revision or a section.
  std::uint64_t change_count() const { return change_count_; }

  // Number of calls that failed with kStaleRevision.
  std::uint64_t stale_count() const { return stale_count_; }

  // The current refusals; at most kMaxRefusals.
  const std::vector<SectionRefusal>& refusals() const { return refusals_; }

  std::vector<SectionInForce> in_force() const;

  static constexpr std::size_t kMaxRefusals = 256;

 private:
  Error RefuseWhole(Revision revision, const Error& error);
  ApplyReport Commit(Revision revision, Plan plan);
  bool IsRefused(const std::string& name) const;
  SectionRefusal MakeRefusal(const IniFault& fault) const;
  void RecordKnownTargets(const std::vector<std::string>& changed);

  const Clock& clock_;
  StoreState state_;
  std::vector<SectionRefusal> refusals_;
  std::uint64_t digest_ = 0;
  std::uint64_t change_count_ = 0;
  std::uint64_t stale_count_ = 0;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_CONFIG_DOCUMENT_STORE_H_
