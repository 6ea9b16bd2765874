#ifndef BERYLBARROW_SRC_REQUEST_SUSPECT_OBSERVED_CRASH_H_
#define BERYLBARROW_SRC_REQUEST_SUSPECT_OBSERVED_CRASH_H_

#include <cstdint>
#include <vector>

#include "berylbarrow/process/runtime/time.h"
#include "berylbarrow/request/suspect/crash_digest.h"

namespace berylbarrow {

/// What all observers have seen of one crash.
struct observed_crash {
  std::uint32_t unit = 0;
  time_point at;
  std::vector<const accused_request*> started;
  std::vector<const accused_request*> unanswered;

  /// The requests whose answer had started or, if there are none, those without any answer.
  const std::vector<const accused_request*>& Accused() const {
    return started.empty() ? unanswered : started;
  }
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_SRC_REQUEST_SUSPECT_OBSERVED_CRASH_H_
