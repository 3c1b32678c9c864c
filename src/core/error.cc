#include "peridotfork/core/error.h"

#include <array>
#include <sstream>
#include <utility>

namespace peridotfork {
namespace {

struct KindName {
  ErrorKind kind;
  std::string_view name;
};

constexpr std::array kKindNames = {
    KindName{ErrorKind::kOk, "ok"},
    KindName{ErrorKind::kMalformed, "malformed"},
    KindName{ErrorKind::kUnknownField, "unknown_field"},
    KindName{ErrorKind::kMissingField, "missing_field"},
    KindName{ErrorKind::kWrongType, "wrong_type"},
    KindName{ErrorKind::kOutOfRange, "out_of_range"},
    KindName{ErrorKind::kTooLarge, "too_large"},
    KindName{ErrorKind::kUnsupportedVersion, "unsupported_version"},
    KindName{ErrorKind::kUnknownName, "unknown_name"},
    KindName{ErrorKind::kDuplicate, "duplicate"},
    KindName{ErrorKind::kStaleRevision, "stale_revision"},
    KindName{ErrorKind::kShrinkHeldBack, "shrink_held_back"},
    KindName{ErrorKind::kNoConfiguration, "no_configuration"},
    KindName{ErrorKind::kShed, "shed"},
    KindName{ErrorKind::kExpired, "expired"},
    KindName{ErrorKind::kSnapshotGone, "snapshot_gone"},
    KindName{ErrorKind::kNotOwner, "not_owner"},
    KindName{ErrorKind::kQueueFull, "queue_full"},
    KindName{ErrorKind::kCallerLimit, "caller_limit"},
    KindName{ErrorKind::kQuarantined, "quarantined"},
    KindName{ErrorKind::kDraining, "draining"},
    KindName{ErrorKind::kUnavailable, "unavailable"},
    KindName{ErrorKind::kTargetLost, "target_lost"},
    KindName{ErrorKind::kTimedOut, "timed_out"},
    KindName{ErrorKind::kCancelled, "cancelled"},
    KindName{ErrorKind::kTransport, "transport"},
    KindName{ErrorKind::kInternal, "internal"},
};

class Category final : public std::error_category {
 public:
  const char* name() const noexcept override { return "peridotfork"; }
  std::string message(int value) const override {
    return std::string(ErrorKindName(static_cast<ErrorKind>(value)));
  }
};

}  // namespace

std::string_view ErrorKindName(ErrorKind kind) {
  for (const KindName& entry : kKindNames) {
    if (entry.kind == kind) {
      return entry.name;
    }
  }
  return "internal";
}

ErrorKind ErrorKindFromName(std::string_view name) {
  for (const KindName& entry : kKindNames) {
    if (entry.name == name) {
      return entry.kind;
    }
  }
  return ErrorKind::kInternal;
}

bool ProvesNotStarted(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kMalformed:
    case ErrorKind::kUnknownName:
    case ErrorKind::kShed:
    case ErrorKind::kExpired:
    case ErrorKind::kSnapshotGone:
    case ErrorKind::kNotOwner:
    case ErrorKind::kQueueFull:
    case ErrorKind::kCallerLimit:
    case ErrorKind::kQuarantined:
    case ErrorKind::kDraining:
    case ErrorKind::kUnavailable:
      return true;
    default:
      return false;
  }
}

const std::error_category& ErrorKindCategory() {
  static const Category category;
  return category;
}

std::error_code make_error_code(ErrorKind kind) {
  return {static_cast<int>(kind), ErrorKindCategory()};
}

Error MakeError(ErrorKind kind, std::string where, std::string detail) {
  return Error{make_error_code(kind), std::move(where), std::move(detail)};
}

std::ostream& operator<<(std::ostream& out, const Error& error) {
  out << error.code.message();
  if (!error.where.empty()) {
    out << " at " << error.where;
  }
  if (!error.detail.empty()) {
    out << ": " << error.detail;
  }
  return out;
}

std::string ToString(const Error& error) {
  std::ostringstream out;
  out << error;
  return out.str();
}

}  // namespace peridotfork
