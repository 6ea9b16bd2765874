#ifndef BERYLBARROW_REQUEST_ROUTING_RETRY_BUDGET_H_
#define BERYLBARROW_REQUEST_ROUTING_RETRY_BUDGET_H_

#include "berylbarrow/process/runtime/time.h"

namespace berylbarrow {

struct retry_budget_options {
  double retries_per_request = 0.1;
  double min_retries_per_second = 1.0;  // allowed even if there are few requests
  double burst = 20.0;                  // maximum number of retries saved up from requests
  double initial_retries = 0.0;         // retries available at the start, before any request
};

/// Limits the retries of one service, so that retries of refused requests do not multiply the load
/// of an overloaded fleet. Allows the larger of a fraction of the requests and a constant rate.
class retry_budget {
 public:
  retry_budget(const retry_budget_options& options, time_point now);

  /// Replaces the options, for example when the number of processes that share the limits has
  /// changed. Retries saved up from requests are cut to the new burst.
  void SetOptions(const retry_budget_options& options);
  /// Must be called for each request that is not a retry.
  void OnRequest();
  /// Consumes one retry. Returns false if none is available at `now`.
  bool TryAcquire(time_point now);
  /// Retries available as of the last call of TryAcquire, plus those earned by requests since then.
  double Available() const;

 private:
  retry_budget_options options_;
  double request_credit_ = 0.0;  // retries
  double time_credit_ = 0.0;     // retries
  time_point last_refill_;       // of time_credit_
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_REQUEST_ROUTING_RETRY_BUDGET_H_
