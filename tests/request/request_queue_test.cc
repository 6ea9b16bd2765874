#include "berylbarrow/request/admission/request_queue.h"

#include <boost/test/unit_test.hpp>

namespace berylbarrow {
namespace {

using std::chrono::milliseconds;

constexpr time_point kStart{std::chrono::hours(1)};

queued_request Queued(queued_request_id id, const std::string& account, std::uint32_t priority,
                      duration arrival) {
  return {.id = id,
          .account = account,
          .urgency = {.priority = priority},
          .arrival = kStart + arrival,
          .on_time_until = kStart + arrival + milliseconds(350),
          .dispatch_deadline = kStart + arrival + milliseconds(1600)};
}

BOOST_AUTO_TEST_CASE(HigherPriorityGoesFirst) {
  request_queue queue(10);
  queue.Push(Queued(1, "a", 2, milliseconds(0)));
  queue.Push(Queued(2, "a", 1, milliseconds(5)));
  BOOST_TEST(queue.Next(kStart + milliseconds(10)).value() == 2U);
}

// Guards against serving a burst in order of arrival: when requests arrive faster than upstream
// capacity becomes free, every request would be dispatched too late.
BOOST_AUTO_TEST_CASE(RequestsThatCanBeOnTimeGoBeforeLateOnes) {
  request_queue queue(1000);
  for (queued_request_id id = 0; id < 100; ++id) {
    queue.Push(Queued(id, "a", 1, milliseconds(10 * id)));
  }
  int on_time = 0;
  for (int turn = 0; turn < 50; ++turn) {
    const time_point now = kStart + milliseconds(1000 + 10 * turn);
    const queued_request_id next = queue.Next(now).value();
    on_time += now <= kStart + milliseconds(10 * next + 350) ? 1 : 0;
    queue.OnDispatched(next);
  }
  // At the first dispatch, 35 requests can still be on time. With one dispatch every 10 ms, all 35
  // of them are.
  BOOST_TEST(on_time >= 34);
}

// Guards against an account that sends most of the load and makes the others wait.
BOOST_AUTO_TEST_CASE(AccountsAreServedRoundRobin) {
  request_queue queue(100);
  for (queued_request_id id = 0; id < 20; ++id) queue.Push(Queued(id, "large", 1, milliseconds(0)));
  queue.Push(Queued(50, "small", 1, milliseconds(1)));
  const time_point now = kStart + milliseconds(10);
  const queued_request_id first = queue.Next(now).value();
  queue.OnDispatched(first);
  BOOST_TEST(queue.Next(now).value() == 50U);
}

BOOST_AUTO_TEST_CASE(SkippedRequestsAreNotReturned) {
  request_queue queue(10);
  queue.Push(Queued(1, "a", 1, milliseconds(0)));
  queue.Push(Queued(2, "a", 1, milliseconds(1)));
  BOOST_TEST(queue.Next(kStart, {1}).value() == 2U);
  BOOST_TEST(!queue.Next(kStart, {1, 2}).has_value());
}

BOOST_AUTO_TEST_CASE(ExpiredRequestsAreReturnedOnce) {
  request_queue queue(10);
  queue.Push(Queued(1, "a", 1, milliseconds(0)));
  queue.Push(Queued(2, "a", 1, milliseconds(500)));
  BOOST_TEST(queue.TakeExpired(kStart + milliseconds(1600)) == std::vector<queued_request_id>{1});
  BOOST_TEST(queue.TakeExpired(kStart + milliseconds(1600)).empty());
  BOOST_TEST(queue.Size() == 1U);
}

BOOST_AUTO_TEST_CASE(FullQueueRejectsRequests) {
  request_queue queue(1);
  BOOST_TEST(queue.Push(Queued(1, "a", 1, milliseconds(0))));
  BOOST_TEST(!queue.Push(Queued(2, "a", 1, milliseconds(0))));
}

// Guards against urgent requests that are late anyway taking the places of others that are not.
BOOST_AUTO_TEST_CASE(LateRequestsYieldToLessUrgentOnesThatCanBeOnTime) {
  request_queue queue(10);
  queue.Push(Queued(1, "a", 0, milliseconds(0)));
  queue.Push(Queued(2, "a", 2, milliseconds(300)));
  const time_point now = kStart + milliseconds(400);
  BOOST_TEST(queue.Next(now).value() == 1U);
  queue.SetLateYields(true);
  BOOST_TEST(queue.Next(now).value() == 2U);
  BOOST_TEST(queue.CountUpTo({.priority = 0}) == 1U);
  BOOST_TEST(queue.CountUpTo({.priority = 2}) == 2U);
}

// Guards against accounts of equal priority hiding which of their requests are urgent.
BOOST_AUTO_TEST_CASE(RoutesDecideAmongAccountsOfEqualPriority) {
  request_queue queue(10);
  queued_request batch = Queued(1, "a", 1, milliseconds(0));
  batch.urgency.route_priority = 2;
  queue.Push(batch);
  queue.Push(Queued(2, "b", 1, milliseconds(5)));
  queue.Push(Queued(3, "c", 2, milliseconds(0)));
  BOOST_TEST(queue.Next(kStart + milliseconds(10)).value() == 2U);
  BOOST_TEST(queue.Next(kStart + milliseconds(10), {2}).value() == 1U);
}

}  // namespace
}  // namespace berylbarrow
