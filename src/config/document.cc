#include "peridotfork/config/document.h"

#include <algorithm>
#include <utility>

#include "peridotfork/config/document_store.h"

namespace peridotfork {
namespace {

template <typename Config>
using Index = std::unordered_map<std::string_view, const Config*>;

template <typename Config>
void FillIndex(const std::vector<Config>& list, Index<Config>* index) {
  index->reserve(list.size());
  for (const Config& config : list) {
    index->emplace(config.id.value(), &config);
  }
}

template <typename Config>
const Config* Find(const Index<Config>& index, std::string_view id) {
  const auto found = index.find(id);
  return found == index.end() ? nullptr : found->second;
}

}  // namespace

Document::Document(DocumentContents contents) : contents_(std::move(contents)) {
  for (const ServiceConfig& service : contents_.services) {
    for (const GroupConfig& group : service.groups) {
      targets_.insert(targets_.end(), group.targets.begin(), group.targets.end());
    }
  }
  FillIndex(contents_.services, &service_index_);
  FillIndex(targets_, &target_index_);
  FillIndex(contents_.callers, &caller_index_);
  FillIndex(contents_.data_centres, &data_centre_index_);
}

const ServiceConfig* Document::FindService(const ServiceId& id) const {
  return Find(service_index_, id.value());
}

const GroupConfig* Document::FindGroup(const GroupId& id) const {
  const ServiceConfig* service = FindService(id.service);
  if (service == nullptr) {
    return nullptr;
  }
  const auto before = [](const GroupConfig& group, GroupIndex index) {
    return group.id.index < index;
  };
  const auto found =
      std::lower_bound(service->groups.begin(), service->groups.end(), id.index, before);
  return found != service->groups.end() && found->id == id ? &*found : nullptr;
}

const TargetConfig* Document::FindTarget(const TargetId& id) const {
  return Find(target_index_, id.value());
}

const CallerConfig* Document::FindCaller(const CallerId& id) const {
  return Find(caller_index_, id.value());
}

bool Document::IsDrained(const DataCentreId& id) const {
  const DataCentreConfig* found = Find(data_centre_index_, id.value());
  return found != nullptr && found->drained;
}

Result<DocumentPtr> ParseDocument(std::string_view text) {
  const SystemClock clock;
  DocumentStore store(clock);
  if (auto applied = store.Apply(Revision(1), text); !applied) {
    return std::move(applied).error();
  }
  if (!store.refusals().empty()) {
    return store.refusals().front().fault.ToError();
  }
  return store.document();
}

}  // namespace peridotfork
