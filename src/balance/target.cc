#include "peridotfork/balance/target.h"

#include <utility>

namespace peridotfork {

Attempt::Attempt(TargetPtr chosen, BootTime started) : target(std::move(chosen)), sent(started) {}

Attempt::~Attempt() = default;

}  // namespace peridotfork
