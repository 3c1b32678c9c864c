#include "peridotfork/limits/connection_budget.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>
#include <vector>

namespace peridotfork {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

class BudgetTest {
 protected:
  void Open(std::uint64_t id) { budget_.OnOpened(ConnectionId{id}); }

  void Exchange(std::uint64_t id, milliseconds latency, int count = 1) {
    for (int i = 0; i < count; ++i) {
      Send(id, milliseconds(400));
      clock_.Advance(latency);
      budget_.OnAnswered(ConnectionId{id});
    }
  }

  void Send(std::uint64_t id, milliseconds time) {
    budget_.OnSent(ConnectionId{id}, clock_.wall_now() + time);
  }

  // Connections 1 to 6 are open and the p99 is 10 ms.
  void MakeReady() {
    REQUIRE(budget_.ToOpen(Slots{3}) == Connections{6});
    for (std::uint64_t id = 1; id <= 6; ++id) {
      Open(id);
    }
    Exchange(1, milliseconds(10), 30);
  }

  ManualClock clock_;
  ConnectionBudget budget_{clock_, {.cap = Connections{8}}};
};

TEST_CASE_FIXTURE(BudgetTest,
                  "ToOpen returns the allowance plus the spares once, limited by the cap") {
  CHECK(budget_.ToOpen(Slots{3}) == Connections{6});
  CHECK(budget_.ToOpen(Slots{3}) == Connections{0});
  for (std::uint64_t id = 1; id <= 6; ++id) {
    Open(id);
  }
  CHECK(budget_.ToOpen(Slots{3}) == Connections{0});
  CHECK(budget_.ToOpen(Slots{30}) == Connections{2});
}

TEST_CASE_FIXTURE(
    BudgetTest,
    "connections to a failing target are opened one at a time with growing back-off") {
  const std::uint32_t first = budget_.ToOpen(Slots{3}).value();
  for (std::uint32_t i = 0; i < first; ++i) {
    budget_.OnOpenFailed();
  }
  int tries = 0;
  for (int i = 0; i < 10000; ++i) {
    clock_.Advance(milliseconds(1));
    if (budget_.ToOpen(Slots{3}) == Connections{1}) {
      ++tries;
      budget_.OnOpenFailed();
    }
  }
  // In 10 s, with a back-off that doubles from 20 ms to 1 s.
  CHECK(tries >= 9);
  CHECK(tries <= 16);
}

// Guards against a reconnect loop with a target that accepts connections and closes them at once.
TEST_CASE_FIXTURE(BudgetTest, "a connection closed before its first byte counts as a failed open") {
  REQUIRE(budget_.ToOpen(Slots{3}) == Connections{6});
  Open(1);
  budget_.OnClosed(ConnectionId{1});
  CHECK(budget_.ToOpen(Slots{6}) == Connections{0});
}

TEST_CASE_FIXTURE(
    BudgetTest,
    "a silent connection is detected after two later attempts on other connections are answered") {
  MakeReady();
  Send(2, milliseconds(400));
  clock_.Advance(milliseconds(21));
  CHECK(budget_.FindSilent().empty());
  Exchange(1, milliseconds(1));
  CHECK(budget_.FindSilent().empty());
  Exchange(3, milliseconds(1));
  CHECK(budget_.FindSilent() == std::vector{ConnectionId{2}});
  budget_.OnBytes(ConnectionId{2});
  CHECK(budget_.FindSilent().empty());
}

TEST_CASE_FIXTURE(BudgetTest,
                  "without answers on other connections, a connection counts as silent at the "
                  "deadline of its attempt") {
  MakeReady();
  Send(2, milliseconds(400));
  clock_.Advance(milliseconds(399));
  CHECK(budget_.FindSilent().empty());
  CHECK(budget_.wake_time() == clock_.now() + milliseconds(1));
  clock_.Advance(milliseconds(1));
  CHECK(budget_.FindSilent() == std::vector{ConnectionId{2}});
}

TEST_CASE_FIXTURE(BudgetTest,
                  "a closed silent connection is replaced and counts against the cap until its "
                  "linger time ends") {
  MakeReady();
  for (std::uint64_t id = 2; id <= 4; ++id) {
    budget_.OnSilent(ConnectionId{id});
  }
  CHECK(budget_.counted() == Connections{6});
  CHECK(budget_.ToOpen(Slots{3}) == Connections{2});
  clock_.Advance(seconds(1));
  CHECK(budget_.ToOpen(Slots{3}) == Connections{1});
}

TEST_CASE_FIXTURE(BudgetTest, "a lower cap closes idle connections only") {
  MakeReady();
  Send(1, milliseconds(400));
  budget_.SetCap(Connections{4});
  CHECK(budget_.ToClose() == std::vector{ConnectionId{2}, ConnectionId{3}});
  CHECK(budget_.ToOpen(Slots{3}) == Connections{0});
}

// Model of a dispatcher with 3 slots whose connections go silent at random. The target counts a
// silent connection until half a second after it was closed.
class ConnectionModel {
 public:
  ConnectionModel(unsigned seed, std::uint32_t silent_per_10000)
      : random_(seed), silent_per_10000_(silent_per_10000) {}

  void Run() {
    for (int step = 0; step < 8000; ++step) {
      clock_.Advance(milliseconds(1));
      OpenAndClose();
      SendAndAnswer();
      ReplaceSilent();
      REQUIRE(budget_.counted() <= Connections{kCap});
      REQUIRE(AtTarget() <= kCap);
    }
  }

  int answered() const { return answered_; }
  int false_positives() const { return false_positives_; }
  int found() const { return found_; }
  std::chrono::nanoseconds longest_silence() const { return longest_silence_; }

 private:
  static constexpr std::uint32_t kCap = 12;
  static constexpr std::uint32_t kSlots = 3;

  struct Link {
    bool silent = false;
    bool busy = false;
    BootTime sent;
    BootTime answer_at;
  };

  std::uint32_t Pick(std::uint32_t below) { return static_cast<std::uint32_t>(random_() % below); }

  std::size_t AtTarget() {
    std::erase_if(closing_, [this](BootTime end) { return end <= clock_.now(); });
    return connections_.size() + closing_.size() + opening_.size();
  }

  void OpenAndClose() {
    for (std::uint32_t n = budget_.ToOpen(Slots{kSlots}).value(); n > 0; --n) {
      opening_.push_back(clock_.now() + milliseconds(6));
    }
    std::erase_if(opening_, [this](BootTime done) {
      if (done > clock_.now()) {
        return false;
      }
      if (Pick(20) == 0) {
        budget_.OnOpenFailed();
      } else {
        connections_[ConnectionId{++last_id_}] = {};
        budget_.OnOpened(ConnectionId{last_id_});
      }
      return true;
    });
    if (Pick(200) == 0 && !connections_.empty() && !connections_.begin()->second.busy) {
      budget_.OnClosed(connections_.begin()->first);
      connections_.erase(connections_.begin());
    }
  }

  void SendAndAnswer() {
    std::uint32_t in_flight = 0;
    for (auto& [id, link] : connections_) {
      if (link.busy && !link.silent && link.answer_at <= clock_.now()) {
        budget_.OnAnswered(id);
        link.busy = false;
        ++answered_;
      }
      link.silent = link.silent || Pick(10000) < silent_per_10000_;
      in_flight += link.busy ? 1 : 0;
    }
    for (auto& [id, link] : connections_) {
      if (!link.busy && in_flight < kSlots && Pick(3) == 0) {
        ++in_flight;
        link = {link.silent, true, clock_.now(), clock_.now() + milliseconds(5 + Pick(8))};
        budget_.OnSent(id, clock_.wall_now() + milliseconds(400));
      }
    }
  }

  void ReplaceSilent() {
    for (const ConnectionId& id : budget_.FindSilent()) {
      const Link& link = connections_.at(id);
      (link.silent ? found_ : false_positives_) += 1;
      longest_silence_ = std::max(longest_silence_, clock_.now() - link.sent);
      budget_.OnSilent(id);
      connections_.erase(id);
      closing_.push_back(clock_.now() + milliseconds(500));
    }
  }

  std::mt19937 random_;
  std::uint32_t silent_per_10000_;
  ManualClock clock_;
  ConnectionBudget budget_{clock_, {.cap = Connections{kCap}}};
  std::map<ConnectionId, Link> connections_;
  std::vector<BootTime> opening_;
  std::vector<BootTime> closing_;
  std::uint64_t last_id_ = 0;
  int answered_ = 0;
  int found_ = 0;
  int false_positives_ = 0;
  std::chrono::nanoseconds longest_silence_{0};
};

TEST_CASE("the cap is never exceeded and silent connections are detected by the deadline") {
  for (unsigned seed = 0; seed < 300; ++seed) {
    INFO("seed ", seed);
    ConnectionModel model(seed, seed % 30);
    model.Run();
    CHECK(model.false_positives() == 0);
    CHECK(model.longest_silence() <= milliseconds(400));
    CHECK(model.answered() > 500);
    CHECK((model.found() > 0) == (seed % 30 > 0));
  }
}

// Guards against closing connections because the target became slow, for example after losing its
// caches: the attempts would still run on the target while their retries start.
TEST_CASE("answers that become slow on all connections do not make them silent") {
  int false_positives = 0;
  for (unsigned seed = 0; seed < 300; ++seed) {
    std::mt19937 random(seed);
    ManualClock clock;
    ConnectionBudget budget(clock, {.cap = Connections{12}});
    std::map<ConnectionId, BootTime> busy;
    for (std::uint64_t id = 1; id <= 3; ++id) {
      budget.OnOpened(ConnectionId{id});
    }
    for (int step = 0; step < 4000; ++step) {
      clock.Advance(milliseconds(1));
      const bool cold = step > 2000;
      for (std::uint64_t id = 1; id <= 3; ++id) {
        const auto it = busy.find(ConnectionId{id});
        if (it != busy.end() && it->second > clock.now()) {
          continue;
        }
        if (it != busy.end()) {
          budget.OnAnswered(ConnectionId{id});
        }
        budget.OnSent(ConnectionId{id}, clock.wall_now() + milliseconds(400));
        busy[ConnectionId{id}] =
            clock.now() + milliseconds(cold ? 60 + random() % 90 : 5 + random() % 8);
      }
      false_positives += static_cast<int>(budget.FindSilent().size());
    }
  }
  CHECK(false_positives == 0);
}

}  // namespace
}  // namespace peridotfork
