#ifndef PERIDOTFORK_CORE_ERROR_H_
#define PERIDOTFORK_CORE_ERROR_H_

#include <boost/outcome.hpp>
#include <ostream>
#include <string>
#include <string_view>
#include <system_error>
#include <type_traits>

namespace peridotfork {

// Kinds of failure that the system reports. Callers and operators see the wire
// name of a kind, ErrorKindName().
enum class ErrorKind {
  kOk = 0,
  // Invalid input.
  kMalformed,
  kUnknownField,
  kMissingField,
  kWrongType,
  kOutOfRange,
  kTooLarge,
  kUnsupportedVersion,
  kUnknownName,
  kDuplicate,
  // Configuration.
  kStaleRevision,
  kShrinkHeldBack,
  kNoConfiguration,
  // Work rejected before it started.
  kShed,
  kExpired,
  kSnapshotGone,
  kNotOwner,
  kQueueFull,
  kCallerLimit,
  kQuarantined,
  kDraining,
  kUnavailable,
  // Work with an unknown outcome.
  kTargetLost,
  kTimedOut,
  kCancelled,
  // Infrastructure.
  kTransport,
  kInternal,
};

// Stable wire name of a kind, such as "snapshot_gone".
std::string_view ErrorKindName(ErrorKind kind);

// Inverse of ErrorKindName(); returns kInternal for an unknown name.
ErrorKind ErrorKindFromName(std::string_view name);

// Whether the kind guarantees that the work was not started. With any other
// kind except kOk it may or may not have run.
bool ProvesNotStarted(ErrorKind kind);

// Category of error codes made from ErrorKind.
const std::error_category& ErrorKindCategory();

std::error_code make_error_code(ErrorKind kind);

// A failure: its kind, its location in the input or the system (such as
// "line 12, key slots" or "body.deadline"), and a human-readable detail.
struct Error {
  std::error_code code;
  std::string where;
  std::string detail;

  ErrorKind kind() const { return static_cast<ErrorKind>(code.value()); }

  friend bool operator==(const Error&, const Error&) = default;
};

Error MakeError(ErrorKind kind, std::string where = {}, std::string detail = {});

// Prints "kind at where: detail".
std::ostream& operator<<(std::ostream& out, const Error& error);
std::string ToString(const Error& error);

// Either a value or an Error. Accessing the one that is not held terminates the
// process.
template <typename T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

}  // namespace peridotfork

template <>
struct std::is_error_code_enum<peridotfork::ErrorKind> : std::true_type {};

#endif  // PERIDOTFORK_CORE_ERROR_H_
