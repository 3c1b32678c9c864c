#include "peridotfork/transport/endpoint.h"

#include <doctest/doctest.h>
#include <future>

namespace peridotfork {
namespace {

ProcessId Process(const char* host) {
  return {HostId(host), Role::kEntry, Incarnation(1)};
}

TEST_CASE("a message is delivered from one endpoint to another") {
  WorkerPool pool(2);
  std::promise<protocol::Envelope> received;
  Endpoint receiver(
      pool, Process("b"),
      [&](protocol::Envelope envelope) { received.set_value(std::move(envelope)); },
      [](const Error&) {});
  Endpoint sender(
      pool, Process("a"), [](const protocol::Envelope&) {}, [](const Error&) {});
  REQUIRE(receiver.Listen(Address("127.0.0.1:0")).has_value());
  REQUIRE(sender.Send(receiver.address(), Incarnation(1), protocol::SubCancel{AttemptId(5)})
              .has_value());
  const protocol::Envelope envelope = received.get_future().get();
  CHECK(envelope.from.host == HostId("a"));
  CHECK(std::get<protocol::SubCancel>(envelope.message).attempt == AttemptId(5));
  sender.Close();
  receiver.Close();
  pool.Stop();
}

// Guards against a sender that blocks or queues an unbounded number of messages.
TEST_CASE("messages to an unreachable peer are dropped over the queue length") {
  WorkerPool pool(1);
  Endpoint sender(
      pool, Process("a"), [](const protocol::Envelope&) {}, [](const Error&) {});
  int refused = 0;
  for (int i = 0; i < 2 * Endpoint::kSendQueueLength; ++i) {
    const auto sent =
        sender.Send(Address("127.0.0.1:1"), Incarnation(0), protocol::SubCancel{AttemptId(1)});
    refused += sent.has_value() ? 0 : 1;
  }
  CHECK(refused >= Endpoint::kSendQueueLength - 1);
  sender.Close();
  pool.Stop();
}

}  // namespace
}  // namespace peridotfork
