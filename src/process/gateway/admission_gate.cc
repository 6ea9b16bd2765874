#include "process/gateway/admission_gate.h"

namespace berylbarrow {

admission_decision admission_gate::Check(const routing_view* view, duration age,
                                         const http_head& head, const caller_facts& facts) const {
  const auto refuse = [](unsigned status, std::string_view reason,
                         std::optional<duration> retry_after) {
    return admission_decision{.refusal = admission_refusal{
                                  .status = status, .reason = reason, .retry_after = retry_after}};
  };
  if (view == nullptr) return refuse(503, "no_configuration", options_.unready_retry_after);
  const route* const found = view->FindRoute(head.Find("Host"), head.target);
  const bool current = AreKeysCurrent(age);
  if (found == nullptr) {
    if (!current) return refuse(503, "stale_configuration", options_.unready_retry_after);
    return refuse(404, "no_route", std::nullopt);
  }
  if (found->is_public || !view->NeedsKeys()) return {.matched_route = found};
  if (!current) return refuse(503, "stale_keys", options_.unready_retry_after);
  const client_account* const account = view->FindAccount(facts.key);
  if (account == nullptr) return refuse(401, "unknown_key", std::nullopt);
  return {.matched_route = found, .account = account};
}

}  // namespace berylbarrow
