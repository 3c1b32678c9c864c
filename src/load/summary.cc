#include "peridotfork/load/summary.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iomanip>
#include <map>
#include <vector>

namespace peridotfork::load {
namespace {

double Milliseconds(std::chrono::nanoseconds time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

bool HasRecords(const Sample& sample) {
  return sample.outcome == "complete" || sample.outcome == "partial";
}

}  // namespace

std::chrono::nanoseconds LatencyQuantile(std::span<const Sample> samples, double quantile) {
  std::vector<std::chrono::nanoseconds> latencies;
  for (const Sample& sample : samples) {
    if (HasRecords(sample)) {
      latencies.push_back(sample.latency);
    }
  }
  if (latencies.empty()) {
    return std::chrono::nanoseconds(0);
  }
  const auto last = static_cast<double>(latencies.size() - 1);
  const auto rank = static_cast<std::ptrdiff_t>(std::ceil(quantile * last));
  std::nth_element(latencies.begin(), latencies.begin() + rank, latencies.end());
  return latencies[static_cast<std::size_t>(rank)];
}

void PrintSummary(std::span<const Sample> samples, std::ostream& out) {
  std::map<std::string, std::size_t> outcomes;
  for (const Sample& sample : samples) {
    ++outcomes[sample.outcome];
  }
  out << "requests " << samples.size() << "\n";
  for (const auto& [outcome, count] : outcomes) {
    out << "outcome " << outcome << " " << count << "\n";
  }
  struct Quantile {
    const char* name;
    double value;
  };
  static constexpr std::array kQuantiles = {Quantile{"p50_ms", 0.5}, Quantile{"p99_ms", 0.99},
                                            Quantile{"p99.9_ms", 0.999}};
  out << std::fixed << std::setprecision(2);
  for (const Quantile& quantile : kQuantiles) {
    out << quantile.name << " " << Milliseconds(LatencyQuantile(samples, quantile.value)) << "\n";
  }
}

void PrintCsv(std::span<const Sample> samples, std::ostream& out) {
  out << "due_ms,latency_ms,service,outcome\n" << std::fixed << std::setprecision(3);
  for (const Sample& sample : samples) {
    out << Milliseconds(sample.due) << "," << Milliseconds(sample.latency) << "," << sample.service
        << "," << sample.outcome << "\n";
  }
}

}  // namespace peridotfork::load
