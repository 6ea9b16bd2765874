#ifndef BERYLBARROW_REQUEST_ADMISSION_ADMISSION_LIMIT_H_
#define BERYLBARROW_REQUEST_ADMISSION_ADMISSION_LIMIT_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "berylbarrow/process/core/core.h"
#include "berylbarrow/process/runtime/time.h"
#include "berylbarrow/version/configuration/configuration.h"

namespace berylbarrow {

/// Measurements of a request that the upstream answered completely.
struct completed_request {
  std::uint64_t generation = 0;            // returned by OnStarted for this request
  duration first_byte = duration::zero();  // from start to first byte of the answer
  duration total = duration::zero();       // from start to end of the answer
  std::uint64_t bytes = 0;                 // length of the answer
  auto operator<=>(const completed_request&) const = default;
};

/// Limits the number of requests that an agent runs concurrently on its upstream.
class admission_limit {
 public:
  virtual ~admission_limit() = default;

  virtual std::uint32_t Limit() const = 0;
  virtual bool IsWarm() const = 0;
  /// Applies the options of a new configuration document. A warm upstream stays warm and a cold one
  /// stays cold.
  virtual void Configure(const cold_start_options& cold, const limit_options& limits) = 0;
  /// Called when a request is sent to the upstream. Returns the generation to pass in
  /// `completed_request` when the request completes.
  virtual std::uint64_t OnStarted() = 0;
  virtual void OnCompleted(const completed_request& request) = 0;
  /// Called when the upstream has probably lost its warm state: it refused or broke a connection,
  /// or restarted.
  virtual void OnColdUpstreamDetected() = 0;
  /// Number of times that the limit of a warm or warming upstream was reset to the cold limit.
  virtual std::uint64_t ColdResets() const = 0;
};

/// Always the configured maximum. Serves as the baseline for comparison with `cold_start_limit`.
class fixed_limit final : public admission_limit {
 public:
  std::uint32_t Limit() const override { return limit_; }
  bool IsWarm() const override { return true; }
  void Configure(const cold_start_options& cold, const limit_options& limits) override;
  std::uint64_t OnStarted() override { return 0; }
  void OnCompleted(const completed_request& /*request*/) override {}
  void OnColdUpstreamDetected() override {}
  std::uint64_t ColdResets() const override { return 0; }

 private:
  std::uint32_t limit_ = limit_options{}.in_flight;
};

/// Detects that a latency has risen above `kSlowFactor` times its usual value. It compares the
/// median of the last `kRecentSamples` samples with an exponential moving average, so that a single
/// outlier is not enough.
class slowness_detector {
 public:
  static constexpr std::size_t kRecentSamples = 5;
  static constexpr std::size_t kBaselineSamples = 16;  // needed before detection starts
  static constexpr double kSlowFactor = 3.0;

  /// Adds a sample. Returns true if the median of the recent samples is slow.
  bool Add(double value);

 private:
  std::deque<double> recent_;
  double average_ = 0;
  std::size_t samples_ = 0;
};

/// Ramps up the load of a cold upstream. Starts at the cold limit, rises by one after every
/// `step_completions` completions at the current limit, and is reset to the cold limit when the
/// upstream appears to be cold again. Completions of requests started before a reset are ignored,
/// because the upstream may have served them while it was still warm.
class cold_start_limit final : public admission_limit {
 public:
  std::uint32_t Limit() const override { return limit_; }
  bool IsWarm() const override { return limit_ >= limits_.in_flight; }
  void Configure(const cold_start_options& cold, const limit_options& limits) override;
  std::uint64_t OnStarted() override { return generation_; }
  void OnCompleted(const completed_request& request) override;
  void OnColdUpstreamDetected() override;
  std::uint64_t ColdResets() const override { return cold_resets_; }

 private:
  bool IsSlow(const completed_request& request);

  cold_start_options cold_;
  limit_options limits_;
  std::uint32_t limit_ = cold_start_options{}.limit;
  std::uint32_t completions_ = 0;  // at the current limit
  std::uint64_t generation_ = 1;   // incremented by every reset
  std::uint64_t cold_resets_ = 0;
  bool completed_since_reset_ = false;
  // Only fed while the upstream is warm, because a cold upstream is expected to be slow.
  slowness_detector first_byte_;  // time to first byte of answers that are not streamed
  slowness_detector per_byte_;    // time per byte of streamed answers after the first byte
};

/// Detects restarts of an upstream from its load reports.
class restart_detector {
 public:
  /// Returns true if the upstream has restarted since the previous report, that is, the instance
  /// has changed or the uptime has decreased. Reports of an unreachable upstream are ignored.
  bool OnReport(const upstream_report& report);

 private:
  std::optional<std::string> instance_;
  duration uptime_ = duration::zero();
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_REQUEST_ADMISSION_ADMISSION_LIMIT_H_
