#include "peridotfork/load/summary.h"

#include <doctest/doctest.h>
#include <sstream>

namespace peridotfork::load {
namespace {

Sample MakeSample(int latency_ms, const char* outcome) {
  return {std::chrono::milliseconds(1), std::chrono::milliseconds(latency_ms), "hearing-desk",
          outcome};
}

// Guards against refusals lowering the quantiles: they are answered faster than served requests.
TEST_CASE("quantiles exclude requests that were refused") {
  const std::vector<Sample> samples = {MakeSample(10, "complete"), MakeSample(20, "partial"),
                                       MakeSample(1, "caller_limit")};
  CHECK(LatencyQuantile(samples, 0) == std::chrono::milliseconds(10));
  CHECK(LatencyQuantile(samples, 0.99) == std::chrono::milliseconds(20));
  CHECK(LatencyQuantile({}, 0.5) == std::chrono::nanoseconds(0));
}

TEST_CASE("the summary counts the samples of each outcome") {
  const std::vector<Sample> samples = {MakeSample(10, "complete"), MakeSample(1, "shed")};
  std::ostringstream out;
  PrintSummary(samples, out);
  CHECK(out.str().find("outcome complete 1\noutcome shed 1\n") != std::string::npos);
}

TEST_CASE("a mix can be one service, and an unknown name is refused") {
  CHECK(FindMix("billing").value().size() == 1);
  CHECK(FindMix("parking").error().kind() == ErrorKind::kUnknownName);
}

}  // namespace
}  // namespace peridotfork::load
