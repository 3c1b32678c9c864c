#include "peridotfork/lease/view.h"

#include <algorithm>

namespace peridotfork {

const ViewMember* View::Find(const HostId& id) const {
  const auto found = std::find_if(members.begin(), members.end(),
                                  [&](const ViewMember& member) { return member.id == id; });
  return found == members.end() ? nullptr : &*found;
}

std::vector<HostId> View::ids() const {
  std::vector<HostId> result;
  result.reserve(members.size());
  for (const ViewMember& member : members) {
    result.push_back(member.id);
  }
  return result;
}

}  // namespace peridotfork
