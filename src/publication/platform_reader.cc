#include "peridotfork/publication/platform_reader.h"

#include <charconv>
#include <utility>

namespace peridotfork {
namespace {

// Time after the end of the watch within which the response must arrive.
constexpr std::chrono::seconds kResponseGracePeriod{5};

Result<std::uint64_t> ParseRevision(const std::string& text) {
  std::uint64_t revision = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, revision);
  if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
    return MakeError(ErrorKind::kMalformed, "header X-Revision", "expected a number");
  }
  return revision;
}

std::chrono::milliseconds WithJitter(std::chrono::milliseconds pause) {
  thread_local std::mt19937 random{std::random_device{}()};
  return pause + std::chrono::milliseconds(random() % static_cast<unsigned>(pause.count() + 1));
}

}  // namespace

PlatformReader::PlatformReader(WorkerPool& pool,
                               PlatformReaderOptions options,
                               Receiver receiver,
                               Logger& log)
    : pool_(pool), options_(std::move(options)), receiver_(std::move(receiver)), log_(log) {}

void PlatformReader::SetActive(bool active) {
  active_ = active;
  if (active && !running_.exchange(true)) {
    pool_.Post([this] { Watch(); });
  }
}

void PlatformReader::SetKnownRevision(std::uint64_t revision) {
  known_revision_ = revision;
}

void PlatformReader::Watch() {
  if (!active_) {
    running_ = false;
    return;
  }
  ++calls_;
  http::Request request{"GET", options_.path, {}, ""};
  request.query["after"] = std::to_string(known_revision_);
  request.query["wait_ms"] = std::to_string(options_.watch.count());
  http::Fetch(pool_.context(), options_.platform, std::move(request),
              options_.watch + kResponseGracePeriod, kMaxValueBytes,
              [this](const std::optional<http::ClientError>& error,
                     const http::Response& response) { OnResponse(error, response); });
}

void PlatformReader::OnResponse(const std::optional<http::ClientError>& error,
                                const http::Response& response) {
  if (error.has_value()) {
    log_.Warning("The platform is not reachable.", {{"error", ToString(error->error)}});
    Pause();
    return;
  }
  answered_ = true;
  if (response.status == 304) {
    Watch();
    return;
  }
  const auto revision = ParseRevision(response.Header("X-Revision"));
  if (response.status != 200 || !revision.has_value()) {
    log_.Warning("The platform returned no valid value.",
                 {{"path", options_.path}, {"status", std::to_string(response.status)}});
    Pause();
    return;
  }
  const bool advances = revision.value() > known_revision_;
  receiver_(revision.value(), response.body);
  if (!advances) {
    // The platform serves an older value, which an immediate request would return again.
    Pause();
    return;
  }
  known_revision_ = revision.value();
  Watch();
}

void PlatformReader::Pause() {
  pool_.After(WithJitter(options_.pause_after_failure), [this] { Watch(); });
}

}  // namespace peridotfork
