#ifndef BERYLBARROW_SRC_REQUEST_SUSPECT_OBSERVED_CRASH_H_
#define BERYLBARROW_SRC_REQUEST_SUSPECT_OBSERVED_CRASH_H_

#include <cstdint>
#include <vector>

#include "berylbarrow/process/runtime/time.h"
#include "berylbarrow/request/suspect/crash_digest.h"

namespace berylbarrow {

/// A run of a request that broke with a crash.
struct accused_run {
  const accused_request* request = nullptr;
  time_point observed_at;  // time of the report

  const trait_list& Traits() const { return request->traits; }
  time_point EndedAt() const { return observed_at + std::chrono::milliseconds(request->after_ms); }
  duration Duration() const { return std::chrono::milliseconds(request->ran_ms); }
};

/// What all observers have seen of one crash. In a group, several upstreams may have crashed.
struct observed_crash {
  std::uint32_t unit = 0;
  time_point at;
  std::vector<accused_run> started;
  std::vector<accused_run> unanswered;

  /// The requests whose answer had started or, if there are none, those without any answer.
  const std::vector<accused_run>& Accused() const { return started.empty() ? unanswered : started; }
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_SRC_REQUEST_SUSPECT_OBSERVED_CRASH_H_
