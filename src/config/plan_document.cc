#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

#include "peridotfork/internal/config/plan.h"
#include "peridotfork/internal/config/proposal.h"

namespace peridotfork {
namespace {

// The platform's size limit for a value.
constexpr std::size_t kMaxDocument = std::size_t{1} << 20;

std::set<DataCentreId> DataCentresOf(const Document& document) {
  std::set<DataCentreId> data_centres;
  for (const TargetConfig& target : document.targets()) {
    data_centres.insert(target.data_centre);
  }
  return data_centres;
}

// Builds the plan for a document from the platform.
class DocumentPlanner {
 public:
  DocumentPlanner(const StoreState& state, Revision revision, WallTime now)
      : state_(state), revision_(revision), now_(now) {}

  Result<Plan> Make(std::string_view text) {
    const std::vector<IniSource> sources = SplitIni(text);
    SelectSections(sources);
    for (const auto& [name, section] : selected_) {
      Propose(name, section);
    }
    if (auto held = CheckLostSections(); !held) {
      return std::move(held).error();
    }
    RetainMissingSections();
    RefuseUnknownReferences(&proposals_, &plan_.faults);
    RefuseMovedTargets(state_.known_targets, &proposals_, &plan_.faults);
    ResolveClaims(DocumentOrder(), &proposals_, &plan_.faults);
    RefuseUnknownTargets(&proposals_, &plan_.faults);
    return Finish();
  }

 private:
  // A section of the document. `accepted` is set if its text is in force;
  // otherwise `part` holds the parsed text.
  struct SourceSection {
    const IniSource* source = nullptr;
    const AcceptedSection* accepted = nullptr;
    ParsedIniSection part;
  };

  // Texts already in force are not parsed again: in a document of 16,000 targets
  // a change usually affects one section.
  void SelectSections(const std::vector<IniSource>& sources) {
    std::unordered_map<std::string_view, const AcceptedSection*> in_force;
    for (const auto& [name, accepted] : state_.sections) {
      in_force.emplace(accepted.section->text, &accepted);
    }
    for (const IniSource& source : sources) {
      const auto found = in_force.find(source.text);
      if (found != in_force.end()) {
        SelectSection(found->second->section->name, {&source, found->second, {}});
        continue;
      }
      ParsedIniSection part = ParseIniSource(source);
      if (!part.faults.empty()) {
        RecordUnreadableLine(part.faults.front());
      }
      if (!part.section.name.empty()) {
        const std::string name = part.section.name;
        SelectSection(name, {&source, nullptr, std::move(part)});
      } else if (!part.faults.empty()) {
        plan_.faults.push_back(part.faults.front());
      }
    }
  }

  // Among sections with the same name, keeps the one in force, or else the
  // first.
  void SelectSection(const std::string& name, SourceSection section) {
    const auto [place, added] = selected_.try_emplace(name, section);
    if (added) {
      return;
    }
    if (section.accepted != nullptr) {
      std::swap(place->second, section);
    }
    plan_.faults.push_back({ErrorKind::kDuplicate,
                            ParseIniSource(*section.source).section.line,
                            name,
                            {},
                            {},
                            "the section occurs twice"});
  }

  // An invalid line may be a damaged section header, or follow a missing header.
  void RecordUnreadableLine(const IniFault& fault) {
    if (unreadable_line_ == 0) {
      unreadable_line_ = fault.line;
    }
  }

  void Propose(const std::string& name, const SourceSection& section) {
    Proposal proposal{name, section.source->line, section.source, {}, {}};
    const auto previous = state_.sections.find(name);
    if (previous != state_.sections.end()) {
      proposal.previous = previous->second;
    }
    if (section.accepted != nullptr) {
      proposal.next = *section.accepted;
      proposal.next->confirmed = revision_;
    } else if (!section.part.faults.empty()) {
      plan_.faults.push_back(section.part.faults.front());
    } else if (!ProposeText(section.part.section, &proposal)) {
      return;
    }
    proposals_.push_back(std::move(proposal));
  }

  // Returns false if the section's name is unreliable.
  bool ProposeText(const IniSection& source, Proposal* proposal) {
    ParsedSection parsed = ParseSection(source);
    if (parsed.section) {
      proposal->next = AcceptedSection{parsed.section, revision_, revision_, now_};
      return true;
    }
    if (!parsed.lines_reliable) {
      RecordUnreadableLine(parsed.fault);
    }
    plan_.faults.push_back(std::move(parsed.fault));
    return parsed.name_known;
  }

  bool IsShrinkAllowed() const {
    for (const Proposal& proposal : proposals_) {
      const AcceptedSection* current = proposal.current();
      const auto* fleet =
          current != nullptr ? std::get_if<FleetConfig>(&current->section->body) : nullptr;
      // A revision that this store skipped counts too: its successors are just
      // as small, and would otherwise be held back here indefinitely.
      if (fleet != nullptr && fleet->allow_shrink && *fleet->allow_shrink > state_.revision &&
          *fleet->allow_shrink <= revision_) {
        return true;
      }
    }
    return false;
  }

  Result<void> CheckLostSections() const {
    const auto lost =
        std::count_if(state_.sections.begin(), state_.sections.end(),
                      [this](const auto& section) { return !selected_.contains(section.first); });
    const auto total = static_cast<std::ptrdiff_t>(state_.sections.size());
    if (lost * 2 > total && !IsShrinkAllowed()) {
      return MakeError(ErrorKind::kShrinkHeldBack, "section fleet, key allow_shrink",
                       std::to_string(lost) + " of " + std::to_string(total) +
                           " sections are missing; removing more than half is allowed only in "
                           "the revision that allow_shrink names");
    }
    return boost::outcome_v2::success();
  }

  void RetainMissingSections() {
    if (unreadable_line_ == 0) {
      return;
    }
    for (const auto& [name, accepted] : state_.sections) {
      if (selected_.contains(name)) {
        continue;
      }
      proposals_.push_back({name, 0, nullptr, {}, accepted});
      plan_.faults.push_back({ErrorKind::kShrinkHeldBack,
                              unreadable_line_,
                              name,
                              {},
                              {},
                              "the section is missing, but this line may be its header; it stays "
                              "in force until all lines are valid"});
    }
  }

  Result<Plan> Finish() {
    if (unreadable_line_ != 0) {
      plan_.unaccepted.insert(std::string());
    }
    for (const Proposal& proposal : proposals_) {
      if (const AcceptedSection* current = proposal.current()) {
        plan_.sections.emplace(proposal.name, *current);
      } else {
        plan_.unaccepted.insert(proposal.name);
      }
    }
    if (plan_.sections.empty()) {
      return MakeError(ErrorKind::kMalformed, "document",
                       plan_.faults.empty() ? "the document has no section"
                                            : "no section is valid; " + ToString(FirstFault()));
    }
    plan_.document = BuildDocument(state_, plan_.sections);
    if (auto held = CheckLostDataCentres(); !held) {
      return std::move(held).error();
    }
    return std::move(plan_);
  }

  Error FirstFault() const { return plan_.faults.front().ToError(); }

  Result<void> CheckLostDataCentres() const {
    if (!state_.document || IsShrinkAllowed()) {
      return boost::outcome_v2::success();
    }
    const std::set<DataCentreId> left = DataCentresOf(*plan_.document);
    for (const DataCentreId& data_centre : DataCentresOf(*state_.document)) {
      if (!left.contains(data_centre)) {
        return MakeError(ErrorKind::kShrinkHeldBack, "section fleet, key allow_shrink",
                         "all targets of data centre " + data_centre.value() +
                             " are missing; this is allowed only in the revision that "
                             "allow_shrink names");
      }
    }
    return boost::outcome_v2::success();
  }

  const StoreState& state_;
  const Revision revision_;
  const WallTime now_;
  std::map<std::string, SourceSection> selected_;
  std::vector<Proposal> proposals_;
  std::size_t unreadable_line_ = 0;
  Plan plan_;
};

}  // namespace

DocumentPtr BuildDocument(const StoreState& state, const SectionMap& sections) {
  const auto same = [](const auto& a, const auto& b) {
    return a.second.section == b.second.section;
  };
  if (state.document && std::equal(sections.begin(), sections.end(), state.sections.begin(),
                                   state.sections.end(), same)) {
    return state.document;
  }
  std::vector<SectionPtr> list;
  list.reserve(sections.size());
  for (const auto& [name, accepted] : sections) {
    list.push_back(accepted.section);
  }
  return DocumentPtr(new Document(Assemble(list)));
}

Result<Plan> PlanDocument(const StoreState& state,
                          Revision revision,
                          std::string_view text,
                          WallTime now) {
  if (text.size() > kMaxDocument) {
    return MakeError(ErrorKind::kTooLarge, "document", "expected at most 1 MiB");
  }
  return DocumentPlanner(state, revision, now).Make(text);
}

}  // namespace peridotfork
