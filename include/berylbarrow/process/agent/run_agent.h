#ifndef BERYLBARROW_PROCESS_AGENT_RUN_AGENT_H_
#define BERYLBARROW_PROCESS_AGENT_RUN_AGENT_H_

#include <memory>

#include "berylbarrow/process/core/core.h"
#include "berylbarrow/process/settings/settings.h"

namespace berylbarrow {

/// Runs an agent until its core reports that it has finished, which SIGTERM and SIGINT ask for.
/// Returns the exit code: 0, or 1 if an address of the settings cannot be used (printed on standard
/// error).
int RunAgent(const process_settings& settings, std::unique_ptr<agent_decisions> core,
             const runtime_clock& clock, const process_identity& identity);

}  // namespace berylbarrow

#endif  // BERYLBARROW_PROCESS_AGENT_RUN_AGENT_H_
