#include "peridotfork/limits/connection_budget.h"

#include <algorithm>

namespace peridotfork {
namespace {

std::uint32_t SaturatingSubtract(std::uint32_t a, std::uint32_t b) {
  return a > b ? a - b : 0;
}

}  // namespace

ConnectionBudget::ConnectionBudget(const Clock& clock, ConnectionOptions options)
    : clock_(clock),
      options_(options),
      latencies_(options.window, options.min_samples),
      open_after_(clock.now()) {}

Connections ConnectionBudget::ToOpen(Slots allowance) {
  const bool after_failure = backoff_ > std::chrono::nanoseconds(0);
  if (clock_.now() < open_after_ || (after_failure && opening_ > 0)) {
    return Connections{0};
  }
  const std::uint32_t cap = options_.cap.value();
  const std::uint32_t wanted =
      std::min(cap, allowance.value() + std::min(options_.spares.value(), cap));
  const std::uint32_t missing = SaturatingSubtract(wanted, usable().value());
  const std::uint32_t room = SaturatingSubtract(cap, counted().value());
  // After a failure, only one connection is opened at a time.
  const std::uint32_t at_once = after_failure ? 1 : cap;
  const std::uint32_t count = std::min({missing, room, at_once});
  opening_ += count;
  return Connections{count};
}

void ConnectionBudget::OnOpened(ConnectionId id) {
  opening_ = SaturatingSubtract(opening_, 1);
  open_.emplace(id, Connection{});
}

void ConnectionBudget::OnOpenFailed() {
  opening_ = SaturatingSubtract(opening_, 1);
  BackOff();
}

void ConnectionBudget::BackOff() {
  backoff_ = std::clamp(backoff_ * 2, options_.first_backoff, options_.longest_backoff);
  open_after_ = clock_.now() + backoff_;
}

void ConnectionBudget::OnClosed(ConnectionId id) {
  const auto found = open_.find(id);
  if (found == open_.end()) {
    return;
  }
  if (!found->second.received_bytes) {
    BackOff();
  }
  open_.erase(found);
}

void ConnectionBudget::OnSilent(ConnectionId id) {
  const BootTime now = clock_.now();
  while (!lingering_until_.empty() && lingering_until_.front() <= now) {
    lingering_until_.pop_front();
  }
  if (open_.erase(id) > 0) {
    lingering_until_.push_back(now + options_.linger);
  }
}

void ConnectionBudget::OnSent(ConnectionId id, WallTime deadline) {
  const auto found = open_.find(id);
  if (found == open_.end()) {
    return;
  }
  Connection& connection = found->second;
  connection.busy = true;
  connection.sent = connection.last_byte = clock_.now();
  connection.deadline = deadline;
  connection.number = ++sent_count_;
}

void ConnectionBudget::OnBytes(ConnectionId id) {
  if (const auto found = open_.find(id); found != open_.end()) {
    found->second.last_byte = clock_.now();
    found->second.received_bytes = true;
    backoff_ = std::chrono::nanoseconds(0);
  }
}

void ConnectionBudget::OnAnswered(ConnectionId id) {
  const auto found = open_.find(id);
  if (found == open_.end() || !found->second.busy) {
    return;
  }
  OnBytes(id);
  Connection& connection = found->second;
  connection.busy = false;
  const std::chrono::nanoseconds latency = clock_.now() - connection.sent;
  const std::optional<std::chrono::nanoseconds> p99 = latencies_.Quantile(0.99);
  if (p99 && latency <= *p99) {
    RecordLaterAnswer(connection.number);
  }
  latencies_.Add(latency);
}

void ConnectionBudget::RecordLaterAnswer(std::uint64_t number) {
  later_answers_.insert(number);
  if (later_answers_.size() > options_.min_later_answers) {
    later_answers_.erase(later_answers_.begin());
  }
}

std::vector<ConnectionId> ConnectionBudget::FindSilent() const {
  std::vector<ConnectionId> silent;
  for (const auto& [id, connection] : open_) {
    if (connection.busy && IsSilent(connection)) {
      silent.push_back(id);
    }
  }
  return silent;
}

bool ConnectionBudget::IsSilent(const Connection& connection) const {
  if (clock_.wall_now() >= connection.deadline) {
    return true;
  }
  const std::optional<std::chrono::nanoseconds> limit = SilenceLimit();
  return limit && HasLaterAnswers(connection) && clock_.now() - connection.last_byte > *limit;
}

bool ConnectionBudget::HasLaterAnswers(const Connection& connection) const {
  return later_answers_.size() >= options_.min_later_answers &&
         (later_answers_.empty() || *later_answers_.begin() > connection.number);
}

std::optional<std::chrono::nanoseconds> ConnectionBudget::SilenceLimit() const {
  const std::optional<std::chrono::nanoseconds> p99 = latencies_.Quantile(0.99);
  if (!p99) {
    return std::nullopt;
  }
  const std::chrono::nanoseconds limit(
      static_cast<std::int64_t>(options_.silence_factor * static_cast<double>(p99->count())));
  return std::max(limit, options_.min_silence);
}

std::vector<ConnectionId> ConnectionBudget::ToClose() const {
  std::vector<ConnectionId> surplus;
  const std::uint32_t excess = SaturatingSubtract(usable().value(), options_.cap.value());
  for (const auto& [id, connection] : open_) {
    if (surplus.size() < excess && !connection.busy) {
      surplus.push_back(id);
    }
  }
  return surplus;
}

Connections ConnectionBudget::usable() const {
  return Connections{static_cast<std::uint32_t>(open_.size()) + opening_};
}

Connections ConnectionBudget::counted() const {
  return Connections{usable().value() + Lingering()};
}

std::uint32_t ConnectionBudget::Lingering() const {
  const BootTime now = clock_.now();
  return static_cast<std::uint32_t>(std::count_if(lingering_until_.begin(), lingering_until_.end(),
                                                  [now](BootTime end) { return end > now; }));
}

std::optional<BootTime> ConnectionBudget::wake_time() const {
  const BootTime now = clock_.now();
  std::optional<BootTime> wake;
  const auto consider = [&wake](BootTime time) { wake = std::min(wake.value_or(time), time); };
  const std::optional<std::chrono::nanoseconds> limit = SilenceLimit();
  for (const auto& [id, connection] : open_) {
    if (!connection.busy) {
      continue;
    }
    consider(now + (connection.deadline - clock_.wall_now()));
    if (limit && HasLaterAnswers(connection)) {
      consider(connection.last_byte + *limit + std::chrono::nanoseconds(1));
    }
  }
  if (open_after_ > now) {
    consider(open_after_);
  }
  const auto linger = std::upper_bound(lingering_until_.begin(), lingering_until_.end(), now);
  if (linger != lingering_until_.end()) {
    consider(*linger);
  }
  return wake;
}

}  // namespace peridotfork
