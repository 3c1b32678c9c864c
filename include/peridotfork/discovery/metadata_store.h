#ifndef PERIDOTFORK_DISCOVERY_METADATA_STORE_H_
#define PERIDOTFORK_DISCOVERY_METADATA_STORE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "peridotfork/catalogue/catalogue.h"
#include "peridotfork/core/error.h"
#include "peridotfork/core/ids.h"

namespace peridotfork {

// Position in the history of a metadata store.
using StoreRevision = StrongValue<struct StoreRevisionTag, std::uint64_t>;

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

// One decoded change of what the store holds.
using StoreChange =
    std::variant<CataloguePublished, TargetReported, TargetRemoved, DataCentreDrain>;

// Answer of the store to one call.
struct StoreReply {
  std::vector<StoreChange> changes;
  // Values that were refused; the rest of the reply holds.
  std::vector<Error> faults;
  // Revision from which a watch goes on.
  StoreRevision revision;
  // Of a listing: where the next page begins; empty after the last one.
  std::string next_page;
};

// Reads the store that publishes the configuration and the targets. Callbacks
// run on the workers, each exactly once. Error kinds: kStaleRevision if the
// history asked for is gone, kShed over the call rate, kUnavailable if the
// store refuses, kTransport and kTimedOut if it can't be reached.
class MetadataStore {
 public:
  using Callback = std::function<void(Result<StoreReply>)>;

  virtual ~MetadataStore() = default;

  // One page of everything; the first one if `page` is empty.
  virtual void List(const std::string& page, Callback done) = 0;

  // Answers as soon as there is a change after `after`, or after `wait`.
  virtual void Watch(StoreRevision after, std::chrono::milliseconds wait, Callback done) = 0;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_DISCOVERY_METADATA_STORE_H_
