#include <memory>
#include <string>

#include "peridotfork/gateway/gateway.h"
#include "peridotfork/platform/message_codec.h"
#include "peridotfork/platform/store_client.h"

namespace {

// The gateway with the store client and the message codec of the users' platform.
class PlatformGateway final : public peridotfork::Service {
 public:
  PlatformGateway(const peridotfork::DaemonContext& context,
                  const peridotfork::GatewaySettings& settings)
      : gateway_(context,
                 settings,
                 {std::make_unique<peridotfork::platform::StoreClient>(context.pool.context(),
                                                                       settings.store_address),
                  std::make_unique<peridotfork::platform::PlatformCodec>()}) {}

  peridotfork::Result<void> Start() override { return gateway_.Start(); }
  peridotfork::Result<void> Reload(const std::string& settings) override {
    return gateway_.Reload(settings);
  }
  void BeginDrain() override { gateway_.BeginDrain(); }
  bool drained() const override { return gateway_.drained(); }
  void Close() override { gateway_.Close(); }

 private:
  peridotfork::Gateway gateway_;
};

}  // namespace

int main(int argc, char** argv) {
  return peridotfork::RunDaemon<peridotfork::GatewaySettings, PlatformGateway>(
      argc, argv,
      {"peridotfork-gateway", "Runs callers' requests on the targets of the users' platform.",
       "gateway"});
}
