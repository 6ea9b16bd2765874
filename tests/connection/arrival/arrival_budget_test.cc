#include "berylbarrow/connection/arrival/arrival_budget.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace berylbarrow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr arrival_budget_options kOptions{
    .max_bytes = 1000, .small_share = 0.2, .small_bytes = 50, .address_share = 0.6};
constexpr listener_id kCallers = 1;

/// A connection that records that it has to yield.
class holder final : public arrival_holder {
 public:
  holder(arrival_budget& budget, const std::string& address, time_point now,
         listener_id listener = kCallers)
      : budget_(budget), id_(budget.Add(*this, address, listener, now)) {}
  ~holder() override { budget_.Remove(id_); }
  holder(const holder&) = delete;
  holder& operator=(const holder&) = delete;

  void Yield(yield_reason reason) override { reason_ = reason; }
  bool Hold(std::size_t bytes, time_point now, holder_phase phase = holder_phase::kArriving) {
    return budget_.Update(id_, {.phase = phase, .bytes = bytes}, bytes, now);
  }
  bool Yielded() const { return reason_.has_value(); }

 private:
  arrival_budget& budget_;
  holder_id id_;
  std::optional<yield_reason> reason_;
};

const time_point kStart{std::chrono::hours(1)};

// Many bodies that stop short of their end: the one that holds most for longest yields.
BOOST_AUTO_TEST_CASE(the_largest_request_without_progress_yields) {
  arrival_budget budget(kOptions);
  holder small(budget, "a", kStart);
  holder stalled(budget, "a", kStart);
  holder active(budget, "a", kStart);
  BOOST_TEST(small.Hold(60, kStart));
  BOOST_TEST(stalled.Hold(300, kStart));
  BOOST_TEST(active.Hold(200, kStart + seconds(2)));
  BOOST_TEST(active.Hold(290, kStart + seconds(2)));
  BOOST_TEST(stalled.Yielded());
  BOOST_TEST(!small.Yielded());
  BOOST_TEST(budget.HeldBytes() == 350U);
}

// A crowd behind one address must not take the room of callers elsewhere.
BOOST_AUTO_TEST_CASE(the_address_that_holds_most_yields_first) {
  arrival_budget budget(kOptions);
  holder other(budget, "b", kStart);
  holder first(budget, "a", kStart);
  holder second(budget, "a", kStart);
  BOOST_TEST(other.Hold(290, kStart));
  BOOST_TEST(first.Hold(250, kStart + seconds(1)));
  BOOST_TEST(second.Hold(250, kStart + seconds(1)));
  BOOST_TEST(other.Hold(310, kStart + seconds(1)));
  BOOST_TEST(!other.Yielded());
  BOOST_TEST((first.Yielded() != second.Yielded()));
  // Within its own share the address has no claim on the others.
  holder third(budget, "a", kStart);
  BOOST_TEST(third.Hold(240, kStart + seconds(1)));
  BOOST_TEST(!third.Hold(500, kStart + seconds(1)));
  BOOST_TEST(!other.Yielded());
}

// Whole bodies for a slow upstream fill the budget: they cannot yield, and small requests go on.
BOOST_AUTO_TEST_CASE(small_requests_have_room_beside_large_ones_that_run) {
  arrival_budget budget(kOptions);
  holder running(budget, "a", kStart);
  holder arriving(budget, "b", kStart);
  holder ordinary(budget, "a", kStart);
  BOOST_TEST(running.Hold(600, kStart));
  BOOST_TEST(running.Hold(700, kStart, holder_phase::kRunning));
  BOOST_TEST(!arriving.Hold(200, kStart));
  BOOST_TEST(!running.Yielded());
  BOOST_TEST(ordinary.Hold(50, kStart));
}

// Very many small requests must not be pushed out by one large one, but push out each other.
BOOST_AUTO_TEST_CASE(a_large_request_does_not_push_out_small_ones) {
  arrival_budget budget(kOptions);
  std::vector<std::unique_ptr<holder>> crowd;
  for (int i = 0; i < 19; ++i) {
    crowd.push_back(std::make_unique<holder>(budget, "a", kStart));
    BOOST_TEST(crowd.back()->Hold(50, kStart + milliseconds(i)));
  }
  holder large(budget, "b", kStart);
  BOOST_TEST(!large.Hold(100, kStart + seconds(1)));
  holder first(budget, "b", kStart);
  holder second(budget, "b", kStart);
  BOOST_TEST(first.Hold(50, kStart + seconds(1)));
  BOOST_TEST(second.Hold(50, kStart + seconds(1)));
  BOOST_TEST(crowd.front()->Yielded());
  BOOST_TEST(budget.HeldBytes() == 1000U);
}

// Answers that are not read count as well, and yield like requests.
BOOST_AUTO_TEST_CASE(answers_that_are_not_read_yield) {
  arrival_budget budget(kOptions);
  holder unread(budget, "a", kStart);
  holder arriving(budget, "a", kStart);
  BOOST_TEST(unread.Hold(400, kStart, holder_phase::kUnread));
  BOOST_TEST(arriving.Hold(300, kStart + seconds(1)));
  BOOST_TEST(unread.Yielded());
}

// Connections without requests keep others out: the one that is idle for longest is closed.
BOOST_AUTO_TEST_CASE(the_place_of_the_longest_idle_connection_is_taken) {
  arrival_budget budget(kOptions);
  holder elsewhere(budget, "a", kStart, kCallers + 1);
  holder running(budget, "a", kStart);
  holder idle(budget, "a", kStart + seconds(1));
  holder newer(budget, "a", kStart + seconds(2));
  BOOST_TEST(running.Hold(10, kStart, holder_phase::kRunning));
  BOOST_TEST(budget.YieldPlace(kCallers));
  BOOST_TEST(idle.Yielded());
  BOOST_TEST(budget.YieldPlace(kCallers));
  BOOST_TEST(newer.Yielded());
  BOOST_TEST(!budget.YieldPlace(kCallers));
  BOOST_TEST(!elsewhere.Yielded());
  BOOST_TEST(!running.Yielded());
}

}  // namespace
}  // namespace berylbarrow
