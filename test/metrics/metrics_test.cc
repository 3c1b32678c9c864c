#include "peridotfork/metrics/metrics.h"

#include <doctest/doctest.h>

namespace peridotfork {
namespace {

TEST_CASE("metrics are printed in the text exposition format") {
  MetricRegistry metrics;
  metrics.CounterOf("runs_total", "Runs.", "kind=\"a\"").Add(2);
  metrics.AddGauge("open", "Open now.", [] { return 3; });
  Histogram& times = metrics.HistogramOf("times_milliseconds", "Times.");
  times.Observe(std::chrono::milliseconds(5));
  times.Observe(std::chrono::milliseconds(10'000));
  const std::string text = metrics.Print();
  CHECK(text.find("# TYPE runs_total counter\nruns_total{kind=\"a\"} 2\n") != std::string::npos);
  CHECK(text.find("# TYPE open gauge\nopen 3\n") != std::string::npos);
  CHECK(text.find("times_milliseconds_bucket{le=\"2\"} 0\n") != std::string::npos);
  CHECK(text.find("times_milliseconds_bucket{le=\"5\"} 1\n") != std::string::npos);
  CHECK(text.find("times_milliseconds_bucket{le=\"+Inf\"} 2\n") != std::string::npos);
  CHECK(text.find("times_milliseconds_count 2\n") != std::string::npos);
}

TEST_CASE("series beyond the limit share one overflow series") {
  MetricRegistry metrics;
  for (std::size_t i = 0; i < MetricRegistry::kMaxSeries + 10; ++i) {
    metrics.CounterOf("runs_total", "Runs.", "route=\"" + std::to_string(i) + "\"").Add();
  }
  const std::string text = metrics.Print();
  CHECK(text.find("runs_total{overflow=\"true\"} 10\n") != std::string::npos);
}

}  // namespace
}  // namespace peridotfork
