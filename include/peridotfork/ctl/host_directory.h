#ifndef PERIDOTFORK_CTL_HOST_DIRECTORY_H_
#define PERIDOTFORK_CTL_HOST_DIRECTORY_H_

#include <optional>
#include <string_view>
#include <vector>

#include "peridotfork/core/error.h"
#include "peridotfork/core/ids.h"

namespace peridotfork::ctl {

// The HTTP addresses of one host. A host given by --agents has only the agent's
// address; its id is unknown until the agent answers.
struct HostAddresses {
  std::optional<HostId> id;
  std::optional<Address> agent;
  std::optional<Address> dispatcher;
  std::optional<Address> entry;

  friend bool operator==(const HostAddresses&, const HostAddresses&) = default;
};

// Parses a hosts file: one section [host ID] per host, with the keys agent,
// dispatcher and entry. Thread-safe.
Result<std::vector<HostAddresses>> ParseHostDirectory(std::string_view text);

// Parses a comma-separated list of agent addresses. Thread-safe.
Result<std::vector<HostAddresses>> ParseAgentList(std::string_view text);

}  // namespace peridotfork::ctl

#endif  // PERIDOTFORK_CTL_HOST_DIRECTORY_H_
