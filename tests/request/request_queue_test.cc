#include "berylbarrow/request/admission/request_queue.h"

#include <boost/test/unit_test.hpp>

namespace berylbarrow {
namespace {

using std::chrono::milliseconds;

constexpr time_point kStart{std::chrono::hours(1)};

queued_request Waiting(queued_request_id id, const std::string& account, std::uint32_t priority,
                       duration arrival) {
  return {.id = id,
          .account = account,
          .priority = priority,
          .arrival = kStart + arrival,
          .on_time_until = kStart + arrival + milliseconds(350),
          .dispatch_deadline = kStart + arrival + milliseconds(1600)};
}

BOOST_AUTO_TEST_CASE(urgent_requests_go_first) {
  request_queue line(10);
  line.Push(Waiting(1, "a", 2, milliseconds(0)));
  line.Push(Waiting(2, "a", 1, milliseconds(5)));
  BOOST_TEST(line.Next(kStart + milliseconds(10)).value() == 2U);
}

// Pattern: a burst that is longer than the places that come free. Serving in order of arrival makes
// everyone late; those that can still be on time go first.
BOOST_AUTO_TEST_CASE(in_a_burst_requests_that_can_be_on_time_go_before_late_ones) {
  request_queue line(1000);
  for (queued_request_id id = 0; id < 100; ++id) {
    line.Push(Waiting(id, "a", 1, milliseconds(10 * id)));
  }
  int on_time = 0;
  for (int turn = 0; turn < 50; ++turn) {
    const time_point now = kStart + milliseconds(1000 + 10 * turn);
    const queued_request_id next = line.Next(now).value();
    on_time += now <= kStart + milliseconds(10 * next + 350) ? 1 : 0;
    line.OnDispatched(next);
  }
  // 35 are still on time when the first place comes free; a place every 10 ms serves 35 of them.
  BOOST_TEST(on_time >= 34);
}

// Pattern: one account sends most of the load.
BOOST_AUTO_TEST_CASE(accounts_take_turns) {
  request_queue line(100);
  for (queued_request_id id = 0; id < 20; ++id) line.Push(Waiting(id, "large", 1, milliseconds(0)));
  line.Push(Waiting(50, "small", 1, milliseconds(1)));
  const time_point now = kStart + milliseconds(10);
  const queued_request_id first = line.Next(now).value();
  line.OnDispatched(first);
  BOOST_TEST(line.Next(now).value() == 50U);
}

BOOST_AUTO_TEST_CASE(a_request_that_has_to_wait_for_something_else_is_passed_over) {
  request_queue line(10);
  line.Push(Waiting(1, "a", 1, milliseconds(0)));
  line.Push(Waiting(2, "a", 1, milliseconds(1)));
  BOOST_TEST(line.Next(kStart, {1}).value() == 2U);
  BOOST_TEST(!line.Next(kStart, {1, 2}).has_value());
}

BOOST_AUTO_TEST_CASE(hopeless_requests_are_taken_out_once) {
  request_queue line(10);
  line.Push(Waiting(1, "a", 1, milliseconds(0)));
  line.Push(Waiting(2, "a", 1, milliseconds(500)));
  BOOST_TEST(line.TakeExpired(kStart + milliseconds(1600)) == std::vector<queued_request_id>{1});
  BOOST_TEST(line.TakeExpired(kStart + milliseconds(1600)).empty());
  BOOST_TEST(line.Size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_full_line_takes_no_more) {
  request_queue line(1);
  BOOST_TEST(line.Push(Waiting(1, "a", 1, milliseconds(0))));
  BOOST_TEST(!line.Push(Waiting(2, "a", 1, milliseconds(0))));
}

}  // namespace
}  // namespace berylbarrow
