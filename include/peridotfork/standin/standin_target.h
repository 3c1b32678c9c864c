#ifndef PERIDOTFORK_STANDIN_STANDIN_TARGET_H_
#define PERIDOTFORK_STANDIN_STANDIN_TARGET_H_

#include <boost/asio/steady_timer.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "peridotfork/core/clock.h"
#include "peridotfork/core/error.h"
#include "peridotfork/http/message.h"
#include "peridotfork/internal/standin/target_listener.h"
#include "peridotfork/internal/standin/target_protocol.h"
#include "peridotfork/runtime/ranked_mutex.h"
#include "peridotfork/runtime/worker_pool.h"
#include "peridotfork/standin/record_set.h"
#include "peridotfork/standin/target_document.h"
#include "peridotfork/standin/target_model.h"

namespace peridotfork::standin {

// HTTP front end of one simulated target. A TargetModel makes the decisions; this
// class runs the timer and sends the responses. The pool must have stopped before
// the target is destroyed. Thread-safe.
class StandinTarget final : public TargetFrontEnd {
 public:
  // The references must outlive the target.
  StandinTarget(WorkerPool& pool,
                const Clock& clock,
                const RecordSet& records,
                TargetSpec spec,
                std::uint64_t seed);
  ~StandinTarget() override;

  // Listens on the address given in the specification.
  Result<void> Listen();

  // The address that the target listens on, with port 0 replaced by the bound
  // port.
  Address address() const { return address_; }
  const TargetSpec& spec() const { return spec_; }

  // Handles every path of the target, whether it is up or down.
  void Handle(http::Request request, http::Responder respond) override;

  bool OnConnect() override;
  void OnDisconnect() override;
  std::chrono::microseconds connect_cost() const override;

 private:
  struct Route {
    const char* method;
    const char* path;
    void (StandinTarget::*handle)(const http::Request& request, const http::Responder& respond);
  };
  static const Route kRoutes[];

  struct Pending {
    TargetRequest request;
    StoredSnapshot snapshot;
    http::Responder respond;
  };
  struct CompletedWork {
    Finished finished;
    Pending pending;
    TargetReport report;
  };

  void Search(const http::Request& request, const http::Responder& respond);
  void Book(const http::Request& request, const http::Responder& respond);
  void Cancel(const http::Request& request, const http::Responder& respond);
  void Health(const http::Request& request, const http::Responder& respond);
  void Load(const http::Request& request, const http::Responder& respond);
  void Journal(const http::Request& request, const http::Responder& respond);
  void Control(const http::Request& request, const http::Responder& respond);

  void Run(WorkKind kind, const std::string& body, const http::Responder& respond);

  // Processes the due events of the model, arms the timer and schedules
  // SyncListener() after a crash or restart of the model. The caller holds the
  // mutex and passes the result to Answer() after releasing it.
  std::vector<CompletedWork> ProcessDueEventsLocked();
  void ArmTimerLocked();
  TargetReport ReportLocked() const;

  void Answer(const std::vector<CompletedWork>& ready) const;
  http::Response MakeResponse(const CompletedWork& ready) const;
  void ProcessDueEvents();

  // Closes the listener after a crash and opens it when the model is up. Runs on
  // the strand of the listener.
  void SyncListener();

  WorkerPool& pool_;
  const Clock& clock_;
  const RecordSet& records_;
  const TargetSpec spec_;
  Address address_;
  const boost::intrusive_ptr<TargetListener> listener_;

  mutable RankedMutex mutex_{LockRank::kTargets};
  TargetModel model_;
  std::unordered_map<WorkId, Pending> pending_;
  boost::asio::steady_timer timer_;
  std::optional<BootTime> timer_due_;
  bool listening_ = false;
  // Number of model crashes for which the listener has been closed.
  std::uint64_t crashes_handled_ = 0;
};

}  // namespace peridotfork::standin

#endif  // PERIDOTFORK_STANDIN_STANDIN_TARGET_H_
