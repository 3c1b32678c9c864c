#include "peridotfork/balance/rate_share.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <vector>

namespace peridotfork {
namespace {

using std::chrono::milliseconds;

// Hosts that share one target which has named a limit, and the rule that it judges them by.
class ShareModel {
 public:
  ShareModel(std::size_t hosts, double limit) : limit_(limit), random_(3) {
    std::uniform_real_distribution<double> phase(0, 1);
    for (std::size_t i = 0; i < hosts; ++i) {
      shares_.emplace_back(Rate(limit), phase(random_), hosts, now_);
    }
  }

  // Each host offers requests at random times, on average `per_second` of them.
  void Run(milliseconds time, double per_second) {
    std::bernoulli_distribution has_request(std::min(1.0, per_second * kStep.count() / 1e3));
    for (milliseconds passed(0); passed < time; passed += kStep) {
      now_ += kStep;
      for (RateShare& share : shares_) {
        if (has_request(random_) && share.NextSend(now_) <= now_) {
          share.OnSent(now_);
          sent_.push_back(now_);
        }
      }
    }
  }

  // The most requests in any four seconds, as a share of what is allowed.
  double WorstWindow() const {
    std::size_t most = 0;
    for (std::size_t first = 0, end = 0; first < sent_.size(); ++first) {
      while (end < sent_.size() && sent_[end] - sent_[first] < kWindow) {
        ++end;
      }
      most = std::max(most, end - first);
    }
    return static_cast<double>(most) / (1.5 * limit_ * kWindow.count() + 5);
  }

  // Requests sent since the start as a share of the limit.
  double Use() const {
    const std::chrono::duration<double> time = now_ - BootTime();
    return static_cast<double>(sent_.size()) / (limit_ * time.count());
  }

 private:
  static constexpr milliseconds kStep{5};
  static constexpr std::chrono::seconds kWindow{4};

  const double limit_;
  std::mt19937 random_;
  BootTime now_;
  std::vector<RateShare> shares_;
  std::vector<BootTime> sent_;
};

TEST_CASE("all hosts together stay within the limit of a target and use most of it") {
  for (const std::size_t hosts : {4, 25, 70, 118}) {
    for (const double limit : {3.0, 30.0, 300.0}) {
      CAPTURE(hosts);
      CAPTURE(limit);
      ShareModel model(hosts, limit);
      model.Run(std::chrono::seconds(60), 4 * limit / static_cast<double>(hosts) + 2);
      CHECK(model.WorstWindow() <= 1);
      CHECK(model.Use() >= 0.7);
    }
  }
}

TEST_CASE("hosts that turn to a limited target all at once stay within its limit") {
  for (const std::size_t hosts : {4, 25, 70, 118}) {
    for (const double limit : {3.0, 30.0, 300.0}) {
      CAPTURE(hosts);
      CAPTURE(limit);
      ShareModel model(hosts, limit);
      for (int i = 0; i < 5; ++i) {
        model.Run(std::chrono::seconds(20), 0);
        model.Run(std::chrono::seconds(8), 200);
      }
      CHECK(model.WorstWindow() <= 1);
    }
  }
}

}  // namespace
}  // namespace peridotfork
