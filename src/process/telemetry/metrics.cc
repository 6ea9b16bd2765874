#include "berylbarrow/process/telemetry/metrics.h"

#include <algorithm>
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <chrono>
#include <cmath>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>
#include <vector>

namespace berylbarrow {
namespace {

namespace accumulators = boost::accumulators;

constexpr std::array<double, 3> kProbabilities{0.5, 0.95, 0.99};
constexpr std::array<const char*, 3> kQuantileNames{"p50", "p95", "p99"};
constexpr std::array<const char*, 3> kQuantileLabels{"0.5", "0.95", "0.99"};
// The estimator has 2 * 3 + 3 markers and is undefined until each holds an observation.
constexpr std::size_t kMarkers = 2 * kProbabilities.size() + 3;

/// Quantiles of one series: exact for the first observations, then estimated.
class latency_series {
 public:
  void Add(double seconds) {
    accumulator_(seconds);
    if (first_.size() < kMarkers) {
      first_.insert(std::upper_bound(first_.begin(), first_.end(), seconds), seconds);
    }
  }

  std::size_t Count() const { return accumulators::count(accumulator_); }
  double Sum() const { return accumulators::sum(accumulator_); }

  double Quantile(std::size_t index) const {
    if (Count() <= kMarkers) {
      const auto rank = std::ceil(kProbabilities.at(index) * static_cast<double>(first_.size()));
      return first_.at(std::max<std::size_t>(static_cast<std::size_t>(rank), 1) - 1);
    }
    return accumulators::extended_p_square(accumulator_)[static_cast<std::ptrdiff_t>(index)];
  }

 private:
  accumulators::accumulator_set<
      double, accumulators::stats<accumulators::tag::count, accumulators::tag::sum,
                                  accumulators::tag::extended_p_square>>
      accumulator_{accumulators::extended_p_square_probabilities = kProbabilities};
  std::vector<double> first_;  // sorted
};

std::string Escape(const std::string& text) {
  std::string out;
  for (const char c : text) {
    if (c == '\\' || c == '"') {
      out += '\\';
    }
    out += c == '\n' ? std::string("\\n") : std::string(1, c);
  }
  return out;
}

std::string LabelText(const metric_labels& labels, const std::string& more = "") {
  return "{service=\"" + Escape(labels.service) + "\",failure_domain=\"" + Escape(labels.domain) +
         "\",outcome=\"" + Escape(labels.outcome) + "\"" + more + "}";
}

nlohmann::json LabelJson(const metric_labels& labels) {
  return {
      {"service", labels.service}, {"failure_domain", labels.domain}, {"outcome", labels.outcome}};
}

template <typename Series>
using series_table = std::map<std::string, std::map<metric_labels, Series>>;

}  // namespace

class metrics::impl {
 public:
  explicit impl(std::size_t max_label_sets) : max_label_sets_(max_label_sets) {}

  template <typename Series>
  Series& Find(series_table<Series>& table, const std::string& name,
               const metric_labels& labels) const {
    auto& series = table[name];
    const auto found = series.find(labels);
    if (found != series.end()) {
      return found->second;
    }
    if (series.size() < max_label_sets_) {
      return series[labels];
    }
    return series[{.service = "other", .domain = "other", .outcome = "other"}];
  }

  series_table<std::uint64_t>& Counters() { return counters_; }
  series_table<latency_series>& Latencies() { return latencies_; }

 private:
  std::size_t max_label_sets_;
  series_table<std::uint64_t> counters_;
  series_table<latency_series> latencies_;
};

metrics::metrics(std::size_t max_label_sets) : impl_(std::make_unique<impl>(max_label_sets)) {}

metrics::~metrics() = default;

void metrics::Count(const std::string& name, const metric_labels& labels, std::uint64_t amount) {
  impl_->Find(impl_->Counters(), name, labels) += amount;
}

void metrics::Observe(const std::string& name, const metric_labels& labels, duration latency) {
  impl_->Find(impl_->Latencies(), name, labels).Add(std::chrono::duration<double>(latency).count());
}

std::uint64_t metrics::Value(const std::string& name, const metric_labels& labels) const {
  const auto& counters = impl_->Counters();
  const auto series = counters.find(name);
  if (series == counters.end()) {
    return 0;
  }
  const auto found = series->second.find(labels);
  return found == series->second.end() ? 0 : found->second;
}

std::string metrics::Exposition() const {
  std::ostringstream out;
  for (const auto& [name, series] : impl_->Counters()) {
    const auto full = "berylbarrow_" + name + "_total";
    out << "# TYPE " << full << " counter\n";
    for (const auto& [labels, value] : series) {
      out << full << LabelText(labels) << ' ' << value << '\n';
    }
  }
  for (const auto& [name, series] : impl_->Latencies()) {
    const auto full = "berylbarrow_" + name + "_seconds";
    out << "# TYPE " << full << " summary\n";
    for (const auto& [labels, value] : series) {
      for (std::size_t i = 0; i < kProbabilities.size(); ++i) {
        out << full << LabelText(labels, std::string(",quantile=\"") + kQuantileLabels.at(i) + "\"")
            << ' ' << value.Quantile(i) << '\n';
      }
      out << full << "_sum" << LabelText(labels) << ' ' << value.Sum() << '\n';
      out << full << "_count" << LabelText(labels) << ' ' << value.Count() << '\n';
    }
  }
  return std::move(out).str();
}

nlohmann::json metrics::Json() const {
  auto counters = nlohmann::json::object();
  for (const auto& [name, series] : impl_->Counters()) {
    for (const auto& [labels, value] : series) {
      auto entry = LabelJson(labels);
      entry["value"] = value;
      counters[name].push_back(std::move(entry));
    }
  }
  auto latencies = nlohmann::json::object();
  for (const auto& [name, series] : impl_->Latencies()) {
    for (const auto& [labels, value] : series) {
      auto entry = LabelJson(labels);
      entry["count"] = value.Count();
      entry["sum"] = value.Sum();
      for (std::size_t i = 0; i < kProbabilities.size(); ++i) {
        entry[kQuantileNames.at(i)] = value.Quantile(i);
      }
      latencies[name].push_back(std::move(entry));
    }
  }
  return {{"counters", std::move(counters)}, {"latencies", std::move(latencies)}};
}

}  // namespace berylbarrow
