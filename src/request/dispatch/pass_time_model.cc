#include "berylbarrow/request/dispatch/pass_time_model.h"

#include <algorithm>

namespace berylbarrow {

pass_time_model::pass_time_model(const engine_profile& engine)
    : all_steps_ms_(engine.stride * engine.step_ms),
      expert_work_share_(engine.expert_layers > 0 ? engine.expert_share : 0) {
  const double context_k = (engine.usual_prompt + engine.usual_answer / 2.0) / 1000.0;
  ms_per_request_ = engine.stride * (engine.per_sequence_ms + engine.per_context_k_ms * context_k);
}

void pass_time_model::AddRank(double requests, double pace) {
  ++rank_count_;
  request_count_ += requests;
  total_speed_ += 1 / pace;
  max_rank_ms_ = std::max(max_rank_ms_, RankMs(requests, pace));
  max_pace_ = std::max(max_pace_, pace);
}

double pass_time_model::PassMsWithExtraRequest(double requests, double pace) const {
  const double max_rank_ms = std::max(max_rank_ms_, RankMs(requests + 1, pace));
  return max_rank_ms + expert_work_share_ * ms_per_request_ * (request_count_ + 1) / total_speed_;
}

}  // namespace berylbarrow
