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
#include "berylbarrow/request/admission/stream_admission.h"
#include "berylbarrow/request/dispatch/upstream_selector.h"
#include "berylbarrow/request/routing/fleet_share.h"
#include "berylbarrow/request/routing/retry_budget.h"
#include "berylbarrow/request/stream/start_delay.h"
#include "berylbarrow/request/suspect/crash_analysis.h"
#include "process/gateway/link_pool.h"

namespace berylbarrow {

class relayed_request;

/// Objects shared by all requests of a gateway. Must be used on a single thread.
struct relay_context {
  const gateway_settings& settings;
  const exchange_dialect& dialect;
  const runtime_clock& clock;
  upstream_selector& selector;
  link_pool& links;
  crash_analysis& crashes;
  metrics& counts;
  std::mt19937_64& random_engine;
  std::map<std::string, start_delay>& start_delays;  // by service
  /// By service. Each budget is this gateway's share of the retries of the service.
  std::map<std::string, retry_budget>& retry_budgets;
  /// By service; only of services whose streams compete for room.
  std::map<std::string, stream_admission>& admissions;
  const fleet_share& share;

  /// Random number, uniform in [0, 1).
  double UniformRandom() { return std::uniform_real_distribution<double>(0.0, 1.0)(random_engine); }
};

/// Receives notifications from relayed requests. Implemented by the gateway that owns them.
class relay_listener {
 public:
  virtual ~relay_listener() = default;
  /// An upstream of the service may have free capacity again.
  virtual void OnCapacityFreed(const std::string& service) = 0;
  /// The request has not run on any upstream and must be queued again.
  virtual void OnRequeueNeeded(relayed_request& request) = 0;
  /// Another upstream answered at the address of the instance list, so the list is out of date.
  virtual void OnMisdirectedAttempt() = 0;
  /// An upstream has begun to answer a request that was sent to it at `sent_at`.
  virtual void OnAnswerHead(const std::string& upstream_id, const reply_facts& facts,
                            time_point sent_at) = 0;
  /// Whether this gateway is the one that tries requests which are refused for their crashes.
  virtual bool IsTrialOwner() const = 0;
  /// The request has ended and can be removed.
  virtual void OnRequestDone(queued_request_id id) = 0;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_SRC_PROCESS_GATEWAY_RELAY_CONTEXT_H_
