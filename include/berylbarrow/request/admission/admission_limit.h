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

/// A request that the upstream has completed.
struct completed_request {
  std::uint64_t generation = 0;  // what OnStarted returned
  duration first_byte = duration::zero();
  duration total = duration::zero();
  std::uint64_t bytes = 0;  // of the answer
  auto operator<=>(const completed_request&) const = default;
};

/// How many requests an agent lets run at its upstream at once.
class admission_limit {
 public:
  virtual ~admission_limit() = default;

  virtual std::uint32_t Limit() const = 0;
  virtual bool IsWarm() const = 0;
  /// Takes over the options of a new document without a change of the warmth reached.
  virtual void Configure(const cold_start_options& cold, const limit_options& limits) = 0;
  /// A request goes to the upstream. Returns a number that its completion must carry.
  virtual std::uint64_t OnStarted() = 0;
  virtual void OnCompleted(const completed_request& work) = 0;
  /// The upstream refused or broke a connection, or has restarted.
  virtual void OnColdUpstreamDetected() = 0;
  /// Times that a warm or warming upstream turned cold.
  virtual std::uint64_t ColdResets() const = 0;
};

/// Baseline: the configured maximum, whatever the upstream does.
class fixed_limit final : public admission_limit {
 public:
  std::uint32_t Limit() const override { return limit_; }
  bool IsWarm() const override { return true; }
  void Configure(const cold_start_options& cold, const limit_options& limits) override;
  std::uint64_t OnStarted() override { return 0; }
  void OnCompleted(const completed_request& /*work*/) override {}
  void OnColdUpstreamDetected() override {}
  std::uint64_t ColdResets() const override { return 0; }

 private:
  std::uint32_t limit_ = limit_options{}.in_flight;
};

/// Finds that a quantity has risen above three times its usual value. Several values must agree:
/// the median of the last `kRecentSamples` values is compared with an exponential average.
class slowness_detector {
 public:
  static constexpr std::size_t kRecentSamples = 5;
  static constexpr std::size_t kBaselineSamples = 16;  // before the average counts
  static constexpr double kSlowFactor = 3.0;

  /// Returns true if the recent values are slow.
  bool Add(double value);

 private:
  std::deque<double> recent_;
  double average_ = 0;
  std::size_t samples_ = 0;
};

/// Starts at the cold limit, rises by one for every `step_completions` completions at the current
/// limit, and falls back to the cold limit on evidence that the upstream is cold. Completions of
/// requests from before a fall do not count, because the warm upstream may have served them.
class cold_start_limit final : public admission_limit {
 public:
  std::uint32_t Limit() const override { return limit_; }
  bool IsWarm() const override { return limit_ >= limits_.in_flight; }
  void Configure(const cold_start_options& cold, const limit_options& limits) override;
  std::uint64_t OnStarted() override { return generation_; }
  void OnCompleted(const completed_request& work) override;
  void OnColdUpstreamDetected() override;
  std::uint64_t ColdResets() const override { return cold_resets_; }

 private:
  bool IsSlow(const completed_request& work);

  cold_start_options cold_;
  limit_options limits_;
  std::uint32_t limit_ = cold_start_options{}.limit;
  std::uint32_t completions_ = 0;  // at the current limit
  std::uint64_t generation_ = 1;   // raised by every fall
  std::uint64_t cold_resets_ = 0;
  bool was_used_ = false;  // a completion since the last fall
  // Measured while warm only: a cold upstream is slow by nature.
  slowness_detector first_byte_;  // of answers that are not streamed
  slowness_detector per_byte_;    // after the first byte of streamed answers
};

/// Finds restarts of an upstream in its load reports.
class restart_detector {
 public:
  /// Returns true if the report comes from another run of the upstream than the last one.
  bool OnReport(const upstream_report& report);

 private:
  std::optional<std::string> instance_;
  duration uptime_ = duration::zero();
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_REQUEST_ADMISSION_ADMISSION_LIMIT_H_
