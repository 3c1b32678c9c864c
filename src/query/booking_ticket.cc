#include "peridotfork/query/booking_ticket.h"

#include <charconv>
#include <sstream>

namespace peridotfork::query {
namespace {

constexpr std::string_view kVersion = "t1";

// Host names have at most 253 characters, and the three numbers at most 16 digits each.
constexpr std::size_t kMaxTicketLength = 320;

// Removes and returns the text before the next colon of `rest`.
Result<std::string_view> TakeField(std::string_view& rest, const char* name) {
  const std::size_t colon = rest.find(':');
  if (colon == std::string_view::npos) {
    return MakeError(ErrorKind::kMissingField, std::string("ticket.") + name);
  }
  const std::string_view field = rest.substr(0, colon);
  rest.remove_prefix(colon + 1);
  return field;
}

// Accepts only the form that FormatTicket() writes, so that each ticket has exactly one
// text form.
bool IsCanonicalHex(std::string_view field) {
  const bool digits = field.find_first_not_of("0123456789abcdef") == std::string_view::npos;
  return digits && !field.empty() && field.size() <= 16 && (field.size() == 1 || field[0] != '0');
}

Result<std::uint64_t> TakeNumber(std::string_view& rest, const char* name) {
  const Result<std::string_view> field = TakeField(rest, name);
  if (!field) {
    return field.error();
  }
  if (!IsCanonicalHex(field.value())) {
    return MakeError(ErrorKind::kMalformed, std::string("ticket.") + name, "not a hex number");
  }
  std::uint64_t number = 0;
  std::from_chars(field.value().data(), field.value().data() + field.value().size(), number, 16);
  return number;
}

Result<HostId> ParseHost(std::string_view text) {
  if (text.empty()) {
    return MakeError(ErrorKind::kMissingField, "ticket.host");
  }
  for (const char c : text) {
    if (c <= ' ' || c > '~') {
      return MakeError(ErrorKind::kMalformed, "ticket.host", "not a printable name");
    }
  }
  return HostId(std::string(text));
}

}  // namespace

std::string FormatTicket(const Ticket& ticket) {
  std::ostringstream out;
  out << kVersion << ':' << std::hex << ticket.incarnation.value() << ':' << ticket.serial.value()
      << ':' << ticket.nonce << ':' << ticket.host;
  return out.str();
}

Result<Ticket> ParseTicket(std::string_view text) {
  if (text.size() > kMaxTicketLength) {
    return MakeError(ErrorKind::kTooLarge, "ticket");
  }
  std::string_view rest = text;
  const Result<std::string_view> version = TakeField(rest, "version");
  if (!version) {
    return version.error();
  }
  if (version.value() != kVersion) {
    return MakeError(ErrorKind::kUnsupportedVersion, "ticket.version");
  }
  const Result<std::uint64_t> incarnation = TakeNumber(rest, "incarnation");
  if (!incarnation) {
    return incarnation.error();
  }
  const Result<std::uint64_t> serial = TakeNumber(rest, "serial");
  if (!serial) {
    return serial.error();
  }
  const Result<std::uint64_t> nonce = TakeNumber(rest, "nonce");
  if (!nonce) {
    return nonce.error();
  }
  Result<HostId> host = ParseHost(rest);
  if (!host) {
    return host.error();
  }
  return Ticket{std::move(host).value(), Incarnation(incarnation.value()),
                TicketSerial(serial.value()), nonce.value()};
}

}  // namespace peridotfork::query
