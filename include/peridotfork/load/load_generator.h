#ifndef PERIDOTFORK_LOAD_LOAD_GENERATOR_H_
#define PERIDOTFORK_LOAD_LOAD_GENERATOR_H_

#include <boost/asio/steady_timer.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "peridotfork/core/clock.h"
#include "peridotfork/http/client.h"
#include "peridotfork/load/mix.h"
#include "peridotfork/runtime/ranked_mutex.h"
#include "peridotfork/runtime/worker_pool.h"

namespace peridotfork::load {

struct LoadOptions {
  std::vector<Address> entries;
  Mix mix;
  double rate = 100;
  std::chrono::milliseconds duration{10000};
  std::uint64_t seed = 1;
};

// Result of one request. The latency is measured from the scheduled send time, so that it includes
// the time a request waits before it is sent and a slow system cannot hide its queue (coordinated
// omission).
struct Sample {
  // Scheduled send time, relative to the start of the run.
  std::chrono::nanoseconds due{0};
  std::chrono::nanoseconds latency{0};
  std::string service;
  // Outcome given in the response, or the kind of the error.
  std::string outcome;
};

// Open-loop load generator: sends requests as a Poisson process with a fixed mean rate, independent
// of how long the responses take. Can be run once. Thread-safe.
class LoadGenerator {
 public:
  LoadGenerator(WorkerPool& pool, const Clock& clock, LoadOptions options);

  // Sends all requests and returns once each of them has been answered or has failed.
  std::vector<Sample> Run();

 private:
  using ConnectionPtr = boost::intrusive_ptr<http::ClientConnection>;

  struct Call {
    std::size_t entry = 0;
    BootTime due;
    const MixEntry* kind = nullptr;
    http::Request request;
  };

  void SendDue();
  Call MakeCall(BootTime due);
  void Send(const Call& call);
  void RoundTrip(const ConnectionPtr& connection, const Call& call);
  void Record(const Call& call, std::string outcome);

  WorkerPool& pool_;
  const Clock& clock_;
  const LoadOptions options_;
  BootTime start_;
  BootTime end_;

  RankedMutex mutex_{LockRank::kQueries};
  std::mt19937_64 random_;
  BootTime next_send_time_;
  std::uint64_t sent_ = 0;
  bool all_sent_ = false;
  std::function<void()> on_complete_;
  std::map<std::size_t, std::vector<ConnectionPtr>> idle_;
  std::vector<Sample> samples_;
};

}  // namespace peridotfork::load

#endif  // PERIDOTFORK_LOAD_LOAD_GENERATOR_H_
