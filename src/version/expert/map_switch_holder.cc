// How the holder ends a switch whose coordinator is silent or has restarted.

#include "berylbarrow/version/expert/map_switch.h"
#include "version/expert/held_stage.h"

namespace berylbarrow {

void map_switch::BeginDuty(std::uint64_t step, time_point now) {
  duty_target_ = {.version = announced_, .step = step};
  duty_ = holder_duty::kUndo;
  is_undoing_final_ = false;
  duty_since_ = now;
  if (sealed_ != announced_) refused_ = announced_;
}

void map_switch::AdvanceHolder(time_point now, std::vector<rank_order>& orders) {
  if (!coordinator_plan_) return;
  const switch_plan& plan = *coordinator_plan_;
  const bool is_known = announced_ != 0 && plan.incarnation == announced_by_;
  const bool is_announced = is_known && plan.target.version == announced_;
  const rank_status& own = *status_;
  if (!own.held) {
    if (duty_ == holder_duty::kUndo) ++undone_;
    duty_ = holder_duty::kNone;
    is_undoing_final_ = false;
    return;
  }
  const std::uint64_t step = *own.held;
  if (step <= released_to_) return Release(step, now, orders);
  if (duty_ == holder_duty::kNone) {
    // A holder that has restarted leaves the decision to the coordinator.
    if (announced_ == 0) return;
    // The status is newer than the end of the silence, so that what has arrived meanwhile at a
    // process that stood still has been read.
    const bool is_silent = status_asked_ - coordinator_plan_at_ > CoordinatorSilence();
    if (is_known && !is_silent) {
      const bool is_over =
          plan.stage == switch_stage::kIdle || plan.stage == switch_stage::kPreparing;
      const bool is_older = IsHeldStage(plan.stage) && plan.target.step > step;
      const bool is_ready =
          is_announced && plan.stage == switch_stage::kReleasing && plan.target.step == step;
      if (is_over || is_older || is_ready) Release(step, now, orders);
      return;
    }
    BeginDuty(step, now);
  }
  const std::uint64_t version = duty_target_.version;
  const bool is_fenced = IsAnyFenced(version);
  const bool is_sealed = is_announced && plan.is_final && plan.stage == switch_stage::kSealing;
  const bool may_finish = !is_fenced && (is_sealed || IsSealedByAny(version));
  if (duty_ == holder_duty::kUndo && !is_undoing_final_ && may_finish) {
    duty_ = holder_duty::kFinish;
    refused_ = 0;
  }
  if (duty_ == holder_duty::kFinish && is_fenced) duty_ = holder_duty::kUndo;
  if (duty_ == holder_duty::kFinish) {
    ArmFromAfar(now, orders);
    if (AreAllArmed(now)) Release(step, now, orders);
    return;
  }
  // Rank 0 is armed only once the switch is sealed.
  const bool is_rank_0_excluded = HaveSealersRefused(version);
  is_undoing_final_ = is_undoing_final_ || is_fenced || is_rank_0_excluded;
  if (AreAllFenced(version, is_rank_0_excluded ? 1 : 0)) Release(step, now, orders);
}

}  // namespace berylbarrow
