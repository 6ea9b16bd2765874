#include "berylbarrow/version/expert/rebalancer.h"

#include <algorithm>
#include <cmath>

namespace berylbarrow {

load_predictor::load_predictor(double half_life_steps) : keep_(std::exp2(-1.0 / half_life_steps)) {}

void load_predictor::Observe(const expert_load& step) {
  ++steps_;
  if (average_.empty()) {
    average_ = step;
    return;
  }
  // The first steps are averaged evenly, so that the start does not weigh more than the rest.
  const double keep = std::min(keep_, 1.0 - 1.0 / static_cast<double>(steps_));
  for (std::size_t i = 0; i < step.size(); ++i) {
    average_[i] = keep * average_[i] + (1.0 - keep) * step[i];
  }
}

weight_budget::weight_budget(double bytes_per_second, double burst_bytes)
    : rate_(bytes_per_second), burst_(burst_bytes), tokens_(burst_bytes) {}

double weight_budget::Available(time_point now) {
  if (last_) {
    const double seconds = std::chrono::duration<double>(now - *last_).count();
    tokens_ = std::min(burst_, tokens_ + rate_ * seconds);
  }
  last_ = now;
  return std::max(0.0, tokens_);
}

void weight_budget::Take(double bytes, time_point now) {
  Available(now);
  tokens_ -= bytes;
}

rebalancer::rebalancer(const rebalancer_options& options, const placement_policy& policy)
    : options_(options),
      policy_(policy),
      predictor_(options.half_life_steps),
      budget_(options.bytes_per_second,
              static_cast<double>(options.max_moves) * options.bytes_per_expert),
      next_step_(options.interval_steps) {}

std::optional<expert_map> rebalancer::Consider(const expert_map& current, time_point now) {
  if (predictor_.Steps() < next_step_) {
    return std::nullopt;
  }
  next_step_ = predictor_.Steps() + options_.interval_steps;
  const auto affordable =
      static_cast<std::size_t>(budget_.Available(now) / options_.bytes_per_expert);
  const std::size_t max_moves = std::min(options_.max_moves, affordable);
  expert_map proposed = policy_.Propose(current, predictor_.Predicted(), max_moves);
  if (proposed.Version() == current.Version()) {
    return std::nullopt;
  }
  const auto moves = static_cast<double>(MovedExperts(current, proposed));
  const double saved =
      (StepSkew(current, predictor_.Predicted()) - StepSkew(proposed, predictor_.Predicted())) *
      options_.horizon_steps;
  if (saved < options_.payback * moves * options_.load_cost_steps) {
    return std::nullopt;
  }
  budget_.Take(moves * options_.bytes_per_expert, now);
  return proposed;
}

}  // namespace berylbarrow
