#include "berylbarrow/version/plan/plan_progress.h"

#include <nlohmann/json.hpp>

namespace berylbarrow {
namespace {

domain_observation Sum(const std::vector<std::string>& domains,
                       const domain_observations& observed) {
  domain_observation total;
  for (const std::string& domain : domains) {
    const auto place = observed.find(domain);
    if (place == observed.end()) {
      continue;
    }
    total.upstreams += place->second.upstreams;
    total.warm += place->second.warm;
    total.in_flight += place->second.in_flight;
    total.unknown += place->second.unknown;
  }
  return total;
}

}  // namespace

bool ConditionHolds(const plan_step& step, const domain_observations& observed, duration in_step) {
  const proceed_condition& condition = step.proceed_when;
  if (in_step < condition.hold) {
    return false;
  }
  if (condition.in_flight_at_most) {
    const domain_observation emptied = Sum(step.empty, observed);
    // An upstream nothing is heard of may still be working.
    if (emptied.unknown > 0 || emptied.in_flight > *condition.in_flight_at_most) {
      return false;
    }
  }
  if (condition.warm_share_at_least) {
    const domain_observation filled = Sum(step.fill, observed);
    if (static_cast<double>(filled.warm) < *condition.warm_share_at_least * filled.upstreams) {
      return false;
    }
  }
  return true;
}

void plan_progress::Restart(const configuration_version& version, const moment& at) {
  number_ = version.number;
  steps_ = version.value.move_plan;
  states_.clear();
  for (const domain_options& domain : version.value.domains) {
    states_[domain.name] = domain.state;
  }
  step_ = 0;
  step_begun_ = at.now;
}

bool plan_progress::Hear(revision number, std::uint32_t step, const moment& at) {
  if (number != number_ || step <= step_ || step > steps_.size()) {
    return false;
  }
  while (step_ < step) {
    Begin(step_ + 1, at);
  }
  return true;
}

bool plan_progress::MayBegin(const plan_step& next, const domain_observations& observed,
                             const moment& at) const {
  if (next.not_before && at.wall < *next.not_before) {
    return false;
  }
  return step_ == 0 || ConditionHolds(steps_[step_ - 1], observed, at.now - step_begun_);
}

bool plan_progress::Evaluate(const domain_observations& observed, const moment& at) {
  if (step_ >= steps_.size() || !MayBegin(steps_[step_], observed, at)) {
    return false;
  }
  Begin(step_ + 1, at);
  return true;
}

void plan_progress::Begin(std::uint32_t step, const moment& at) {
  step_ = step;
  step_begun_ = at.now;
  for (const std::string& domain : steps_[step - 1].fill) {
    states_[domain] = service_state::kIn;
  }
  for (const std::string& domain : steps_[step - 1].empty) {
    states_[domain] = service_state::kOut;
  }
}

service_state plan_progress::StateOf(const std::string& domain) const {
  const auto place = states_.find(domain);
  return place == states_.end() ? service_state::kOut : place->second;
}

nlohmann::json plan_progress::State(const domain_observations& observed, const moment& at) const {
  nlohmann::json list = nlohmann::json::array();
  for (std::uint32_t i = 0; i < steps_.size(); ++i) {
    const bool is_current = i + 1 == step_;
    const char* state = i < step_ ? "done" : "waiting";
    list.push_back({{"step", steps_[i].name},
                    {"state", is_current ? "current" : state},
                    {"condition_holds",
                     is_current && ConditionHolds(steps_[i], observed, at.now - step_begun_)}});
  }
  return list;
}

}  // namespace berylbarrow
