#ifndef PERIDOTFORK_CONFIG_DOCUMENT_H_
#define PERIDOTFORK_CONFIG_DOCUMENT_H_

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "peridotfork/core/error.h"
#include "peridotfork/core/ids.h"
#include "peridotfork/core/units.h"

namespace peridotfork {

// [fleet]
struct FleetConfig {
  std::string owner;
  // Hosts that operators declare permanently lost.
  std::vector<HostId> retired;
  // If not empty, only these callers may have a section.
  std::vector<CallerId> callers;
  // The revision in which more than half of the sections may be removed.
  std::optional<Revision> allow_shrink;

  friend bool operator==(const FleetConfig&, const FleetConfig&) = default;
};

// One replica of a group. `leaving` is set by the separate section [target ID].
struct TargetConfig {
  TargetId id;
  Address address;
  DataCentreId data_centre;
  GroupId group;
  bool leaving = false;

  friend bool operator==(const TargetConfig&, const TargetConfig&) = default;
};

// [group SERVICE/INDEX]. `cell` is empty if the fleet is a single cell.
struct GroupConfig {
  GroupId id;
  std::string cell;
  std::string owner;
  std::vector<TargetConfig> targets;

  friend bool operator==(const GroupConfig&, const GroupConfig&) = default;
};

// A booking service also answers searches.
enum class ServiceKind { kSearch, kBooking };

// [service ID]. `groups` are sorted by index. Indexes may have gaps: a group
// without a section has no targets.
struct ServiceConfig {
  ServiceId id;
  DeploymentId deployment;
  std::string owner;
  ServiceKind kind = ServiceKind::kSearch;
  // Limits per target.
  Slots slots;
  Connections connections;
  std::chrono::milliseconds connect_cost{0};
  std::chrono::milliseconds deadline{0};
  // Service level objectives: a latency, and the fraction of answers with full
  // coverage.
  std::optional<std::chrono::milliseconds> objective_latency;
  std::optional<double> objective_coverage;
  std::vector<GroupConfig> groups;

  friend bool operator==(const ServiceConfig&, const ServiceConfig&) = default;
};

// [data_centre ID]
struct DataCentreConfig {
  DataCentreId id;
  std::string owner;
  bool drained = false;

  friend bool operator==(const DataCentreConfig&, const DataCentreConfig&) = default;
};

// [caller ID]
struct CallerConfig {
  CallerId id;
  std::string owner;
  Rate rate;
  std::uint32_t in_flight = 0;

  friend bool operator==(const CallerConfig&, const CallerConfig&) = default;
};

// The combined contents of a document's sections. Equal sections give equal
// contents, regardless of their order.
struct DocumentContents {
  FleetConfig fleet;
  std::vector<ServiceConfig> services;
  std::vector<DataCentreConfig> data_centres;
  std::vector<CallerConfig> callers;

  friend bool operator==(const DocumentContents&, const DocumentContents&) = default;
};

// The configuration in force. Immutable and therefore thread-safe. Returned
// pointers are valid for the lifetime of the document.
class Document : public boost::intrusive_ref_counter<Document, boost::thread_safe_counter> {
 public:
  explicit Document(DocumentContents contents);
  Document(const Document&) = delete;
  Document& operator=(const Document&) = delete;

  const FleetConfig& fleet() const { return contents_.fleet; }
  const std::vector<ServiceConfig>& services() const { return contents_.services; }
  const std::vector<DataCentreConfig>& data_centres() const { return contents_.data_centres; }
  const std::vector<CallerConfig>& callers() const { return contents_.callers; }

  // The targets of all groups of all services.
  const std::vector<TargetConfig>& targets() const { return targets_; }

  // Null if the id is unknown.
  const ServiceConfig* FindService(const ServiceId& id) const;
  const GroupConfig* FindGroup(const GroupId& id) const;
  const TargetConfig* FindTarget(const TargetId& id) const;
  const CallerConfig* FindCaller(const CallerId& id) const;

  // A data centre without a section is not drained.
  bool IsDrained(const DataCentreId& id) const;

  friend bool operator==(const Document& a, const Document& b) {
    return a.contents_ == b.contents_;
  }

 private:
  DocumentContents contents_;
  std::vector<TargetConfig> targets_;
  // Elements of the lists above by id; the keys point into the elements.
  std::unordered_map<std::string_view, const ServiceConfig*> service_index_;
  std::unordered_map<std::string_view, const TargetConfig*> target_index_;
  std::unordered_map<std::string_view, const CallerConfig*> caller_index_;
  std::unordered_map<std::string_view, const DataCentreConfig*> data_centre_index_;
};

using DocumentPtr = boost::intrusive_ptr<const Document>;

// Parses a document in which every section must be valid. For tests and tools;
// daemons use DocumentStore.
Result<DocumentPtr> ParseDocument(std::string_view text);

}  // namespace peridotfork

#endif  // PERIDOTFORK_CONFIG_DOCUMENT_H_
