// What each companion does for its own rank in a switch: it arms, refuses, seals and disarms.

#include <algorithm>

#include "berylbarrow/version/expert/map_switch.h"
#include "version/expert/held_stage.h"

namespace berylbarrow {

void map_switch::Arm(const armed_map& target, time_point now, std::vector<rank_order>& orders) {
  const rank_status& own = *status_;
  if (refused_ == target.version || (committed_ && *committed_ != target)) return;
  if (!IsCoordinator() && announced_ != target.version) return;
  if (own.armed == target || own.mapping == target.version) return;
  if (own.prepared != target.version || own.step >= target.step) return;
  committed_ = target;
  Order({.kind = order_kind::kArm,
         .rank = own.rank,
         .epoch = own.epoch,
         .version = target.version,
         .step = target.step},
        options_.resend_after, now, orders);
}

void map_switch::Refuse(std::uint64_t version, time_point now, std::vector<rank_order>& orders) {
  const bool is_holder = duty_ == holder_duty::kUndo;
  const bool is_final = is_holder ? is_undoing_final_ : plan_->is_final;
  // A switch that is sealed is finished, unless a rank can no longer be armed for it.
  if (sealed_ == version && !is_final) return;
  refused_ = version;
  if (IsFenced(*State(), version)) return;
  if (status_->armed) {
    // While no rank is fenced, all may have been armed, and the order to release them may be under
    // way.
    if (!is_final) return;
    return Order({.kind = order_kind::kDisarm,
                  .rank = status_->rank,
                  .epoch = status_->epoch,
                  .version = status_->armed->version},
                 options_.resend_after, now, orders);
  }
  // The holder cannot undo the switch if a sealer has sealed it, and the sealers answer first.
  if (is_final || !(is_holder || plan_->from_holder)) Fence(version, now, orders);
}

void map_switch::Seal(std::uint64_t version) {
  const bool is_sealer = status_->rank != 0 && status_->rank <= kLastSealer;
  if (is_sealer && announced_ == version && refused_ != version) sealed_ = version;
  if (plan_->is_final && refused_ == version) refused_ = 0;
}

void map_switch::AdvanceMember(time_point now, std::vector<rank_order>& orders) {
  const rank_status& own = *status_;
  if (duty_ == holder_duty::kUndo) return Refuse(duty_target_.version, now, orders);
  if (duty_ == holder_duty::kFinish) return Arm(duty_target_, now, orders);
  const armed_map target = plan_->target;
  // The coordinator may be silent after the holder has ended the switch.
  if (!IsCoordinator() && IsHeldStage(plan_->stage) && own.step >= target.step && !own.armed) {
    plan_->stage = switch_stage::kIdle;
  }
  switch (plan_->stage) {
    case switch_stage::kPreparing: {
      const bool done = own.prepared == target.version || own.mapping == target.version;
      if (done || known_layouts_.count(target.version) == 0 || own.armed) return;
      Order({.kind = order_kind::kPrepare,
             .rank = own.rank,
             .epoch = own.epoch,
             .version = target.version},
            options_.prepare_resend, now, orders);
      return;
    }
    case switch_stage::kArming:
      if (!IsCoordinator()) Arm(target, now, orders);
      return;
    case switch_stage::kSealing:
      Seal(target.version);
      if (!IsCoordinator() || is_sealed_) Arm(target, now, orders);
      return;
    case switch_stage::kUndoing:
      return Refuse(target.version, now, orders);
    default:
      return;
  }
}

}  // namespace berylbarrow
