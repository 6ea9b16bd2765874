#include "berylbarrow/process/gateway/feed_timing.h"

#include <boost/test/unit_test.hpp>

namespace berylbarrow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Pattern: 98 gateways that ask the store 1.6 times a second each; the calls cost a tenth of the
// credit of a day.
BOOST_AUTO_TEST_CASE(calls_are_as_rare_as_the_bounds_allow) {
  for (const seconds drain : {seconds(2), seconds(3), seconds(4)}) {
    const feed_timing timing = TimingFor({.key_lifetime = seconds(5), .upstream_drain = drain});
    const auto per_second = [](duration interval) {
      return 1 / std::chrono::duration<double>(interval).count();
    };
    BOOST_TEST(per_second(timing.configuration_wait) < 0.56);
    // An outage of 3 s that begins just before an answer.
    BOOST_TEST((timing.configuration_wait + seconds(3) < milliseconds(5000 - 150)));
    BOOST_TEST(per_second(timing.upstreams_pause) < 2.3 / static_cast<double>(drain.count()));
    // One lost answer, the longest pause after it (100 ms) and two more calls.
    BOOST_TEST((timing.configuration_wait + timing.call_timeout + milliseconds(100) +
                    2 * timing.retry_timeout <
                milliseconds(5000 - 150)));
    BOOST_TEST((2 * timing.upstreams_pause < drain));
  }
}

}  // namespace
}  // namespace berylbarrow
