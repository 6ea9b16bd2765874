#include "berylbarrow/request/routing/account_limiter.h"

#include <boost/test/unit_test.hpp>

namespace berylbarrow {
namespace {

struct fixture {
  account_limiter limiter{account_limiter_options{.max_requests = 100}};

  int AcquireAll(const std::string& account, std::uint32_t weight) {
    int acquired = 0;
    while (acquired < 1000 && limiter.TryAcquire(account, weight)) {
      ++acquired;
    }
    return acquired;
  }
};

// Guards against one account using the whole capacity of the entry, so that others are refused.
BOOST_FIXTURE_TEST_CASE(AccountIsLimitedToItsShareAboveTheThreshold, fixture) {
  BOOST_TEST(limiter.TryAcquire("small", 1));
  BOOST_TEST(AcquireAll("big", 1) == 80);
  BOOST_TEST(AcquireAll("small", 1) == 49);
  BOOST_TEST(!limiter.TryAcquire("big", 1));
  BOOST_TEST(limiter.TryAcquire("third", 1));
}

// Guards against ignored weights: three times the weight must give three times the share.
BOOST_FIXTURE_TEST_CASE(ShareIsProportionalToWeight, fixture) {
  BOOST_TEST(AcquireAll("heavy", 3) == 100);
  BOOST_TEST(AcquireAll("light", 1) == 25);
}

// Guards against released requests that still count as in flight, and against limiting an account
// below the threshold.
BOOST_FIXTURE_TEST_CASE(ReleasedRequestsAreNotCounted, fixture) {
  BOOST_TEST(AcquireAll("only", 1) == 100);
  for (int i = 0; i < 60; ++i) {
    limiter.Release("only");
  }
  limiter.Release("nobody");
  BOOST_TEST(limiter.InFlight() == 40U);
  BOOST_TEST(limiter.TryAcquire("other", 1));
  for (int i = 0; i < 40; ++i) {
    limiter.Release("only");
  }
  BOOST_TEST(limiter.ActiveAccounts() == 1U);
}

}  // namespace
}  // namespace berylbarrow
