#ifndef BERYLBARROW_SRC_PROCESS_GATEWAY_CONNECTION_LIMITS_H_
#define BERYLBARROW_SRC_PROCESS_GATEWAY_CONNECTION_LIMITS_H_

#include <compare>
#include <cstddef>
#include <cstdint>

#include "berylbarrow/process/gateway/gateway_settings.h"

namespace berylbarrow {

/// Connections that each listening address of a gateway may have. Together they leave descriptors
/// for the links to upstreams.
struct connection_limits {
  std::uint32_t callers = 0;
  std::uint32_t directory = 0;
  std::uint32_t readiness = 0;
  std::uint32_t metrics = 0;
  auto operator<=>(const connection_limits&) const = default;
};

/// `system_descriptors`: used if the settings name no limit.
connection_limits ConnectionLimitsFor(const gateway_settings& settings,
                                      std::uint32_t system_descriptors);
/// Descriptors that the system lets this process open.
std::uint32_t SystemDescriptors();
/// Bytes of answers of upstreams that all links of a gateway may hold together.
std::size_t MaxHeldAnswerBytes(double memory_mb);

}  // namespace berylbarrow

#endif  // BERYLBARROW_SRC_PROCESS_GATEWAY_CONNECTION_LIMITS_H_
