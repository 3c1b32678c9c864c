#include "peridotfork/config/document_store.h"

#include <algorithm>
#include <boost/functional/hash.hpp>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "peridotfork/internal/config/plan.h"

namespace peridotfork {
namespace {

// Above this number, targets that are no longer in the document are forgotten to
// bound the memory. 16,000 targets are planned.
constexpr std::size_t kMaxKnownTargets = 65'536;

bool IsSame(const AcceptedSection& a, const AcceptedSection& b) {
  return a.version == b.version && a.confirmed == b.confirmed && a.section->text == b.section->text;
}

bool IsSame(const SectionMap& a, const SectionMap& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](const auto& x, const auto& y) {
    return x.first == y.first && IsSame(x.second, y.second);
  });
}

bool IsSameFault(const IniFault& a, const IniFault& b) {
  return a.kind == b.kind && a.section == b.section && a.key == b.key && a.value == b.value &&
         a.reason == b.reason;
}

std::uint64_t DigestOf(Revision revision, const SectionMap& sections) {
  std::size_t seed = 0;
  boost::hash_combine(seed, revision.value());
  for (const auto& [name, accepted] : sections) {
    boost::hash_combine(seed, name);
    boost::hash_combine(seed, accepted.version.value());
    boost::hash_combine(seed, accepted.confirmed.value());
    boost::hash_combine(seed, accepted.section->text_hash);
  }
  return seed;
}

void ListChanges(const SectionMap& before, const SectionMap& after, ApplyReport* report) {
  for (const auto& [name, accepted] : after) {
    const auto old = before.find(name);
    if (old == before.end() || old->second.section->text != accepted.section->text) {
      report->changed.push_back(name);
    }
  }
  for (const auto& [name, accepted] : before) {
    if (!after.contains(name)) {
      report->removed.push_back(name);
    }
  }
}

}  // namespace

Result<ApplyReport> DocumentStore::Apply(Revision revision, std::string_view text) {
  if (revision <= state_.revision) {
    ++stale_count_;
    return MakeError(ErrorKind::kStaleRevision, "revision " + std::to_string(revision.value()),
                     "revision " + std::to_string(state_.revision.value()) + " is accepted");
  }
  Result<Plan> plan = PlanDocument(state_, revision, text, clock_.wall_now());
  if (!plan) {
    return RefuseWhole(revision, plan.error());
  }
  ApplyReport report = Commit(revision, std::move(plan).value());
  refusals_ = report.refused;
  return report;
}

Result<ApplyReport> DocumentStore::ApplySections(Revision revision,
                                                 const std::vector<SectionText>& changed,
                                                 const std::vector<std::string>& all_names) {
  if (revision < state_.revision || revision == Revision()) {
    ++stale_count_;
    return MakeError(ErrorKind::kStaleRevision, "revision " + std::to_string(revision.value()),
                     "revision " + std::to_string(state_.revision.value()) + " is accepted");
  }
  Result<Plan> plan = PlanSections(state_, revision, changed, all_names, clock_.wall_now());
  if (!plan) {
    return plan.error();
  }
  ApplyReport report = Commit(revision, std::move(plan).value());
  // A peer sends only accepted texts, so this host's refusals stay listed until
  // it has a text that the newest document confirms.
  std::vector<SectionRefusal> refusals = report.refused;
  for (SectionRefusal& old : refusals_) {
    const auto same = [&](const auto& refusal) {
      return refusal.fault.section == old.fault.section;
    };
    if (refusals.size() < kMaxRefusals && IsRefused(old.fault.section) &&
        std::none_of(refusals.begin(), refusals.end(), same)) {
      refusals.push_back(std::move(old));
    }
  }
  refusals_ = std::move(refusals);
  return report;
}

Error DocumentStore::RefuseWhole(Revision revision, const Error& error) {
  IniFault fault;
  fault.kind = error.kind();
  fault.reason = error.detail;
  const auto same = [&](const auto& refusal) { return IsSameFault(refusal.fault, fault); };
  if (refusals_.size() < kMaxRefusals && std::none_of(refusals_.begin(), refusals_.end(), same)) {
    refusals_.push_back({std::move(fault), revision, clock_.wall_now()});
  }
  return error;
}

bool DocumentStore::IsRefused(const std::string& name) const {
  const auto found = state_.sections.find(name);
  return state_.unaccepted.contains(name) ||
         (found != state_.sections.end() && found->second.confirmed != state_.revision);
}

ApplyReport DocumentStore::Commit(Revision revision, Plan plan) {
  ApplyReport report;
  report.revision = revision;
  ListChanges(state_.sections, plan.sections, &report);
  if (revision != state_.revision || !IsSame(state_.sections, plan.sections)) {
    ++change_count_;
  }
  state_.revision = revision;
  state_.sections = std::move(plan.sections);
  state_.unaccepted = std::move(plan.unaccepted);
  state_.document = std::move(plan.document);
  digest_ = DigestOf(revision, state_.sections);
  RecordKnownTargets(report.changed);
  for (const IniFault& fault : plan.faults) {
    if (report.refused.size() < kMaxRefusals) {
      report.refused.push_back(MakeRefusal(fault));
    }
  }
  return report;
}

// The result has the revision and the time of the first refusal for the same
// reason.
SectionRefusal DocumentStore::MakeRefusal(const IniFault& fault) const {
  for (const SectionRefusal& refusal : refusals_) {
    if (IsSameFault(refusal.fault, fault)) {
      return {fault, refusal.revision, refusal.time};
    }
  }
  return {fault, state_.revision, clock_.wall_now()};
}

void DocumentStore::RecordKnownTargets(const std::vector<std::string>& changed) {
  const auto remember = [this](const AcceptedSection& accepted) {
    if (const auto* group = std::get_if<GroupConfig>(&accepted.section->body)) {
      for (const TargetConfig& target : group->targets) {
        state_.known_targets.insert_or_assign(target.id, target.data_centre);
      }
    }
  };
  for (const std::string& name : changed) {
    remember(state_.sections.at(name));
  }
  if (state_.known_targets.size() > kMaxKnownTargets) {
    state_.known_targets.clear();
    for (const auto& [name, accepted] : state_.sections) {
      remember(accepted);
    }
  }
}

std::vector<SectionText> DocumentStore::SectionsNotIn(
    const std::vector<KnownSectionVersion>& known) const {
  std::unordered_map<std::string, Revision> versions;
  for (const KnownSectionVersion& section : known) {
    versions[section.name] = section.version;
  }
  std::vector<SectionText> sections;
  for (const auto& [name, accepted] : state_.sections) {
    const auto found = versions.find(name);
    if (found == versions.end() || found->second != accepted.version ||
        accepted.confirmed != state_.revision) {
      sections.push_back({name, accepted.version, accepted.confirmed, accepted.section->text});
    }
  }
  for (const std::string& name : state_.unaccepted) {
    sections.push_back({name, Revision(), Revision(), {}});
  }
  return sections;
}

std::vector<KnownSectionVersion> DocumentStore::versions() const {
  std::vector<KnownSectionVersion> versions;
  for (const auto& [name, accepted] : state_.sections) {
    versions.push_back({name, accepted.version});
  }
  return versions;
}

std::vector<std::string> DocumentStore::all_names() const {
  std::vector<std::string> names;
  for (const auto& [name, accepted] : state_.sections) {
    names.push_back(name);
  }
  return names;
}

std::vector<SectionInForce> DocumentStore::in_force() const {
  std::vector<SectionInForce> sections;
  for (const auto& [name, accepted] : state_.sections) {
    sections.push_back(
        {name, accepted.version, accepted.since, accepted.confirmed == state_.revision});
  }
  return sections;
}

}  // namespace peridotfork
