#ifndef PERIDOTFORK_STANDIN_TARGET_FARM_H_
#define PERIDOTFORK_STANDIN_TARGET_FARM_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "peridotfork/core/clock.h"
#include "peridotfork/core/error.h"
#include "peridotfork/http/message.h"
#include "peridotfork/runtime/worker_pool.h"
#include "peridotfork/standin/record_set.h"
#include "peridotfork/standin/standin_target.h"
#include "peridotfork/standin/target_document.h"

namespace peridotfork::standin {

// All targets of one process, with an administrative interface that stays
// available while a target is down and its port is closed:
//
//   GET  /targets                list of the targets
//   *    /targets/ID/PATH        forwarded to PATH of the target
//   POST /control                {"targets": [ID, ...], "service": NAME,
//                                "command": ...}: applies a command to the
//                                selected targets; to all by default
//
// The pool must have stopped before the farm is destroyed. Thread-safe.
class TargetFarm final : public http::Handler {
 public:
  // The references must outlive the farm.
  TargetFarm(WorkerPool& pool, const Clock& clock, const RecordSet& records, std::uint64_t seed);

  // Adds a target and listens on its address. Must not be called while requests
  // are being served.
  Result<void> Add(TargetSpec spec);

  void Handle(http::Request request, http::Responder respond) override;

  const std::vector<std::unique_ptr<StandinTarget>>& targets() const { return targets_; }

 private:
  StandinTarget* Find(const std::string& id) const;
  void List(const http::Responder& respond) const;
  void ControlMany(const http::Request& request, const http::Responder& respond) const;
  void Forward(http::Request request, http::Responder respond) const;

  WorkerPool& pool_;
  const Clock& clock_;
  const RecordSet& records_;
  const std::uint64_t seed_;
  std::vector<std::unique_ptr<StandinTarget>> targets_;
};

}  // namespace peridotfork::standin

#endif  // PERIDOTFORK_STANDIN_TARGET_FARM_H_
