#include "peridotfork/agent/agent.h"

int main(int argc, char** argv) {
  return peridotfork::RunDaemon<peridotfork::AgentSettings, peridotfork::Agent>(
      argc, argv,
      {"peridotfork-agent",
       "Reads the platform, maintains membership and leases, and distributes the configuration.",
       "agent"});
}
