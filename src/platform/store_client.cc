#include "peridotfork/platform/store_client.h"

#include <boost/beast/core/detail/base64.hpp>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "peridotfork/internal/platform/json_reader.h"
#include "peridotfork/internal/platform/text_repair.h"
#include "peridotfork/platform/catalogue_codec.h"

namespace peridotfork::platform {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// Keys and key prefixes in the store.
constexpr std::string_view kConfigurationKey = "op/config";
constexpr std::string_view kEvacuationPrefix = "op/evacuate/";
constexpr std::string_view kTargetPrefix = "servers/";
// A whole number in all replies.
constexpr std::string_view kEra = "Store-Era";

// A reply ends at about 500 items, or before the item with which it would exceed about 1 MB.
constexpr std::size_t kLongReplyItems = 450;
constexpr std::size_t kLongReplyBytes = 500'000;
// Maximum size of a reply: twice the platform's limit of one megabyte for a value, with room for
// the base64 encoding and the other items of a page.
constexpr std::uint64_t kMaxReplyBytes = 4'000'000;
// The store accepts connections within milliseconds even when its replies are slow.
constexpr milliseconds kConnectTimeout{300};

// Decodes standard base64 with padding; none if `text` is anything else.
std::optional<std::string> DecodeBase64(const std::string& text) {
  namespace base64 = boost::beast::detail::base64;
  // The decoder writes past the size that it states for text that is not made of whole groups.
  constexpr std::size_t kGroup = 4;
  if (text.size() % kGroup != 0) {
    return std::nullopt;
  }
  std::string bytes(base64::decoded_size(text.size()), '\0');
  const auto [written, read] = base64::decode(bytes.data(), text.data(), text.size());
  const std::size_t padding = text.size() - read;
  if (padding > 2 || text.find_first_not_of('=', read) != text.npos) {
    return std::nullopt;
  }
  bytes.resize(written);
  return bytes;
}

void AddTarget(const TargetId& id, const std::optional<std::string>& value, StoreReply& reply) {
  const Result<TargetEntry> entry =
      value ? DecodeTargetEntry(id, *value)
            : Result<TargetEntry>(
                  MakeError(ErrorKind::kMalformed, id.value(), "value is not valid base64"));
  if (entry.has_value()) {
    reply.changes.emplace_back(TargetReported{entry.value()});
    return;
  }
  // A target whose entry can't be decoded is treated as removed.
  reply.faults.push_back(entry.error());
  reply.changes.emplace_back(TargetRemoved{id});
}

void AddCatalogue(const std::optional<std::string>& value, StoreReply& reply) {
  const Result<CataloguePtr> catalogue =
      value ? DecodeCatalogue(*value)
            : Result<CataloguePtr>(MakeError(ErrorKind::kMalformed, std::string(kConfigurationKey),
                                             "value is not valid base64"));
  if (catalogue.has_value()) {
    reply.changes.emplace_back(CataloguePublished{catalogue.value()});
  } else {
    reply.faults.push_back(catalogue.error());
  }
}

// Adds one item or event of a reply. Keys of other users of the store are ignored.
void AddItem(const json& object, StoreReply& reply) {
  JsonReader item(object, "item");
  const std::string key = item.String("key");
  const bool deleted = item.Has("deleted");
  std::optional<std::string> value;
  if (!deleted) {
    value = DecodeBase64(item.String("value"));
  }
  if (item.failed()) {
    reply.faults.push_back(item.error());
  } else if (key.starts_with(kTargetPrefix)) {
    const TargetId id(key.substr(kTargetPrefix.size()));
    if (deleted) {
      reply.changes.emplace_back(TargetRemoved{id});
    } else {
      AddTarget(id, value, reply);
    }
  } else if (key.starts_with(kEvacuationPrefix)) {
    reply.changes.emplace_back(
        DataCentreDrain{DataCentreId(key.substr(kEvacuationPrefix.size())), !deleted});
  } else if (key == kConfigurationKey && !deleted) {
    AddCatalogue(value, reply);
  }
}

// Parses a reply, also if a key or a value of another user of the store is not valid text.
json ParseReply(const std::string& body) {
  json document = json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (document.is_discarded()) {
    document = json::parse(RepairJsonText(body), nullptr, /*allow_exceptions=*/false);
  }
  return document;
}

Result<StoreReply> DecodeItems(const std::string& body, const char* list) {
  const json document = ParseReply(body);
  if (document.is_discarded()) {
    return MakeError(ErrorKind::kMalformed, "store reply", "invalid JSON");
  }
  JsonReader reader(document, "store reply");
  StoreReply reply;
  reply.revision = StoreRevision(reader.NonNegative<std::uint64_t>("current_rev"));
  const json& items = reader.Array(list);
  if (reader.failed()) {
    return reader.error();
  }
  reply.empty = items.empty();
  reply.is_long = items.size() >= kLongReplyItems || body.size() >= kLongReplyBytes;
  for (const json& item : items) {
    AddItem(item, reply);
  }
  const auto more = document.find("has_more");
  if (more != document.end() && more->is_boolean() && more->get<bool>() && !items.empty()) {
    reply.next_page = OriginalBytes(JsonReader(items.back(), "item").String("key"));
  }
  return reply;
}

std::optional<StoreEra> ParseEra(const std::string& text) {
  std::uint64_t era = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, era);
  if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return StoreEra(era);
}

ErrorKind KindOfStatus(unsigned status) {
  switch (status) {
    case 410:
      return ErrorKind::kStaleRevision;
    case 429:
      return ErrorKind::kShed;
    default:
      return ErrorKind::kUnavailable;
  }
}

}  // namespace

Result<StoreReply> DecodeRange(const std::string& body) {
  return DecodeItems(body, "items");
}

Result<StoreReply> DecodeEvents(const std::string& body) {
  return DecodeItems(body, "events");
}

StoreClient::StoreClient(boost::asio::io_context& context, Address address)
    : context_(context), address_(std::move(address)) {}

void StoreClient::List(const std::string& page, Callback done) {
  http::Request request{"GET", "/api/kv-range", {{"path_prefix", ""}}, ""};
  if (!page.empty()) {
    request.query["after"] = page;
  }
  Call(std::move(request), kReplyTimeout, &DecodeRange, std::move(done));
}

void StoreClient::Watch(StoreRevision after, milliseconds wait, Callback done) {
  http::Request request{"GET",
                        "/api/kv-watch",
                        {{"path_prefix", ""},
                         {"after", std::to_string(after.value())},
                         {"wait_ms", std::to_string(wait.count())}},
                        ""};
  Call(std::move(request), wait + kReplyTimeout, &DecodeEvents, std::move(done));
}

void StoreClient::Call(http::Request request, milliseconds timeout, Decoder decode, Callback done) {
  if (connection_ != nullptr && connection_->IsIdleAndOpen()) {
    Send(std::move(request), timeout, decode, std::move(done));
    return;
  }
  connection_.reset(new http::ClientConnection(context_, address_, kMaxReplyBytes));
  connection_->Connect(kConnectTimeout,
                       [this, request = std::move(request), timeout, decode,
                        done = std::move(done)](const Result<void>& connected) mutable {
                         if (!connected.has_value()) {
                           connection_.reset();
                           done(connected.error());
                           return;
                         }
                         Send(std::move(request), timeout, decode, std::move(done));
                       });
}

void StoreClient::Send(http::Request request, milliseconds timeout, Decoder decode, Callback done) {
  connection_->RoundTrip(
      std::move(request), timeout,
      [this, decode, done = std::move(done)](const std::optional<http::ClientError>& error,
                                             const http::Response& response) {
        if (error.has_value()) {
          connection_.reset();
          done(error->error);
        } else if (response.status != 200) {
          done(MakeError(KindOfStatus(response.status), "store",
                         "HTTP status " + std::to_string(response.status)));
        } else {
          Result<StoreReply> reply = decode(response.body);
          if (reply.has_value()) {
            reply.value().era = ParseEra(response.Header(kEra));
          }
          done(std::move(reply));
        }
      });
}

}  // namespace peridotfork::platform
