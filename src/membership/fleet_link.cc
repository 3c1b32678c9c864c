#include "peridotfork/membership/fleet_link.h"

#include <functional>
#include <utility>
#include <variant>

namespace peridotfork {
namespace {

// Interval at which due messages are sent; a fraction of the timeouts of the protocol.
constexpr std::chrono::milliseconds kTickInterval{200};

}  // namespace

FleetLink::FleetLink(WorkerPool& pool,
                     const Clock& clock,
                     Logger& log,
                     ProcessId self,
                     DataCentreId data_centre,
                     Handler handler)
    : pool_(pool),
      clock_(clock),
      log_(log),
      id_(self),
      data_centre_(std::move(data_centre)),
      handler_(std::move(handler)),
      endpoint_(pool,
                std::move(self),
                [this](const protocol::Envelope& envelope, const Address& from) {
                  OnDatagram(envelope, from);
                }) {}

Result<void> FleetLink::Open(const Address& address) {
  return endpoint_.Open(address);
}

void FleetLink::Join(const std::vector<Address>& seeds, SwimOptions options) {
  {
    const RankedLock lock(mutex_);
    if (closed_ || endpoint_.address().value().empty()) {
      return;
    }
    if (swim_) {
      swim_->SetOptions(options);
      return;
    }
    const FleetMember self{id_.host, id_.incarnation, endpoint_.address(), data_centre_};
    const std::uint64_t random_seed =
        std::hash<std::string>{}(id_.host.value()) ^ id_.incarnation.value();
    swim_.emplace(clock_, self, seeds, random_seed, options);
    ticker_ = PeriodicTask::Start(pool_, kTickInterval, [this] { Tick(); });
  }
  log_.Info("Looking for the other gateways.", {{"seeds", std::to_string(seeds.size())}});
}

void FleetLink::Tick() {
  Swim::Messages messages;
  std::size_t members = 0;
  std::size_t lost = 0;
  {
    const RankedLock lock(mutex_);
    messages = swim_->Tick();
    members = swim_->Members().size();
    lost = swim_->unaccounted();
  }
  LogMembers(members, lost);
  SendAll(std::move(messages));
}

void FleetLink::LogMembers(std::size_t members, std::size_t unaccounted) {
  {
    const RankedLock lock(mutex_);
    if (std::exchange(logged_members_, members) == members) {
      return;
    }
  }
  log_.Info("The known gateways have changed.",
            {{"gateways", std::to_string(members)}, {"lost", std::to_string(unaccounted)}});
}

void FleetLink::OnDatagram(const protocol::Envelope& envelope, const Address& from) {
  Swim::Messages messages;
  const auto* const probe = std::get_if<protocol::MemberProbe>(&envelope.message);
  const auto* const ack = std::get_if<protocol::MemberAck>(&envelope.message);
  if (probe == nullptr && ack == nullptr) {
    handler_(envelope, from);
    return;
  }
  {
    const RankedLock lock(mutex_);
    // Before Join() this process must not be probed as a member.
    if (swim_) {
      messages = probe != nullptr ? swim_->OnProbe(from, *probe) : swim_->OnAck(*ack);
    }
  }
  SendAll(std::move(messages));
}

void FleetLink::SendAll(Swim::Messages messages) {
  for (Swim::Outgoing& outgoing : messages) {
    endpoint_.Send(outgoing.to, std::move(outgoing.message));
  }
}

void FleetLink::Leave() {
  Swim::Messages messages;
  {
    const RankedLock lock(mutex_);
    if (swim_) {
      messages = swim_->Leave();
    }
  }
  SendAll(std::move(messages));
}

void FleetLink::Close() {
  {
    const RankedLock lock(mutex_);
    closed_ = true;
    if (ticker_ != nullptr) {
      ticker_->Cancel();
    }
  }
  endpoint_.Close();
}

FleetMember FleetLink::self() const {
  return {id_.host, id_.incarnation, endpoint_.address(), data_centre_};
}

std::vector<FleetMember> FleetLink::Members() const {
  {
    const RankedLock lock(mutex_);
    if (swim_) {
      return swim_->Members();
    }
  }
  return {self()};
}

std::size_t FleetLink::unaccounted() const {
  const RankedLock lock(mutex_);
  return swim_ ? swim_->unaccounted() : 0;
}

std::size_t FleetLink::size_bound() const {
  const RankedLock lock(mutex_);
  return swim_ ? swim_->size_bound() : kLargestFleet;
}

std::uint64_t FleetLink::version() const {
  const RankedLock lock(mutex_);
  return swim_ ? swim_->version() : 0;
}

std::uint64_t FleetLink::contacts() const {
  const RankedLock lock(mutex_);
  return swim_ ? swim_->contacts() : 0;
}

bool FleetLink::joined() const {
  const RankedLock lock(mutex_);
  return swim_ && swim_->joined();
}

void FleetLink::Send(const Address& to, protocol::Message message) {
  endpoint_.Send(to, std::move(message));
}

}  // namespace peridotfork
