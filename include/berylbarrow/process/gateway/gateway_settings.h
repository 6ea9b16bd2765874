#ifndef BERYLBARROW_PROCESS_GATEWAY_GATEWAY_SETTINGS_H_
#define BERYLBARROW_PROCESS_GATEWAY_GATEWAY_SETTINGS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "berylbarrow/process/runtime/finding.h"
#include "berylbarrow/process/runtime/time.h"
#include "berylbarrow/process/settings/settings.h"

namespace berylbarrow {

/// Limits that the deployment guarantees or requires, and that a gateway must respect.
struct gateway_bounds {
  /// From SIGTERM to SIGKILL.
  duration shutdown_grace = std::chrono::seconds(8);
  /// Maximum age of the configuration by which API keys are accepted, if `strict_keys`.
  duration key_lifetime = std::chrono::seconds(5);
  /// Whether API keys are refused when the configuration is older than `key_lifetime`.
  bool strict_keys = true;
  /// From the notice that an upstream leaves until it may refuse requests.
  duration upstream_drain = std::chrono::seconds(2);
  /// Interval at which upstreams renew their records in the instance list.
  duration upstream_heartbeat = std::chrono::milliseconds(1200);
  /// The period to which `retry_slack` applies.
  duration retry_window = std::chrono::seconds(10);
  /// Retries allowed per request, over all gateways.
  double retry_share = 0.2;
  /// Retries allowed in each `retry_window` beyond `retry_share`, over all gateways.
  double retry_slack = 90;
  /// Time to live that a directory answer states for its addresses.
  duration address_lifetime = std::chrono::seconds(2);
  auto operator<=>(const gateway_bounds&) const = default;
};

/// Settings of a gateway: an entry that connects to the upstreams directly, without agents. All
/// addresses are "IP:port".
struct gateway_settings {
  std::string name;
  std::string domain;  // failure domain
  std::string callers_address;
  std::string readiness_address;
  std::string directory_address;
  std::string peers_address;    // UDP
  std::string metrics_address;  // serves /metrics and /state; empty: not served
  std::string store_address;
  std::vector<std::string> seeds;        // peers addresses of processes to contact first
  std::uint32_t max_connections = 2000;  // to the callers and directory addresses, each
  double memory_mb = 256;                // MiB that the process may use
  std::uint32_t max_descriptors = 0;     // that the process may open; 0: what the system allows
  gateway_bounds bounds;
  log_options log;
  auto operator<=>(const gateway_settings&) const = default;
};

/// Settings of a companion: the process that runs beside one upstream that is a rank of a group.
/// All addresses are "IP:port".
struct companion_settings {
  std::string name;
  std::string domain;           // failure domain
  std::string peers_address;    // UDP
  std::string metrics_address;  // empty: not served
  std::string upstream_address;
  std::string service;  // the service that the upstream offers
  std::string store_address;
  std::vector<std::string> seeds;  // peers addresses of processes to contact first
  log_options log;
  auto operator<=>(const companion_settings&) const = default;
};

/// Parses a settings file in YAML. `file` is the file name to show in the findings.
checked<gateway_settings> ParseGatewaySettings(std::string_view text, std::string_view file);
checked<companion_settings> ParseCompanionSettings(std::string_view text, std::string_view file);

}  // namespace berylbarrow

#endif  // BERYLBARROW_PROCESS_GATEWAY_GATEWAY_SETTINGS_H_
