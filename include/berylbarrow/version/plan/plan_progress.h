#ifndef BERYLBARROW_VERSION_PLAN_PLAN_PROGRESS_H_
#define BERYLBARROW_VERSION_PLAN_PLAN_PROGRESS_H_

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "berylbarrow/process/core/core.h"
#include "berylbarrow/version/configuration/configuration_store.h"

namespace berylbarrow {

/// What a process knows of the upstreams of one failure domain.
struct domain_observation {
  std::uint32_t upstreams = 0;  // configured and not taken out one by one
  std::uint32_t warm = 0;       // of these, with a full concurrency limit
  std::uint32_t in_flight = 0;  // requests running or queued
  std::uint32_t unknown = 0;    // upstreams nothing is heard of although they may be running
  auto operator<=>(const domain_observation&) const = default;
};

using domain_observations = std::map<std::string, domain_observation>;

/// Evaluates the move plan of the document in force. The step reached never falls within a
/// revision; a new revision starts its plan from the beginning.
class plan_progress {
 public:
  /// Takes the plan of a version that came into force.
  void Restart(const configuration_version& version, const moment& at);

  /// A peer on the same revision has reached `step`. Returns true if a step was begun.
  bool Hear(revision number, std::uint32_t step, const moment& at);

  /// Begins the next step if its conditions hold. Returns true if a step was begun.
  bool Evaluate(const domain_observations& observed, const moment& at);

  /// Number of steps begun; 0 before the first.
  std::uint32_t Step() const { return step_; }

  /// What the document and the steps begun so far say of the failure domain.
  service_state StateOf(const std::string& domain) const;

  nlohmann::json State(const domain_observations& observed, const moment& at) const;

 private:
  bool MayBegin(const plan_step& next, const domain_observations& observed, const moment& at) const;
  void Begin(std::uint32_t step, const moment& at);

  revision number_ = 0;
  std::vector<plan_step> steps_;
  std::map<std::string, service_state> states_;
  std::uint32_t step_ = 0;
  time_point step_begun_;
};

/// Whether the condition holds for the domains that `step` empties and fills.
bool ConditionHolds(const plan_step& step, const domain_observations& observed, duration in_step);

}  // namespace berylbarrow

#endif  // BERYLBARROW_VERSION_PLAN_PLAN_PROGRESS_H_
