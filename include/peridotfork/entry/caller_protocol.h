#ifndef PERIDOTFORK_ENTRY_CALLER_PROTOCOL_H_
#define PERIDOTFORK_ENTRY_CALLER_PROTOCOL_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "peridotfork/core/error.h"
#include "peridotfork/core/ids.h"
#include "peridotfork/http/message.h"
#include "peridotfork/query/booking_ledger.h"
#include "peridotfork/query/query_plan.h"

// Encoding of the HTTP interface for callers. Pure functions, hence thread-safe.
namespace peridotfork::entry {

// Longest deadline that a caller may request.
inline constexpr std::chrono::milliseconds kMaxDeadline{60'000};

// Maximum number of records that a caller may request.
inline constexpr std::uint32_t kMaxLimit = 1000;

struct SearchRequest {
  CallerId caller;
  ServiceId service;
  // The query as JSON text.
  std::string query;
  // If empty, the deadline of the service applies.
  std::optional<std::chrono::milliseconds> deadline;
  query::Require require = query::Require::kPartial;
  std::uint32_t limit = 20;
};

struct BookingRequest {
  CallerId caller;
  ServiceId service;
  std::string ticket;
  // The booking as JSON text.
  std::string booking;
  std::optional<std::chrono::milliseconds> deadline;
};

// The answer to a booking. `body` is JSON text or empty.
struct BookingAnswer {
  query::BookingResult result = query::BookingResult::kUnknown;
  ErrorKind reason = ErrorKind::kOk;
  std::string body;
};

// Decoders reject malformed JSON, and fields that are unknown, missing, of the wrong
// type or out of range. The error names the field.
Result<SearchRequest> DecodeSearch(std::string_view body);
Result<BookingRequest> DecodeBooking(std::string_view body);
Result<CallerId> DecodeTicketRequest(std::string_view body);

http::Response EncodeSearchAnswer(const RequestId& id, const query::QueryOutcome& outcome);
http::Response EncodeBookingAnswer(std::string_view ticket, const BookingAnswer& answer);
http::Response EncodeTicket(const query::Ticket& ticket, std::chrono::seconds lifetime);

// Encodes the answer to a request that was refused before any work was done. The HTTP
// status depends on the kind of the error.
http::Response EncodeRefusal(const Error& error);

}  // namespace peridotfork::entry

#endif  // PERIDOTFORK_ENTRY_CALLER_PROTOCOL_H_
