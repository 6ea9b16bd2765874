#ifndef BERYLBARROW_SRC_PROCESS_ENTRY_STATUS_H_
#define BERYLBARROW_SRC_PROCESS_ENTRY_STATUS_H_

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "process/entry/entry_context.h"
#include "process/entry/entry_counters.h"

namespace berylbarrow {

/// The fleet as this entry sees it: domains, upstreams, revision per process, plan steps.
nlohmann::json FleetStatus(const entry_context& context);

nlohmann::json CountersJson(const entry_counters& counters);

/// Text exposition format 0.0.4.
std::string CountersText(const entry_counters& counters, std::size_t in_flight);

}  // namespace berylbarrow

#endif  // BERYLBARROW_SRC_PROCESS_ENTRY_STATUS_H_
