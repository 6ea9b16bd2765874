#include "berylbarrow/request/suspect/crash_counter.h"

#include <boost/test/unit_test.hpp>

namespace berylbarrow {
namespace {

constexpr time_point kStart{std::chrono::hours(1)};
constexpr std::uint64_t kRequest = 42;

BOOST_AUTO_TEST_CASE(a_request_is_refused_after_three_crashes_over_all_observers) {
  crash_counter counter({});
  counter.OnCrash(kRequest, kStart);
  counter.Merge(7, {{.fingerprint = kRequest, .crashes = 1}}, kStart);
  BOOST_TEST(!counter.IsRefused(kRequest));
  counter.Merge(8, {{.fingerprint = kRequest, .crashes = 1}}, kStart);
  BOOST_TEST(counter.IsRefused(kRequest));
}

BOOST_AUTO_TEST_CASE(repeated_and_older_reports_count_once) {
  crash_counter counter({});
  for (int i = 0; i < 5; ++i) counter.Merge(7, {{.fingerprint = kRequest, .crashes = 2}}, kStart);
  counter.Merge(7, {{.fingerprint = kRequest, .crashes = 1}}, kStart);
  BOOST_TEST(counter.Crashes(kRequest) == 2U);
}

// Guards against refusing harmless requests: when a rank dies, every request running on it fails,
// and most of them did not cause the crash.
BOOST_AUTO_TEST_CASE(a_request_that_is_answered_is_cleared) {
  crash_counter counter({});
  for (int i = 0; i < 3; ++i) counter.OnCrash(kRequest, kStart);
  counter.OnAnswered(kRequest);
  BOOST_TEST(!counter.IsRefused(kRequest));
}

BOOST_AUTO_TEST_CASE(reports_are_bounded_and_begin_with_the_latest_crash) {
  crash_counter counter({.max_fingerprints = 50, .max_reported = 12});
  for (std::uint64_t i = 0; i < 200; ++i) counter.OnCrash(i, kStart + std::chrono::seconds(i));
  const auto report = counter.Report(kStart + std::chrono::seconds(200));
  BOOST_TEST(report.size() == 12U);
  BOOST_TEST(report.front().fingerprint == 199U);
}

BOOST_AUTO_TEST_CASE(fingerprints_distinguish_the_parts_of_a_request) {
  BOOST_TEST(RequestFingerprint("GET", "/a", "x", "") != RequestFingerprint("GET", "/", "ax", ""));
  BOOST_TEST(RequestFingerprint("GET", "/a", "x", "b") ==
             RequestFingerprint("GET", "/a", "x", "b"));
}

}  // namespace
}  // namespace berylbarrow
