#include "berylbarrow/request/dispatch/pass_time_model.h"

#include <algorithm>
#include <cmath>

namespace berylbarrow {
namespace {

constexpr double kPartialChunks = 0.5;  // per prompt
constexpr int kBisections = 12;         // leave an error of 1/4000 of the range

}  // namespace

pass_time_model::pass_time_model(const engine_profile& engine)
    : all_steps_ms_(engine.stride * engine.step_ms),
      expert_work_share_(engine.expert_layers > 0 ? engine.expert_share : 0),
      steps_(engine.stride) {
  const double context_k = (engine.usual_prompt + engine.usual_answer / 2.0) / 1000.0;
  ms_per_request_ = engine.stride * (engine.per_sequence_ms + engine.per_context_k_ms * context_k);
  if (engine.chunk_tokens == 0 || engine.read_tokens_per_ms <= 0) return;
  // The last chunk of a prompt is half full on average, but takes a step like the others.
  const double chunk_count =
      static_cast<double>(engine.usual_prompt) / engine.chunk_tokens + kPartialChunks;
  const double chunk_tokens = engine.usual_prompt / chunk_count;
  chunk_ms_ = chunk_tokens / engine.read_tokens_per_ms;
  reads_per_request_ = chunk_count / (chunk_count + engine.usual_answer);
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

pass_time_model::pass_parts pass_time_model::PartsOf(double requests_per_rank) const {
  if (rank_count_ <= 0) return {};
  const double requests = requests_per_rank * rank_count_;
  const double reads = requests * reads_per_request_;
  const double read_probability = 1 - std::exp(-reads);  // that any rank reads in a step
  const double own_ms =
      RankMs(requests_per_rank, max_pace_) +
      max_pace_ * (1 - expert_work_share_) * steps_ * chunk_ms_ * read_probability;
  if (expert_work_share_ <= 0) return {.even = EmptyPassMs(), .uneven = own_ms - EmptyPassMs()};
  const double expert_ms =
      expert_work_share_ * (ms_per_request_ * requests + steps_ * chunk_ms_ * reads) / total_speed_;
  return {.even = own_ms, .uneven = expert_ms};
}

double pass_time_model::PassMs(double requests_per_rank, double load_factor) const {
  const pass_parts parts = PartsOf(requests_per_rank);
  return parts.even + load_factor * parts.uneven;
}

double pass_time_model::LoadFactor(double requests_per_rank, double measured_ms) const {
  const pass_parts parts = PartsOf(requests_per_rank);
  return parts.uneven > 0 ? (measured_ms - parts.even) / parts.uneven : 1;
}

double pass_time_model::FittingRequestsPerRank(double pass_ms, double load_factor,
                                               double max_requests_per_rank) const {
  double fitting = 0;
  double excessive = max_requests_per_rank;
  if (PassMs(excessive, load_factor) <= pass_ms) return excessive;
  for (int i = 0; i < kBisections; ++i) {
    const double middle = (fitting + excessive) / 2;
    (PassMs(middle, load_factor) <= pass_ms ? fitting : excessive) = middle;
  }
  return fitting;
}

}  // namespace berylbarrow
