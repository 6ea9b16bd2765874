#ifndef BERYLBARROW_SRC_PROCESS_GATEWAY_RELAY_CONTEXT_H_
#define BERYLBARROW_SRC_PROCESS_GATEWAY_RELAY_CONTEXT_H_

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "berylbarrow/connection/http/exchange_dialect.h"
#include "berylbarrow/process/gateway/gateway_settings.h"
#include "berylbarrow/process/telemetry/metrics.h"
#include "berylbarrow/request/admission/request_queue.h"
#include "berylbarrow/request/dispatch/upstream_selector.h"
#include "berylbarrow/request/routing/retry_budget.h"
#include "berylbarrow/request/suspect/crash_counter.h"
#include "process/gateway/link_pool.h"

namespace berylbarrow {

class relayed_request;

/// What the requests of a gateway share. On one thread.
struct relay_context {
  const gateway_settings& settings;
  const exchange_dialect& dialect;
  const runtime_clock& clock;
  upstream_selector& selector;
  link_pool& links;
  crash_counter& crashes;
  metrics& counts;
  std::mt19937_64& random_engine;
  /// Retries of one service, this gateway's part.
  std::map<std::string, retry_budget>& retry_budgets;

  double UniformRandom() { return std::uniform_real_distribution<double>(0.0, 1.0)(random_engine); }
};

/// How requests reach the gateway that holds them.
class relay_listener {
 public:
  virtual ~relay_listener() = default;
  /// A place may have come free at the service.
  virtual void OnCapacityFreed(const std::string& service) = 0;
  /// A request that has not run waits for a place again.
  virtual void OnRequeueNeeded(relayed_request& request) = 0;
  /// An upstream is not where the instance list says.
  virtual void OnMisdirectedAttempt() = 0;
  /// The request has its final answer and is forgotten.
  virtual void OnRequestDone(queued_request_id id) = 0;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_SRC_PROCESS_GATEWAY_RELAY_CONTEXT_H_
