#include "berylbarrow/request/routing/retry_budget.h"

#include <boost/test/unit_test.hpp>

namespace berylbarrow {
namespace {

struct fixture {
  manual_clock clock;
  retry_budget budget{retry_budget_options{}, clock.Now()};

  int TakeAll() {
    int taken = 0;
    while (budget.TryAcquire(clock.Now())) {
      ++taken;
    }
    return taken;
  }
};

// Guards against retries that exceed the share of the requests, and against a sum of share and
// rate.
BOOST_FIXTURE_TEST_CASE(ShareOfTheRequestsIsTheBound, fixture) {
  BOOST_TEST(TakeAll() == 1);
  int taken = 0;
  for (int second = 0; second < 60; ++second) {
    for (int i = 0; i < 50; ++i) {
      budget.OnRequest();
    }
    clock.Advance(std::chrono::seconds(1));
    taken += TakeAll();
  }
  BOOST_TEST(taken >= 299);
  BOOST_TEST(taken <= 301);
}

// Guards against a quiet service that may never retry.
BOOST_FIXTURE_TEST_CASE(OnePerSecondWithoutRequests, fixture) {
  int taken = 0;
  for (int i = 0; i < 100; ++i) {
    taken += TakeAll();
    clock.Advance(std::chrono::milliseconds(100));
  }
  BOOST_TEST(taken >= 10);
  BOOST_TEST(taken <= 11);
}

// Guards against a quiet hour that saves up a storm of retries.
BOOST_FIXTURE_TEST_CASE(BurstIsBounded, fixture) {
  for (int i = 0; i < 10000; ++i) {
    budget.OnRequest();
  }
  clock.Advance(std::chrono::hours(1));
  BOOST_TEST(TakeAll() == 20);
}

}  // namespace
}  // namespace berylbarrow
