#include "load_model.h"

#include <algorithm>
#include <cmath>

namespace berylbarrow {

load_model::load_model(const load_options& options, std::uint64_t seed)
    : options_(options),
      random_(seed),
      log_popularity_(std::size_t{options.shape.layers} * options.shape.experts) {
  std::normal_distribution<double> initial(0.0, options_.spread);
  for (double& value : log_popularity_) {
    value = initial(random_);
  }
}

expert_load load_model::Expected() const {
  expert_load result(log_popularity_.size());
  const std::size_t experts = options_.shape.experts;
  for (std::uint32_t layer = 0; layer < options_.shape.layers; ++layer) {
    double sum = 0;
    for (std::size_t i = layer * experts; i < (layer + 1) * experts; ++i) {
      result[i] = std::exp(log_popularity_[i]);
      sum += result[i];
    }
    for (std::size_t i = layer * experts; i < (layer + 1) * experts; ++i) {
      result[i] *= options_.tokens_per_step / sum;
    }
  }
  return result;
}

expert_load load_model::Step() {
  const double keep = std::exp2(-1.0 / options_.drift_half_life_steps);
  std::normal_distribution<double> noise(0.0, options_.spread * std::sqrt(1 - keep * keep));
  for (double& value : log_popularity_) {
    value = keep * value + noise(random_);
  }
  std::uniform_real_distribution<double> uniform(0.0, 1.0);
  if (uniform(random_) < options_.jumps_per_step) {
    std::uniform_int_distribution<std::size_t> any(0, log_popularity_.size() - 1);
    log_popularity_[any(random_)] += std::log(options_.jump_factor);
  }
  expert_load sampled = Expected();
  for (double& value : sampled) {
    std::normal_distribution<double> count(value, std::sqrt(value));
    value = std::max(0.0, count(random_));
  }
  return sampled;
}

}  // namespace berylbarrow
