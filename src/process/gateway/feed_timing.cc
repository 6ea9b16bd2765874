#include "berylbarrow/process/gateway/feed_timing.h"

#include <algorithm>

namespace berylbarrow {
namespace {

using std::chrono::milliseconds;

constexpr duration kCallTimeout = milliseconds(1200);
constexpr duration kRetryTimeout = milliseconds(600);
// Part of the lifetime of keys that a watch without changes takes. The rest is the outage of the
// store that passes without refused keys; a lost answer is noticed after the call's time-out, and
// there is time for two more calls.
constexpr double kKeyLifetimeShare = 0.36;
// Part of the time that a leaving upstream still takes requests. The rest is for a slow answer and
// for requests on their way.
constexpr double kDrainShare = 0.45;

duration Part(duration whole, double share) {
  return std::chrono::duration_cast<duration>(whole * share);
}

}  // namespace

feed_timing TimingFor(const gateway_bounds& bounds) {
  const duration wait = Part(bounds.key_lifetime, kKeyLifetimeShare);
  const duration timeout = std::min(kCallTimeout, Part(bounds.key_lifetime, 0.25));
  return {.configuration_wait = wait,
          .upstreams_pause = Part(bounds.upstream_drain, kDrainShare),
          .call_timeout = timeout,
          .retry_timeout = std::min(kRetryTimeout, timeout / 2)};
}

}  // namespace berylbarrow
