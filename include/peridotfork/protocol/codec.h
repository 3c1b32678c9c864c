#ifndef PERIDOTFORK_PROTOCOL_CODEC_H_
#define PERIDOTFORK_PROTOCOL_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "peridotfork/core/error.h"
#include "peridotfork/protocol/message.h"

namespace peridotfork::protocol {

// Version of the message format. Messages of any other version are refused.
inline constexpr std::uint32_t kProtocolVersion = 1;

// Larger messages are refused without being decoded.
inline constexpr std::size_t kMaxMessageBytes = std::size_t{4} * 1024 * 1024;

// Encodes a message as MessagePack. Thread-safe.
std::vector<std::uint8_t> Encode(const Envelope& envelope);

// Decodes one message. Input that is malformed, too large, of another version, or
// that has missing, unknown or ill-typed fields is refused; the error holds the
// path of the field, such as "body.targets[3].state". Thread-safe.
Result<Envelope> Decode(std::span<const std::uint8_t> bytes);

}  // namespace peridotfork::protocol

#endif  // PERIDOTFORK_PROTOCOL_CODEC_H_
