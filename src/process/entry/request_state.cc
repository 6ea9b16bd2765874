#include <nlohmann/json.hpp>

#include "process/entry/requests.h"

namespace berylbarrow {
namespace {

const char* PhaseName(request_phase phase) {
  switch (phase) {
    case request_phase::kWaitingForView:
      return "waiting for a view";
    case request_phase::kWaitingForAgent:
      return "waiting for an agent";
    case request_phase::kDispatched:
      return "dispatched";
  }
  return "";
}

const char* AttemptName(attempt_state state) {
  switch (state) {
    case attempt_state::kActive:
      return "active";
    case attempt_state::kNotRun:
      return "not run";
    case attempt_state::kInDoubt:
      return "in doubt";
  }
  return "";
}

std::int64_t Milliseconds(duration value) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

nlohmann::json Describe(const entry_request& request, time_point now) {
  nlohmann::json attempts = nlohmann::json::array();
  for (const request_attempt& attempt : request.attempts) {
    attempts.push_back({{"id", FormatRequestId(attempt.id)},
                        {"agent", attempt.run.name},
                        {"incarnation", attempt.run.incarnation},
                        {"connection", attempt.connection},
                        {"state", AttemptName(attempt.state)}});
  }
  return {{"caller", request.input.caller},
          {"account", request.input.account},
          {"service", request.service},
          {"idempotent", request.idempotent},
          {"key", request.input.idempotency_key},
          {"attempt", request.input.attempt},
          {"phase", PhaseName(request.phase)},
          {"age_ms", Milliseconds(now - request.arrived)},
          {"remaining_ms", Milliseconds(request.deadline - now)},
          {"head_sent", request.HasBegun()},
          {"received_bytes", request.received},
          {"acknowledged_bytes", request.acknowledged},
          {"attempts", attempts}};
}

}  // namespace

nlohmann::json entry_requests::State() const {
  nlohmann::json list = nlohmann::json::array();
  for (const auto& [caller, request] : table_) {
    if (list.size() == context_.options.max_listed_requests) {
      break;
    }
    list.push_back(Describe(*request, context_.Now()));
  }
  nlohmann::json budgets = nlohmann::json::array();
  for (const auto& [service, budget] : budgets_) {
    budgets.push_back({{"service", service}, {"available", budget.Available()}});
  }
  return {{"in_flight", table_.size()},
          {"waiting_for_view", waiting_.size()},
          {"held_bytes", held_bytes_},
          {"active_accounts", accounts_.ActiveAccounts()},
          {"refused_keys", refused_keys_.Size()},
          {"forwarded_keys", forwarded_keys_.Size()},
          {"retry_budgets", budgets},
          {"requests", list}};
}

}  // namespace berylbarrow
