#ifndef PERIDOTFORK_REPLICATION_CONFIG_REPLICA_H_
#define PERIDOTFORK_REPLICATION_CONFIG_REPLICA_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "peridotfork/config/document_store.h"
#include "peridotfork/protocol/message.h"
#include "peridotfork/runtime/log.h"
#include "peridotfork/runtime/ranked_mutex.h"
#include "peridotfork/transport/endpoint.h"

namespace peridotfork {

// Identifies the set of sections that are in force at a process.
struct ConfigPosition {
  Revision revision;
  std::uint64_t digest = 0;

  friend bool operator==(const ConfigPosition&, const ConfigPosition&) = default;
};

// The replica of the operators' configuration document in one process. A process that
// receives a newer position from another process pulls the sections that differ from
// it. Each agent, dispatcher and entry has one. Thread-safe.
class ConfigReplica {
 public:
  ConfigReplica(const Clock& clock, Endpoint& endpoint, Logger& log);

  // Returns the document in force, or null before the first one.
  DocumentPtr document() const;
  ConfigPosition position() const;

  // Details shown on the admin page.
  std::vector<SectionInForce> in_force() const;
  std::vector<SectionRefusal> refusals() const;
  std::uint64_t stale_count() const;

  // Applies a document published by the platform. Returns false if it is refused.
  bool ApplyPublished(Revision revision, std::string_view text);

  // True if a process at `position` has a newer revision, or other sections of the same
  // revision, than this one.
  bool IsBehind(ConfigPosition position) const;

  // Requests from `peer` the sections that differ, and the host list if it is newer than
  // `view`.
  void Pull(const Address& peer, ViewVersion view);

  // Replies to a pull.
  void OnPull(const Address& peer, const protocol::ConfigPull& pull);

  // Applies the reply to a pull. Returns true if the document has changed.
  bool OnSections(const protocol::ConfigSections& sections);

 private:
  Endpoint& endpoint_;
  Logger& log_;
  mutable RankedMutex mutex_{LockRank::kConfiguration};
  DocumentStore store_;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_REPLICATION_CONFIG_REPLICA_H_
