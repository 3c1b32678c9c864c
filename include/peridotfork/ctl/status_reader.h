#ifndef PERIDOTFORK_CTL_STATUS_READER_H_
#define PERIDOTFORK_CTL_STATUS_READER_H_

#include <chrono>
#include <vector>

#include "peridotfork/core/clock.h"
#include "peridotfork/ctl/host_directory.h"
#include "peridotfork/ctl/status.h"
#include "peridotfork/runtime/worker_pool.h"

namespace peridotfork::ctl {

// Queries the status of the processes of `roles` on all hosts concurrently, and
// returns when each has answered or failed. Processes without an address are
// skipped. `timeout` covers connecting to a process and reading its answer. Must
// not be called from a worker of `pool`.
FleetStatus ReadFleet(WorkerPool& pool,
                      const Clock& clock,
                      const std::vector<HostAddresses>& hosts,
                      const std::vector<Role>& roles,
                      std::chrono::microseconds timeout);

}  // namespace peridotfork::ctl

#endif  // PERIDOTFORK_CTL_STATUS_READER_H_
