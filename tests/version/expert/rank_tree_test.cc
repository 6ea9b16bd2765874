#include "berylbarrow/version/expert/rank_tree.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

#include "berylbarrow/version/expert/layout_spread.h"

namespace berylbarrow {
namespace {

using std::chrono::milliseconds;

const time_point kStart{std::chrono::hours(1)};
constexpr std::size_t kLayoutBytes = 6'400;      // 16 layers of 192 experts on 96 ranks
constexpr double kLinkBytesPerSecond = 500'000;  // what other messages leave of 6 Mbit/s
constexpr duration kTick = milliseconds(24);

/// Time until each rank has been sent the layout, through relays or by the coordinator alone.
std::map<std::uint32_t, duration> SpreadLayout(std::uint32_t ranks, bool with_relays) {
  const rank_tree tree(ranks);
  std::map<std::uint32_t, layout_spread> senders;
  std::map<std::uint32_t, std::vector<std::uint32_t>> waiting;
  for (std::uint32_t rank = 1; rank < ranks; ++rank) {
    waiting[with_relays ? tree.ParentOf(rank) : 0].push_back(rank);
  }
  std::map<std::uint32_t, duration> reached{{0, duration::zero()}};
  for (time_point now = kStart; now < kStart + std::chrono::seconds(4); now += kTick) {
    for (auto& [sender, receivers] : waiting) {
      if (reached.count(sender) == 0) continue;
      const auto [spread, is_new] = senders.try_emplace(
          sender, layout_spread_options{.bytes_per_second = kLinkBytesPerSecond});
      if (is_new) spread->second.Begin(now);
      for (const std::uint32_t rank : spread->second.Next(receivers, kLayoutBytes, now)) {
        std::erase(receivers, rank);
        reached[rank] = now - kStart;
      }
    }
  }
  return reached;
}

duration Slowest(const std::map<std::uint32_t, duration>& reached) {
  return std::max_element(
             reached.begin(), reached.end(),
             [](const auto& left, const auto& right) { return left.second < right.second; })
      ->second;
}

BOOST_AUTO_TEST_CASE(small_groups_have_no_relays) {
  for (const std::uint32_t ranks : {1U, 8U, 12U, 16U}) {
    const rank_tree tree(ranks);
    for (std::uint32_t rank = 0; rank < ranks; ++rank) {
      BOOST_TEST(!tree.IsRelay(rank));
      BOOST_TEST(tree.ParentOf(rank) == 0U);
    }
    BOOST_TEST(tree.ChildrenOf(0).size() == ranks - 1);
  }
}

BOOST_AUTO_TEST_CASE(every_rank_has_one_path_and_no_process_many_children) {
  for (const std::uint32_t ranks : {17U, 24U, 32U, 96U, 128U}) {
    const rank_tree tree(ranks);
    std::multiset<std::uint32_t> found;
    for (std::uint32_t rank = 0; rank < ranks; ++rank) {
      const auto children = tree.ChildrenOf(rank);
      if (rank != 0 && !tree.IsRelay(rank)) BOOST_TEST(children.empty());
      BOOST_TEST(children.size() * children.size() <= 4 * (ranks + 2 * children.size()));
      found.insert(children.begin(), children.end());
    }
    BOOST_TEST(found.size() == ranks - 1);
    BOOST_TEST((std::set<std::uint32_t>(found.begin(), found.end()).size() == ranks - 1));
  }
}

// Pattern: a group of 96 ranks behind links of 6 Mbit/s on a calm day. The coordinator alone took
// longer to spread a layout than the demand stayed the same, and no map ever came into use.
BOOST_AUTO_TEST_CASE(a_layout_reaches_96_ranks_within_400_ms) {
  const auto reached = SpreadLayout(96, true);
  BOOST_TEST(reached.size() == 96U);
  BOOST_TEST((Slowest(reached) <= milliseconds(400)));
  BOOST_TEST((Slowest(SpreadLayout(96, false)) > milliseconds(1000)));
}

}  // namespace
}  // namespace berylbarrow
