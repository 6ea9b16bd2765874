#include "process/entry/entry_counters.h"

#include <algorithm>

namespace berylbarrow {

std::string_view OutcomeName(request_outcome outcome) {
  switch (outcome) {
    case request_outcome::kComplete:
      return "complete";
    case request_outcome::kIncomplete:
      return "incomplete";
    case request_outcome::kNotRun:
      return "not-run";
    case request_outcome::kUnknown:
      return "unknown";
    case request_outcome::kAborted:
      return "aborted";
  }
  return "";
}

void latency_counts::Add(duration latency) {
  const double seconds = std::chrono::duration<double>(latency).count();
  const auto bound = std::lower_bound(kBoundsSeconds.begin(), kBoundsSeconds.end(), seconds);
  ++buckets.at(static_cast<std::size_t>(bound - kBoundsSeconds.begin()));
  sum_seconds += seconds;
  ++count;
}

}  // namespace berylbarrow
