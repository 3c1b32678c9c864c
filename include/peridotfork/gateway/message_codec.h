#ifndef PERIDOTFORK_GATEWAY_MESSAGE_CODEC_H_
#define PERIDOTFORK_GATEWAY_MESSAGE_CODEC_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "peridotfork/balance/target.h"
#include "peridotfork/core/error.h"
#include "peridotfork/core/ids.h"
#include "peridotfork/http/raw_message.h"

namespace peridotfork {

// What the gateway has to know of a caller's request.
struct IngressRequest {
  std::string host;
  std::string path;
  RequestId id;
  // How long the caller waits; none if it did not say.
  std::optional<std::chrono::milliseconds> patience;
};

// A target's answer to one attempt.
struct UpstreamAnswer {
  // The target says that it has not run the request.
  bool not_run = false;
  // Another target has the address now.
  bool misdirected = false;
  // Proof that a target made this answer; empty if it is missing.
  std::string signature;
  // The body is not in the form in which the target made it.
  bool transformed = false;
  std::optional<LoadReport> load;
  http::RawResponse message;
};

// The merged answer of a fan-out.
struct MergedAnswer {
  std::vector<std::string> signatures;
  std::size_t missing = 0;
  std::string body;
};

// Form of the messages of one kind of callers and targets. Decides nothing.
// Implementations are immutable.
class MessageCodec {
 public:
  virtual ~MessageCodec() = default;

  virtual IngressRequest DecodeRequest(const http::RawRequest& request) const = 0;

  // The request as it goes to targets, without what concerns one connection or
  // one attempt only.
  virtual http::RawRequest Forwarded(const http::RawRequest& request) const = 0;

  // Adds what concerns one attempt: its target and the time that it has.
  virtual void Address(http::RawRequest& request,
                       const TargetId& target,
                       std::chrono::milliseconds time_left) const = 0;

  // Whether the answer belongs to the request.
  virtual bool Matches(const http::RawResponse& response, const RequestId& id) const = 0;

  virtual UpstreamAnswer DecodeAnswer(http::RawResponse response) const = 0;

  // A target's own answer, unchanged.
  virtual http::RawResponse Encode(UpstreamAnswer answer) const = 0;
  virtual http::RawResponse Encode(const MergedAnswer& answer) const = 0;

  // An answer of the gateway itself. `retry_after` tells when to come back.
  virtual http::RawResponse EncodeFault(
      unsigned status,
      const Error& error,
      std::optional<std::chrono::milliseconds> retry_after) const = 0;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_GATEWAY_MESSAGE_CODEC_H_
