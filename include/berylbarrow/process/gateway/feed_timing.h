#ifndef BERYLBARROW_PROCESS_GATEWAY_FEED_TIMING_H_
#define BERYLBARROW_PROCESS_GATEWAY_FEED_TIMING_H_

#include "berylbarrow/process/gateway/gateway_settings.h"
#include "berylbarrow/process/runtime/time.h"

namespace berylbarrow {

/// How often a gateway asks the platform, which charges each call, also one that only waits.
struct feed_timing {
  /// A watch on the configuration is answered after this time even without changes, which shows
  /// that the configuration is current.
  duration configuration_wait = duration::zero();
  /// Between two reads of the changes of the instance list.
  duration upstreams_pause = duration::zero();
  /// For an answer, in addition to a wait.
  duration call_timeout = duration::zero();
  /// For the answer to the first call after a failure, which does not wait for changes.
  duration retry_timeout = duration::zero();
  auto operator<=>(const feed_timing&) const = default;
};

/// The longest intervals that keep the bounds: keys stay current although one answer is lost, and
/// an upstream's leaving is known in time.
feed_timing TimingFor(const gateway_bounds& bounds);

}  // namespace berylbarrow

#endif  // BERYLBARROW_PROCESS_GATEWAY_FEED_TIMING_H_
