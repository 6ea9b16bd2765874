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

/// Promises of the deployment that bound how a gateway behaves.
struct gateway_bounds {
  duration shutdown_grace = std::chrono::seconds(8);  // from SIGTERM to SIGKILL
  duration key_lifetime = std::chrono::seconds(5);    // of what is known about keys
  bool strict_keys = true;  // keys are refused when what is known of them is older
  duration retry_window = std::chrono::seconds(10);
  double retry_share = 0.2;        // retries per request, over all gateways
  std::uint32_t retry_slack = 90;  // further retries in a window, over all gateways
  duration address_lifetime = std::chrono::seconds(2);  // of an address answer
  auto operator<=>(const gateway_bounds&) const = default;
};

/// Settings of a gateway: an entry that reaches the upstreams itself. All addresses are "IP:port".
struct gateway_settings {
  std::string name;
  std::string domain;
  std::string callers_address;
  std::string readiness_address;
  std::string directory_address;
  std::string peers_address;    // UDP
  std::string metrics_address;  // metrics and state
  std::string store_address;
  std::vector<std::string> seeds;
  std::uint32_t max_connections = 2000;
  gateway_bounds bounds;
  log_options log;
  auto operator<=>(const gateway_settings&) const = default;
};

/// Settings of a companion: the process beside one upstream that is a rank of a group.
struct companion_settings {
  std::string name;
  std::string domain;
  std::string peers_address;  // UDP
  std::string metrics_address;
  std::string upstream_address;
  std::string service;  // of the upstream
  std::string store_address;
  std::vector<std::string> seeds;
  log_options log;
  auto operator<=>(const companion_settings&) const = default;
};

/// `file` is used in the findings.
checked<gateway_settings> ParseGatewaySettings(std::string_view text, std::string_view file);
checked<companion_settings> ParseCompanionSettings(std::string_view text, std::string_view file);

}  // namespace berylbarrow

#endif  // BERYLBARROW_PROCESS_GATEWAY_GATEWAY_SETTINGS_H_
