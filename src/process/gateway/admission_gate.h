#ifndef BERYLBARROW_SRC_PROCESS_GATEWAY_ADMISSION_GATE_H_
#define BERYLBARROW_SRC_PROCESS_GATEWAY_ADMISSION_GATE_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "berylbarrow/connection/http/exchange_dialect.h"
#include "berylbarrow/version/routing/routing_view.h"

namespace berylbarrow {

/// Response to a request that is not admitted.
struct admission_refusal {
  unsigned status = 503;
  std::string_view reason;  // for logs and metrics; not sent to the caller
  std::optional<duration> retry_after;
  std::string_view body;
};

/// Result of the admission check: a route and an account, or a refusal.
struct admission_decision {
  std::optional<admission_refusal> refusal;
  const route* matched_route = nullptr;
  const client_account* account = nullptr;  // null: the request needs no key
};

struct admission_gate_options {
  bool strict_keys = true;
  /// Maximum age of the configuration by which keys are checked. Applies only if `strict_keys` is
  /// set.
  duration key_lifetime = std::chrono::seconds(5);
  /// Subtracted from `key_lifetime` to allow for clock differences and the time that the request
  /// takes to reach the upstream.
  duration key_lifetime_margin = std::chrono::milliseconds(150);
  /// Sent to callers if the configuration is missing or too old.
  duration unready_retry_after = std::chrono::milliseconds(400);
};

/// Checks requests against the current configuration: route, key and account.
class admission_gate {
 public:
  explicit admission_gate(const admission_gate_options& options) : options_(options) {}
  /// `view` is null as long as no configuration has been received. `age`: time since the view was
  /// last known to be current.
  admission_decision Check(const routing_view* view, duration age, const http_head& head,
                           const caller_facts& facts) const;
  /// Whether a configuration of this age is recent enough to check keys.
  bool AreKeysCurrent(duration age) const {
    return !options_.strict_keys || age < options_.key_lifetime - options_.key_lifetime_margin;
  }

 private:
  admission_gate_options options_;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_SRC_PROCESS_GATEWAY_ADMISSION_GATE_H_
