#include "peridotfork/limits/quarantine.h"

#include <algorithm>
#include <boost/uuid/name_generator_sha1.hpp>
#include <boost/uuid/uuid.hpp>
#include <set>
#include <string>
#include <tuple>

namespace peridotfork {
namespace {

// The length prefix makes the concatenation unambiguous: ("a", "bc") and ("ab", "c") differ.
void AppendLengthPrefixed(std::string& text, std::string_view part) {
  text += std::to_string(part.size());
  text += ':';
  text += part;
}

constexpr std::uint32_t kRoundsWithIsolatedLoss = 2;
// Entries that tell each other the same end of a quarantine would otherwise put it off each time by
// the delay of the message.
constexpr std::chrono::seconds kMinGain{1};
// Bounds the memory per suspect, since a query can lose one attempt in every group.
constexpr std::size_t kMaxLosses = 16;

std::uint32_t CountRounds(const Suspect& suspect) {
  std::set<std::uint32_t> rounds;
  for (const CountedLoss& loss : suspect.losses) {
    rounds.insert(loss.round);
  }
  return static_cast<std::uint32_t>(rounds.size());
}

bool ShouldQuarantine(const Suspect& suspect, std::uint32_t rounds_without_isolation) {
  const bool proven = std::any_of(suspect.losses.begin(), suspect.losses.end(),
                                  [](const CountedLoss& loss) { return loss.alone; });
  const std::uint32_t needed = suspect.was_quarantined ? 1
                               : proven                ? kRoundsWithIsolatedLoss
                                                       : rounds_without_isolation;
  return CountRounds(suspect) >= needed;
}

}  // namespace

Quarantine::Quarantine(const Clock& clock, QuarantineOptions options)
    : clock_(clock), options_(options) {}

std::uint64_t Quarantine::Fingerprint(const CallerId& caller,
                                      const ServiceId& service,
                                      std::string_view body) {
  std::string text;
  AppendLengthPrefixed(text, caller.value());
  AppendLengthPrefixed(text, service.value());
  AppendLengthPrefixed(text, body);
  const boost::uuids::uuid hash =
      boost::uuids::name_generator_sha1(boost::uuids::uuid{})(text.data(), text.size());
  std::uint64_t fingerprint = 0;
  for (std::size_t i = 0; i < sizeof(fingerprint); ++i) {
    fingerprint = fingerprint << 8U | hash.data[i];
  }
  return fingerprint;
}

bool Quarantine::OnTargetLost(const CallerId& caller,
                              std::uint64_t fingerprint,
                              const TargetLoss& loss) {
  const BootTime now = clock_.now();
  bool newly_quarantined = false;
  suspects_.modify(FindOrAdd(caller, fingerprint), [&](Suspect& suspect) {
    AddLoss(suspect, loss);
    if (ShouldQuarantine(suspect, options_.rounds_without_isolation)) {
      newly_quarantined = suspect.quarantined_until <= now;
      ExtendQuarantine(suspect, options_.duration);
    }
  });
  EvictOldest();
  return newly_quarantined;
}

void Quarantine::AddLoss(Suspect& suspect, const TargetLoss& loss) const {
  const BootTime now = clock_.now();
  suspect.expires = std::max(suspect.expires, now + options_.memory);
  if (suspect.losses.empty() || loss.sent >= suspect.round_start) {
    ++suspect.round;
    suspect.round_start = loss.noticed == BootTime() ? now : loss.noticed;
  }
  if (suspect.losses.size() >= kMaxLosses) {
    suspect.losses.back() = {loss.group, suspect.round, loss.alone};
  } else {
    suspect.losses.push_back({loss.group, suspect.round, loss.alone});
  }
}

void Quarantine::ExtendQuarantine(Suspect& suspect, std::chrono::nanoseconds duration) const {
  const BootTime until = clock_.now() + std::min(duration, options_.duration);
  suspect.was_quarantined = true;
  suspect.quarantined_until = std::max(suspect.quarantined_until, until);
  suspect.expires = std::max(suspect.expires, suspect.quarantined_until + options_.memory);
}

void Quarantine::OnAnswered(const CallerId& caller, std::uint64_t fingerprint, GroupIndex group) {
  const auto found = suspects_.find(std::make_tuple(caller, fingerprint));
  if (found == suspects_.end() || found->losses.empty()) {
    return;
  }
  const bool kept = suspects_.modify(found, [group](Suspect& suspect) {
    std::erase_if(suspect.losses, [group](const CountedLoss& loss) { return loss.group == group; });
  });
  if (kept && found->losses.empty()) {
    suspects_.erase(found);
  }
}

void Quarantine::OnNotice(const CallerId& caller,
                          std::uint64_t fingerprint,
                          std::chrono::nanoseconds remaining) {
  if (remaining <= std::chrono::nanoseconds(0)) {
    return;
  }
  suspects_.modify(FindOrAdd(caller, fingerprint),
                   [&](Suspect& suspect) { ExtendQuarantine(suspect, remaining); });
  EvictOldest();
}

bool Quarantine::Adopt(const CallerId& caller,
                       std::uint64_t fingerprint,
                       const std::vector<GroupIndex>& losses,
                       std::chrono::nanoseconds quarantined_for,
                       std::chrono::nanoseconds kept_for) {
  const BootTime now = clock_.now();
  bool newly_quarantined = false;
  suspects_.modify(FindOrAdd(caller, fingerprint), [&](Suspect& suspect) {
    const bool was_quarantined = suspect.quarantined_until > now;
    const bool had_enough = ShouldQuarantine(suspect, options_.rounds_without_isolation);
    for (const GroupIndex group : losses) {
      if (suspect.losses.size() < kMaxLosses) {
        suspect.losses.push_back({group, ++suspect.round, /*alone=*/false});
        suspect.round_start = now;
      }
    }
    const BootTime expires = now + std::min(kept_for, options_.duration + options_.memory);
    if (expires > suspect.expires + kMinGain) {
      suspect.expires = expires;
    }
    if (!ShouldQuarantine(suspect, options_.rounds_without_isolation)) {
      return;
    }
    const bool is_longer = now + quarantined_for > suspect.quarantined_until + kMinGain;
    if (is_longer && quarantined_for > std::chrono::nanoseconds(0)) {
      ExtendQuarantine(suspect, quarantined_for);
    } else if (!had_enough && losses.size() < options_.rounds_without_isolation) {
      // Neither entry alone had losses enough.
      ExtendQuarantine(suspect, options_.duration);
    }
    suspect.was_quarantined = true;
    newly_quarantined = !was_quarantined && suspect.quarantined_until > now;
  });
  EvictOldest();
  return newly_quarantined;
}

SuspectTable::iterator Quarantine::FindOrAdd(const CallerId& caller, std::uint64_t fingerprint) {
  EraseExpired();
  Suspect suspect;
  suspect.caller = caller;
  suspect.fingerprint = fingerprint;
  return suspects_.insert(std::move(suspect)).first;
}

void Quarantine::EraseExpired() {
  auto& by_expiry = suspects_.get<1>();
  by_expiry.erase(by_expiry.begin(), by_expiry.upper_bound(clock_.now()));
}

void Quarantine::EvictOldest() {
  auto& by_expiry = suspects_.get<1>();
  while (suspects_.size() > options_.max_entries) {
    by_expiry.erase(by_expiry.begin());
  }
}

Suspicion Quarantine::Classify(const CallerId& caller, std::uint64_t fingerprint) const {
  const auto found = suspects_.find(std::make_tuple(caller, fingerprint));
  const BootTime now = clock_.now();
  if (found == suspects_.end() || found->expires <= now) {
    return Suspicion::kNone;
  }
  return found->quarantined_until > now ? Suspicion::kQuarantined : Suspicion::kSuspect;
}

bool Quarantine::IsQuarantined(const CallerId& caller, std::uint64_t fingerprint) const {
  return Classify(caller, fingerprint) == Suspicion::kQuarantined;
}

std::chrono::nanoseconds Quarantine::Remaining(const CallerId& caller,
                                               std::uint64_t fingerprint) const {
  const auto found = suspects_.find(std::make_tuple(caller, fingerprint));
  if (found == suspects_.end()) {
    return std::chrono::nanoseconds(0);
  }
  return std::max(found->quarantined_until - clock_.now(), std::chrono::nanoseconds(0));
}

std::chrono::nanoseconds Quarantine::KeptFor(const CallerId& caller,
                                             std::uint64_t fingerprint) const {
  const auto found = suspects_.find(std::make_tuple(caller, fingerprint));
  if (found == suspects_.end()) {
    return std::chrono::nanoseconds(0);
  }
  return std::max(found->expires - clock_.now(), std::chrono::nanoseconds(0));
}

}  // namespace peridotfork
