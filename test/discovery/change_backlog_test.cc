#include "peridotfork/discovery/change_backlog.h"

#include <doctest/doctest.h>

namespace peridotfork {
namespace {

StoreReply Short() {
  StoreReply reply;
  reply.changes = {TargetRemoved{TargetId("a")}};
  return reply;
}

StoreReply Long() {
  StoreReply reply = Short();
  reply.is_long = true;
  return reply;
}

StoreReply Empty() {
  StoreReply reply;
  reply.empty = true;
  return reply;
}

TEST_CASE("a follower that has read all changes pauses once, and then waits") {
  ChangeBacklog backlog;
  CHECK(backlog.OnWatched(Short()) == NextRead::kPause);
  CHECK(backlog.OnWatched(Short()) == NextRead::kPause);
  CHECK(backlog.OnWatched(Empty()) == NextRead::kWatch);
}

// Guards against a host that applies a configuration late because it pauses after each part of what
// it has missed.
TEST_CASE("a follower reads on after a long reply until nothing is left") {
  ChangeBacklog backlog;
  backlog.OnListed(10);
  CHECK(backlog.OnWatched(Long()) == NextRead::kReadOn);
  CHECK(backlog.OnWatched(Long()) == NextRead::kReadOn);
  CHECK(backlog.OnWatched(Empty()) == NextRead::kPause);
  CHECK(backlog.OnWatched(Empty()) == NextRead::kWatch);
}

// Guards against a backlog in which a change of a target stands before each large configuration.
TEST_CASE("a short reply between long ones does not end the reading") {
  ChangeBacklog backlog;
  backlog.OnListed(10);
  CHECK(backlog.OnWatched(Long()) == NextRead::kReadOn);
  CHECK(backlog.OnWatched(Short()) == NextRead::kReadOn);
  CHECK(backlog.OnWatched(Long()) == NextRead::kReadOn);
  CHECK(backlog.OnWatched(Short()) == NextRead::kReadOn);
  CHECK(backlog.OnWatched(Short()) == NextRead::kPause);
}

// Guards against calls without a pause while targets report all the time.
TEST_CASE("short replies after a long one cost two calls without a pause at most") {
  ChangeBacklog backlog;
  CHECK(backlog.OnWatched(Long()) == NextRead::kReadOn);
  CHECK(backlog.OnWatched(Short()) == NextRead::kReadOn);
  for (int i = 0; i < 10; ++i) {
    CHECK(backlog.OnWatched(Short()) == NextRead::kPause);
  }
}

// Guards against a host that reads each version of a configuration that it has missed.
TEST_CASE("changes that take more replies than a listing are not read to the end") {
  ChangeBacklog backlog;
  backlog.OnListed(2);
  CHECK(backlog.OnWatched(Long()) == NextRead::kReadOn);
  CHECK(backlog.OnWatched(Short()) == NextRead::kReadOn);
  CHECK(backlog.OnWatched(Long()) == NextRead::kReadOn);
  CHECK(backlog.OnWatched(Long()) == NextRead::kList);
  backlog.OnListed(2);
  CHECK(backlog.OnWatched(Long()) == NextRead::kReadOn);
  CHECK(backlog.OnWatched(Empty()) == NextRead::kPause);
}

}  // namespace
}  // namespace peridotfork
