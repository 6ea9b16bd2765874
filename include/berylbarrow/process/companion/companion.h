#ifndef BERYLBARROW_PROCESS_COMPANION_COMPANION_H_
#define BERYLBARROW_PROCESS_COMPANION_COMPANION_H_

#include "berylbarrow/process/companion/engine_dialect.h"
#include "berylbarrow/process/gateway/gateway_settings.h"

namespace berylbarrow {

/// Runs the companion of a model engine until SIGTERM or SIGINT; returns the exit code. It tells
/// gateways how loaded its engine is, and with the other companions of a rank group it keeps the
/// expert map of the group fitting the load. Throws std::runtime_error if an address cannot be
/// used.
int RunCompanion(const companion_settings& settings, const engine_dialect& dialect,
                 const runtime_clock& clock);

}  // namespace berylbarrow

#endif  // BERYLBARROW_PROCESS_COMPANION_COMPANION_H_
