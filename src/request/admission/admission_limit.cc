#include "berylbarrow/request/admission/admission_limit.h"

#include <algorithm>
#include <vector>

namespace berylbarrow {
namespace {

// Per-byte times of very short answers consist of noise.
constexpr std::uint64_t kMinBytesForRate = 64;
// An answer that arrives at once has no rate: its time after the first byte is that of thread
// switches.
constexpr duration kMinStreaming = std::chrono::milliseconds(10);
constexpr double kAverageWeight = 1.0 / 16;

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
  const auto slow = static_cast<std::size_t>(std::count_if(
      recent_.begin(), recent_.end(), [threshold](double item) { return item > threshold; }));
  // Slow values must not raise the average that they are compared with.
  if (value <= threshold) {
    average_ += (value - average_) * kAverageWeight;
  }
  return slow * 2 > kRecentSamples;
}

void cold_start_limit::Configure(const cold_start_options& cold, const limit_options& limits) {
  const bool was_warm = IsWarm() && limit_ > cold_.limit;
  cold_ = cold;
  limits_ = limits;
  const std::uint32_t floor = std::min(cold.limit, limits.in_flight);
  limit_ = was_warm ? limits.in_flight : std::clamp(limit_, floor, limits.in_flight);
  if (!was_used_ && completions_ == 0) {
    limit_ = floor;
  }
}

bool cold_start_limit::IsSlow(const completed_request& work) {
  const duration streaming = work.total - work.first_byte;
  // A cached prompt brings the first byte several times earlier than an uncached one, but does not
  // change the rate after it.
  if (work.bytes >= kMinBytesForRate && streaming >= kMinStreaming) {
    return per_byte_.Add(static_cast<double>(streaming.count()) / static_cast<double>(work.bytes));
  }
  return first_byte_.Add(static_cast<double>(work.first_byte.count()));
}

void cold_start_limit::OnCompleted(const completed_request& work) {
  if (work.generation != generation_) {
    return;
  }
  was_used_ = true;
  if (IsWarm()) {
    if (IsSlow(work)) {
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
  const std::uint32_t floor = std::min(cold_.limit, limits_.in_flight);
  cold_resets_ += was_used_ || limit_ != floor ? 1 : 0;
  limit_ = floor;
  completions_ = 0;
  was_used_ = false;
  ++generation_;
  // The baseline is measured anew, so that a lasting change of the work is no lasting evidence.
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
