#ifndef PERIDOTFORK_ENTRY_ENTRY_H_
#define PERIDOTFORK_ENTRY_ENTRY_H_

#include <atomic>
#include <cstdint>
#include <vector>

#include "peridotfork/config/settings.h"
#include "peridotfork/entry/booking_service.h"
#include "peridotfork/entry/query_runner.h"
#include "peridotfork/http/router.h"
#include "peridotfork/http/server.h"
#include "peridotfork/program/daemon.h"
#include "peridotfork/replication/config_replica.h"
#include "peridotfork/transport/endpoint.h"
#include "peridotfork/transport/message_table.h"

namespace peridotfork {

// The entry process of a host. Serves callers over HTTP. Thread-safe.
class Entry final : public Service, public http::Handler {
 public:
  Entry(const DaemonContext& context, EntrySettings settings);

  Result<void> Start() override;
  void BeginDrain() override;
  bool drained() const override;
  void Close() override;

  void Handle(http::Request request, http::Responder respond) override;

 private:
  void Receive(const protocol::Envelope& envelope);
  void OnHeartbeat(const protocol::Envelope& envelope, const protocol::Heartbeat& heartbeat);
  void OnConfigSections(const protocol::Envelope& envelope,
                        const protocol::ConfigSections& sections);
  void OnRouteUpdate(const protocol::Envelope& envelope, const protocol::RouteUpdate& update);
  void OnTargetStatus(const protocol::Envelope& envelope, const protocol::TargetStatus& status);
  void OnSubReply(const protocol::Envelope& envelope, const protocol::SubReply& reply);
  void OnQuarantineNotice(const protocol::Envelope& envelope,
                          const protocol::QuarantineNotice& notice);
  void OnBookingForward(const protocol::Envelope& envelope,
                        const protocol::BookingForward& forward);
  void OnBookingOutcome(const protocol::Envelope& envelope,
                        const protocol::BookingOutcome& outcome);

  void HandleSearch(const http::Request& request, const http::Responder& respond);
  void HandleTicket(const http::Request& request, const http::Responder& respond);
  void HandleBooking(const http::Request& request, const http::Responder& respond);
  void HandleHealth(const http::Request& request, const http::Responder& respond);
  void HandleReady(const http::Request& request, const http::Responder& respond);
  void HandleStatus(const http::Request& request, const http::Responder& respond);

  void SendHello();
  RequestId NewRequestId();

  static const MessageTable<Entry> kMessages;
  static const http::Router<Entry> kRoutes;

  WorkerPool& pool_;
  const Clock& clock_;
  Logger& log_;
  const EntrySettings settings_;
  const ProcessId self_;
  Endpoint endpoint_;
  ConfigReplica config_;
  entry::QueryRunner runner_;
  entry::BookingService bookings_;
  http::Server server_;
  std::vector<boost::intrusive_ptr<PeriodicTask>> tasks_;
  std::atomic<bool> draining_ = false;
  std::atomic<bool> accepting_ = true;
  std::atomic<std::uint64_t> last_request_ = 0;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_ENTRY_ENTRY_H_
