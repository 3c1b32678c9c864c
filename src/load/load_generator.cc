#include "peridotfork/load/load_generator.h"

#include <algorithm>
#include <future>
#include <nlohmann/json.hpp>
#include <utility>

namespace peridotfork::load {
namespace {

using Json = nlohmann::json;

constexpr std::chrono::seconds kResponseTimeout{10};
constexpr std::uint64_t kMaxAnswerBytes = std::uint64_t{4} << 20;

std::string OutcomeOf(const http::Response& response) {
  const Json json = Json::parse(response.body, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object()) {
    return "unreadable";
  }
  if (json.contains("outcome")) {
    return json["outcome"].get<std::string>();
  }
  return json.contains("error") ? json["error"].value("kind", "unreadable") : "unreadable";
}

}  // namespace

LoadGenerator::LoadGenerator(WorkerPool& pool, const Clock& clock, LoadOptions options)
    : pool_(pool), clock_(clock), options_(std::move(options)), random_(options_.seed) {}

std::vector<Sample> LoadGenerator::Run() {
  std::promise<void> complete;
  start_ = clock_.now();
  end_ = start_ + options_.duration;
  next_send_time_ = start_;
  on_complete_ = [&complete] { complete.set_value(); };
  pool_.Post([this] { SendDue(); });
  complete.get_future().get();
  return std::move(samples_);
}

void LoadGenerator::SendDue() {
  std::vector<Call> due;
  BootTime next;
  bool done = false;
  {
    const RankedLock lock(mutex_);
    std::exponential_distribution<double> pause(options_.rate);
    while (next_send_time_ <= clock_.now() && next_send_time_ < end_) {
      due.push_back(MakeCall(next_send_time_));
      ++sent_;
      next_send_time_ += std::chrono::duration_cast<std::chrono::nanoseconds>(
          std::chrono::duration<double>(pause(random_)));
    }
    next = next_send_time_;
    all_sent_ = next_send_time_ >= end_;
    done = all_sent_ && samples_.size() == sent_;
  }
  for (const Call& call : due) {
    Send(call);
  }
  if (next < end_) {
    pool_.After(next - clock_.now(), [this] { SendDue(); });
  } else if (done && due.empty()) {
    on_complete_();
  }
}

LoadGenerator::Call LoadGenerator::MakeCall(BootTime due) {
  std::vector<double> weights;
  for (const MixEntry& entry : options_.mix) {
    weights.push_back(entry.weight);
  }
  std::discrete_distribution<std::size_t> pick(weights.begin(), weights.end());
  Call call;
  call.due = due;
  call.kind = &options_.mix[pick(random_)];
  call.entry = random_() % options_.entries.size();
  const std::string& query = call.kind->queries[random_() % call.kind->queries.size()];
  const Json body = {
      {"caller", call.kind->caller}, {"service", call.kind->service}, {"query", query}};
  call.request = {"POST", "/v1/search", {}, body.dump()};
  return call;
}

void LoadGenerator::Send(const Call& call) {
  ConnectionPtr connection;
  {
    const RankedLock lock(mutex_);
    std::vector<ConnectionPtr>& idle = idle_[call.entry];
    while (connection == nullptr && !idle.empty()) {
      connection = idle.back();
      idle.pop_back();
      if (!connection->IsIdleAndOpen()) {
        connection->Close();
        connection = nullptr;
      }
    }
  }
  if (connection != nullptr) {
    RoundTrip(connection, call);
    return;
  }
  connection =
      new http::ClientConnection(pool_.context(), options_.entries[call.entry], kMaxAnswerBytes);
  connection->Connect(kResponseTimeout, [this, connection, call](const Result<void>& connected) {
    if (connected.has_value()) {
      RoundTrip(connection, call);
    } else {
      Record(call, "not_connected");
    }
  });
}

void LoadGenerator::RoundTrip(const ConnectionPtr& connection, const Call& call) {
  connection->RoundTrip(call.request, kResponseTimeout,
                        [this, connection, call](const std::optional<http::ClientError>& error,
                                                 const http::Response& response) {
                          if (!error.has_value()) {
                            const RankedLock lock(mutex_);
                            idle_[call.entry].push_back(connection);
                          }
                          Record(call, error.has_value() ? "lost" : OutcomeOf(response));
                        });
}

void LoadGenerator::Record(const Call& call, std::string outcome) {
  bool done = false;
  {
    const RankedLock lock(mutex_);
    samples_.push_back(
        {call.due - start_, clock_.now() - call.due, call.kind->service, std::move(outcome)});
    done = all_sent_ && samples_.size() == sent_;
  }
  if (done) {
    on_complete_();
  }
}

}  // namespace peridotfork::load
