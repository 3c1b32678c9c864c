#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

#include "peridotfork/internal/config/plan.h"
#include "peridotfork/internal/config/proposal.h"

namespace peridotfork {
namespace {

// Parses a text that must contain exactly this section.
ParsedSection ParseSectionText(const SectionText& source) {
  const std::vector<ParsedIniSection> parts = ParseIniSections(source.text);
  ParsedSection bad;
  bad.fault = {
      ErrorKind::kMalformed, 0, source.name, {}, {}, "the text must contain this section alone"};
  if (parts.size() != 1 || parts.front().section.name != source.name) {
    return bad;
  }
  if (!parts.front().faults.empty()) {
    bad.fault = parts.front().faults.front();
    return bad;
  }
  return ParseSection(parts.front().section);
}

// Builds the plan for the sections of a peer.
class SectionsPlanner {
 public:
  SectionsPlanner(const StoreState& state, Revision revision, WallTime now)
      : state_(state), revision_(revision), now_(now) {}

  Result<Plan> Make(const std::vector<SectionText>& changed,
                    const std::vector<std::string>& all_names) {
    CollectNames(changed, all_names);
    for (const std::string& name : names_) {
      if (auto proposed = Propose(name); !proposed) {
        return std::move(proposed).error();
      }
    }
    ResolveClaims(VersionOrder(), &proposals_, &plan_.faults);
    return Finish();
  }

 private:
  bool is_same_revision() const { return revision_ == state_.revision; }

  // At the same revision both stores have seen the same document, so a section
  // that only one of them has was not removed.
  void CollectNames(const std::vector<SectionText>& changed,
                    const std::vector<std::string>& all_names) {
    for (const SectionText& section : changed) {
      unreadable_ = unreadable_ || section.name.empty();
      names_.insert(section.name);
      sent_.emplace(section.name, &section);
    }
    peer_names_.insert(all_names.begin(), all_names.end());
    names_.insert(all_names.begin(), all_names.end());
    if (is_same_revision()) {
      unreadable_ = unreadable_ || state_.unaccepted.contains(std::string());
      names_.insert(state_.unaccepted.begin(), state_.unaccepted.end());
    }
    if (is_same_revision() || unreadable_) {
      for (const auto& [name, accepted] : state_.sections) {
        names_.insert(name);
      }
    }
    names_.erase(std::string());
  }

  Result<void> Propose(const std::string& name) {
    Proposal proposal;
    proposal.name = name;
    const auto own = state_.sections.find(name);
    if (own != state_.sections.end()) {
      proposal.previous = own->second;
    }
    const auto sent = sent_.find(name);
    if (sent == sent_.end() && peer_names_.contains(name)) {
      if (!proposal.previous) {
        return MakeError(ErrorKind::kMissingField, "section " + name,
                         "its text was not sent and is not known here");
      }
      proposal.previous->confirmed = revision_;
    } else if (sent != sent_.end() && !sent->second->text.empty()) {
      Merge(*sent->second, &proposal);
    }
    proposals_.push_back(std::move(proposal));
    return boost::outcome_v2::success();
  }

  // Keeps whichever of the own and the sent text was confirmed last.
  void Merge(const SectionText& sent, Proposal* proposal) {
    const bool stated = sent.confirmed > Revision() && sent.confirmed <= revision_;
    const Revision confirmed = stated ? sent.confirmed : revision_;
    if (proposal->previous) {
      AcceptedSection& own = *proposal->previous;
      if (own.section->text == sent.text) {
        own.version = std::min(own.version, sent.version);
        own.confirmed = std::max(own.confirmed, confirmed);
        return;
      }
      // A document has two texts for a section only if the section occurs twice
      // in it; then the older text is kept, as within a single store.
      if (std::tie(own.confirmed, sent.version, sent.text) >
          std::tie(confirmed, own.version, own.section->text)) {
        return;
      }
    }
    ParsedSection parsed = ParseSectionText(sent);
    if (parsed.section) {
      proposal->next = AcceptedSection{parsed.section, sent.version, confirmed, now_};
    } else {
      plan_.faults.push_back(std::move(parsed.fault));
    }
  }

  Result<Plan> Finish() {
    if (unreadable_) {
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
      return MakeError(ErrorKind::kMalformed, "sections", "the peer has no section");
    }
    plan_.document = BuildDocument(state_, plan_.sections);
    return std::move(plan_);
  }

  const StoreState& state_;
  const Revision revision_;
  const WallTime now_;
  std::set<std::string> names_;
  std::set<std::string> peer_names_;
  std::map<std::string, const SectionText*> sent_;
  bool unreadable_ = false;
  std::vector<Proposal> proposals_;
  Plan plan_;
};

}  // namespace

Result<Plan> PlanSections(const StoreState& state,
                          Revision revision,
                          const std::vector<SectionText>& changed,
                          const std::vector<std::string>& all_names,
                          WallTime now) {
  return SectionsPlanner(state, revision, now).Make(changed, all_names);
}

}  // namespace peridotfork
