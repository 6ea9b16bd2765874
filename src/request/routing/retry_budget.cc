#include "berylbarrow/request/routing/retry_budget.h"

#include <algorithm>

namespace berylbarrow {
namespace {

double Seconds(duration value) { return std::chrono::duration<double>(value).count(); }

}  // namespace

retry_budget::retry_budget(const retry_budget_options& options, time_point now)
    : options_(options),
      from_requests_(options.initial_retries),
      from_time_(options.min_retries_per_second),
      refilled_(now) {}

void retry_budget::SetOptions(const retry_budget_options& options) {
  options_ = options;
  from_requests_ = std::min(from_requests_, options_.burst);
}

void retry_budget::OnRequest() {
  from_requests_ = std::min(options_.burst, from_requests_ + options_.retries_per_request);
}

bool retry_budget::TryAcquire(time_point now) {
  if (now > refilled_) {
    // One second's worth is kept, so that a quiet hour does not add to the burst.
    from_time_ = std::min(std::max(1.0, options_.min_retries_per_second),
                          from_time_ + options_.min_retries_per_second * Seconds(now - refilled_));
    refilled_ = now;
  }
  if (Available() < 1.0) {
    return false;
  }
  // Both are charged: the budget is the larger of the two, not their sum.
  from_requests_ = std::max(0.0, from_requests_ - 1.0);
  from_time_ = std::max(0.0, from_time_ - 1.0);
  return true;
}

double retry_budget::Available() const { return std::max(from_requests_, from_time_); }

}  // namespace berylbarrow
