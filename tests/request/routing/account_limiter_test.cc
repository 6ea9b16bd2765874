#include "berylbarrow/request/routing/account_limiter.h"

#include <boost/test/unit_test.hpp>

namespace berylbarrow {
namespace {

struct fixture {
  account_limiter limiter{account_limiter_options{.max_requests = 100}};

  int Fill(const std::string& account, std::uint32_t weight) {
    int taken = 0;
    while (taken < 1000 && limiter.TryAcquire(account, weight)) {
      ++taken;
    }
    return taken;
  }
};

// Guards against one account that fills the entry so that others are refused.
BOOST_FIXTURE_TEST_CASE(FullEntryHoldsAnAccountToItsShare, fixture) {
  BOOST_TEST(limiter.TryAcquire("small", 1));
  BOOST_TEST(Fill("big", 1) == 80);
  BOOST_TEST(Fill("small", 1) == 49);
  BOOST_TEST(!limiter.TryAcquire("big", 1));
  BOOST_TEST(limiter.TryAcquire("third", 1));
}

// Guards against weights without effect: three times the weight is three times the share.
BOOST_FIXTURE_TEST_CASE(ShareFollowsTheWeight, fixture) {
  BOOST_TEST(Fill("heavy", 3) == 100);
  BOOST_TEST(Fill("light", 1) == 25);
}

// Guards against places that are not given back, and against a limit while there is room.
BOOST_FIXTURE_TEST_CASE(ReleasedPlacesCountNoMore, fixture) {
  BOOST_TEST(Fill("only", 1) == 100);
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
