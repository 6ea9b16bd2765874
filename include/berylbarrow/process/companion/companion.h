#ifndef BERYLBARROW_PROCESS_COMPANION_COMPANION_H_
#define BERYLBARROW_PROCESS_COMPANION_COMPANION_H_

#include "berylbarrow/process/companion/engine_dialect.h"
#include "berylbarrow/process/gateway/gateway_settings.h"

namespace berylbarrow {

/// Runs the companion process of a model engine until SIGTERM or SIGINT and returns the exit code.
/// The companion reports the load of its engine to the gateways in heartbeats. Together with the
/// other companions of a rank group it adapts the group's expert map to the load. Throws
/// std::runtime_error if an address cannot be bound.
int RunCompanion(const companion_settings& settings, const engine_dialect& dialect,
                 const runtime_clock& clock);

}  // namespace berylbarrow

#endif  // BERYLBARROW_PROCESS_COMPANION_COMPANION_H_
