#include "berylbarrow/process/telemetry/metrics.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <random>

namespace berylbarrow {
namespace {

const metric_labels kLabels{.service = "pay", .domain = "heredia", .outcome = "ok"};

// Guards against quantiles that are far from the true ones. The sample is uniform on 0 to 1 s.
BOOST_AUTO_TEST_CASE(QuantilesOfALargeSampleAreClose) {
  metrics metrics;
  std::mt19937_64 random(7);
  for (int i = 0; i < 100'000; ++i) {
    metrics.Observe("answer", kLabels,
                    std::chrono::nanoseconds(static_cast<std::int64_t>(random() % 1'000'000'000)));
  }
  const auto entry = metrics.Json()["latencies"]["answer"][0];
  BOOST_TEST(std::abs(entry["p50"].get<double>() - 0.50) < 0.01);
  BOOST_TEST(std::abs(entry["p95"].get<double>() - 0.95) < 0.01);
  BOOST_TEST(std::abs(entry["p99"].get<double>() - 0.99) < 0.01);
  BOOST_TEST(std::abs(entry["sum"].get<double>() / 100'000 - 0.5) < 0.01);
  BOOST_TEST(entry["count"] == 100'000);
}

// Guards against quantiles read before the estimator has enough observations.
BOOST_AUTO_TEST_CASE(QuantilesOfASmallSampleAreExact) {
  for (const int count : {1, 2, 5, 9}) {
    metrics metrics;
    for (int i = count; i > 0; --i) {
      metrics.Observe("answer", kLabels, std::chrono::seconds(i));
    }
    const auto entry = metrics.Json()["latencies"]["answer"][0];
    BOOST_TEST(entry["p50"].get<double>() == (count + 1) / 2);
    BOOST_TEST(entry["p99"].get<double>() == count);
  }
}

// Guards against memory that grows with label values chosen by callers.
BOOST_AUTO_TEST_CASE(LabelSetsAreBounded) {
  metrics metrics(3);
  for (int i = 0; i < 100; ++i) {
    const metric_labels labels{.service = std::to_string(i)};
    metrics.Count("requests", labels);
    metrics.Observe("answer", labels, std::chrono::seconds(1));
  }
  BOOST_TEST(metrics.Json()["counters"]["requests"].size() == 4U);
  BOOST_TEST(metrics.Json()["latencies"]["answer"].size() == 4U);
  BOOST_TEST(metrics.Value("requests", {"0", "", ""}) == 1U);
  BOOST_TEST(metrics.Value("requests", {"50", "", ""}) == 0U);
  BOOST_TEST(metrics.Value("requests", {"other", "other", "other"}) == 97U);
}

// Guards against a page that a scraper of the text exposition format cannot read.
BOOST_AUTO_TEST_CASE(ExpositionIsWellFormed) {
  metrics metrics;
  metrics.Count("requests", {.service = "a\"b\\c\nd", .domain = "x", .outcome = "ok"}, 5);
  metrics.Observe("answer", kLabels, std::chrono::milliseconds(250));
  BOOST_TEST(metrics.Exposition() ==
             "# TYPE berylbarrow_requests_total counter\n"
             "berylbarrow_requests_total{service=\"a\\\"b\\\\c\\nd\",failure_domain=\"x\","
             "outcome=\"ok\"} 5\n"
             "# TYPE berylbarrow_answer_seconds summary\n"
             "berylbarrow_answer_seconds{service=\"pay\",failure_domain=\"heredia\",outcome=\"ok\","
             "quantile=\"0.5\"} 0.25\n"
             "berylbarrow_answer_seconds{service=\"pay\",failure_domain=\"heredia\",outcome=\"ok\","
             "quantile=\"0.95\"} 0.25\n"
             "berylbarrow_answer_seconds{service=\"pay\",failure_domain=\"heredia\",outcome=\"ok\","
             "quantile=\"0.99\"} 0.25\n"
             "berylbarrow_answer_seconds_sum{service=\"pay\",failure_domain=\"heredia\",outcome="
             "\"ok\"} 0.25\n"
             "berylbarrow_answer_seconds_count{service=\"pay\",failure_domain=\"heredia\",outcome="
             "\"ok\"} 1\n");
}

}  // namespace
}  // namespace berylbarrow
