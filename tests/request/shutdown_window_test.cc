#include "berylbarrow/request/admission/shutdown_window.h"

#include <boost/test/unit_test.hpp>

namespace berylbarrow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point kSignal = time_point(seconds(100));
const shutdown_window kWindow({.grace = seconds(8),
                               .exit_margin = milliseconds(500),
                               .kill_margin = milliseconds(150),
                               .address_lifetime = seconds(2),
                               .address_use = seconds(6)},
                              kSignal);

// Incident inc1: what counts is the time that a request may take, not the time that is left.
BOOST_AUTO_TEST_CASE(a_request_is_admitted_only_if_its_deadline_is_before_the_end_of_work) {
  BOOST_TEST(kWindow.CanComplete(kSignal + milliseconds(7500)));
  BOOST_TEST(!kWindow.CanComplete(kSignal + milliseconds(7501)));
}

// A rolling restart of a small fleet refused 6 % of the requests, because most gateways that
// callers knew were shutting down.
BOOST_AUTO_TEST_CASE(a_request_is_admitted_while_callers_cannot_know_of_the_shutdown) {
  const auto admits = [](milliseconds after, milliseconds allowed, bool must_complete = false) {
    return kWindow.Admits(kSignal + after, kSignal + after + allowed, must_complete);
  };
  BOOST_TEST(admits(milliseconds(1999), milliseconds(8000)));
  BOOST_TEST(!admits(milliseconds(2000), milliseconds(8000)));
  BOOST_TEST(!admits(milliseconds(4077), milliseconds(8000)));
  BOOST_TEST(!admits(milliseconds(0), milliseconds(15'001)));
  BOOST_TEST(admits(milliseconds(6900), milliseconds(600)));
  BOOST_TEST(admits(milliseconds(6900), milliseconds(600), true));
  BOOST_TEST(!admits(milliseconds(1999), milliseconds(8000), true));
}

BOOST_AUTO_TEST_CASE(the_process_ends_when_callers_have_left_and_nothing_is_open) {
  BOOST_TEST(!kWindow.MayExit(kSignal + milliseconds(5999), false));
  BOOST_TEST(kWindow.MayExit(kSignal + seconds(6), false));
  BOOST_TEST(!kWindow.MayExit(kSignal + seconds(6), true));
}

BOOST_AUTO_TEST_CASE(the_last_answers_are_written_between_the_end_of_work_and_the_exit) {
  BOOST_TEST(!kWindow.MayExit(kSignal + milliseconds(7500), true));
  BOOST_TEST(!kWindow.MayExit(kSignal + milliseconds(7849), true));
  BOOST_TEST(kWindow.MayExit(kSignal + milliseconds(7850), true));
}

}  // namespace
}  // namespace berylbarrow
