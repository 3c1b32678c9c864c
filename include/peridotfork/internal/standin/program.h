#ifndef PERIDOTFORK_INTERNAL_STANDIN_PROGRAM_H_
#define PERIDOTFORK_INTERNAL_STANDIN_PROGRAM_H_

#include <cstdint>
#include <optional>
#include <string>

#include "peridotfork/core/error.h"
#include "peridotfork/runtime/worker_pool.h"

// Helpers shared by the stand-in programs.
namespace peridotfork::standin {

Result<std::string> ReadFile(const std::string& path);

// Parses a decimal integer in [0, max].
std::optional<std::uint64_t> ParseNumber(const std::string& text, std::uint64_t max);

// Blocks the calling thread until SIGTERM or SIGINT arrives, then stops the
// pool.
void RunUntilSignal(WorkerPool& pool);

// Writes "PROGRAM: error" to standard error and returns exit code 1.
int Fail(const std::string& program, const Error& error);

}  // namespace peridotfork::standin

#endif  // PERIDOTFORK_INTERNAL_STANDIN_PROGRAM_H_
