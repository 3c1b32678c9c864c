#include "peridotfork/standin/sample_document.h"

#include <array>
#include <sstream>
#include <string_view>
#include <vector>

namespace peridotfork::standin {
namespace {

struct SampleService {
  const char* name;
  const char* owner;
  // Prefix of the target ids.
  const char* prefix;
  const char* kind;
  int groups;
  int replicas;
  int slots;
  int connections;
  const char* connect_cost;
  const char* deadline;
};

struct SampleCaller {
  const char* name;
  int rate;
  int in_flight;
};

struct SampleDeployment {
  std::string_view name;
  std::vector<const char*> data_centres;
  std::vector<SampleService> services;
  std::vector<SampleCaller> callers;
};

// Sizes as specified in section 1 of docs/design.md.
const std::array<SampleDeployment, 2>& Deployments() {
  static const std::array<SampleDeployment, 2> deployments = {{
      {"association",
       {"hartford", "worcester", "concord"},
       {{"hearing-desk", "hearing-team", "hd", "search", 10, 3, 3, 30, "6ms", "400ms"},
        {"member-portal", "member-team", "mp", "search", 15, 3, 3, 30, "6ms", "400ms"},
        {"history-archive", "archive-team", "ha", "search", 3, 3, 6, 100, "1ms", "800ms"},
        {"report-builder", "report-team", "rb", "search", 2, 2, 6, 100, "1ms", "1500ms"}},
       {{"clerk-desk", 200, 50},
        {"member-portal-web", 300, 80},
        {"archive-reader", 60, 20},
        {"report-scheduler", 20, 8}}},
      {"rounds",
       {"bole", "piassa", "kazanchis", "megenagna"},
       {{"walker-app", "walker-team", "wa", "search", 10, 3, 2, 25, "6ms", "300ms"},
        {"billing", "billing-team", "bi", "search", 15, 3, 2, 25, "6ms", "400ms"},
        {"owner-portal", "owner-team", "op", "search", 3, 3, 3, 40, "1ms", "400ms"},
        {"roster", "roster-team", "ro", "booking", 2, 2, 3, 40, "1ms", "500ms"}},
       {{"walker-phone", 250, 60},
        {"owner-app", 200, 50},
        {"billing-desk", 60, 20},
        {"roster-planner", 40, 10}}},
  }};
  return deployments;
}

class Printer {
 public:
  explicit Printer(std::uint16_t base_port) : port_(base_port) {
    out_ << "[fleet]\nowner = platform-team\n";
  }

  void Print(const SampleDeployment& deployment) {
    for (const char* data_centre : deployment.data_centres) {
      out_ << "\n[data_centre " << data_centre << "]\ndrained = no\n";
    }
    for (const SampleService& service : deployment.services) {
      PrintService(service, deployment.name);
      for (int group = 0; group < service.groups; ++group) {
        PrintGroup(service, group, deployment.data_centres);
      }
    }
    for (const SampleCaller& caller : deployment.callers) {
      out_ << "\n[caller " << caller.name << "]\nrate = " << caller.rate
           << "/s\nin_flight = " << caller.in_flight << "\n";
    }
  }

  std::string text() const { return out_.str(); }

 private:
  void PrintService(const SampleService& service, std::string_view deployment) {
    out_ << "\n[service " << service.name << "]\ndeployment = " << deployment
         << "\nowner = " << service.owner << "\nkind = " << service.kind
         << "\nslots = " << service.slots << "\nconnections = " << service.connections
         << "\nconnect_cost = " << service.connect_cost << "\ndeadline = " << service.deadline
         << "\n";
  }

  // Places the replicas of a group in different data centres.
  void PrintGroup(const SampleService& service,
                  int group,
                  const std::vector<const char*>& data_centres) {
    out_ << "\n[group " << service.name << "/" << group << "]\n";
    for (int replica = 0; replica < service.replicas; ++replica) {
      const std::size_t place = static_cast<std::size_t>(group + replica) % data_centres.size();
      out_ << "target." << service.prefix << "-" << group << "-" << static_cast<char>('a' + replica)
           << " = 127.0.0.1:" << port_++ << " " << data_centres[place] << "\n";
    }
  }

  std::ostringstream out_;
  std::uint16_t port_;
};

}  // namespace

std::string MakeSampleDocument(std::uint16_t base_port, const std::string& deployment) {
  Printer printer(base_port);
  for (const SampleDeployment& sample : Deployments()) {
    if (deployment.empty() || deployment == sample.name) {
      printer.Print(sample);
    }
  }
  return printer.text();
}

}  // namespace peridotfork::standin
