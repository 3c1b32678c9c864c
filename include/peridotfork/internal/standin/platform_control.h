#ifndef PERIDOTFORK_INTERNAL_STANDIN_PLATFORM_CONTROL_H_
#define PERIDOTFORK_INTERNAL_STANDIN_PLATFORM_CONTROL_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "peridotfork/core/error.h"
#include "peridotfork/standin/platform_model.h"

namespace peridotfork::standin {

// A decoded POST /control request of the platform, including the contents of the
// files that it refers to.
struct PlatformCommand {
  nlohmann::json arguments;
  std::optional<std::string> document;
  // Host list; its version is assigned on publication.
  std::optional<nlohmann::json> hosts;
};

// Decodes a command and reads the files that it refers to.
Result<PlatformCommand> DecodePlatformCommand(const std::string& body);

// Decodes a host list: an object with an array "hosts".
Result<nlohmann::json> DecodeHostList(const std::string& text);

// Publishes a host list under its own version if that is higher than the
// newest one, and under the next version otherwise.
Result<std::uint64_t> PublishHosts(PlatformModel& model, nlohmann::json hosts);

// Applies commands to a model. Does no I/O.
class PlatformControl {
 public:
  explicit PlatformControl(PlatformModel& model) : model_(model) {}

  Result<void> Apply(const PlatformCommand& command);

 private:
  struct Entry {
    const char* name;
    Result<void> (PlatformControl::*run)(const PlatformCommand& command);
  };
  static const Entry kCommands[];

  Result<void> Publish(const PlatformCommand& command);
  Result<void> Down(const PlatformCommand& command);
  Result<void> Up(const PlatformCommand& command);
  Result<void> Stale(const PlatformCommand& command);
  Result<void> Older(const PlatformCommand& command);
  Result<void> Lag(const PlatformCommand& command);

  PlatformModel& model_;
};

}  // namespace peridotfork::standin

#endif  // PERIDOTFORK_INTERNAL_STANDIN_PLATFORM_CONTROL_H_
