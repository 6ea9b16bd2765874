#ifndef BERYLBARROW_SRC_PROCESS_RUNTIME_PROCESS_COUNTERS_H_
#define BERYLBARROW_SRC_PROCESS_RUNTIME_PROCESS_COUNTERS_H_

#include <cstdint>
#include <string>

#include "berylbarrow/connection/http/caller_server.h"
#include "berylbarrow/connection/http/engine_client.h"
#include "berylbarrow/connection/http/platform_client.h"
#include "berylbarrow/connection/http/upstream_client.h"
#include "berylbarrow/connection/peer/peer_manager.h"

namespace berylbarrow {

/// The counters of the I/O threads in the text exposition format 0.0.4.
std::string CountersText(const caller_server_counters& counters);
std::string CountersText(const upstream_client_counters& counters);
std::string CountersText(const engine_client_counters& counters);
std::string CountersText(const peer_counters& counters);
std::string CountersText(const platform_counters& counters);

/// One line of a counter. `label` is empty or NAME="VALUE".
std::string CounterLine(const std::string& name, const std::string& label, std::uint64_t value);

}  // namespace berylbarrow

#endif  // BERYLBARROW_SRC_PROCESS_RUNTIME_PROCESS_COUNTERS_H_
