#include "berylbarrow/request/dispatch/pass_time_history.h"

#include <boost/test/unit_test.hpp>

namespace berylbarrow {
namespace {

using std::chrono::milliseconds;

constexpr time_point kStart{std::chrono::hours(1)};

// A shift of the experts in demand lengthens passes for about a second every few seconds. Planning
// for the passes in between made all streams late that ran at the next shift.
BOOST_AUTO_TEST_CASE(long_passes_are_remembered_between_shifts) {
  pass_time_history history;
  time_point now = kStart;
  for (int i = 0; i < 80; ++i, now += milliseconds(100)) {
    history.Add(i % 40 < 8 ? 1.7 : 1.0, now);
  }
  BOOST_TEST(history.Quantile(0.95, now) == 1.7, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(history.Quantile(0.5, now) == 1.0, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(history.Quantile(0.95, now + std::chrono::seconds(11)) == 1.0);
}

// A group that is held for a moment has not become slower.
BOOST_AUTO_TEST_CASE(stalls_of_a_group_are_left_out) {
  pass_time_history history;
  history.Add(1.1, kStart);
  history.Add(6.0, kStart + milliseconds(200));
  BOOST_TEST(history.Quantile(1, kStart + milliseconds(200)) == 1.1,
             boost::test_tools::tolerance(1e-9));
}

}  // namespace
}  // namespace berylbarrow
