#ifndef PERIDOTFORK_STANDIN_PLATFORM_MODEL_H_
#define PERIDOTFORK_STANDIN_PLATFORM_MODEL_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "peridotfork/core/clock.h"
#include "peridotfork/core/error.h"
#include "peridotfork/core/units.h"

namespace peridotfork::standin {

enum class ValueKind { kDocument, kHosts };
inline constexpr std::size_t kValueKinds = 2;

struct PlatformLimits {
  // Call budget per second, shared by all readers.
  std::uint32_t calls_per_second = 2000;
  Bytes largest_value{1'000'000};
};

// One published value. The revisions of one kind strictly increase.
struct PublishedValue {
  std::uint64_t revision = 0;
  std::string text;
  BootTime published;
};

struct CallCounts {
  std::uint64_t document = 0;
  std::uint64_t hosts = 0;
  std::uint64_t over_budget = 0;
  std::uint64_t while_down = 0;
  // Calls in the current second, in the previous second, and the highest number
  // in any second.
  std::uint32_t this_second = 0;
  std::uint32_t last_second = 0;
  std::uint32_t most_in_a_second = 0;
};

// Simulates the platform's configuration service, without I/O. Not thread-safe.
class PlatformModel {
 public:
  // Number of values kept for each kind. Older values are dropped and can no
  // longer be served.
  static constexpr std::size_t kMaxHistory = 64;

  PlatformModel(PlatformLimits limits, const Clock& clock) : limits_(limits), clock_(clock) {}

  // Counts one call of a reader. Returns kShed if the call exceeds the budget and
  // kUnavailable while the service is down.
  Result<void> CountCall(ValueKind kind);

  // Stores a value as the next revision, or as `revision` if given. Returns
  // kStaleRevision if `revision` is not higher than the newest one, and kTooLarge
  // if the value exceeds the size limit.
  Result<std::uint64_t> Publish(ValueKind kind,
                                std::string text,
                                std::optional<std::uint64_t> revision = std::nullopt);

  // The value that readers see, which may be outdated; null before the first
  // publication.
  const PublishedValue* Visible(ValueKind kind) const;

  // The value that readers see if its revision is higher than `after`; null
  // otherwise.
  const PublishedValue* VisibleAfter(ValueKind kind, std::uint64_t after) const;

  // The revision published last; zero before the first publication.
  std::uint64_t newest_revision(ValueKind kind) const;

  // When Visible() next changes because a lag ends. Empty if no value is waiting
  // for its lag.
  std::optional<BootTime> next_change() const;

  bool down() const { return down_; }
  void set_down(bool down) { down_ = down; }

  // While enabled, keeps serving the value that is visible now.
  void set_stale(ValueKind kind, bool stale);

  // Serves the newest value with at most this revision, or the newest value if
  // empty.
  void set_served_revision(ValueKind kind, std::optional<std::uint64_t> revision);

  // Sets the delay from publication to visibility.
  void set_lag(ValueKind kind, std::chrono::milliseconds lag);

  const CallCounts& counts();

 private:
  struct Value {
    std::deque<PublishedValue> history;
    std::optional<std::uint64_t> served_revision;
    std::chrono::milliseconds lag{0};
  };

  Value& value(ValueKind kind) { return values_.at(static_cast<std::size_t>(kind)); }
  const Value& value(ValueKind kind) const { return values_.at(static_cast<std::size_t>(kind)); }
  void AdvanceSecond();

  const PlatformLimits limits_;
  const Clock& clock_;
  std::array<Value, kValueKinds> values_;
  bool down_ = false;
  CallCounts counts_;
  std::chrono::seconds second_{0};
};

}  // namespace peridotfork::standin

#endif  // PERIDOTFORK_STANDIN_PLATFORM_MODEL_H_
