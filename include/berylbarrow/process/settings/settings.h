#ifndef BERYLBARROW_PROCESS_SETTINGS_SETTINGS_H_
#define BERYLBARROW_PROCESS_SETTINGS_SETTINGS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "berylbarrow/connection/wire/message.h"
#include "berylbarrow/process/runtime/finding.h"
#include "berylbarrow/process/runtime/time.h"
#include "berylbarrow/process/telemetry/log_types.h"

namespace berylbarrow {

enum class log_format : std::uint8_t { kText, kJson };

struct log_options {
  log_level level = log_level::kInfo;
  log_format format = log_format::kText;
  std::map<std::string, log_level> modules;  // overrides `level` for one module
  /// Events of one module and name that are logged in a second; further ones are counted.
  std::uint32_t max_events_per_second = 10;
  auto operator<=>(const log_options&) const = default;
};

/// Bounds of every queue, table and connection count of a process.
struct process_limits {
  std::uint32_t max_connections = 1024;         // callers or peers, each
  std::uint32_t max_requests = 512;             // in flight in an entry
  std::uint32_t max_executions = 4096;          // records in an agent, finished ones included
  std::uint32_t max_request_bytes = 1 << 20;    // body of a caller's request
  std::uint32_t max_answer_bytes = 4 << 20;     // buffered per answer
  std::uint32_t max_buffered_bytes = 16 << 20;  // all buffered answers of a process
  std::uint32_t ring_capacity = 4096;           // messages between two threads
  std::uint32_t max_frame_bytes = 2 << 20;      // one message of the peer protocol
  std::uint32_t memory_mb = 256;                // MiB that the process may use
  auto operator<=>(const process_limits&) const = default;
};

/// Settings of one process. All addresses are "IP:port".
struct process_settings {
  process_role role = process_role::kEntry;
  std::string name;
  std::string domain;
  std::string callers_address;    // entries only
  std::string tls_certificate;    // entries only: PEM file; empty: callers use plain TCP
  std::string tls_private_key;    // PEM file
  std::string peers_address;      // TCP and UDP
  std::string operators_address;  // state dump, metrics, status
  std::string configuration_service;
  std::string instance_list;
  std::string upstream_address;    // agents only
  std::string service;             // agents only: the service of the upstream
  std::vector<std::string> seeds;  // peers asked for a configuration while the service is down
  process_limits limits;
  log_options log;
  auto operator<=>(const process_settings&) const = default;
};

/// Parses and checks the settings of a process. `file` is used in the findings.
checked<process_settings> ParseSettings(process_role role, std::string_view text,
                                        std::string_view file);

}  // namespace berylbarrow

#endif  // BERYLBARROW_PROCESS_SETTINGS_SETTINGS_H_
