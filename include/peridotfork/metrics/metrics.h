#ifndef PERIDOTFORK_METRICS_METRICS_H_
#define PERIDOTFORK_METRICS_METRICS_H_

#include <array>
#include <atomic>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "peridotfork/runtime/ranked_mutex.h"

namespace peridotfork {

// Monotonically increasing counter. Thread-safe.
class Counter {
 public:
  void Add(std::uint64_t count = 1) { value_ += count; }
  std::uint64_t value() const { return value_; }

 private:
  std::atomic<std::uint64_t> value_ = 0;
};

// Histogram of durations with fixed buckets. Thread-safe.
class Histogram {
 public:
  // Upper bounds of the buckets in milliseconds; a further last bucket has no bound.
  static constexpr std::array<double, 14> kBounds = {1,  2,   5,   10,  20,  40,   60,
                                                     80, 120, 200, 400, 800, 1600, 3200};

  void Observe(std::chrono::nanoseconds time);

  // Appends the lines of the text exposition format for the metric `name` with `labels`.
  void Print(const std::string& name, const std::string& labels, std::string& out) const;

 private:
  using Summary = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::count,
                                 boost::accumulators::tag::sum,
                                 boost::accumulators::tag::max>>;

  mutable RankedMutex mutex_{LockRank::kMetrics};
  Summary summary_;
  std::array<std::uint64_t, kBounds.size() + 1> buckets_{};
};

// The metrics of a process by name and labels. References to counters and histograms stay valid
// for the lifetime of the registry. Thread-safe.
class MetricRegistry {
 public:
  // Maximum number of series of one name; further ones share a series with the label "overflow".
  static constexpr std::size_t kMaxSeries = 64;

  // `labels` is empty or has the form key="value",...
  Counter& CounterOf(const std::string& name,
                     const std::string& help,
                     const std::string& labels = "");
  Histogram& HistogramOf(const std::string& name,
                         const std::string& help,
                         const std::string& labels = "");
  // Adds a gauge whose value is read with `read` when the metrics are printed.
  void AddGauge(const std::string& name, const std::string& help, std::function<double()> read);

  // Returns all metrics in the text exposition format.
  std::string Print() const;

 private:
  template <typename Metric>
  struct Family {
    std::string help;
    std::map<std::string, Metric> series;
  };
  struct Gauge {
    std::string help;
    std::function<double()> read;
  };

  template <typename Metric>
  static Metric& Find(std::map<std::string, Family<Metric>>& families,
                      const std::string& name,
                      const std::string& help,
                      const std::string& labels);

  mutable RankedMutex mutex_{LockRank::kMetricNames};
  std::map<std::string, Family<Counter>> counters_;
  std::map<std::string, Family<Histogram>> histograms_;
  std::map<std::string, Gauge> gauges_;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_METRICS_METRICS_H_
