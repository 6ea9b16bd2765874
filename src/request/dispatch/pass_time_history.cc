#include "berylbarrow/request/dispatch/pass_time_history.h"

#include <algorithm>
#include <vector>

namespace berylbarrow {

void pass_time_history::Add(double ratio, time_point now) {
  if (ratio > kStallRatio) return;
  while (!samples_.empty() && now - samples_.front().begin > kWindow) samples_.pop_front();
  if (samples_.empty() || now - samples_.back().begin > kSampleTime) {
    samples_.push_back({.begin = now});
  }
  samples_.back().sum += ratio;
  samples_.back().count += 1;
}

double pass_time_history::Quantile(double share, time_point now) const {
  std::vector<double> ratios;
  ratios.reserve(samples_.size());
  for (const sample& each : samples_) {
    if (now - each.begin <= kWindow) ratios.push_back(each.sum / each.count);
  }
  if (ratios.empty()) return 1;
  const auto index = static_cast<std::ptrdiff_t>(share * static_cast<double>(ratios.size() - 1));
  std::nth_element(ratios.begin(), ratios.begin() + index, ratios.end());
  return ratios[static_cast<std::size_t>(index)];
}

}  // namespace berylbarrow
