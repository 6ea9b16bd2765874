#include "berylbarrow/request/dispatch/pass_time_model.h"

#include <algorithm>

namespace berylbarrow {

pass_time_model::pass_time_model(const engine_profile& engine)
    : step_ms_(engine.stride * engine.step_ms),
      expert_share_(engine.expert_layers > 0 ? engine.expert_share : 0) {
  const double context_k = (engine.usual_prompt + engine.usual_answer / 2.0) / 1000.0;
  request_ms_ = engine.stride * (engine.per_sequence_ms + engine.per_context_k_ms * context_k);
}

void pass_time_model::AddRank(double requests, double pace) {
  ++ranks_;
  requests_ += requests;
  speed_ += 1 / pace;
  slowest_own_ = std::max(slowest_own_, OwnTime(requests, pace));
  slowest_pace_ = std::max(slowest_pace_, pace);
}

double pass_time_model::PassMsWithExtraRequest(double requests, double pace) const {
  const double own = std::max(slowest_own_, OwnTime(requests + 1, pace));
  return own + expert_share_ * request_ms_ * (requests_ + 1) / speed_;
}

}  // namespace berylbarrow
