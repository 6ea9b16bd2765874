#include "berylbarrow/request/admission/shutdown_window.h"

#include <boost/test/unit_test.hpp>

namespace berylbarrow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point kSignal = time_point(seconds(100));
const shutdown_window kWindow(
    {.grace = seconds(8), .exit_margin = milliseconds(500), .address_use = seconds(6)}, kSignal);

// Incident inc1: what counts is the time that a request may take, not the time that is left.
BOOST_AUTO_TEST_CASE(a_request_is_admitted_only_if_its_deadline_is_before_the_end_of_work) {
  BOOST_TEST(kWindow.CanComplete(kSignal + milliseconds(7500)));
  BOOST_TEST(!kWindow.CanComplete(kSignal + milliseconds(7501)));
}

BOOST_AUTO_TEST_CASE(the_process_ends_when_callers_have_left_and_nothing_is_open) {
  BOOST_TEST(!kWindow.MayExit(kSignal + milliseconds(5999), false));
  BOOST_TEST(kWindow.MayExit(kSignal + seconds(6), false));
  BOOST_TEST(!kWindow.MayExit(kSignal + seconds(6), true));
  BOOST_TEST(kWindow.MayExit(kSignal + milliseconds(7500), true));
}

}  // namespace
}  // namespace berylbarrow
