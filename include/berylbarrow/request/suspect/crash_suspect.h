#ifndef BERYLBARROW_REQUEST_SUSPECT_CRASH_SUSPECT_H_
#define BERYLBARROW_REQUEST_SUSPECT_CRASH_SUSPECT_H_

#include <cstdint>

#include "berylbarrow/process/runtime/time.h"
#include "berylbarrow/request/suspect/crash_digest.h"

namespace berylbarrow {

/// What requests that may crash upstreams have in common.
struct crash_suspect {
  trait_list traits;  // sorted
  std::uint32_t crashes = 0;
  std::uint32_t started_crashes = 0;  // in which its answer had started
  bool is_only_cause = false;         // in one of them, no other request was accused
  bool is_proven = false;             // a trait was answered before the first crash
  std::uint32_t unit = 0;             // that crashed last
  time_point last_crash;
  auto operator<=>(const crash_suspect&) const = default;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_REQUEST_SUSPECT_CRASH_SUSPECT_H_
