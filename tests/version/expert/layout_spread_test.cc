#include "berylbarrow/version/expert/layout_spread.h"

#include <boost/test/unit_test.hpp>
#include <numeric>
#include <set>

namespace berylbarrow {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kLayoutBytes = 2'900;  // 12 layers of 128 experts on 32 ranks
const time_point kStart{std::chrono::hours(1)};

std::vector<std::uint32_t> Ranks(std::uint32_t count) {
  std::vector<std::uint32_t> ranks(count);
  std::iota(ranks.begin(), ranks.end(), 1U);
  return ranks;
}

// Pattern: a group of 32 ranks behind links of 8 Mbit/s. Sent at once, the layout reached only the
// first 18 ranks, and no map was ever switched.
BOOST_AUTO_TEST_CASE(every_rank_of_a_large_group_gets_its_turn_within_the_rate_of_the_link) {
  layout_spread spread({});
  spread.Begin(kStart);
  std::set<std::uint32_t> reached;
  double sent = 0;
  for (time_point now = kStart; now < kStart + milliseconds(160); now += milliseconds(8)) {
    for (const std::uint32_t rank : spread.Next(Ranks(31), kLayoutBytes, now)) {
      reached.insert(rank);
      sent += kLayoutBytes;
    }
    const double elapsed = std::chrono::duration<double>(now - kStart).count();
    BOOST_TEST(sent <= 12'000 + kLayoutBytes + 700'000 * elapsed);
  }
  BOOST_TEST(reached.size() == 31U);
}

BOOST_AUTO_TEST_CASE(a_small_group_is_told_at_once) {
  layout_spread spread({});
  spread.Begin(kStart);
  BOOST_TEST(spread.Next(Ranks(7), 700, kStart).size() == 7U);
  BOOST_TEST(spread.Next(Ranks(7), 700, kStart + milliseconds(8)).empty());
}

BOOST_AUTO_TEST_CASE(a_rank_that_still_lacks_the_layout_gets_it_again) {
  layout_spread spread({});
  spread.Begin(kStart);
  spread.Next(Ranks(7), 700, kStart);
  const std::vector<std::uint32_t> again = spread.Next({5}, 700, kStart + milliseconds(200));
  BOOST_TEST((again == std::vector<std::uint32_t>{5}));
}

}  // namespace
}  // namespace berylbarrow
