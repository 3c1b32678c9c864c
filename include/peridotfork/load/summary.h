#ifndef PERIDOTFORK_LOAD_SUMMARY_H_
#define PERIDOTFORK_LOAD_SUMMARY_H_

#include <ostream>
#include <span>

#include "peridotfork/load/load_generator.h"

namespace peridotfork::load {

// Latency at a quantile in [0, 1], over the samples whose response contains records (outcome
// "complete" or "partial"). Returns zero if there are none.
std::chrono::nanoseconds LatencyQuantile(std::span<const Sample> samples, double quantile);

// Prints counts by outcome and latency quantiles in milliseconds.
void PrintSummary(std::span<const Sample> samples, std::ostream& out);

// Prints one line per sample: scheduled send time, latency, service, outcome.
void PrintCsv(std::span<const Sample> samples, std::ostream& out);

}  // namespace peridotfork::load

#endif  // PERIDOTFORK_LOAD_SUMMARY_H_
