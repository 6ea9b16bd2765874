#include "berylbarrow/version/expert/rank_layout.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>

#include "berylbarrow/version/expert/layout_chooser.h"

namespace berylbarrow {
namespace {

constexpr group_shape kShape{.ranks = 8, .layers = 6, .experts = 64, .slots_per_rank = 11};

rank_layout InTurn(const group_shape& shape) {
  rank_layout layout(shape);
  for (std::uint32_t layer = 0; layer < shape.layers; ++layer) {
    for (std::uint32_t rank = 0; rank < shape.ranks; ++rank) {
      std::vector<expert_index> experts;
      for (std::uint32_t expert = rank; expert < shape.experts; expert += shape.ranks) {
        experts.push_back(static_cast<expert_index>(expert));
      }
      layout.Set(layer, rank, experts);
    }
  }
  return layout;
}

rank_layout Plan(const rank_layout& current, const group_work& work, std::size_t max_new_per_rank) {
  layout_planner planner(current, work, {.max_new_per_layer = 4});
  planner.Extend(max_new_per_rank);
  return planner.Layout();
}

/// Few experts carry most of the load, others in each layer.
expert_load SkewedLoad(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  expert_load load(std::size_t{kShape.layers} * kShape.experts);
  for (double& each : load) {
    each = 1 / std::pow(1 + static_cast<double>(random() % kShape.experts), 1.5);
  }
  return load;
}

// Pattern: demand moves to a few experts.
BOOST_AUTO_TEST_CASE(a_plan_brings_the_skew_near_one_within_the_copies_allowed) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    const rank_layout current = InTurn(kShape);
    const group_work work{.load = SkewedLoad(seed)};
    const rank_layout planned = Plan(current, work, 18);
    BOOST_TEST(planned.IsSound());
    BOOST_TEST(LongestCopy(current, planned) <= 18U);
    BOOST_TEST(PassSkew(current, work) > 1.5);
    BOOST_TEST(PassSkew(planned, work) < 1.2);
  }
}

// Pattern: one replica turns slow and sets the pace of its group.
BOOST_AUTO_TEST_CASE(a_slow_rank_gives_its_work_to_the_others) {
  const rank_layout current = InTurn(kShape);
  group_work work{.load = expert_load(std::size_t{kShape.layers} * kShape.experts, 1.0)};
  work.pace = {4, 1, 1, 1, 1, 1, 1, 1};
  rank_layout planned = current;
  for (int round = 0; round < 3; ++round) {
    planned = Plan(planned, work, 18);
  }
  BOOST_TEST(planned.IsSound());
  BOOST_TEST(PassSkew(current, work) > 3.9);
  BOOST_TEST(PassSkew(planned, work) < 1.6);
}

// Pattern: the coordinator weighs plans with few and with many copies of the same demand.
BOOST_AUTO_TEST_CASE(a_plan_that_is_extended_keeps_its_bounds_and_improves) {
  const rank_layout current = InTurn(kShape);
  const group_work work{.load = SkewedLoad(5)};
  layout_planner planner(current, work, {.max_new_per_layer = 4});
  double before = PassSkew(current, work);
  for (const std::size_t limit : {1U, 2U, 4U, 11U}) {
    planner.Extend(limit);
    const rank_layout planned = planner.Layout();
    BOOST_TEST(planned.IsSound());
    BOOST_TEST(LongestCopy(current, planned) <= limit);
    BOOST_TEST(PassSkew(planned, work) <= before);
    before = PassSkew(planned, work);
  }
}

BOOST_AUTO_TEST_CASE(an_even_load_is_left_alone) {
  const rank_layout current = InTurn(kShape);
  const group_work work{.load = expert_load(std::size_t{kShape.layers} * kShape.experts, 1.0)};
  BOOST_TEST((Plan(current, work, 6) == current));
  BOOST_TEST(!ChooseLayout(current, work, {}).has_value());
}

BOOST_AUTO_TEST_CASE(a_gain_below_its_copies_is_not_taken) {
  const rank_layout current = InTurn(kShape);
  const group_work work{.load = SkewedLoad(3)};
  BOOST_TEST(ChooseLayout(current, work, {}).has_value());
  BOOST_TEST(!ChooseLayout(current, work, {.copy_seconds = 10}).has_value());
  BOOST_TEST(!ChooseLayout(current, work, {.switch_seconds = 5}).has_value());
}

BOOST_AUTO_TEST_CASE(a_layout_without_an_expert_is_not_sound) {
  rank_layout layout = InTurn(kShape);
  BOOST_TEST(layout.IsSound());
  layout.Set(0, 0, {8, 16});
  BOOST_TEST(!layout.IsSound());
  layout.Set(0, 0, {0, 0, 8, 16, 24, 32, 40, 48, 56});
  BOOST_TEST(!layout.IsSound());
}

BOOST_AUTO_TEST_CASE(rates_follow_counters_and_begin_anew_after_a_restart) {
  rate_average rates(std::chrono::milliseconds(300));
  time_point now{std::chrono::hours(1)};
  rates.Observe({0, 100}, now);
  for (int i = 1; i <= 20; ++i) {
    now += std::chrono::milliseconds(150);
    rates.Observe({static_cast<std::uint64_t>(15 * i), 100}, now);
  }
  BOOST_TEST(rates.PerSecond()[0] == 100.0, boost::test_tools::tolerance(0.02));
  BOOST_TEST(rates.PerSecond()[1] == 0.0);
  rates.Observe({1, 0}, now + std::chrono::milliseconds(150));
  BOOST_TEST(rates.PerSecond()[0] == 0.0);
}

// Pattern: all processes lose power and start again beside engines that have counted for long.
BOOST_AUTO_TEST_CASE(counters_found_at_the_start_stand_for_the_demand_until_something_is_counted) {
  rate_average rates(std::chrono::milliseconds(300));
  BOOST_TEST(rates.Demand().empty());
  time_point now{std::chrono::hours(1)};
  rates.Observe({300, 100}, now);
  BOOST_TEST(rates.Demand()[0] == 0.75);
  rates.Observe({300, 100}, now + std::chrono::milliseconds(150));
  BOOST_TEST(rates.Demand()[0] == 0.75);
  rates.Observe({300, 130}, now + std::chrono::milliseconds(300));
  BOOST_TEST(rates.Demand()[0] == 0.0);
  BOOST_TEST(rates.Demand()[1] > 0.0);
}

}  // namespace
}  // namespace berylbarrow
