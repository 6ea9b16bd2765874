#ifndef BERYLBARROW_SRC_VERSION_EXPERT_HELD_STAGE_H_
#define BERYLBARROW_SRC_VERSION_EXPERT_HELD_STAGE_H_

#include "berylbarrow/version/expert/map_switch.h"

namespace berylbarrow {

/// Whether the group may be held in this stage.
inline bool IsHeldStage(switch_stage stage) {
  return stage == switch_stage::kHolding || stage == switch_stage::kArming ||
         stage == switch_stage::kSealing || stage == switch_stage::kReleasing ||
         stage == switch_stage::kUndoing;
}

}  // namespace berylbarrow

#endif  // BERYLBARROW_SRC_VERSION_EXPERT_HELD_STAGE_H_
