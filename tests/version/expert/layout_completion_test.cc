#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "berylbarrow/version/expert/rank_layout.h"

namespace berylbarrow {
namespace {

constexpr group_shape kShape{.ranks = 4, .layers = 2, .experts = 10, .slots_per_rank = 3};

/// Ranks 0 to 3 hold 3, 3, 3 and 1 experts in each layer.
rank_layout WholeLayout() {
  rank_layout layout(kShape);
  for (std::uint32_t layer = 0; layer < kShape.layers; ++layer) {
    layout.Set(layer, 0, {0, 1, 2});
    layout.Set(layer, 1, {3, 4, 5});
    layout.Set(layer, 2, {6, 7, 8});
    layout.Set(layer, 3, {9});
  }
  return layout;
}

BOOST_AUTO_TEST_CASE(a_layout_around_a_rank_leaves_it_its_experts) {
  for (std::uint32_t rank = 0; rank < kShape.ranks; ++rank) {
    const std::vector<std::vector<expert_index>> lists{{7, 2, 4}, {0}};
    const rank_layout layout = LayoutAround(kShape, rank, lists);
    BOOST_TEST(layout.IsSound());
    for (std::uint32_t layer = 0; layer < kShape.layers; ++layer) {
      BOOST_TEST((layout.At(layer, rank) == lists[layer]));
    }
  }
}

BOOST_AUTO_TEST_CASE(a_layout_around_a_list_with_unknown_experts_is_not_sound) {
  BOOST_TEST(!LayoutAround(kShape, 1, {{7, 10}, {0}}).IsSound());
  const group_shape unknown{.ranks = 4, .layers = 2, .experts = 0, .slots_per_rank = 0};
  BOOST_TEST(!LayoutAround(unknown, 1, {{7}, {0}}).IsSound());
}

BOOST_AUTO_TEST_CASE(a_whole_layout_is_left_as_it_is) {
  BOOST_TEST((CompleteLayout(WholeLayout(), 1) == WholeLayout()));
}

// Ranks with different maps in use: an expert that has moved from one rank to another is on none of
// them, or on both.
BOOST_AUTO_TEST_CASE(a_missing_expert_goes_to_a_rank_with_room) {
  rank_layout layout = WholeLayout();
  layout.Set(0, 1, {3, 4});
  const auto completed = CompleteLayout(layout, 1);
  BOOST_TEST_REQUIRE(completed.has_value());
  BOOST_TEST(completed->IsSound());
  BOOST_TEST((completed->At(0, 3) == std::vector<expert_index>{9, 5}));
  BOOST_TEST(LongestCopy(layout, *completed) == 1U);
}

BOOST_AUTO_TEST_CASE(a_missing_expert_takes_the_slot_of_one_that_others_hold) {
  rank_layout layout = WholeLayout();
  layout.Set(1, 1, {3, 4, 0});
  layout.Set(1, 3, {9, 6, 7});
  const auto completed = CompleteLayout(layout, 1);
  BOOST_TEST_REQUIRE(completed.has_value());
  BOOST_TEST(completed->IsSound());
}

BOOST_AUTO_TEST_CASE(no_layout_is_made_where_the_ranks_would_have_to_copy_too_much) {
  rank_layout layout = WholeLayout();
  for (const std::uint32_t rank : {0U, 1U, 2U}) layout.Set(0, rank, {0, 1, 2});
  layout.Set(0, 3, {});
  BOOST_TEST(!CompleteLayout(layout, 1).has_value());
  BOOST_TEST(CompleteLayout(layout, 3).has_value());
}

}  // namespace
}  // namespace berylbarrow
