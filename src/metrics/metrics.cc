#include "peridotfork/metrics/metrics.h"

#include <algorithm>
#include <cstdio>
#include <utility>
#include <vector>

namespace peridotfork {
namespace {

std::string FormatNumber(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.6g", value);
  return text;
}

std::string InBraces(const std::string& labels) {
  return labels.empty() ? "" : "{" + labels + "}";
}

void PrintHeader(const std::string& name,
                 const std::string& help,
                 const char* type,
                 std::string& out) {
  out += "# HELP " + name + " " + help + "\n# TYPE " + name + " " + type + "\n";
}

}  // namespace

void Histogram::Observe(std::chrono::nanoseconds time) {
  const double milliseconds = std::chrono::duration<double, std::milli>(time).count();
  const auto bucket = std::ranges::lower_bound(kBounds, milliseconds) - kBounds.begin();
  const RankedLock lock(mutex_);
  summary_(milliseconds);
  ++buckets_[static_cast<std::size_t>(bucket)];
}

void Histogram::Print(const std::string& name, const std::string& labels, std::string& out) const {
  namespace accumulators = boost::accumulators;
  const RankedLock lock(mutex_);
  const std::string prefix = labels.empty() ? "" : labels + ",";
  std::uint64_t cumulative = 0;
  for (std::size_t i = 0; i < buckets_.size(); ++i) {
    cumulative += buckets_[i];
    const std::string bound = i < kBounds.size() ? FormatNumber(kBounds[i]) : "+Inf";
    out.append(name).append("_bucket{").append(prefix).append("le=\"").append(bound);
    out.append("\"} ").append(std::to_string(cumulative)).append("\n");
  }
  out += name + "_sum" + InBraces(labels) + " " + FormatNumber(accumulators::sum(summary_)) + "\n";
  out += name + "_count" + InBraces(labels) + " " + std::to_string(accumulators::count(summary_)) +
         "\n";
}

template <typename Metric>
Metric& MetricRegistry::Find(std::map<std::string, Family<Metric>>& families,
                             const std::string& name,
                             const std::string& help,
                             const std::string& labels) {
  Family<Metric>& family = families[name];
  family.help = help;
  const bool full = family.series.size() >= kMaxSeries && !family.series.contains(labels);
  return family.series[full ? "overflow=\"true\"" : labels];
}

Counter& MetricRegistry::CounterOf(const std::string& name,
                                   const std::string& help,
                                   const std::string& labels) {
  const RankedLock lock(mutex_);
  return Find(counters_, name, help, labels);
}

Histogram& MetricRegistry::HistogramOf(const std::string& name,
                                       const std::string& help,
                                       const std::string& labels) {
  const RankedLock lock(mutex_);
  return Find(histograms_, name, help, labels);
}

void MetricRegistry::AddGauge(const std::string& name,
                              const std::string& help,
                              std::function<double()> read) {
  const RankedLock lock(mutex_);
  gauges_[name] = {help, std::move(read)};
}

std::string MetricRegistry::Print() const {
  std::string out;
  // Gauges read tables whose locks rank below `mutex_`, so they are read without holding it.
  std::vector<std::pair<std::string, Gauge>> gauges;
  {
    const RankedLock lock(mutex_);
    gauges.assign(gauges_.begin(), gauges_.end());
    for (const auto& [name, family] : counters_) {
      PrintHeader(name, family.help, "counter", out);
      for (const auto& [labels, counter] : family.series) {
        out += name + InBraces(labels) + " " + std::to_string(counter.value()) + "\n";
      }
    }
    for (const auto& [name, family] : histograms_) {
      PrintHeader(name, family.help, "histogram", out);
      for (const auto& [labels, histogram] : family.series) {
        histogram.Print(name, labels, out);
      }
    }
  }
  for (const auto& [name, gauge] : gauges) {
    PrintHeader(name, gauge.help, "gauge", out);
    out += name + " " + FormatNumber(gauge.read()) + "\n";
  }
  return out;
}

}  // namespace peridotfork
