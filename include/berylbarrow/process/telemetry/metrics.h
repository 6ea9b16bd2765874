#ifndef BERYLBARROW_PROCESS_TELEMETRY_METRICS_H_
#define BERYLBARROW_PROCESS_TELEMETRY_METRICS_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "berylbarrow/process/runtime/time.h"

namespace berylbarrow {

struct metric_labels {
  std::string service = {};
  std::string domain = {};
  std::string outcome = {};

  auto operator<=>(const metric_labels&) const = default;
};

/// Counts and latency quantiles of one decision core. Not thread-safe: it belongs to the core.
///
/// Quantiles are estimated in constant space by the extended P-square algorithm: K. Raatikainen,
/// "Simultaneous estimation of several percentiles", Simulation 49(4), 1987.
class metrics {
 public:
  static constexpr std::size_t kDefaultMaxLabelSets = 256;

  /// `max_label_sets` bounds the label sets of each metric. Further ones are counted together under
  /// labels whose values are all "other".
  explicit metrics(std::size_t max_label_sets = kDefaultMaxLabelSets);
  ~metrics();
  metrics(const metrics&) = delete;
  metrics& operator=(const metrics&) = delete;

  /// Adds to a counter. `name` is in snake_case without prefix and unit.
  void Count(const std::string& name, const metric_labels& labels, std::uint64_t amount = 1);

  /// Adds one observation of a latency.
  void Observe(const std::string& name, const metric_labels& labels, duration latency);

  /// Value of a counter; 0 if it was never counted.
  std::uint64_t Value(const std::string& name, const metric_labels& labels) const;

  /// Text exposition format: counters as berylbarrow_NAME_total, latencies as summaries
  /// berylbarrow_NAME_seconds with the quantiles 0.5, 0.95 and 0.99.
  std::string Exposition() const;

  /// The same values: {"counters": {NAME: [...]}, "latencies": {NAME: [...]}}, in seconds.
  nlohmann::json Json() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_PROCESS_TELEMETRY_METRICS_H_
