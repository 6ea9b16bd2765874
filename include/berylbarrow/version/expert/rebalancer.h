#ifndef BERYLBARROW_VERSION_EXPERT_REBALANCER_H_
#define BERYLBARROW_VERSION_EXPERT_REBALANCER_H_

#include <cstdint>
#include <optional>

#include "berylbarrow/process/runtime/time.h"
#include "berylbarrow/version/expert/expert_map.h"
#include "berylbarrow/version/expert/placement_policy.h"

namespace berylbarrow {

/// Predicts the load per expert by an exponential average over steps.
class load_predictor {
 public:
  /// `half_life_steps`: after so many steps an old observation weighs half.
  explicit load_predictor(double half_life_steps);
  void Observe(const expert_load& step);
  /// Empty before the first step.
  const expert_load& Predicted() const { return average_; }
  std::uint64_t Steps() const { return steps_; }

 private:
  double keep_;
  std::uint64_t steps_ = 0;
  expert_load average_;
};

/// Share of a rate-limited weight store, as a token bucket in bytes.
class weight_budget {
 public:
  weight_budget(double bytes_per_second, double burst_bytes);
  /// Bytes that may be loaded now.
  double Available(time_point now);
  /// Takes `bytes` from the bucket; it may go below zero and then recovers with time.
  void Take(double bytes, time_point now);

 private:
  double rate_;
  double burst_;
  double tokens_;
  std::optional<time_point> last_;
};

struct rebalancer_options {
  double half_life_steps = 48;
  std::uint64_t interval_steps = 16;  // between two considerations
  std::size_t max_moves = 64;         // experts per round
  double bytes_per_expert = 40e6;
  double bytes_per_second = 2e9;  // share of the weight store
  /// A map must save this many times the step time that loading it costs, over the horizon.
  double payback = 2.0;
  double horizon_steps = 4096;
  /// Step time lost per loaded expert, in units of the mean step time.
  double load_cost_steps = 0.5;
};

/// Decides when the map of a group changes. Source of load: every step of the group.
class rebalancer {
 public:
  /// `policy` must outlive the rebalancer.
  rebalancer(const rebalancer_options& options, const placement_policy& policy);

  void Observe(const expert_load& step) { predictor_.Observe(step); }

  /// The map to propose, if one pays for its loading. Called once per step.
  std::optional<expert_map> Consider(const expert_map& current, time_point now);

 private:
  rebalancer_options options_;
  const placement_policy& policy_;
  load_predictor predictor_;
  weight_budget budget_;
  std::uint64_t next_step_ = 0;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_VERSION_EXPERT_REBALANCER_H_
