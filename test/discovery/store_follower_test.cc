#include "peridotfork/discovery/store_follower.h"

#include <doctest/doctest.h>

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace peridotfork {
namespace {

using std::chrono::milliseconds;

StoreReply Reply(std::uint64_t revision, std::vector<StoreChange> changes = {}) {
  StoreReply reply;
  reply.revision = StoreRevision(revision);
  reply.changes = std::move(changes);
  return reply;
}

StoreChange Target(const std::string& id) {
  TargetEntry entry;
  entry.id = TargetId(id);
  return TargetReported{entry};
}

// Gives the scripted replies in order; later calls get no reply.
class ScriptedStore final : public MetadataStore {
 public:
  explicit ScriptedStore(WorkerPool& pool) : pool_(pool) {}

  void Add(Result<StoreReply> reply) { script_.push_back(std::move(reply)); }

  void List(const std::string& page, Callback done) override {
    Answer("list " + page, std::move(done));
  }
  void Watch(StoreRevision after, milliseconds, Callback done) override {
    Answer("watch " + std::to_string(after.value()), std::move(done));
  }

  // Waits until at least `count` calls have been made; returns all calls made so far.
  std::vector<std::string> WaitForCalls(std::size_t count) {
    std::unique_lock lock(mutex_);
    CHECK(
        changed_.wait_for(lock, std::chrono::seconds(10), [&] { return calls_.size() >= count; }));
    return calls_;
  }

 private:
  void Answer(std::string call, Callback done) {
    const std::lock_guard lock(mutex_);
    calls_.push_back(std::move(call));
    changed_.notify_all();
    if (script_.empty()) {
      return;
    }
    pool_.Post([done = std::move(done), reply = std::move(script_.front())]() mutable {
      done(std::move(reply));
    });
    script_.pop_front();
  }

  WorkerPool& pool_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<Result<StoreReply>> script_;
  std::vector<std::string> calls_;
};

constexpr FollowerOptions kFastOptions{.batch_share = 0,
                                       .initial_retry_delay = milliseconds(1),
                                       .max_retry_delay = milliseconds(4)};

struct Fixture {
  explicit Fixture(FollowerOptions options = kFastOptions) : options(options) {}

  std::vector<std::string> Run(std::size_t calls) {
    follower.Start();
    std::vector<std::string> calls_made = store.WaitForCalls(calls);
    follower.Stop();
    pool.Stop();
    return calls_made;
  }

  const FollowerOptions options;
  SystemClock clock;
  Logger log{"test", clock};
  WorkerPool pool{1};
  ScriptedStore store{pool};
  std::vector<std::size_t> sizes;
  StoreFollower follower{
      pool,
      clock,
      store,
      log,
      [this](const FleetDirectory& directory) { sizes.push_back(directory.targets().size()); },
      options};
};

TEST_CASE("a watch goes on from the revision of the first page of a listing") {
  Fixture fixture;
  StoreReply first = Reply(10, {Target("a")});
  first.next_page = "servers/a";
  fixture.store.Add(first);
  fixture.store.Add(Reply(12, {Target("b")}));
  fixture.store.Add(Reply(13, {Target("c")}));
  const auto calls = fixture.Run(4);
  CHECK(calls == std::vector<std::string>{"list ", "list servers/a", "watch 10", "watch 13"});
  CHECK(fixture.sizes == std::vector<std::size_t>{2, 3});
}

TEST_CASE("a lost history leads to a new listing, which drops targets that it does not name") {
  Fixture fixture;
  fixture.store.Add(Reply(10, {Target("a"), Target("b")}));
  fixture.store.Add(MakeError(ErrorKind::kStaleRevision));
  fixture.store.Add(Reply(40, {Target("b")}));
  const auto calls = fixture.Run(4);
  CHECK(calls == std::vector<std::string>{"list ", "watch 10", "list ", "watch 40"});
  CHECK(fixture.sizes == std::vector<std::size_t>{2, 1});
}

// Guards against a host that asks for ever for changes that exceed what it accepts in one reply.
TEST_CASE("changes that are too large for a reply are skipped by a listing") {
  Fixture fixture;
  fixture.store.Add(Reply(10, {Target("a"), Target("b")}));
  fixture.store.Add(MakeError(ErrorKind::kTooLarge));
  fixture.store.Add(Reply(40, {Target("b")}));
  const auto calls = fixture.Run(4);
  CHECK(calls == std::vector<std::string>{"list ", "watch 10", "list ", "watch 40"});
  CHECK(fixture.sizes == std::vector<std::size_t>{2, 1});
}

// Guards against calls without a pause to a store whose listing can't be read.
TEST_CASE("a listing that is too large is retried with a delay") {
  Fixture fixture({.batch_share = 0,
                   .initial_retry_delay = milliseconds(100),
                   .max_first_retry_delay = milliseconds(100)});
  fixture.store.Add(MakeError(ErrorKind::kTooLarge));
  fixture.store.Add(MakeError(ErrorKind::kTooLarge));
  const auto begin = std::chrono::steady_clock::now();
  CHECK(fixture.Run(3) == std::vector<std::string>{"list ", "list ", "list "});
  CHECK(std::chrono::steady_clock::now() - begin >= milliseconds(200));
}

StoreReply ReplyOf(std::uint64_t era,
                   std::uint64_t revision,
                   std::vector<StoreChange> changes = {}) {
  StoreReply reply = Reply(revision, std::move(changes));
  reply.era = StoreEra(era);
  return reply;
}

TEST_CASE("changes are not missed if a restored store has given out the watched revision again") {
  Fixture fixture;
  fixture.store.Add(ReplyOf(1, 10, {Target("a")}));
  fixture.store.Add(MakeError(ErrorKind::kTransport));
  fixture.store.Add(ReplyOf(2, 11, {Target("c")}));
  fixture.store.Add(ReplyOf(2, 11, {Target("a"), Target("b"), Target("c")}));
  fixture.store.Add(ReplyOf(2, 12));
  const auto calls = fixture.Run(6);
  CHECK(calls ==
        std::vector<std::string>{"list ", "watch 10", "watch 10", "list ", "watch 11", "watch 12"});
  CHECK(fixture.sizes == std::vector<std::size_t>{1, 3});
}

TEST_CASE("a watch goes on from the lower revision of a restored store") {
  Fixture fixture;
  fixture.store.Add(ReplyOf(1, 10, {Target("a")}));
  fixture.store.Add(MakeError(ErrorKind::kStaleRevision));
  fixture.store.Add(ReplyOf(2, 7, {Target("a")}));
  fixture.store.Add(ReplyOf(2, 8));
  const auto calls = fixture.Run(5);
  CHECK(calls == std::vector<std::string>{"list ", "watch 10", "list ", "watch 7", "watch 8"});
}

TEST_CASE("a listing whose pages are of two eras restarts from the first page") {
  Fixture fixture;
  StoreReply first = ReplyOf(1, 10, {Target("a")});
  first.next_page = "servers/a";
  fixture.store.Add(first);
  fixture.store.Add(ReplyOf(2, 6, {Target("b")}));
  fixture.store.Add(ReplyOf(2, 6, {Target("b")}));
  const auto calls = fixture.Run(4);
  CHECK(calls == std::vector<std::string>{"list ", "list servers/a", "list ", "watch 6"});
  CHECK(fixture.sizes == std::vector<std::size_t>{1});
}

TEST_CASE("failed calls are retried, watches from where they were") {
  Fixture fixture;
  fixture.store.Add(MakeError(ErrorKind::kUnavailable));
  fixture.store.Add(Reply(10, {Target("a")}));
  fixture.store.Add(MakeError(ErrorKind::kTimedOut));
  fixture.store.Add(MakeError(ErrorKind::kShed));
  fixture.store.Add(Reply(11));
  const auto calls = fixture.Run(6);
  CHECK(calls ==
        std::vector<std::string>{"list ", "list ", "watch 10", "watch 10", "watch 10", "watch 11"});
  CHECK(fixture.follower.failures() == 3);
}

// Guards against a store that is overloaded by the retries of all hosts.
TEST_CASE("refused calls are retried with a growing delay") {
  Fixture fixture({.initial_retry_delay = milliseconds(20),
                   .max_retry_delay = milliseconds(80),
                   .max_first_retry_delay = milliseconds(80)});
  fixture.store.Add(Reply(10));
  for (int i = 0; i < 4; ++i) {
    fixture.store.Add(MakeError(ErrorKind::kUnavailable));
  }
  const auto begin = std::chrono::steady_clock::now();
  fixture.Run(6);
  // 20, 40, 80 and 80 ms between the starts of the calls.
  CHECK(std::chrono::steady_clock::now() - begin >= milliseconds(220));
}

TEST_CASE("a listing that fails midway restarts from the first page") {
  Fixture fixture;
  StoreReply first = Reply(10, {Target("a")});
  first.next_page = "servers/a";
  fixture.store.Add(first);
  fixture.store.Add(MakeError(ErrorKind::kTransport));
  fixture.store.Add(Reply(20, {Target("b")}));
  const auto calls = fixture.Run(4);
  CHECK(calls == std::vector<std::string>{"list ", "list servers/a", "list ", "watch 20"});
  CHECK(fixture.sizes == std::vector<std::size_t>{1});
}

// Guards against a listing that calls the store without end and without a delay.
TEST_CASE("a listing whose pages do not advance counts as failed") {
  Fixture fixture;
  StoreReply page = Reply(10, {Target("a")});
  page.next_page = "servers/a";
  fixture.store.Add(page);
  fixture.store.Add(page);
  fixture.store.Add(Reply(20, {Target("b")}));
  const auto calls = fixture.Run(4);
  CHECK(calls == std::vector<std::string>{"list ", "list servers/a", "list ", "watch 20"});
  CHECK(fixture.follower.failures() == 1);
  CHECK(fixture.sizes == std::vector<std::size_t>{1});
}

// Guards against a host that is cut off while large configurations come, and serves by an old one
// for seconds after it has reached the store again.
TEST_CASE("a follower that is behind has the newest configuration without pauses") {
  const auto version = [](std::uint64_t number) {
    StoreReply reply =
        Reply(10 + number,
              {CataloguePublished{CataloguePtr(new Catalogue(Revision(number), {}, {}, {}))}});
    reply.is_long = true;
    return reply;
  };
  Fixture fixture(FollowerOptions{});
  StoreReply first = Reply(10, {Target("a")});
  first.next_page = "servers/a";
  fixture.store.Add(first);
  fixture.store.Add(Reply(10, {Target("b")}));
  fixture.store.Add(MakeError(ErrorKind::kTransport));
  for (const std::uint64_t number : {1, 2, 3}) {
    fixture.store.Add(version(number));
  }
  fixture.store.Add(version(13));
  const auto begin = std::chrono::steady_clock::now();
  const auto calls = fixture.Run(8);
  CHECK(std::chrono::steady_clock::now() - begin < fixture.options.batch_delay());
  CHECK(calls == std::vector<std::string>{"list ", "list servers/a", "watch 10", "watch 10",
                                          "watch 11", "watch 12", "list ", "watch 23"});
}

// Guards against targets that stay in use because the timer of their removal runs once, and the
// store was away for a short time before it.
TEST_CASE("removals that are deferred further are made when they are due") {
  Fixture fixture({.batch_share = 0,
                   .initial_retry_delay = milliseconds(600),
                   .max_first_retry_delay = milliseconds(600)});
  std::vector<StoreChange> reports;
  std::vector<StoreChange> removals;
  for (int i = 0; i < 10; ++i) {
    reports.push_back(Target(std::to_string(i)));
    removals.emplace_back(TargetRemoved{TargetId(std::to_string(i))});
  }
  fixture.store.Add(Reply(10, reports));
  fixture.store.Add(Reply(11, removals));
  fixture.store.Add(MakeError(ErrorKind::kUnavailable));
  StoreReply nothing = Reply(11);
  nothing.empty = true;
  fixture.store.Add(nothing);
  fixture.follower.Start();
  fixture.store.WaitForCalls(5);
  std::this_thread::sleep_for(FleetDirectory::kRemovalGrace + milliseconds(500));
  fixture.follower.Stop();
  fixture.pool.Stop();
  CHECK(fixture.sizes == std::vector<std::size_t>{10, 10, 0});
}

// Guards against API keys that are taken for current although the store has left out a newer
// configuration.
TEST_CASE("a reply that may be incomplete does not make what is known current") {
  ManualClock clock;
  Logger log("test", clock);
  WorkerPool pool(1);
  ScriptedStore store(pool);
  StoreReply changes = Reply(11, {Target("a")});
  changes.is_long = true;
  store.Add(Reply(10));
  store.Add(changes);
  // The watch begins a second after the listing.
  StoreFollower follower(pool, clock, store, log,
                         [&](const FleetDirectory&) { clock.Advance(std::chrono::seconds(1)); });
  const BootTime listed = clock.now();
  follower.Start();
  store.WaitForCalls(3);
  CHECK(follower.current_as_of() == listed);
  follower.Stop();
  pool.Stop();
}

}  // namespace
}  // namespace peridotfork
