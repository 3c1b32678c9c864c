#ifndef PERIDOTFORK_DISCOVERY_METADATA_STORE_H_
#define PERIDOTFORK_DISCOVERY_METADATA_STORE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "peridotfork/catalogue/catalogue.h"
#include "peridotfork/core/error.h"
#include "peridotfork/core/ids.h"

namespace peridotfork {

// Position in the change history of a metadata store.
using StoreRevision = StrongValue<struct StoreRevisionTag, std::uint64_t>;

// Rises each time that the store comes back from a copy and lacks what was written after the copy.
// Revisions of different eras can't be compared.
using StoreEra = StrongValue<struct StoreEraTag, std::uint64_t>;

struct CataloguePublished {
  CataloguePtr catalogue;
};
struct TargetReported {
  TargetEntry entry;
};
struct TargetRemoved {
  TargetId id;
};
struct DataCentreDrain {
  DataCentreId data_centre;
  bool drained = true;
};

// One decoded change in the contents of the store.
using StoreChange =
    std::variant<CataloguePublished, TargetReported, TargetRemoved, DataCentreDrain>;

// Reply of the store to one call.
struct StoreReply {
  std::vector<StoreChange> changes;
  // The store had nothing to report, not even entries that are ignored here.
  bool empty = false;
  // For a watch: has about as many entries as a reply can have, or half of the bytes. The store may
  // have left out later changes, which it returns to the next watch at once. A reply that is not
  // long can leave out only a change that is too large for one reply with it.
  bool is_long = false;
  // Errors of values that could not be decoded; the rest of the reply is valid.
  std::vector<Error> faults;
  // Revision after which the next watch continues.
  StoreRevision revision;
  // None if the store does not state it.
  std::optional<StoreEra> era;
  // For a listing: where the next page begins; empty after the last page.
  std::string next_page;
};

// Reads the store that publishes the configuration and the targets. Each callback runs exactly
// once, on a worker. Error kinds: kStaleRevision if the requested history is no longer available,
// kShed if the call rate is exceeded, kTooLarge if a reply exceeds what is accepted, kUnavailable
// if the store refuses the call, kTransport and kTimedOut if it can't be reached.
class MetadataStore {
 public:
  using Callback = std::function<void(Result<StoreReply>)>;

  virtual ~MetadataStore() = default;

  // Time allowed for a reply, in addition to the wait of a watch.
  static constexpr std::chrono::milliseconds kReplyTimeout{1000};

  // Lists one page of all entries; the first one if `page` is empty.
  virtual void List(const std::string& page, Callback done) = 0;

  // Replies as soon as there is a change later than revision `after`, or when `wait` has passed.
  virtual void Watch(StoreRevision after, std::chrono::milliseconds wait, Callback done) = 0;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_DISCOVERY_METADATA_STORE_H_
