#include "berylbarrow/request/admission/fair_queue.h"

#include <boost/test/unit_test.hpp>

namespace berylbarrow {
namespace {

constexpr time_point kFarDeadline = time_point(std::chrono::hours(2));

std::string DrainOrder(fair_queue& queue) {
  std::string order;
  for (const queued_execution& item : queue.Clear()) {
    order += item.account;
  }
  return order;
}

// Guards against an account with many requests that makes another account wait behind all of them.
BOOST_AUTO_TEST_CASE(AccountsShareByWeight) {
  fair_queue queue(100);
  for (execution_id id = 1; id <= 6; ++id) {
    queue.Push({.execution = id, .account = "a", .weight = 2, .deadline = kFarDeadline});
  }
  for (execution_id id = 7; id <= 9; ++id) {
    queue.Push({.execution = id, .account = "b", .weight = 1, .deadline = kFarDeadline});
  }
  BOOST_TEST(DrainOrder(queue) == "aabaabaab");
}

// Guards against an account that accumulates credit while it is idle and then overtakes the others.
BOOST_AUTO_TEST_CASE(IdleTimeEarnsNoCredit) {
  fair_queue queue(100);
  for (execution_id id = 1; id <= 8; ++id) {
    queue.Push({.execution = id, .account = "a", .deadline = kFarDeadline});
  }
  for (int i = 0; i < 4; ++i) {
    queue.Pop();
  }
  for (execution_id id = 9; id <= 12; ++id) {
    queue.Push({.execution = id, .account = "b", .deadline = kFarDeadline});
  }
  BOOST_TEST(DrainOrder(queue) == "abababab");
}

// Guards against a high-priority request that waits behind lower-priority ones of its account.
BOOST_AUTO_TEST_CASE(PriorityOrdersWithinAnAccount) {
  fair_queue queue(100);
  queue.Push({.execution = 1, .account = "a", .priority = 0, .deadline = kFarDeadline});
  queue.Push({.execution = 2, .account = "a", .priority = 5, .deadline = kFarDeadline});
  queue.Push({.execution = 3, .account = "a", .priority = 5, .deadline = kFarDeadline});
  BOOST_TEST(queue.Pop()->execution == 2U);
  BOOST_TEST(queue.Pop()->execution == 3U);
  BOOST_TEST(queue.Pop()->execution == 1U);
}

// Guards against a queue that grows without bound or keeps requests whose deadline has passed.
BOOST_AUTO_TEST_CASE(QueueEnforcesCapacityAndDeadlines) {
  fair_queue queue(2);
  const time_point now{std::chrono::hours(1)};
  BOOST_TEST(queue.Push({.execution = 1, .account = "a", .deadline = now}));
  BOOST_TEST(queue.Push({.execution = 2, .account = "b", .deadline = kFarDeadline}));
  BOOST_TEST(!queue.Push({.execution = 3, .account = "c", .deadline = kFarDeadline}));
  BOOST_TEST((queue.NextDeadline() == now));
  const auto expired = queue.Expire(now);
  BOOST_TEST_REQUIRE(expired.size() == 1U);
  BOOST_TEST(expired[0].execution == 1U);
  BOOST_TEST(queue.Remove(2));
  BOOST_TEST(queue.Size() == 0U);
}

// Guards against an account that fills the queue and starves accounts that are below their share.
BOOST_AUTO_TEST_CASE(FullQueueEvictsFromTheAccountOverItsShare) {
  fair_queue queue(3);
  for (execution_id id = 1; id <= 3; ++id) {
    queue.Push({.execution = id, .account = "hot", .weight = 1});
  }
  BOOST_REQUIRE(queue.EvictionCandidate("small", 1) != nullptr);
  BOOST_TEST(queue.EvictionCandidate("small", 1)->execution == 3U);
  BOOST_TEST((queue.EvictionCandidate("hot", 1) == nullptr));
  queue.Remove(3);
  queue.Push({.execution = 4, .account = "small", .weight = 1});
  BOOST_TEST((queue.EvictionCandidate("small", 1) == nullptr));
}

}  // namespace
}  // namespace berylbarrow
