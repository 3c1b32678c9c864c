#include "peridotfork/internal/standin/program.h"

#include <boost/asio/signal_set.hpp>
#include <charconv>
#include <csignal>
#include <fstream>
#include <future>
#include <iostream>
#include <sstream>

namespace peridotfork::standin {

Result<std::string> ReadFile(const std::string& path) {
  const std::ifstream file(path, std::ios::binary);
  if (!file) {
    return MakeError(ErrorKind::kUnavailable, path, "cannot open file");
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::optional<std::uint64_t> ParseNumber(const std::string& text, std::uint64_t max) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || rest != end || value > max) {
    return std::nullopt;
  }
  return value;
}

void RunUntilSignal(WorkerPool& pool) {
  std::promise<void> stopped;
  boost::asio::signal_set signals(pool.context(), SIGTERM, SIGINT);
  signals.async_wait([&stopped](const boost::system::error_code& code, int /*signal*/) {
    if (!code) {
      stopped.set_value();
    }
  });
  stopped.get_future().wait();
  pool.Stop();
}

int Fail(const std::string& program, const Error& error) {
  std::cerr << program << ": " << error << "\n";
  return 1;
}

}  // namespace peridotfork::standin
