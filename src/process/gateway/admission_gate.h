#ifndef BERYLBARROW_SRC_PROCESS_GATEWAY_ADMISSION_GATE_H_
#define BERYLBARROW_SRC_PROCESS_GATEWAY_ADMISSION_GATE_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "berylbarrow/connection/http/exchange_dialect.h"
#include "berylbarrow/version/routing/routing_view.h"

namespace berylbarrow {

/// Why a request does not reach an upstream, as its caller is told.
struct admission_refusal {
  unsigned status = 503;
  std::string_view reason;
  std::optional<duration> retry_after;
};

/// What the gate decided about a request: a route and an account, or a refusal.
struct admission_decision {
  std::optional<admission_refusal> refusal;
  const route* matched_route = nullptr;
  const client_account* account = nullptr;  // null: the route is public
};

struct admission_gate_options {
  bool strict_keys = true;
  /// Keys are judged by what was current so long ago at most, if `strict_keys`.
  duration key_lifetime = std::chrono::seconds(5);
  /// Kept back from `key_lifetime` for clocks and for the way to the upstream.
  duration key_lifetime_margin = std::chrono::milliseconds(150);
  duration unready_retry_after = std::chrono::milliseconds(400);
};

/// Judges requests by the configuration in force.
class admission_gate {
 public:
  explicit admission_gate(const admission_gate_options& options) : options_(options) {}
  /// `view` may be null. `age`: how long ago the view was known to be current.
  admission_decision Check(const routing_view* view, duration age, const http_head& head,
                           const caller_facts& facts) const;
  /// Whether keys may be judged by what is known.
  bool AreKeysCurrent(duration age) const {
    return !options_.strict_keys || age < options_.key_lifetime - options_.key_lifetime_margin;
  }

 private:
  admission_gate_options options_;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_SRC_PROCESS_GATEWAY_ADMISSION_GATE_H_
