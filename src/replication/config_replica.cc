#include "peridotfork/replication/config_replica.h"

#include <string>
#include <utility>

namespace peridotfork {
namespace {

protocol::ConfigSection ToMessage(const SectionText& section) {
  return {section.name, section.version, section.confirmed, section.text};
}

SectionText FromMessage(const protocol::ConfigSection& section) {
  return {section.name, section.version, section.confirmed, section.text};
}

}  // namespace

ConfigReplica::ConfigReplica(const Clock& clock, Endpoint& endpoint, Logger& log)
    : endpoint_(endpoint), log_(log), store_(clock) {}

DocumentPtr ConfigReplica::document() const {
  const RankedLock lock(mutex_);
  return store_.document();
}

ConfigPosition ConfigReplica::position() const {
  const RankedLock lock(mutex_);
  return {store_.revision(), store_.digest()};
}

std::vector<SectionInForce> ConfigReplica::in_force() const {
  const RankedLock lock(mutex_);
  return store_.in_force();
}

std::vector<SectionRefusal> ConfigReplica::refusals() const {
  const RankedLock lock(mutex_);
  return store_.refusals();
}

std::uint64_t ConfigReplica::stale_count() const {
  const RankedLock lock(mutex_);
  return store_.stale_count();
}

bool ConfigReplica::ApplyPublished(Revision revision, std::string_view text) {
  Result<ApplyReport> report = [&] {
    const RankedLock lock(mutex_);
    return store_.Apply(revision, text);
  }();
  if (!report.has_value()) {
    log_.Warning(
        "The published configuration document was refused.",
        {{"revision", std::to_string(revision.value())}, {"error", ToString(report.error())}});
    return false;
  }
  for (const SectionRefusal& refusal : report.value().refused) {
    log_.Warning("A configuration section was refused.",
                 {{"revision", std::to_string(revision.value())},
                  {"error", ToString(refusal.fault.ToError())}});
  }
  log_.Info("A published configuration document was applied.",
            {{"revision", std::to_string(revision.value())},
             {"changed", std::to_string(report.value().changed.size())}});
  return true;
}

bool ConfigReplica::IsBehind(ConfigPosition position) const {
  const ConfigPosition own = this->position();
  const bool differs = position.revision == own.revision && position.digest != own.digest;
  return position.revision > own.revision || differs;
}

void ConfigReplica::Pull(const Address& peer, ViewVersion view) {
  protocol::ConfigPull pull;
  pull.view = view;
  {
    const RankedLock lock(mutex_);
    pull.number = store_.change_count();
    pull.document = store_.revision();
    for (const KnownSectionVersion& section : store_.versions()) {
      pull.sections.push_back({section.name, section.version});
    }
  }
  static_cast<void>(endpoint_.Send(peer, Incarnation(0), std::move(pull)));
}

void ConfigReplica::OnPull(const Address& peer, const protocol::ConfigPull& pull) {
  std::vector<KnownSectionVersion> known;
  for (const protocol::SectionVersion& section : pull.sections) {
    known.push_back({section.name, section.version});
  }
  protocol::ConfigSections answer;
  answer.number = pull.number;
  {
    const RankedLock lock(mutex_);
    answer.document = store_.revision();
    for (const SectionText& section : store_.SectionsNotIn(known)) {
      answer.changed.push_back(ToMessage(section));
    }
    answer.all_names = store_.all_names();
  }
  static_cast<void>(endpoint_.Send(peer, Incarnation(0), std::move(answer)));
}

bool ConfigReplica::OnSections(const protocol::ConfigSections& sections) {
  if (sections.document == Revision(0)) {
    return false;
  }
  std::vector<SectionText> changed;
  for (const protocol::ConfigSection& section : sections.changed) {
    changed.push_back(FromMessage(section));
  }
  const RankedLock lock(mutex_);
  if (sections.number != store_.change_count()) {
    // The store has changed since the pull was sent. The pull is repeated after the next
    // heartbeat.
    return false;
  }
  const std::uint64_t before = store_.change_count();
  const auto report = store_.ApplySections(sections.document, changed, sections.all_names);
  return report.has_value() && store_.change_count() != before;
}

}  // namespace peridotfork
