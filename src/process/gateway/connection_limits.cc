#include "process/gateway/connection_limits.h"

#include <sys/resource.h>

#include <algorithm>

#include "berylbarrow/connection/http/http_server.h"

namespace berylbarrow {
namespace {

// Descriptors for files, timers and the sockets to the store, or a quarter if there are few.
constexpr std::uint32_t kReservedDescriptors = 200;
constexpr std::uint32_t kMaxReservedPart = 4;
// The platform asks once a second.
constexpr std::uint32_t kMaxReadinessConnections = 64;
constexpr std::uint32_t kMaxDescriptors = 1U << 20U;  // also if the system sets no limit
// Callers' connections have 0.4 (arrival_budget), and the process needs the rest.
constexpr double kAnswerMemoryShare = 0.2;
constexpr std::size_t kMaxHeldAnswerBytes = std::size_t{64} << 20U;
constexpr double kBytesPerMebibyte = 1U << 20U;

}  // namespace

connection_limits ConnectionLimitsFor(const gateway_settings& settings,
                                      std::uint32_t system_descriptors) {
  const std::uint32_t all =
      settings.max_descriptors > 0 ? settings.max_descriptors : system_descriptors;
  const std::uint32_t sockets = all - std::min(kReservedDescriptors, all / kMaxReservedPart);
  // An eighth at least remains for the links to upstreams.
  return {.callers = std::min(settings.max_connections, sockets / 2),
          .directory = std::min(settings.max_connections, sockets / 4),
          .readiness = std::min(kMaxReadinessConnections, sockets / 16),
          .metrics = std::min(kMaxMetricsConnections, sockets / 16)};
}

std::uint32_t SystemDescriptors() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return kMaxDescriptors;
  return static_cast<std::uint32_t>(std::min<rlim_t>(limit.rlim_cur, kMaxDescriptors));
}

std::size_t MaxHeldAnswerBytes(double memory_mb) {
  const auto share = static_cast<std::size_t>(memory_mb * kBytesPerMebibyte * kAnswerMemoryShare);
  return std::min(share, kMaxHeldAnswerBytes);
}

}  // namespace berylbarrow
