#include "berylbarrow/request/dispatch/pass_time_history.h"

#include <algorithm>
#include <vector>

namespace berylbarrow {

void pass_time_history::Add(double load_factor, time_point now) {
  if (load_factor > kStallFactor) return;
  while (!samples_.empty() && now - samples_.front().begin > kWindow) samples_.pop_front();
  if (samples_.empty() || now - samples_.back().begin > kSampleTime) {
    samples_.push_back({.begin = now});
  }
  samples_.back().sum += load_factor;
  samples_.back().count += 1;
}

double pass_time_history::Quantile(double share, time_point now) const {
  std::vector<double> factors;
  factors.reserve(samples_.size());
  for (const sample& each : samples_) {
    if (now - each.begin <= kWindow) factors.push_back(each.sum / each.count);
  }
  if (factors.empty()) return 1;
  const auto index = static_cast<std::ptrdiff_t>(share * static_cast<double>(factors.size() - 1));
  std::nth_element(factors.begin(), factors.begin() + index, factors.end());
  return factors[static_cast<std::size_t>(index)];
}

}  // namespace berylbarrow
