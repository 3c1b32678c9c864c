#ifndef PERIDOTFORK_TEST_PLATFORM_SAMPLES_H_
#define PERIDOTFORK_TEST_PLATFORM_SAMPLES_H_

#include <random>
#include <string>

namespace peridotfork::platform {

inline constexpr char kConfigurationText[] = R"({
  "version": 7,
  "routes": [
    {"name": "r-gather", "host": "leno12.example", "path_prefix": "/nono/", "route_type": "idempotent",
     "timeout_ms": 300, "target_latency_ms": 60, "priority": 2, "gather": ["s1", "s2"],
     "max_attempts": 2, "top_k": 5, "min_coverage": 0.75},
    {"name": "r-single", "host": "hufi27.example", "path_prefix": "/goka/",
     "route_type": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 500, "priority": 2,
     "backend": "s3", "max_attempts": 2},
    {"name": "r-split", "host": "hufi27.example", "path_prefix": "/split/",
     "route_type": "idempotent", "timeout_ms": 3000, "target_latency_ms": 500, "priority": 1,
     "traffic_split": [{"backend": "s3", "weight": 90}, {"backend": "s4", "weight": 10}],
     "max_attempts": 1}
  ],
  "services": [
    {"name": "s1", "health_path": "/health", "max_conns": 31, "protocol": "h1", "tls": false,
     "cold_s": 3.0, "cold_per_s": 2.5}
  ],
  "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
             "idle_timeout_ms": 15000}
})";

inline constexpr char kTargetText[] =
    R"({"backend":"s1","address":"10.128.0.9:8080","zone":"hartford","version":"v1","slots":3,)"
    R"("state":"ready","cold_left_ms":0,"seq":4,"born":1700000000000})";

// Changes `text` at random: replaces, inserts or removes bytes, or truncates it.
inline std::string Mutate(std::string text, std::mt19937& random) {
  const int changes = 1 + static_cast<int>(random() % 4);
  for (int i = 0; i < changes && !text.empty(); ++i) {
    const std::size_t at = random() % text.size();
    switch (random() % 4) {
      case 0:
        text[at] = static_cast<char>(random());
        break;
      case 1:
        text.insert(at, 1, static_cast<char>(random()));
        break;
      case 2:
        text.erase(at, 1 + random() % 8);
        break;
      default:
        text.resize(at);
        break;
    }
  }
  return text;
}

}  // namespace peridotfork::platform

#endif  // PERIDOTFORK_TEST_PLATFORM_SAMPLES_H_
