#include "berylbarrow/process/gateway/gateway_settings.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace berylbarrow {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr const char* kAddresses = R"(process: {name: edge-1, domain: zone-a}
listen: {callers: 10.0.0.1:1, readiness: 10.0.0.1:2, directory: 10.0.0.1:3, peers: 10.0.0.1:4}
store: {address: 10.0.0.2:1}
bounds:
)";

checked<gateway_settings> Parse(const std::string& bound) {
  return ParseGatewaySettings(kAddresses + ("  " + bound + "\n"), "gateway.yaml");
}

/// The bounds as a platform renders them into the template: numbers of any notation.
struct rendered_bound {
  std::string text;
  gateway_bounds expected;
};

// A deployment whose retry slack was 37.333333333333336 started no gateway at all.
BOOST_AUTO_TEST_CASE(bounds_are_read_in_each_notation_of_a_number) {
  const std::vector<rendered_bound> cases = {
      {"shutdown_grace: 8s", {.shutdown_grace = milliseconds(8000)}},
      {"shutdown_grace: 8.0s", {.shutdown_grace = milliseconds(8000)}},
      {"shutdown_grace: 7.5s", {.shutdown_grace = milliseconds(7500)}},
      {"key_lifetime: 5000ms", {.key_lifetime = milliseconds(5000)}},
      {"key_lifetime: 1666.6666666666667ms",
       {.key_lifetime = std::chrono::nanoseconds(1'666'666'667)}},
      {"key_lifetime: 5e3ms", {.key_lifetime = milliseconds(5000)}},
      {"upstream_heartbeat: 1200ms", {.upstream_heartbeat = milliseconds(1200)}},
      {"upstream_heartbeat: 250.5ms", {.upstream_heartbeat = microseconds(250'500)}},
      {"strict_keys: false", {.strict_keys = false}},
      {"retry_window: 10s", {.retry_window = milliseconds(10'000)}},
      {"retry_window: 0.25s", {.retry_window = milliseconds(250)}},
      {"retry_share: 0.2", {.retry_share = 0.2}},
      {"retry_share: 0", {.retry_share = 0}},
      {"retry_share: 1.5", {.retry_share = 1.5}},
      {"retry_slack: 90", {.retry_slack = 90}},
      {"retry_slack: 94.0", {.retry_slack = 94}},
      {"retry_slack: 37.333333333333336", {.retry_slack = 37.333333333333336}},
      {"retry_slack: 448", {.retry_slack = 448}},
      {"retry_slack: 1e3", {.retry_slack = 1000}},
      {"address_lifetime: 1500.5ms", {.address_lifetime = microseconds(1'500'500)}},
  };
  for (const rendered_bound& each : cases) {
    BOOST_TEST_CONTEXT(each.text) {
      const auto parsed = Parse(each.text);
      BOOST_TEST_REQUIRE(parsed.has_value());
      BOOST_TEST((parsed.value().bounds == each.expected));
    }
  }
}

BOOST_AUTO_TEST_CASE(bounds_without_sense_are_refused_with_their_place) {
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"retry_slack: -1", "is not a number from 0 to 1e+06"},
      {"retry_slack: 1e300", "is not a number from 0 to 1e+06"},
      {"retry_slack: nan", "is not a number from 0 to 1e+06"},
      {"retry_slack: inf", "is not a number from 0 to 1e+06"},
      {"retry_slack: '90'", "is not a number from 0 to 1e+06"},
      {"retry_slack: [90]", "that is not a number"},
      {"retry_slack:", "has no value for the key"},
      {"retry_share: -0.1", "is not a number from 0 to 100"},
      {"strict_keys: 1", "is not true or false"},
      {"key_lifetime: 5000", "has no unit"},
      {"key_lifetime: -5s", "is not a duration"},
      {"key_lifetime: infs", "is not a duration"},
      {"key_lifetime: 1e300h", "is not a duration"},
      {"key_lifetime: 1ms", "is outside"},
  };
  for (const auto& [text, problem] : cases) {
    BOOST_TEST_CONTEXT(text) {
      const auto parsed = Parse(text);
      BOOST_TEST_REQUIRE(parsed.has_error());
      BOOST_TEST_REQUIRE(parsed.error().size() == 1U);
      const finding& found = parsed.error().front();
      BOOST_TEST(found.message.find(problem) != std::string::npos, found.message);
      BOOST_TEST(found.line == 5U);
      BOOST_TEST(found.file == "gateway.yaml");
    }
  }
}

}  // namespace
}  // namespace berylbarrow
