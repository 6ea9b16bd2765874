#ifndef BERYLBARROW_REQUEST_ROUTING_RETRY_BUDGET_H_
#define BERYLBARROW_REQUEST_ROUTING_RETRY_BUDGET_H_

#include "berylbarrow/process/runtime/time.h"

namespace berylbarrow {

struct retry_budget_options {
  double retries_per_request = 0.1;
  double min_retries_per_second = 1.0;  // granted even when there are few requests
  double burst = 20.0;                  // retries saved up at most
  double initial_retries = 0.0;         // retries that may be taken at the start
};

/// Bounds the retries of one service, so that refusals of a full fleet do not multiply its load.
/// Allows the larger of a share of the requests and a constant rate.
class retry_budget {
 public:
  retry_budget(const retry_budget_options& options, time_point now);

  /// The number of processes that share the bounds has changed.
  void SetOptions(const retry_budget_options& options);
  void OnRequest();
  /// Returns false if no retry is allowed now.
  bool TryAcquire(time_point now);
  /// Retries that could be taken at once at the time of the last call.
  double Available() const;

 private:
  retry_budget_options options_;
  double from_requests_ = 0.0;
  double from_time_ = 0.0;
  time_point refilled_;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_REQUEST_ROUTING_RETRY_BUDGET_H_
