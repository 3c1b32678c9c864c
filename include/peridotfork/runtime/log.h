#ifndef PERIDOTFORK_RUNTIME_LOG_H_
#define PERIDOTFORK_RUNTIME_LOG_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "peridotfork/core/clock.h"
#include "peridotfork/runtime/ranked_mutex.h"

namespace peridotfork {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// Configures Boost.Log to write lines of `level` and above to standard output.
// A dedicated thread writes them; lines beyond kMaxQueuedLines are dropped, so
// that a stalled reader of the output blocks no work. Called once, at program
// start.
inline constexpr std::size_t kMaxQueuedLines = 4096;
void InitLogging(LogLevel level);

// Flushes the queued lines. Called once, before the program exits.
void FlushLogging();

// Level for a name from the settings, such as "info"; kInfo if unknown.
LogLevel LogLevelFromName(std::string_view name);

// Writes the log lines of one component. A line has the time, the level, the
// component's prefix, a short sentence, and fields in the form key=value. Each
// sentence is written at most kLinesPerWindow times per kWindow; its first line
// in the next window reports how many were suppressed. Request lines are limited
// to kRequestLinesPerSecond instead. Thread-safe.
class Logger {
 public:
  using Fields = std::initializer_list<std::pair<std::string_view, std::string>>;

  static constexpr std::uint32_t kLinesPerWindow = 20;
  static constexpr std::chrono::seconds kWindow{10};
  // Limit for each sentence of request lines.
  static constexpr std::uint32_t kRequestLinesPerSecond = 120;

  // `clock` must outlive the logger.
  Logger(std::string prefix, const Clock& clock);

  void Debug(std::string_view sentence, Fields fields = {});
  void Info(std::string_view sentence, Fields fields = {});
  void Warning(std::string_view sentence, Fields fields = {});
  void Error(std::string_view sentence, Fields fields = {});

  // Logs a line about one request at level kInfo.
  void Request(std::string_view sentence, Fields fields);

 private:
  // Rate limit for one sentence.
  struct LineLimit {
    std::uint32_t lines;
    std::chrono::seconds window;
  };

  struct Window {
    BootTime start;
    std::uint32_t lines = 0;
    std::uint32_t left_out = 0;
  };

  void Write(LogLevel level, std::string_view sentence, Fields fields, LineLimit limit);

  // Counts a line against the limit of its sentence; returns false if the line
  // is to be suppressed. When a new window begins, `left_out` is set to the
  // number of lines suppressed in the previous one.
  bool Admit(std::string_view sentence, LineLimit limit, std::uint32_t* left_out);

  static constexpr LineLimit kDefaultLimit{kLinesPerWindow, kWindow};

  const std::string prefix_;
  const Clock& clock_;
  RankedMutex mutex_{LockRank::kLog};
  std::map<std::string, Window, std::less<>> windows_;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_RUNTIME_LOG_H_
