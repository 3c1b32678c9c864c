#ifndef PERIDOTFORK_CTL_PROGRAM_H_
#define PERIDOTFORK_CTL_PROGRAM_H_

#include <ostream>

namespace peridotfork::ctl {

// Runs peridotforkctl: prints the report to `out` and usage errors to `err`.
// Returns the exit code of the process. Not thread-safe, since it uses
// getopt_long.
int RunProgram(int argc, char** argv, std::ostream& out, std::ostream& err);

}  // namespace peridotfork::ctl

#endif  // PERIDOTFORK_CTL_PROGRAM_H_
