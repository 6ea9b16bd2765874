#include "berylbarrow/request/admission/admission_limit.h"

#include <algorithm>
#include <vector>

namespace berylbarrow {
namespace {

// The time per byte of shorter answers is mostly noise.
constexpr std::uint64_t kMinBytesForRate = 64;
// If the rest of the answer arrives faster than this, its time is that of thread switches and says
// nothing about the rate of the upstream.
constexpr duration kMinStreamingTime = std::chrono::milliseconds(10);
constexpr double kSmoothingFactor = 1.0 / 16;

}  // namespace

void fixed_limit::Configure(const cold_start_options& /*cold*/, const limit_options& limits) {
  limit_ = limits.in_flight;
}

bool slowness_detector::Add(double value) {
  recent_.push_back(value);
  if (recent_.size() > kRecentSamples) {
    recent_.pop_front();
  }
  if (samples_ < kBaselineSamples) {
    ++samples_;
    average_ += (value - average_) / static_cast<double>(samples_);
    return false;
  }
  const double threshold = average_ * kSlowFactor;
  const auto slow_samples = static_cast<std::size_t>(std::count_if(
      recent_.begin(), recent_.end(), [threshold](double sample) { return sample > threshold; }));
  // Slow samples are left out so that they do not raise the average they are compared with.
  if (value <= threshold) {
    average_ += (value - average_) * kSmoothingFactor;
  }
  return slow_samples * 2 > kRecentSamples;
}

void cold_start_limit::Configure(const cold_start_options& cold, const limit_options& limits) {
  const bool was_warm = IsWarm() && limit_ > cold_.limit;
  cold_ = cold;
  limits_ = limits;
  const std::uint32_t cold_limit = std::min(cold.limit, limits.in_flight);
  limit_ = was_warm ? limits.in_flight : std::clamp(limit_, cold_limit, limits.in_flight);
  if (!completed_since_reset_ && completions_ == 0) {
    limit_ = cold_limit;
  }
}

bool cold_start_limit::IsSlow(const completed_request& request) {
  const duration streaming = request.total - request.first_byte;
  // A prompt cache hit makes the first byte arrive several times earlier but does not change the
  // rate after it, so streamed answers are judged by that rate.
  if (request.bytes >= kMinBytesForRate && streaming >= kMinStreamingTime) {
    return per_byte_.Add(static_cast<double>(streaming.count()) /
                         static_cast<double>(request.bytes));
  }
  return first_byte_.Add(static_cast<double>(request.first_byte.count()));
}

void cold_start_limit::OnCompleted(const completed_request& request) {
  if (request.generation != generation_) {
    return;
  }
  completed_since_reset_ = true;
  if (IsWarm()) {
    if (IsSlow(request)) {
      OnColdUpstreamDetected();
    }
    return;
  }
  if (++completions_ >= cold_.step_completions) {
    completions_ = 0;
    ++limit_;
  }
}

void cold_start_limit::OnColdUpstreamDetected() {
  const std::uint32_t cold_limit = std::min(cold_.limit, limits_.in_flight);
  cold_resets_ += completed_since_reset_ || limit_ != cold_limit ? 1 : 0;
  limit_ = cold_limit;
  completions_ = 0;
  completed_since_reset_ = false;
  ++generation_;
  // Starts new baselines, so that a lasting change of the workload does not cause repeated resets.
  first_byte_ = {};
  per_byte_ = {};
}

bool restart_detector::OnReport(const upstream_report& report) {
  if (!report.reachable) {
    return false;
  }
  const bool is_restart = instance_ && (*instance_ != report.instance || report.uptime < uptime_);
  instance_ = report.instance;
  uptime_ = report.uptime;
  return is_restart;
}

}  // namespace berylbarrow
