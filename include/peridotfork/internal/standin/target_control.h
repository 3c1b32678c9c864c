#ifndef PERIDOTFORK_INTERNAL_STANDIN_TARGET_CONTROL_H_
#define PERIDOTFORK_INTERNAL_STANDIN_TARGET_CONTROL_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "peridotfork/core/error.h"
#include "peridotfork/standin/target_model.h"

namespace peridotfork::standin {

// Applies a POST /control command, {"command": NAME, ...}, to a model.
class TargetControl {
 public:
  explicit TargetControl(TargetModel& model) : model_(model) {}

  Result<void> Apply(const std::string& body);

  // Set by the command "silent", which affects the connections, not the model.
  std::optional<bool> silent() const { return silent_; }

 private:
  using Json = nlohmann::json;
  struct Command {
    const char* name;
    Result<void> (TargetControl::*run)(const Json& arguments);
  };
  static const Command kCommands[];

  Result<void> Cold(const Json& arguments);
  Result<void> Warm(const Json& arguments);
  Result<void> Drain(const Json& arguments);
  Result<void> Shed(const Json& arguments);
  Result<void> Crash(const Json& arguments);
  Result<void> Restart(const Json& arguments);
  Result<void> RestartDelay(const Json& arguments);
  Result<void> Slow(const Json& arguments);
  Result<void> Stragglers(const Json& arguments);
  Result<void> Silent(const Json& arguments);
  Result<void> Snapshots(const Json& arguments);
  Result<void> HealthLag(const Json& arguments);
  Result<void> LoadLag(const Json& arguments);
  Result<void> WrongHealth(const Json& arguments);
  Result<void> WrongLoad(const Json& arguments);
  Result<void> CrashWord(const Json& arguments);

  TargetModel& model_;
  std::optional<bool> silent_;
};

}  // namespace peridotfork::standin

#endif  // PERIDOTFORK_INTERNAL_STANDIN_TARGET_CONTROL_H_
