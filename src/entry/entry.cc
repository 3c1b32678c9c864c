#include "peridotfork/entry/entry.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace peridotfork {
namespace {

constexpr std::chrono::milliseconds kHelloInterval{500};

// Time between reporting not ready and no longer accepting connections, in which the load
// balancer can detect that the entry is not ready.
constexpr std::chrono::seconds kDrainDelay{1};

http::ServerOptions MakeServerOptions(const EntrySettings& settings) {
  http::ServerOptions options;
  options.body_limit = settings.body_limit.value();
  options.read_timeout = settings.read_timeout;
  return options;
}

}  // namespace

const MessageTable<Entry> Entry::kMessages = MessageTable<Entry>()
                                                 .On<&Entry::OnHeartbeat>()
                                                 .On<&Entry::OnConfigSections>()
                                                 .On<&Entry::OnRouteUpdate>()
                                                 .On<&Entry::OnTargetStatus>()
                                                 .On<&Entry::OnSubReply>()
                                                 .On<&Entry::OnQuarantineNotice>()
                                                 .On<&Entry::OnBookingForward>()
                                                 .On<&Entry::OnBookingOutcome>();

const http::Router<Entry> Entry::kRoutes = {
    {"POST", "/v1/search", &Entry::HandleSearch},    {"POST", "/v1/tickets", &Entry::HandleTicket},
    {"POST", "/v1/bookings", &Entry::HandleBooking}, {"GET", "/healthz", &Entry::HandleHealth},
    {"GET", "/readyz", &Entry::HandleReady},         {"GET", "/admin/status", &Entry::HandleStatus},
};

Entry::Entry(const DaemonContext& context, EntrySettings settings)
    : pool_(context.pool),
      clock_(context.clock),
      log_(context.log),
      settings_(std::move(settings)),
      self_{settings_.id, Role::kEntry, context.incarnation},
      endpoint_(
          pool_,
          self_,
          [this](const protocol::Envelope& envelope) { Receive(envelope); },
          [this](const Error& error) {
            log_.Warning("A message was refused.", {{"error", ToString(error)}});
          }),
      config_(clock_, endpoint_, log_),
      runner_(pool_,
              clock_,
              endpoint_,
              {settings_.data_centre, settings_.max_queries_in_flight, settings_.adaptive_routing}),
      bookings_(pool_, clock_, endpoint_, runner_, log_),
      server_(pool_.context(), MakeServerOptions(settings_), *this) {}

Result<void> Entry::Start() {
  if (auto listening = endpoint_.Listen(settings_.inner_address); !listening.has_value()) {
    return listening;
  }
  if (auto listening = server_.Listen(settings_.http_address); !listening.has_value()) {
    return listening;
  }
  SendHello();
  tasks_.push_back(PeriodicTask::Start(pool_, kHelloInterval, [this] { SendHello(); }));
  return boost::outcome_v2::success();
}

void Entry::BeginDrain() {
  draining_ = true;
  SendHello();
  pool_.After(kDrainDelay, [this] {
    server_.Stop();
    accepting_ = false;
  });
}

bool Entry::drained() const {
  return !accepting_ && server_.in_flight() == 0 && bookings_.unanswered() == 0;
}

void Entry::Close() {
  for (const auto& task : tasks_) {
    task->Cancel();
  }
  server_.Stop();
  endpoint_.Close();
}

void Entry::Receive(const protocol::Envelope& envelope) {
  if (envelope.to_incarnation != Incarnation(0) && envelope.to_incarnation != self_.incarnation) {
    return;
  }
  if (!kMessages.Dispatch(*this, envelope)) {
    log_.Warning("A message is not for an entry.",
                 {{"type", protocol::MessageName(envelope.message)}});
  }
}

void Entry::OnHeartbeat(const protocol::Envelope& envelope, const protocol::Heartbeat& heartbeat) {
  if (config_.IsBehind({heartbeat.document, heartbeat.document_digest})) {
    config_.Pull(envelope.reply_to, ViewVersion(UINT64_MAX));
  }
}

void Entry::OnConfigSections(const protocol::Envelope&, const protocol::ConfigSections& sections) {
  if (config_.OnSections(sections)) {
    runner_.SetDocument(config_.document());
  }
}

void Entry::OnRouteUpdate(const protocol::Envelope& envelope, const protocol::RouteUpdate& update) {
  if (envelope.from.host != settings_.id) {
    return;
  }
  runner_.SetRoutes(update);
  bookings_.SetEntries(update);
}

void Entry::OnTargetStatus(const protocol::Envelope& envelope,
                           const protocol::TargetStatus& status) {
  runner_.OnStatus({envelope.reply_to, envelope.from.incarnation}, status);
}

void Entry::OnSubReply(const protocol::Envelope&, const protocol::SubReply& reply) {
  runner_.OnReply(reply);
}

void Entry::OnQuarantineNotice(const protocol::Envelope&,
                               const protocol::QuarantineNotice& notice) {
  runner_.OnQuarantineNotice(notice);
}

void Entry::OnBookingForward(const protocol::Envelope& envelope,
                             const protocol::BookingForward& forward) {
  bookings_.OnForward(envelope, forward);
}

void Entry::OnBookingOutcome(const protocol::Envelope&, const protocol::BookingOutcome& outcome) {
  bookings_.OnOutcome(outcome);
}

void Entry::Handle(http::Request request, http::Responder respond) {
  kRoutes.Dispatch(*this, request, respond);
}

void Entry::HandleSearch(const http::Request& request, const http::Responder& respond) {
  const auto search = entry::DecodeSearch(request.body);
  if (!search.has_value()) {
    respond(entry::EncodeRefusal(search.error()));
    return;
  }
  const Result<void> started = runner_.Search(
      search.value(), [respond, id = NewRequestId()](const query::QueryOutcome& outcome) {
        respond(entry::EncodeSearchAnswer(id, outcome));
      });
  if (!started.has_value()) {
    respond(entry::EncodeRefusal(started.error()));
  }
}

void Entry::HandleTicket(const http::Request& request, const http::Responder& respond) {
  const auto caller = entry::DecodeTicketRequest(request.body);
  if (!caller.has_value()) {
    respond(entry::EncodeRefusal(caller.error()));
    return;
  }
  if (const Result<void> admitted = runner_.Admit(caller.value()); !admitted.has_value()) {
    respond(entry::EncodeRefusal(admitted.error()));
    return;
  }
  runner_.Release(caller.value());
  const auto ticket = bookings_.IssueTicket(caller.value());
  respond(ticket.has_value() ? entry::EncodeTicket(ticket.value(), bookings_.ticket_lifetime())
                             : entry::EncodeRefusal(ticket.error()));
}

void Entry::HandleBooking(const http::Request& request, const http::Responder& respond) {
  const auto booking = entry::DecodeBooking(request.body);
  if (!booking.has_value()) {
    respond(entry::EncodeRefusal(booking.error()));
    return;
  }
  const auto time = runner_.TimeLimitFor(booking.value().service, booking.value().deadline);
  if (!time.has_value()) {
    respond(entry::EncodeRefusal(time.error()));
    return;
  }
  const CallerId caller = booking.value().caller;
  if (const Result<void> admitted = runner_.Admit(caller); !admitted.has_value()) {
    respond(entry::EncodeRefusal(admitted.error()));
    return;
  }
  bookings_.Book(booking.value(), clock_.wall_now() + time.value(),
                 [this, caller, respond](http::Response response) {
                   runner_.Release(caller);
                   respond(std::move(response));
                 });
}

void Entry::HandleHealth(const http::Request&, const http::Responder& respond) {
  respond(http::JsonResponse(R"({"status":"alive"})"));
}

void Entry::HandleReady(const http::Request&, const http::Responder& respond) {
  if (config_.document() != nullptr && runner_.HasRoutes() && !draining_) {
    respond(http::JsonResponse(R"({"status":"ready"})"));
    return;
  }
  respond(http::ErrorResponse(
      503, MakeError(draining_ ? ErrorKind::kDraining : ErrorKind::kNoConfiguration, "entry")));
}

void Entry::HandleStatus(const http::Request&, const http::Responder& respond) {
  const entry::QueryCounters counters = runner_.counters();
  const nlohmann::json json = {{"host", settings_.id.value()},
                               {"incarnation", self_.incarnation.value()},
                               {"draining", draining_.load()},
                               {"document", config_.position().revision.value()},
                               {"in_flight", runner_.in_flight()},
                               {"bookings_unanswered", bookings_.unanswered()},
                               {"queries",
                                {{"complete", counters.complete},
                                 {"partial", counters.partial},
                                 {"refused", counters.refused}}},
                               {"attempts",
                                {{"first", counters.first_attempts},
                                 {"hedges", counters.hedges},
                                 {"retries", counters.retries},
                                 {"late_replies", counters.late_replies}}},
                               {"messages_sent", endpoint_.counters().messages_sent.load()},
                               {"bytes_sent", endpoint_.counters().bytes_sent.load()}};
  respond(http::JsonResponse(json.dump()));
}

void Entry::SendHello() {
  protocol::LocalHello hello;
  hello.draining = draining_;
  static_cast<void>(endpoint_.Send(settings_.agent_address, Incarnation(0), hello));
}

RequestId Entry::NewRequestId() {
  return RequestId(settings_.id.value() + "-" + std::to_string(self_.incarnation.value()) + "-" +
                   std::to_string(++last_request_));
}

}  // namespace peridotfork
