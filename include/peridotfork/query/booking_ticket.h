#ifndef PERIDOTFORK_QUERY_BOOKING_TICKET_H_
#define PERIDOTFORK_QUERY_BOOKING_TICKET_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "peridotfork/core/error.h"
#include "peridotfork/core/ids.h"

namespace peridotfork::query {

// Sequence number of a ticket among those that one process issued.
using TicketSerial = StrongValue<struct TicketSerialTag, std::uint64_t>;

// Identifies the only process incarnation that may run a booking. The nonce prevents
// callers from guessing the tickets of other callers.
struct Ticket {
  HostId host;
  Incarnation incarnation;
  TicketSerial serial;
  std::uint64_t nonce = 0;

  // clang-tidy 14 reads the zero in the generated comparison as a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const Ticket&, const Ticket&) = default;
};

// Returns the text form "t1:<incarnation>:<serial>:<nonce>:<host>" with numbers in
// hexadecimal.
std::string FormatTicket(const Ticket& ticket);

// Inverse of FormatTicket(). Errors: kTooLarge for a text longer than any ticket,
// kUnsupportedVersion for an unknown version, kMissingField, and kMalformed for a
// field that differs from the form that FormatTicket() writes.
Result<Ticket> ParseTicket(std::string_view text);

}  // namespace peridotfork::query

#endif  // PERIDOTFORK_QUERY_BOOKING_TICKET_H_
