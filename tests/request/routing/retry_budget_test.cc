#include "berylbarrow/request/routing/retry_budget.h"

#include <boost/test/unit_test.hpp>

namespace berylbarrow {
namespace {

struct fixture {
  manual_clock clock;
  retry_budget budget{retry_budget_options{}, clock.Now()};

  int AcquireAll() {
    int acquired = 0;
    while (budget.TryAcquire(clock.Now())) {
      ++acquired;
    }
    return acquired;
  }
};

// Guards against retries that exceed the configured fraction of the requests, and against adding
// the fraction and the constant rate.
BOOST_FIXTURE_TEST_CASE(RetriesAreLimitedToAFractionOfTheRequests, fixture) {
  BOOST_TEST(AcquireAll() == 1);
  int acquired = 0;
  for (int second = 0; second < 60; ++second) {
    for (int i = 0; i < 50; ++i) {
      budget.OnRequest();
    }
    clock.Advance(std::chrono::seconds(1));
    acquired += AcquireAll();
  }
  BOOST_TEST(acquired >= 299);
  BOOST_TEST(acquired <= 301);
}

// Guards against a service with few requests that is never allowed a retry.
BOOST_FIXTURE_TEST_CASE(OneRetryPerSecondWithoutRequests, fixture) {
  int acquired = 0;
  for (int i = 0; i < 100; ++i) {
    acquired += AcquireAll();
    clock.Advance(std::chrono::milliseconds(100));
  }
  BOOST_TEST(acquired >= 10);
  BOOST_TEST(acquired <= 11);
}

// Guards against an idle hour that saves up enough credit for a retry storm.
BOOST_FIXTURE_TEST_CASE(BurstIsLimited, fixture) {
  for (int i = 0; i < 10000; ++i) {
    budget.OnRequest();
  }
  clock.Advance(std::chrono::hours(1));
  BOOST_TEST(AcquireAll() == 20);
}

}  // namespace
}  // namespace berylbarrow
