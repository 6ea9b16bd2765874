#include "berylbarrow/request/execution/key_policy.h"

namespace berylbarrow {
namespace {

key_decision DecideFromRecord(const execution_record& record) {
  if (record.state == execution_state::kRefused) {
    return {.verdict = key_verdict::kRefuse, .reason = record.reason};
  }
  if (record.state == execution_state::kUnknown) {
    return {.verdict = key_verdict::kUnknown, .reason = record.reason};
  }
  return {.verdict = key_verdict::kJoin};
}

}  // namespace

bool grant_window::Accepts(const grant& permission) const {
  return permission.agent == current.agent && permission.incarnation == current.incarnation &&
         permission.epoch <= current.epoch && permission.epoch >= oldest_epoch;
}

key_decision grant_key_policy::Decide(const dispatch& work, const execution_record* record,
                                      closed_state closed, const grant_window& window) const {
  if (record != nullptr) {
    return DecideFromRecord(*record);
  }
  if (closed == closed_state::kMayHaveRun) {
    return {.verdict = key_verdict::kUnknown};
  }
  if (work.idempotent) {
    return {.verdict = closed == closed_state::kOpen ? key_verdict::kRun : key_verdict::kRefuse};
  }
  const auto key = ParseGrantKey(work.idempotency_key);
  if (!key) {
    return {.verdict = key_verdict::kRefuse, .reason = refusal_reason::kGrantMissing};
  }
  if (!window.Accepts(key.value().permission)) {
    // Attempt 1 is sent only once, so without a record the operation has not run here. A non-zero
    // answer offset shows that it has run, because the caller already has part of the answer.
    const bool is_first = work.attempt == 1 && work.answer_offset == 0;
    return {.verdict = is_first ? key_verdict::kRefuse : key_verdict::kUnknown,
            .reason = refusal_reason::kGrantExpired};
  }
  if (closed == closed_state::kNotRun) {
    return {.verdict = key_verdict::kRefuse, .reason = refusal_reason::kOverload};
  }
  return {.verdict = key_verdict::kRun};
}

}  // namespace berylbarrow
