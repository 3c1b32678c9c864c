#ifndef PERIDOTFORK_GATEWAY_MESSAGE_CODEC_H_
#define PERIDOTFORK_GATEWAY_MESSAGE_CODEC_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "peridotfork/balance/target.h"
#include "peridotfork/core/error.h"
#include "peridotfork/core/ids.h"
#include "peridotfork/http/raw_message.h"
#include "peridotfork/tenants/authenticator.h"
#include "peridotfork/upstream/answer_memory.h"

namespace peridotfork {

// The fields of a caller's request that the gateway uses.
struct IngressRequest {
  std::string host;
  std::string path;
  RequestId id;
  // How long the caller waits for the response; none if the request does not specify it.
  std::optional<std::chrono::milliseconds> caller_timeout;
};

// A target's response to one attempt.
struct UpstreamAnswer {
  // The target states that it has not run the request.
  bool not_run = false;
  // The address now belongs to another target.
  bool misdirected = false;
  // Proves that a target produced this response; empty if it is missing.
  std::string signature;
  // The body was transformed and is not in the form that the target produced.
  bool transformed = false;
  // What the target said about itself.
  TargetSignals signals;
  http::RawResponse message;
  // Memory that the message occupies.
  AnswerMemory::Reservation memory;
};

// The merged response of a fan-out.
struct MergedAnswer {
  std::vector<std::string> signatures;
  std::size_t missing = 0;
  std::string body;
};

// Encodes and decodes the messages of one protocol of callers and targets. Makes no routing
// decisions. Implementations are immutable.
class MessageCodec {
 public:
  virtual ~MessageCodec() = default;

  virtual IngressRequest DecodeRequest(const http::RawRequest& request) const = 0;

  // The values of all fields of the request that hold credentials; valid as long as the request.
  virtual std::vector<std::string_view> Credentials(const http::RawRequest& request) const = 0;

  // The request as forwarded to targets, without the fields that apply to a single connection
  // or a single attempt. If the identity is enforced, the credentials are removed, and the request
  // names the tenant of the identity and no other.
  virtual http::RawRequest MakeForwarded(const http::RawRequest& request,
                                         const CallerIdentity& identity) const = 0;

  // Adds the fields of one attempt: its target and its time limit.
  virtual void AddAttemptFields(http::RequestHead& request,
                                const TargetId& target,
                                std::chrono::milliseconds time_left) const = 0;

  // Whether the response belongs to the request.
  virtual bool Matches(const http::RawResponse& response, const RequestId& id) const = 0;

  virtual UpstreamAnswer DecodeAnswer(http::RawResponse response) const = 0;

  // Encodes the response of a single target, unchanged.
  virtual http::RawResponse Encode(UpstreamAnswer answer) const = 0;
  virtual http::RawResponse Encode(const MergedAnswer& answer) const = 0;

  // Encodes an error response of the gateway itself. `retry_after` is the delay after which the
  // caller may retry.
  virtual http::RawResponse EncodeError(
      unsigned status,
      const Error& error,
      std::optional<std::chrono::milliseconds> retry_after) const = 0;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_GATEWAY_MESSAGE_CODEC_H_
