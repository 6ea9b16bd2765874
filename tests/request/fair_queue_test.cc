#include "berylbarrow/request/admission/fair_queue.h"

#include <boost/test/unit_test.hpp>

namespace berylbarrow {
namespace {

constexpr time_point kLater = time_point(std::chrono::hours(2));

std::string Order(fair_queue& queue) {
  std::string order;
  for (const queued_execution& work : queue.Clear()) {
    order += work.account;
  }
  return order;
}

// Guards against a large account that makes a small one wait behind all of its work.
BOOST_AUTO_TEST_CASE(AccountsShareByWeight) {
  fair_queue queue(100);
  for (execution_id id = 1; id <= 6; ++id) {
    queue.Push({.execution = id, .account = "a", .weight = 2, .deadline = kLater});
  }
  for (execution_id id = 7; id <= 9; ++id) {
    queue.Push({.execution = id, .account = "b", .weight = 1, .deadline = kLater});
  }
  BOOST_TEST(Order(queue) == "aabaabaab");
}

// Guards against an account that saves up a claim while it has nothing to do.
BOOST_AUTO_TEST_CASE(IdleTimeEarnsNoCredit) {
  fair_queue queue(100);
  for (execution_id id = 1; id <= 8; ++id) {
    queue.Push({.execution = id, .account = "a", .deadline = kLater});
  }
  for (int i = 0; i < 4; ++i) {
    queue.Pop();
  }
  for (execution_id id = 9; id <= 12; ++id) {
    queue.Push({.execution = id, .account = "b", .deadline = kLater});
  }
  BOOST_TEST(Order(queue) == "abababab");
}

// Guards against urgent work that waits behind other work of its account.
BOOST_AUTO_TEST_CASE(PriorityOrdersWithinAnAccount) {
  fair_queue queue(100);
  queue.Push({.execution = 1, .account = "a", .priority = 0, .deadline = kLater});
  queue.Push({.execution = 2, .account = "a", .priority = 5, .deadline = kLater});
  queue.Push({.execution = 3, .account = "a", .priority = 5, .deadline = kLater});
  BOOST_TEST(queue.Pop()->execution == 2U);
  BOOST_TEST(queue.Pop()->execution == 3U);
  BOOST_TEST(queue.Pop()->execution == 1U);
}

// Guards against a queue that grows without bound or keeps work that nobody waits for.
BOOST_AUTO_TEST_CASE(QueueIsBoundedInLengthAndTime) {
  fair_queue queue(2);
  const time_point now{std::chrono::hours(1)};
  BOOST_TEST(queue.Push({.execution = 1, .account = "a", .deadline = now}));
  BOOST_TEST(queue.Push({.execution = 2, .account = "b", .deadline = kLater}));
  BOOST_TEST(!queue.Push({.execution = 3, .account = "c", .deadline = kLater}));
  BOOST_TEST((queue.NextDeadline() == now));
  const auto expired = queue.Expire(now);
  BOOST_TEST_REQUIRE(expired.size() == 1U);
  BOOST_TEST(expired[0].execution == 1U);
  BOOST_TEST(queue.Remove(2));
  BOOST_TEST(queue.Size() == 0U);
}

// Guards against an account that fills the queue and shuts out accounts below their share.
BOOST_AUTO_TEST_CASE(FullQueueGivesUpWorkOfTheAccountOverItsShare) {
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
