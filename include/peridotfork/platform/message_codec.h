#ifndef PERIDOTFORK_PLATFORM_MESSAGE_CODEC_H_
#define PERIDOTFORK_PLATFORM_MESSAGE_CODEC_H_

#include "peridotfork/gateway/message_codec.h"

namespace peridotfork::platform {

// Codec for the platform's HTTP requests and responses, between callers and the gateway and
// between the gateway and targets.
class PlatformCodec final : public MessageCodec {
 public:
  IngressRequest DecodeRequest(const http::RawRequest& request) const override;
  std::vector<std::string_view> Credentials(const http::RawRequest& request) const override;
  http::RawRequest MakeForwarded(const http::RawRequest& request,
                                 const CallerIdentity& identity) const override;
  void AddAttemptFields(http::RequestHead& request,
                        const TargetId& target,
                        std::chrono::milliseconds time_left) const override;
  bool Matches(const http::RawResponse& response, const RequestId& id) const override;
  UpstreamAnswer DecodeAnswer(http::RawResponse response) const override;
  http::RawResponse Encode(UpstreamAnswer answer) const override;
  http::RawResponse Encode(const MergedAnswer& answer) const override;
  http::RawResponse EncodeError(
      unsigned status,
      const Error& error,
      std::optional<std::chrono::milliseconds> retry_after) const override;
};

}  // namespace peridotfork::platform

#endif  // PERIDOTFORK_PLATFORM_MESSAGE_CODEC_H_
