#ifndef BERYLBARROW_BENCHMARKS_SKEW_LOAD_MODEL_H_
#define BERYLBARROW_BENCHMARKS_SKEW_LOAD_MODEL_H_

#include <random>
#include <vector>

#include "berylbarrow/version/expert/expert_map.h"

namespace berylbarrow {

struct load_options {
  group_shape shape;
  double tokens_per_step = 65536;         // routed tokens per layer, top-k included
  double spread = 0.7;                    // standard deviation of the logarithm of popularity
  double drift_half_life_steps = 180000;  // 2 h at 40 ms; popularity then has half forgotten itself
  double jumps_per_step = 1.0 / 8000;     // an expert suddenly becomes several times as popular
  double jump_factor = 3.0;
};

/// Expert popularity that drifts (Ornstein-Uhlenbeck process of its logarithm) and now and then
/// jumps, with the sampling noise of a finite batch.
class load_model {
 public:
  load_model(const load_options& options, std::uint64_t seed);

  /// Advances by one step and returns the tokens of each expert.
  expert_load Step();
  /// Expected load of the current step, without sampling noise.
  expert_load Expected() const;

 private:
  load_options options_;
  std::mt19937_64 random_;
  std::vector<double> log_popularity_;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_BENCHMARKS_SKEW_LOAD_MODEL_H_
