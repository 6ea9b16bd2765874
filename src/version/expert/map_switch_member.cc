// What each companion does for its own rank in a switch: it arms, refuses, seals and disarms.

#include <algorithm>

#include "berylbarrow/version/expert/map_switch.h"
#include "version/expert/held_stage.h"

namespace berylbarrow {

bool map_switch::HasNoOpenArmOrder() const {
  return open_arm_orders_ == 0 && status_asked_ >= last_arm_answer_;
}

bool map_switch::HaveAllRefused(std::uint64_t version) const {
  std::uint32_t refusals = status_->rank == 0 ? 0 : 1;
  if (status_->rank != 0 && (refused_ != version || !HasNoOpenArmOrder())) return false;
  for (const auto& [rank, each] : members_) {
    if (rank != 0 && each.state.refused == version) ++refusals;
  }
  return refusals + 1 == status_->size;
}

bool map_switch::AreAllUnarmed(std::uint64_t version) const {
  if (status_->armed && status_->armed->version == version) return false;
  return std::all_of(members_.begin(), members_.end(), [&](const auto& entry) {
    const member_state& state = entry.second.state;
    return entry.first == 0 || (state.refused == version && state.armed.version != version);
  });
}

void map_switch::Arm(const armed_map& target, time_point now, std::vector<rank_order>& orders) {
  const rank_status& own = *status_;
  if (refused_ == target.version || (committed_ && *committed_ != target)) return;
  if (!IsCoordinator() && announced_ != target.version) return;
  if (own.armed == target || own.mapping == target.version) return;
  if (own.prepared != target.version || own.step >= target.step) return;
  committed_ = target;
  const std::size_t before = orders.size();
  Order({.kind = order_kind::kArm,
         .rank = own.rank,
         .epoch = own.epoch,
         .version = target.version,
         .step = target.step},
        options_.resend_after, now, orders);
  open_arm_orders_ += orders.size() > before ? 1 : 0;
}

void map_switch::Refuse(std::uint64_t version, time_point now, std::vector<rank_order>& orders) {
  if (sealed_ == version) return;
  // A companion that has restarted does not know what it has sealed before. Only the coordinator
  // knows whether rank 0 has been armed after that.
  if (plan_->from_holder && announced_ != version) return;
  // An order to arm without an answer may be carried out at any time, so the rank cannot promise to
  // stay unarmed. The switch has to be finished.
  if (committed_ && committed_->version == version && open_arm_orders_ > 0) {
    sealed_ = version;
    refused_ = 0;
    return;
  }
  refused_ = version;
  const bool is_armed = status_->armed && status_->armed->version == version;
  if (committed_ && committed_->version == version && HasNoOpenArmOrder() && !is_armed) {
    committed_.reset();
  }
  const bool is_final = duty_ == holder_duty::kUndo ? is_undoing_final_ : plan_->is_final;
  if (!is_armed || !is_final) return;
  Order({.kind = order_kind::kDisarm,
         .rank = status_->rank,
         .epoch = status_->epoch,
         .version = version},
        options_.resend_after, now, orders);
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
