#include "peridotfork/runtime/log.h"

#include <array>
#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/formatter_parser.hpp>
#include <boost/make_shared.hpp>
#include <iostream>
#include <utility>

namespace peridotfork {
namespace {

namespace logging = boost::log;

struct LevelEntry {
  LogLevel level;
  std::string_view name;
  logging::trivial::severity_level severity;
};

constexpr std::array kLevels = {
    LevelEntry{LogLevel::kDebug, "debug", logging::trivial::debug},
    LevelEntry{LogLevel::kInfo, "info", logging::trivial::info},
    LevelEntry{LogLevel::kWarning, "warning", logging::trivial::warning},
    LevelEntry{LogLevel::kError, "error", logging::trivial::error},
};

logging::trivial::severity_level SeverityOf(LogLevel level) {
  return kLevels[static_cast<std::size_t>(level)].severity;
}

// Drops lines when its queue is full, so that logging never blocks on the output
// stream.
using QueuedSink = logging::sinks::asynchronous_sink<
    logging::sinks::text_ostream_backend,
    logging::sinks::bounded_fifo_queue<kMaxQueuedLines, logging::sinks::drop_on_overflow>>;

// Quotes a field value that is empty or contains a space, quote, backslash or
// line feed.
std::string Quoted(const std::string& value) {
  if (!value.empty() && value.find_first_of(" \"\n\\") == std::string::npos) {
    return value;
  }
  std::string quoted = "\"";
  for (const char character : value) {
    if (character == '"' || character == '\\') {
      quoted += '\\';
    }
    quoted += character == '\n' ? ' ' : character;
  }
  return quoted + '"';
}

}  // namespace

void InitLogging(LogLevel level) {
  logging::add_common_attributes();
  const auto backend = boost::make_shared<logging::sinks::text_ostream_backend>();
  backend->add_stream(boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter()));
  backend->auto_flush(true);
  const auto sink = boost::make_shared<QueuedSink>(backend);
  sink->set_formatter(logging::parse_formatter("%TimeStamp% %Severity% %Message%"));
  logging::core::get()->add_sink(sink);
  logging::core::get()->set_filter(logging::trivial::severity >= SeverityOf(level));
}

void FlushLogging() {
  logging::core::get()->flush();
}

LogLevel LogLevelFromName(std::string_view name) {
  for (const LevelEntry& entry : kLevels) {
    if (entry.name == name) {
      return entry.level;
    }
  }
  return LogLevel::kInfo;
}

Logger::Logger(std::string prefix, const Clock& clock)
    : prefix_(std::move(prefix)), clock_(clock) {}

void Logger::Debug(std::string_view sentence, Fields fields) {
  Write(LogLevel::kDebug, sentence, fields, kDefaultLimit);
}

void Logger::Info(std::string_view sentence, Fields fields) {
  Write(LogLevel::kInfo, sentence, fields, kDefaultLimit);
}

void Logger::Warning(std::string_view sentence, Fields fields) {
  Write(LogLevel::kWarning, sentence, fields, kDefaultLimit);
}

void Logger::Error(std::string_view sentence, Fields fields) {
  Write(LogLevel::kError, sentence, fields, kDefaultLimit);
}

void Logger::Request(std::string_view sentence, Fields fields) {
  Write(LogLevel::kInfo, sentence, fields, {kRequestLinesPerSecond, std::chrono::seconds(1)});
}

void Logger::Write(LogLevel level, std::string_view sentence, Fields fields, LineLimit limit) {
  std::uint32_t left_out = 0;
  if (!Admit(sentence, limit, &left_out)) {
    return;
  }
  std::string line = prefix_ + ": ";
  line += sentence;
  for (const auto& [key, value] : fields) {
    line += ' ';
    line += key;
    line += '=' + Quoted(value);
  }
  if (left_out > 0) {
    line += " left_out=" + std::to_string(left_out);
  }
  BOOST_LOG_SEV(logging::trivial::logger::get(), SeverityOf(level)) << line;
}

bool Logger::Admit(std::string_view sentence, LineLimit limit, std::uint32_t* left_out) {
  const RankedLock lock(mutex_);
  auto window = windows_.find(sentence);
  if (window == windows_.end()) {
    window = windows_.emplace(std::string(sentence), Window{clock_.now()}).first;
  }
  Window& state = window->second;
  if (clock_.now() - state.start >= limit.window) {
    *left_out = state.left_out;
    state = Window{clock_.now()};
  }
  if (state.lines >= limit.lines) {
    ++state.left_out;
    return false;
  }
  ++state.lines;
  return true;
}

}  // namespace peridotfork
