#include "berylbarrow/request/routing/retry_budget.h"

#include <algorithm>

namespace berylbarrow {
namespace {

double Seconds(duration value) { return std::chrono::duration<double>(value).count(); }

}  // namespace

retry_budget::retry_budget(const retry_budget_options& options, time_point now)
    : options_(options),
      request_credit_(options.initial_retries),
      time_credit_(options.min_retries_per_second),
      last_refill_(now) {}

void retry_budget::SetOptions(const retry_budget_options& options) {
  options_ = options;
  request_credit_ = std::min(request_credit_, options_.burst);
}

void retry_budget::OnRequest() {
  request_credit_ = std::min(options_.burst, request_credit_ + options_.retries_per_request);
}

bool retry_budget::TryAcquire(time_point now) {
  if (now > last_refill_) {
    // At most one second's worth is saved up (but at least one retry), so that an idle hour does
    // not increase the burst.
    time_credit_ =
        std::min(std::max(1.0, options_.min_retries_per_second),
                 time_credit_ + options_.min_retries_per_second * Seconds(now - last_refill_));
    last_refill_ = now;
  }
  if (Available() < 1.0) {
    return false;
  }
  // A retry is charged to both credits, because the budget is the larger of them, not their sum.
  request_credit_ = std::max(0.0, request_credit_ - 1.0);
  time_credit_ = std::max(0.0, time_credit_ - 1.0);
  return true;
}

double retry_budget::Available() const { return std::max(request_credit_, time_credit_); }

}  // namespace berylbarrow
