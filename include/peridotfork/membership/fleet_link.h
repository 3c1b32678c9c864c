#ifndef PERIDOTFORK_MEMBERSHIP_FLEET_LINK_H_
#define PERIDOTFORK_MEMBERSHIP_FLEET_LINK_H_

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "peridotfork/core/clock.h"
#include "peridotfork/membership/fleet.h"
#include "peridotfork/membership/swim.h"
#include "peridotfork/runtime/log.h"
#include "peridotfork/runtime/ranked_mutex.h"
#include "peridotfork/runtime/worker_pool.h"
#include "peridotfork/transport/datagram_endpoint.h"

namespace peridotfork {

// Connects this process with the other gateways: runs the membership protocol over datagrams and
// carries the messages of other modules. Thread-safe.
class FleetLink final : public FleetView, public PeerSender {
 public:
  // Called on a worker with each message that is not of the membership protocol.
  using Handler = std::function<void(const protocol::Envelope&, const Address& from)>;

  FleetLink(WorkerPool& pool,
            const Clock& clock,
            Logger& log,
            ProcessId self,
            DataCentreId data_centre,
            Handler handler);

  // Binds the socket. Datagrams are received from now on; nothing is sent before Join().
  Result<void> Open(const Address& address);

  // Starts to look for the other gateways through the seeds. A later call changes the options only.
  void Join(const std::vector<Address>& seeds, SwimOptions options = {});

  // Announces that this process leaves.
  void Leave();
  void Close();

  FleetMember self() const override;
  std::vector<FleetMember> Members() const override;
  std::size_t unaccounted() const override;
  std::uint64_t version() const override;
  std::uint64_t contacts() const override;
  bool joined() const override;
  void Send(const Address& to, protocol::Message message) override;

  // See Swim::size_bound(); kLargestFleet before Join().
  std::size_t size_bound() const;

  const DatagramCounters& counters() const { return endpoint_.counters(); }

 private:
  void Tick();
  void OnDatagram(const protocol::Envelope& envelope, const Address& from);
  void SendAll(Swim::Messages messages);
  // Logs a change of the members since the last call.
  void LogMembers(std::size_t members, std::size_t unaccounted);

  WorkerPool& pool_;
  const Clock& clock_;
  Logger& log_;
  const ProcessId id_;
  const DataCentreId data_centre_;
  const Handler handler_;
  DatagramEndpoint endpoint_;
  // Guards the members below. Taken before the locks of the transport and of no other module.
  mutable RankedMutex mutex_{LockRank::kRoutes};
  boost::intrusive_ptr<PeriodicTask> ticker_;
  bool closed_ = false;
  std::optional<Swim> swim_;
  std::size_t logged_members_ = 1;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_MEMBERSHIP_FLEET_LINK_H_
