#include "process/gateway/connection_limits.h"

#include <boost/test/unit_test.hpp>

namespace berylbarrow {
namespace {

// Guards against a process that cannot open links because callers have taken all descriptors.
BOOST_AUTO_TEST_CASE(connections_of_callers_leave_descriptors_for_links) {
  for (const std::uint32_t descriptors : {64U, 300U, 1024U, 4100U}) {
    const connection_limits limits =
        ConnectionLimitsFor({.max_connections = 2000, .max_descriptors = descriptors}, 20'000);
    const std::uint32_t used =
        limits.callers + limits.directory + limits.readiness + limits.metrics;
    BOOST_TEST(used <= descriptors - descriptors / 8);
    BOOST_TEST(limits.metrics > 0U);
  }
}

BOOST_AUTO_TEST_CASE(the_limits_of_the_settings_hold_if_there_are_enough_descriptors) {
  const connection_limits limits =
      ConnectionLimitsFor({.max_connections = 500, .max_descriptors = 0}, 20'000);
  BOOST_TEST(limits.callers == 500U);
  BOOST_TEST(limits.directory == 500U);
}

}  // namespace
}  // namespace berylbarrow
