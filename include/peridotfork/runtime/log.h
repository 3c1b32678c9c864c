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

// Sets up Boost.Log to write lines to standard output from `level` up. A thread
// of its own writes them; lines beyond kMaxQueuedLines are dropped, so that a
// reader that stalls holds up no work. Called once, at the start of a program.
inline constexpr std::size_t kMaxQueuedLines = 4096;
void InitLogging(LogLevel level);

// Writes the lines that are queued. Called once, at the end of a program.
void FlushLogging();

// Level from its name in the settings, such as "info"; kInfo if unknown.
LogLevel LogLevelFromName(std::string_view name);

// Writes the lines of one part of the tier. A line is the time, the level, the
// part's prefix, a short sentence, and fields in the form key=value. A sentence
// that repeats is written at most kLinesPerWindow times in kWindow; the next
// line then says how many were left out. Lines of requests are limited by their
// rate instead. Thread-safe.
class Logger {
 public:
  using Fields = std::initializer_list<std::pair<std::string_view, std::string>>;

  static constexpr std::uint32_t kLinesPerWindow = 20;
  static constexpr std::chrono::seconds kWindow{10};
  // Lines of requests in one second of each sentence.
  static constexpr std::uint32_t kRequestLinesPerSecond = 120;

  // `clock` must outlive the logger.
  Logger(std::string prefix, const Clock& clock);

  void Debug(std::string_view sentence, Fields fields = {});
  void Info(std::string_view sentence, Fields fields = {});
  void Warning(std::string_view sentence, Fields fields = {});
  void Error(std::string_view sentence, Fields fields = {});

  // A line about one request, at the level kInfo.
  void Request(std::string_view sentence, Fields fields);

 private:
  // How often one sentence may be written.
  struct Allowance {
    std::uint32_t lines;
    std::chrono::seconds window;
  };

  struct Window {
    BootTime start;
    std::uint32_t lines = 0;
    std::uint32_t left_out = 0;
  };

  void Write(LogLevel level, std::string_view sentence, Fields fields, Allowance allowance);

  // Counts the sentence; false if it must be left out now. `left_out` is the
  // number of lines left out in the window before.
  bool Admit(std::string_view sentence, Allowance allowance, std::uint32_t* left_out);

  static constexpr Allowance kUsual{kLinesPerWindow, kWindow};

  const std::string prefix_;
  const Clock& clock_;
  RankedMutex mutex_{LockRank::kLog};
  std::map<std::string, Window, std::less<>> windows_;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_RUNTIME_LOG_H_
