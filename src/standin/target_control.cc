#include "peridotfork/internal/standin/target_control.h"

#include <utility>

#include "peridotfork/internal/standin/target_protocol.h"

namespace peridotfork::standin {
namespace {

std::chrono::milliseconds Milliseconds(const nlohmann::json& arguments) {
  return std::chrono::milliseconds(arguments.at("ms").get<std::int64_t>());
}

bool IsEnabled(const nlohmann::json& arguments) {
  return arguments.value("on", true);
}

}  // namespace

const TargetControl::Command TargetControl::kCommands[] = {
    {"cold", &TargetControl::Cold},
    {"warm", &TargetControl::Warm},
    {"drain", &TargetControl::Drain},
    {"shed", &TargetControl::Shed},
    {"crash", &TargetControl::Crash},
    {"restart", &TargetControl::Restart},
    {"restart_delay", &TargetControl::RestartDelay},
    {"slow", &TargetControl::Slow},
    {"stragglers", &TargetControl::Stragglers},
    {"silent", &TargetControl::Silent},
    {"snapshots", &TargetControl::Snapshots},
    {"health_lag", &TargetControl::HealthLag},
    {"load_lag", &TargetControl::LoadLag},
    {"wrong_health", &TargetControl::WrongHealth},
    {"wrong_load", &TargetControl::WrongLoad},
    {"crash_word", &TargetControl::CrashWord},
};

Result<void> TargetControl::Apply(const std::string& body) {
  try {
    const Json arguments = Json::parse(body);
    const auto name = arguments.at("command").get<std::string>();
    for (const Command& command : kCommands) {
      if (name == command.name) {
        return (this->*command.run)(arguments);
      }
    }
    return MakeError(ErrorKind::kUnknownName, "command", name);
  } catch (const Json::exception& error) {
    return MakeError(ErrorKind::kMalformed, "body", error.what());
  }
}

Result<void> TargetControl::Cold(const Json& arguments) {
  ColdTraits traits = model_.cold_traits();
  traits.bears = arguments.value("bears", traits.bears);
  traits.warm_time = std::chrono::milliseconds(
      arguments.value("warm_ms", static_cast<std::int64_t>(traits.warm_time.count())));
  traits.warm_work = arguments.value("warm_work", traits.warm_work);
  traits.slowness = arguments.value("slowness", traits.slowness);
  traits.overload_grace = std::chrono::milliseconds(
      arguments.value("grace_ms", static_cast<std::int64_t>(traits.overload_grace.count())));
  model_.MarkCold(traits);
  return boost::outcome_v2::success();
}

Result<void> TargetControl::Warm(const Json& /*arguments*/) {
  model_.MarkWarm();
  return boost::outcome_v2::success();
}

Result<void> TargetControl::Drain(const Json& arguments) {
  model_.set_draining(IsEnabled(arguments));
  return boost::outcome_v2::success();
}

Result<void> TargetControl::Shed(const Json& arguments) {
  model_.set_shedding(arguments.value("share", 1.0));
  return boost::outcome_v2::success();
}

Result<void> TargetControl::Crash(const Json& /*arguments*/) {
  model_.Crash();
  return boost::outcome_v2::success();
}

Result<void> TargetControl::Restart(const Json& /*arguments*/) {
  model_.Restart();
  return boost::outcome_v2::success();
}

Result<void> TargetControl::RestartDelay(const Json& arguments) {
  model_.set_restart_delay(Milliseconds(arguments));
  return boost::outcome_v2::success();
}

Result<void> TargetControl::Slow(const Json& arguments) {
  const double factor = arguments.at("factor").get<double>();
  if (!(factor > 0)) {
    return MakeError(ErrorKind::kOutOfRange, "factor", "must be greater than 0");
  }
  model_.set_slow_factor(factor);
  return boost::outcome_v2::success();
}

Result<void> TargetControl::Stragglers(const Json& arguments) {
  model_.set_straggler_rate(arguments.at("rate").get<double>());
  if (arguments.contains("factor")) {
    model_.set_straggler_factor(arguments.at("factor").get<double>());
  }
  return boost::outcome_v2::success();
}

Result<void> TargetControl::Silent(const Json& arguments) {
  silent_ = IsEnabled(arguments);
  return boost::outcome_v2::success();
}

Result<void> TargetControl::Snapshots(const Json& arguments) {
  Result<std::vector<StoredSnapshot>> snapshots = DecodeSnapshots(arguments.at("snapshots"));
  if (!snapshots) {
    return snapshots.error();
  }
  model_.set_snapshots(std::move(snapshots).value());
  return boost::outcome_v2::success();
}

Result<void> TargetControl::HealthLag(const Json& arguments) {
  model_.set_health_lag(Milliseconds(arguments));
  return boost::outcome_v2::success();
}

Result<void> TargetControl::LoadLag(const Json& arguments) {
  model_.set_load_lag(Milliseconds(arguments));
  return boost::outcome_v2::success();
}

Result<void> TargetControl::WrongHealth(const Json& arguments) {
  if (!IsEnabled(arguments)) {
    model_.set_wrong_health(std::nullopt);
    return boost::outcome_v2::success();
  }
  HealthReport report = model_.true_health();
  const Result<Condition> condition =
      ConditionFromName(arguments.value("state", ConditionName(report.condition)));
  if (!condition) {
    return condition.error();
  }
  report.condition = condition.value();
  report.bears = arguments.value("bears", report.slots.value());
  if (arguments.contains("snapshots")) {
    Result<std::vector<StoredSnapshot>> snapshots = DecodeSnapshots(arguments.at("snapshots"));
    if (!snapshots) {
      return snapshots.error();
    }
    report.snapshots = std::move(snapshots).value();
  }
  model_.set_wrong_health(std::move(report));
  return boost::outcome_v2::success();
}

Result<void> TargetControl::WrongLoad(const Json& arguments) {
  if (!IsEnabled(arguments)) {
    model_.set_wrong_load(std::nullopt);
    return boost::outcome_v2::success();
  }
  LoadReport report;
  report.busy = arguments.value("busy", 0U);
  report.queued = arguments.value("queued", 0U);
  report.age = std::chrono::milliseconds(arguments.value("age_ms", std::int64_t{0}));
  model_.set_wrong_load(report);
  return boost::outcome_v2::success();
}

Result<void> TargetControl::CrashWord(const Json& arguments) {
  model_.set_crash_word(arguments.at("word").get<std::string>());
  return boost::outcome_v2::success();
}

}  // namespace peridotfork::standin
