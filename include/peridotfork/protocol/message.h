#ifndef PERIDOTFORK_PROTOCOL_MESSAGE_H_
#define PERIDOTFORK_PROTOCOL_MESSAGE_H_

#include <cstdint>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

#include "peridotfork/core/clock.h"
#include "peridotfork/core/error.h"
#include "peridotfork/core/ids.h"
#include "peridotfork/core/units.h"
#include "peridotfork/tenants/tenant_id.h"

// The messages exchanged between the processes of the system. Each struct lists its
// fields by name and member pointer in kFields, from which the codec encodes and
// decodes it. kName is the stable name of a message type on the wire.
namespace peridotfork::protocol {

// The wire name of a field and the member that holds its value.
template <typename Struct, typename Member>
struct Field {
  const char* name;
  Member Struct::*member;
};

template <typename Struct, typename Member>
constexpr Field<Struct, Member> MakeField(const char* name, Member Struct::*member) {
  return {name, member};
}

// The address and the identity of a process.
struct ProcessAddress {
  Address address;
  Incarnation incarnation;

  friend bool operator==(const ProcessAddress&, const ProcessAddress&) = default;
  static constexpr auto kFields =
      std::make_tuple(MakeField("address", &ProcessAddress::address),
                      MakeField("incarnation", &ProcessAddress::incarnation));
};

// Registers a process with the agent of its host, at its start and then every
// second. A dispatcher also reports the number of the last OwnershipUpdate that it
// has applied and how many attempts are still running on targets that it may no
// longer use.
struct LocalHello {
  bool draining = false;
  std::uint64_t ownership_number = 0;
  std::uint32_t unowned_in_flight = 0;

  static constexpr const char* kName = "local_hello";
  static constexpr auto kFields =
      std::make_tuple(MakeField("draining", &LocalHello::draining),
                      MakeField("ownership_number", &LocalHello::ownership_number),
                      MakeField("unowned_in_flight", &LocalHello::unowned_in_flight));
};

// Sent by an agent to all agents of its view every heartbeat interval.
struct Heartbeat {
  DataCentreId data_centre;
  ViewVersion view;
  Revision document;
  // Digest of the sections in force. Hosts at the same revision can have different
  // sections in force.
  std::uint64_t document_digest = 0;
  std::vector<HostId> homes_held;
  ProcessAddress dispatcher;
  ProcessAddress entry;
  bool draining = false;

  static constexpr const char* kName = "heartbeat";
  static constexpr auto kFields =
      std::make_tuple(MakeField("data_centre", &Heartbeat::data_centre),
                      MakeField("view", &Heartbeat::view),
                      MakeField("document", &Heartbeat::document),
                      MakeField("document_digest", &Heartbeat::document_digest),
                      MakeField("homes_held", &Heartbeat::homes_held),
                      MakeField("dispatcher", &Heartbeat::dispatcher),
                      MakeField("entry", &Heartbeat::entry),
                      MakeField("draining", &Heartbeat::draining));
};

// Requests leases on homes. `number` increases with each request of a holder
// incarnation.
struct LeaseRequest {
  ViewVersion view;
  std::uint64_t number = 0;
  std::vector<HostId> homes;

  static constexpr const char* kName = "lease_request";
  static constexpr auto kFields = std::make_tuple(MakeField("view", &LeaseRequest::view),
                                                  MakeField("number", &LeaseRequest::number),
                                                  MakeField("homes", &LeaseRequest::homes));
};

// A view before the current one in which some host may still hold leases.
struct OlderView {
  ViewVersion view;
  std::vector<HostId> members;

  friend bool operator==(const OlderView&, const OlderView&) = default;
  static constexpr auto kFields = std::make_tuple(MakeField("view", &OlderView::view),
                                                  MakeField("members", &OlderView::members));
};

// Reply to a LeaseRequest. `older_views` are the views before the current one that
// have not expired. `informed` is false while the grantor may not know all of them
// because it has recently started.
struct LeaseReply {
  ViewVersion view;
  std::uint64_t number = 0;
  std::vector<HostId> granted;
  std::vector<HostId> denied;
  std::vector<OlderView> older_views;
  bool informed = false;

  static constexpr const char* kName = "lease_reply";
  static constexpr auto kFields =
      std::make_tuple(MakeField("view", &LeaseReply::view),
                      MakeField("number", &LeaseReply::number),
                      MakeField("granted", &LeaseReply::granted),
                      MakeField("denied", &LeaseReply::denied),
                      MakeField("older_views", &LeaseReply::older_views),
                      MakeField("informed", &LeaseReply::informed));
};

// Ends the sender's leases on homes before they expire. The sender no longer has
// work of these homes in flight. `number` is that of its newest request, so that a
// delayed release does not end a lease that was granted after it.
struct LeaseRelease {
  std::uint64_t number = 0;
  std::vector<HostId> homes;

  static constexpr const char* kName = "lease_release";
  static constexpr auto kFields = std::make_tuple(MakeField("number", &LeaseRelease::number),
                                                  MakeField("homes", &LeaseRelease::homes));
};

// One section of the operators' configuration document, as written by its owner.
struct ConfigSection {
  std::string name;
  Revision version;
  // Newest revision of the document that contains this text.
  Revision confirmed;
  std::string text;

  friend bool operator==(const ConfigSection&, const ConfigSection&) = default;
  static constexpr auto kFields = std::make_tuple(MakeField("name", &ConfigSection::name),
                                                  MakeField("version", &ConfigSection::version),
                                                  MakeField("confirmed", &ConfigSection::confirmed),
                                                  MakeField("text", &ConfigSection::text));
};

// The version of a section that the sender of a ConfigPull has.
struct SectionVersion {
  std::string name;
  Revision version;

  static constexpr auto kFields = std::make_tuple(MakeField("name", &SectionVersion::name),
                                                  MakeField("version", &SectionVersion::version));
};

// Requests the sections that differ from those of the sender, and the host list if
// the receiver has a newer one. The reply repeats `number`.
struct ConfigPull {
  std::uint64_t number = 0;
  ViewVersion view;
  Revision document;
  std::vector<SectionVersion> sections;

  static constexpr const char* kName = "config_pull";
  static constexpr auto kFields = std::make_tuple(MakeField("number", &ConfigPull::number),
                                                  MakeField("view", &ConfigPull::view),
                                                  MakeField("document", &ConfigPull::document),
                                                  MakeField("sections", &ConfigPull::sections));
};

// Reply to a ConfigPull: the sections of revision `document` that differ from the
// requester's, and the names of all sections.
struct ConfigSections {
  std::uint64_t number = 0;
  Revision document;
  std::vector<ConfigSection> changed;
  std::vector<std::string> all_names;

  static constexpr const char* kName = "config_sections";
  static constexpr auto kFields =
      std::make_tuple(MakeField("number", &ConfigSections::number),
                      MakeField("document", &ConfigSections::document),
                      MakeField("changed", &ConfigSections::changed),
                      MakeField("all_names", &ConfigSections::all_names));
};

// The host list as published by the platform.
struct HostList {
  ViewVersion version;
  std::string text;

  static constexpr const char* kName = "host_list";
  static constexpr auto kFields =
      std::make_tuple(MakeField("version", &HostList::version), MakeField("text", &HostList::text));
};

// A target that the local dispatcher may use until `lease_end`, a time on the boot
// clock shared by all processes of the host.
struct OwnedTarget {
  TargetId target;
  BootTime lease_end;

  static constexpr auto kFields = std::make_tuple(MakeField("target", &OwnedTarget::target),
                                                  MakeField("lease_end", &OwnedTarget::lease_end));
};

// All targets that the local dispatcher may use. Replaces the previous update,
// unless the dispatcher has already received one with a higher number.
struct OwnershipUpdate {
  std::uint64_t number = 0;
  std::vector<OwnedTarget> targets;

  static constexpr const char* kName = "ownership_update";
  static constexpr auto kFields = std::make_tuple(MakeField("number", &OwnershipUpdate::number),
                                                  MakeField("targets", &OwnershipUpdate::targets));
};

struct TargetRoute {
  TargetId target;
  ProcessAddress dispatcher;

  static constexpr auto kFields =
      std::make_tuple(MakeField("target", &TargetRoute::target),
                      MakeField("dispatcher", &TargetRoute::dispatcher));
};

// The dispatcher that serves each target and the entries of all hosts. `entries`
// lists the entry of each host in `entry_hosts`, in the same order. Replaces the
// previous update.
struct RouteUpdate {
  std::vector<TargetRoute> routes;
  std::vector<HostId> entry_hosts;
  std::vector<ProcessAddress> entries;

  static constexpr const char* kName = "route_update";
  static constexpr auto kFields =
      std::make_tuple(MakeField("routes", &RouteUpdate::routes),
                      MakeField("entry_hosts", &RouteUpdate::entry_hosts),
                      MakeField("entries", &RouteUpdate::entries));
};

// Requests a dispatcher to run one attempt on one target. `body` is the query or
// the booking as JSON text. A booking is not idempotent. If `alone` is set, no other
// attempt runs on the target at the same time.
struct SubRequest {
  AttemptId attempt;
  TargetId target;
  ServiceId service;
  GroupIndex group;
  Snapshot snapshot;
  bool booking = false;
  bool alone = false;
  std::string body;
  std::uint32_t limit = 0;
  WallTime deadline;

  static constexpr const char* kName = "sub_request";
  static constexpr auto kFields = std::make_tuple(MakeField("attempt", &SubRequest::attempt),
                                                  MakeField("target", &SubRequest::target),
                                                  MakeField("service", &SubRequest::service),
                                                  MakeField("group", &SubRequest::group),
                                                  MakeField("snapshot", &SubRequest::snapshot),
                                                  MakeField("booking", &SubRequest::booking),
                                                  MakeField("alone", &SubRequest::alone),
                                                  MakeField("body", &SubRequest::body),
                                                  MakeField("limit", &SubRequest::limit),
                                                  MakeField("deadline", &SubRequest::deadline));
};

// Cancels an attempt of the sender.
struct SubCancel {
  AttemptId attempt;

  static constexpr const char* kName = "sub_cancel";
  static constexpr auto kFields = std::make_tuple(MakeField("attempt", &SubCancel::attempt));
};

// A record found by a target. `json` is its JSON text for the caller.
struct FoundRecord {
  RecordId id;
  double rank = 0;
  std::string json;

  static constexpr auto kFields = std::make_tuple(MakeField("id", &FoundRecord::id),
                                                  MakeField("rank", &FoundRecord::rank),
                                                  MakeField("json", &FoundRecord::json));
};

// Final reply to a SubRequest. `outcome` is kOk or the reason of the failure.
// `result` is the target's reply to a booking, as JSON text. `alone` is true if no
// other attempt ran on the target at any time during this one.
struct SubReply {
  AttemptId attempt;
  ErrorKind outcome = ErrorKind::kOk;
  bool alone = false;
  Snapshot snapshot;
  std::vector<FoundRecord> records;
  std::string result;

  static constexpr const char* kName = "sub_reply";
  static constexpr auto kFields = std::make_tuple(MakeField("attempt", &SubReply::attempt),
                                                  MakeField("outcome", &SubReply::outcome),
                                                  MakeField("alone", &SubReply::alone),
                                                  MakeField("snapshot", &SubReply::snapshot),
                                                  MakeField("records", &SubReply::records),
                                                  MakeField("result", &SubReply::result));
};

// State of a target as observed by its dispatcher.
enum class TargetState { kUnknown, kCold, kWarm, kDraining, kSuspect };

// State and load of a target as observed by its dispatcher.
struct TargetCondition {
  TargetId target;
  TargetState state = TargetState::kUnknown;
  Slots allowance;
  std::uint32_t in_use = 0;
  std::uint32_t queued = 0;
  std::uint32_t reported_load = 0;
  std::chrono::milliseconds reported_age{0};
  std::vector<Snapshot> snapshots;

  static constexpr auto kFields =
      std::make_tuple(MakeField("target", &TargetCondition::target),
                      MakeField("state", &TargetCondition::state),
                      MakeField("allowance", &TargetCondition::allowance),
                      MakeField("in_use", &TargetCondition::in_use),
                      MakeField("queued", &TargetCondition::queued),
                      MakeField("reported_load", &TargetCondition::reported_load),
                      MakeField("reported_age", &TargetCondition::reported_age),
                      MakeField("snapshots", &TargetCondition::snapshots));
};

// Report of a dispatcher to the entries, sent periodically and on changes.
struct TargetStatus {
  std::vector<TargetCondition> targets;

  static constexpr const char* kName = "target_status";
  static constexpr auto kFields = std::make_tuple(MakeField("targets", &TargetStatus::targets));
};

// Forwards a booking to the entry incarnation that is named in its ticket.
struct BookingForward {
  std::uint64_t number = 0;
  std::string ticket;
  CallerId caller;
  ServiceId service;
  std::string body;
  WallTime deadline;

  static constexpr const char* kName = "booking_forward";
  static constexpr auto kFields = std::make_tuple(MakeField("number", &BookingForward::number),
                                                  MakeField("ticket", &BookingForward::ticket),
                                                  MakeField("caller", &BookingForward::caller),
                                                  MakeField("service", &BookingForward::service),
                                                  MakeField("body", &BookingForward::body),
                                                  MakeField("deadline", &BookingForward::deadline));
};

// Reply to a BookingForward. `body` is the response for the caller, as JSON text.
struct BookingOutcome {
  std::uint64_t number = 0;
  std::uint32_t http_status = 0;
  std::string body;

  static constexpr const char* kName = "booking_outcome";
  static constexpr auto kFields =
      std::make_tuple(MakeField("number", &BookingOutcome::number),
                      MakeField("http_status", &BookingOutcome::http_status),
                      MakeField("body", &BookingOutcome::body));
};

// Notifies the other entries of a request that makes targets fail. Entries refuse
// the request from this caller until `remaining` has passed.
struct QuarantineNotice {
  CallerId caller;
  std::uint64_t fingerprint = 0;
  std::chrono::milliseconds remaining{0};

  static constexpr const char* kName = "quarantine_notice";
  static constexpr auto kFields =
      std::make_tuple(MakeField("caller", &QuarantineNotice::caller),
                      MakeField("fingerprint", &QuarantineNotice::fingerprint),
                      MakeField("remaining", &QuarantineNotice::remaining));
};

// Notifies the other hosts that a target failed while it was running a request.
// Hosts forward notices that they have not seen before.
struct TargetLossNotice {
  // The process that lost the target, and the number that it assigned to this
  // notice.
  ProcessId origin;
  std::uint64_t number = 0;
  std::uint64_t fingerprint = 0;
  GroupIndex group;

  static constexpr const char* kName = "target_loss_notice";
  static constexpr auto kFields =
      std::make_tuple(MakeField("origin", &TargetLossNotice::origin),
                      MakeField("number", &TargetLossNotice::number),
                      MakeField("fingerprint", &TargetLossNotice::fingerprint),
                      MakeField("group", &TargetLossNotice::group));
};

// A target loss as other gateways are told of it later. Names on the wire are short, since a
// datagram holds several of these.
struct LossRecord {
  // Identify the TargetLossNotice of the loss.
  ProcessId origin;
  std::uint64_t number = 0;
  GroupIndex group;

  // NOLINTNEXTLINE(modernize-use-nullptr): see StrongValue.
  friend auto operator<=>(const LossRecord&, const LossRecord&) = default;
  static constexpr auto kFields = std::make_tuple(MakeField("o", &LossRecord::origin),
                                                  MakeField("n", &LossRecord::number),
                                                  MakeField("g", &LossRecord::group));
};

// Tells the other gateways that a target has answered the request, so that its losses in this group
// had another cause.
struct TargetAnswerNotice {
  std::uint64_t fingerprint = 0;
  GroupIndex group;
  std::vector<LossRecord> losses;

  static constexpr const char* kName = "target_answer_notice";
  static constexpr auto kFields = std::make_tuple(MakeField("f", &TargetAnswerNotice::fingerprint),
                                                  MakeField("g", &TargetAnswerNotice::group),
                                                  MakeField("l", &TargetAnswerNotice::losses));
};

// A request that a gateway suspects of crashing targets.
struct SuspectRecord {
  std::uint64_t fingerprint = 0;
  // Time until its quarantine ends; zero if there is none.
  std::chrono::milliseconds quarantined_for{0};
  // Time until the gateway forgets the request.
  std::chrono::milliseconds kept_for{0};
  std::vector<LossRecord> losses;

  static constexpr auto kFields = std::make_tuple(MakeField("f", &SuspectRecord::fingerprint),
                                                  MakeField("q", &SuspectRecord::quarantined_for),
                                                  MakeField("k", &SuspectRecord::kept_for),
                                                  MakeField("l", &SuspectRecord::losses));
};

// Asks a gateway for the requests that it suspects, unless its digest of them is the same.
struct SuspectQuery {
  std::uint64_t digest = 0;
  // The sender was asked itself. Such a query is not answered with another one.
  bool in_return = false;

  static constexpr const char* kName = "suspect_query";
  static constexpr auto kFields = std::make_tuple(MakeField("d", &SuspectQuery::digest),
                                                  MakeField("r", &SuspectQuery::in_return));
};

// Answers a SuspectQuery, in several messages if need be.
struct SuspectReport {
  std::vector<SuspectRecord> suspects;

  static constexpr const char* kName = "suspect_report";
  static constexpr auto kFields = std::make_tuple(MakeField("s", &SuspectReport::suspects));
};

// What one gateway says of a member of the fleet. Names on the wire are short, since a datagram
// holds several of these.
enum class MemberState { kAlive, kSuspect, kDead, kLeft };

struct MemberUpdate {
  HostId host;
  Incarnation incarnation;
  Address address;
  DataCentreId data_centre;
  MemberState state = MemberState::kAlive;
  // Raised by the member itself when it refutes a suspicion.
  std::uint32_t refutations = 0;

  static constexpr auto kFields = std::make_tuple(MakeField("h", &MemberUpdate::host),
                                                  MakeField("i", &MemberUpdate::incarnation),
                                                  MakeField("a", &MemberUpdate::address),
                                                  MakeField("d", &MemberUpdate::data_centre),
                                                  MakeField("s", &MemberUpdate::state),
                                                  MakeField("r", &MemberUpdate::refutations));
};

// Asks a member to acknowledge. If `target` is not empty, the receiver is to probe that address on
// behalf of the sender. The first update is about the sender.
struct MemberProbe {
  std::uint64_t number = 0;
  Address target;
  std::vector<MemberUpdate> updates;

  static constexpr const char* kName = "member_probe";
  static constexpr auto kFields = std::make_tuple(MakeField("n", &MemberProbe::number),
                                                  MakeField("t", &MemberProbe::target),
                                                  MakeField("u", &MemberProbe::updates));
};

struct MemberAck {
  std::uint64_t number = 0;
  std::vector<MemberUpdate> updates;

  static constexpr const char* kName = "member_ack";
  static constexpr auto kFields =
      std::make_tuple(MakeField("n", &MemberAck::number), MakeField("u", &MemberAck::updates));
};

// Requests of one tenant that a gateway has admitted since its start, without the `baseline` that
// it had admitted when it first reported to this owner.
struct TenantUsage {
  TenantId tenant;
  std::uint64_t baseline = 0;
  std::uint64_t total = 0;

  static constexpr auto kFields = std::make_tuple(MakeField("t", &TenantUsage::tenant),
                                                  MakeField("b", &TenantUsage::baseline),
                                                  MakeField("n", &TenantUsage::total));
};

// Reports usage to an owner of the quotas of the tenants.
struct QuotaUsage {
  std::vector<TenantUsage> tenants;

  static constexpr const char* kName = "quota_usage";
  static constexpr auto kFields = std::make_tuple(MakeField("u", &QuotaUsage::tenants));
};

// What is left of a quota after the total reported by the receiver was counted.
struct TenantBalance {
  TenantId tenant;
  std::uint64_t total = 0;
  double balance = 0;
  // Number of gateways that have lately reported usage of the tenant.
  std::uint32_t active = 0;
  // Requests per second that all gateways have lately reported.
  double usage_rate = 0;

  static constexpr auto kFields = std::make_tuple(MakeField("t", &TenantBalance::tenant),
                                                  MakeField("n", &TenantBalance::total),
                                                  MakeField("b", &TenantBalance::balance),
                                                  MakeField("a", &TenantBalance::active),
                                                  MakeField("u", &TenantBalance::usage_rate));
};

// Reply to a QuotaUsage. Also sent to all gateways while little of a quota is left.
struct QuotaBalance {
  std::vector<TenantBalance> tenants;

  static constexpr const char* kName = "quota_balance";
  static constexpr auto kFields = std::make_tuple(MakeField("b", &QuotaBalance::tenants));
};

using Message = std::variant<LocalHello,
                             Heartbeat,
                             LeaseRequest,
                             LeaseReply,
                             LeaseRelease,
                             ConfigPull,
                             ConfigSections,
                             HostList,
                             OwnershipUpdate,
                             RouteUpdate,
                             SubRequest,
                             SubCancel,
                             SubReply,
                             TargetStatus,
                             QuarantineNotice,
                             BookingForward,
                             BookingOutcome,
                             TargetLossNotice,
                             MemberProbe,
                             MemberAck,
                             QuotaUsage,
                             QuotaBalance,
                             SuspectQuery,
                             SuspectReport,
                             TargetAnswerNotice>;

// A message with its sender. `to_incarnation` is the only incarnation of the
// receiver that may handle the message, or zero for any.
struct Envelope {
  ProcessId from;
  Address reply_to;
  Incarnation to_incarnation;
  Message message;
};

// Returns the wire name of the type that `message` holds, such as "sub_request".
const char* MessageName(const Message& message);

}  // namespace peridotfork::protocol

#endif  // PERIDOTFORK_PROTOCOL_MESSAGE_H_
