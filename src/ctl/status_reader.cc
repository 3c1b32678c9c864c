#include "peridotfork/ctl/status_reader.h"

#include <algorithm>
#include <atomic>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <cstddef>
#include <functional>
#include <latch>
#include <optional>
#include <string>
#include <utility>

#include "peridotfork/http/client.h"

namespace peridotfork::ctl {
namespace {

// Keeps the number of open connections well below the usual limit of 1,024 file
// descriptors.
constexpr std::size_t kMaxConcurrentCalls = 64;

// A document of 1 MB has about 20,000 sections, each with 100 bytes of status.
constexpr std::uint64_t kBodyLimit = 16 << 20;

// One process to query, and its answer.
struct Call {
  std::size_t host = 0;
  Role role = Role::kAgent;
  Address address;
  Result<std::string> answer = MakeError(ErrorKind::kTimedOut);
};

HostId LabelOf(const HostAddresses& host) {
  return host.id.value_or(HostId(host.agent ? host.agent->value() : std::string()));
}

Result<std::string> AnswerOf(const std::optional<http::ClientError>& error,
                             http::Response response) {
  if (error.has_value()) {
    return error->error;
  }
  if (response.status != 200) {
    return MakeError(ErrorKind::kUnavailable, "GET /admin/status",
                     "HTTP status " + std::to_string(response.status));
  }
  return std::move(response.body);
}

// Runs all calls. Each call is written by one worker and read after Wait().
class CallRunner {
 public:
  CallRunner(WorkerPool& pool,
             const Clock& clock,
             std::chrono::microseconds timeout,
             std::vector<Call>& calls)
      : pool_(pool),
        clock_(clock),
        timeout_(timeout),
        calls_(calls),
        concurrency_(std::min(kMaxConcurrentCalls, calls.size())),
        unfinished_(static_cast<std::ptrdiff_t>(calls.size() + concurrency_)) {}

  // Starts the calls and waits for them. Must be called only once.
  void Wait() {
    for (std::size_t i = 0; i < concurrency_; ++i) {
      PostNext();
    }
    unfinished_.wait();
  }

 private:
  void StartNext() {
    const std::size_t index = next_++;
    if (index >= calls_.size()) {
      return;
    }
    Call& call = calls_[index];
    const BootTime end = clock_.now() + timeout_;
    const boost::intrusive_ptr<http::ClientConnection> connection(
        new http::ClientConnection(pool_.context(), call.address, kBodyLimit));
    connection->Connect(timeout_, [this, &call, connection, end](const Result<void>& connected) {
      const auto left = end - clock_.now();
      if (left <= left.zero()) {
        connection->Close();
        Finish(call, MakeError(ErrorKind::kTimedOut, "connect to " + call.address.value()));
      } else if (!connected.has_value()) {
        Finish(call, connected.error());
      } else {
        connection->RoundTrip(
            {"GET", "/admin/status", {}, {}}, left,
            [this, &call, connection](const std::optional<http::ClientError>& error,
                                      http::Response response) {
              connection->Close();
              Finish(call, AnswerOf(error, std::move(response)));
            });
      }
    });
  }

  void Finish(Call& call, Result<std::string> answer) {
    call.answer = std::move(answer);
    PostNext();
  }

  // Counts every posted task, since the waiting thread destroys this object after
  // the last one.
  void PostNext() {
    pool_.Post([this] {
      StartNext();
      unfinished_.count_down();
    });
  }

  WorkerPool& pool_;
  const Clock& clock_;
  const std::chrono::microseconds timeout_;
  std::vector<Call>& calls_;
  const std::size_t concurrency_;
  std::atomic<std::size_t> next_ = 0;
  std::latch unfinished_;
};

}  // namespace

FleetStatus ReadFleet(WorkerPool& pool,
                      const Clock& clock,
                      const std::vector<HostAddresses>& hosts,
                      const std::vector<Role>& roles,
                      std::chrono::microseconds timeout) {
  FleetStatus fleet;
  std::vector<Call> calls;
  for (const HostAddresses& host : hosts) {
    for (const Role role : roles) {
      if (const auto& address = host.*SpecOf(role).address; address.has_value()) {
        calls.push_back({fleet.hosts.size(), role, *address});
      }
    }
    fleet.hosts.push_back({LabelOf(host), {}, {}, {}});
  }
  CallRunner(pool, clock, timeout, calls).Wait();
  for (const Call& call : calls) {
    HostStatus& host = fleet.hosts[call.host];
    Result<void> stored = boost::outcome_v2::success();
    if (call.answer.has_value()) {
      stored = SpecOf(call.role).store(call.answer.value(), host);
    } else {
      stored = call.answer.error();
    }
    if (!stored.has_value()) {
      fleet.no_answers.push_back({host.id, call.role, call.address, stored.error()});
    } else if (!hosts[call.host].id.has_value() && host.agent.has_value()) {
      host.id = host.agent->host;
    }
  }
  return fleet;
}

}  // namespace peridotfork::ctl
