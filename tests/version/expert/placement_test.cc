#include <boost/test/unit_test.hpp>
#include <random>

#include "berylbarrow/version/expert/placement_policy.h"
#include "berylbarrow/version/expert/rebalancer.h"

namespace berylbarrow {
namespace {

constexpr group_shape kShape{.ranks = 8, .layers = 2, .experts = 32, .slots_per_rank = 5};
constexpr std::size_t kManyMoves = 1000;

expert_load RandomLoad(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::lognormal_distribution<double> popularity(0.0, 0.8);
  expert_load load(std::size_t{kShape.layers} * kShape.experts);
  for (double& value : load) {
    value = 100 * popularity(random);
  }
  return load;
}

// Guards against a map that leaves an expert without a slot, or exceeds the moves it was allowed.
BOOST_AUTO_TEST_CASE(IncrementalMapsAreCompleteAndWithinTheirMoves) {
  const incremental_placement policy(incremental_options{});
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    const expert_map current = expert_map::Initial(kShape);
    const std::size_t max_moves = seed % 20;
    const expert_map proposed = policy.Propose(current, RandomLoad(seed), max_moves);
    BOOST_REQUIRE_MESSAGE(proposed.IsComplete(), "seed " << seed);
    BOOST_REQUIRE_MESSAGE(MovedExperts(current, proposed) <= max_moves, "seed " << seed);
    BOOST_REQUIRE_MESSAGE(
        StepTime(proposed, RandomLoad(seed)) <= StepTime(current, RandomLoad(seed)),
        "seed " << seed);
  }
}

// Guards against a policy that loads weights without lowering the skew.
BOOST_AUTO_TEST_CASE(IncrementalComesNearGreedyWithFewerMoves) {
  const incremental_placement incremental(incremental_options{.min_gain_per_move = 0.001});
  const greedy_placement greedy;
  const expert_map current = expert_map::Initial(kShape);
  const expert_load load = RandomLoad(7);
  const expert_map ours = incremental.Propose(current, load, kManyMoves);
  const expert_map full = greedy.Propose(current, load, kManyMoves);
  BOOST_TEST(full.IsComplete());
  BOOST_TEST(StepSkew(ours, load) < StepSkew(current, load));
  BOOST_TEST(MovedExperts(current, ours) < MovedExperts(current, full) / 2);
}

// Guards against a rebalance that costs more than it saves.
BOOST_AUTO_TEST_CASE(BalancedLoadIsLeftAlone) {
  const incremental_placement policy(incremental_options{});
  rebalancer subject(rebalancer_options{.interval_steps = 4}, policy);
  const expert_map current =
      expert_map::Initial({.ranks = 8, .layers = 2, .experts = 32, .slots_per_rank = 4});
  const expert_load even(std::size_t{2} * 32, 100.0);
  manual_clock clock;
  for (int step = 0; step < 32; ++step) {
    subject.Observe(even);
    BOOST_REQUIRE(!subject.Consider(current, clock.Now()));
  }
}

// Guards against loading faster than the share of the weight store allows.
BOOST_AUTO_TEST_CASE(MovesStayWithinTheWeightBudget) {
  constexpr double kBytesPerSecond = 100.0;
  constexpr double kBytesPerExpert = 100.0;
  const incremental_placement policy(incremental_options{.min_gain_per_move = 0});
  rebalancer subject({.half_life_steps = 1,
                      .interval_steps = 1,
                      .max_moves = 8,
                      .bytes_per_expert = kBytesPerExpert,
                      .bytes_per_second = kBytesPerSecond,
                      .payback = 0},
                     policy);
  expert_map current = expert_map::Initial(kShape);
  manual_clock clock;
  std::size_t moved = 0;
  constexpr int kSeconds = 30;
  for (int second = 0; second < kSeconds; ++second) {
    subject.Observe(RandomLoad(static_cast<std::uint64_t>(second) + 1));
    if (const auto next = subject.Consider(current, clock.Now())) {
      moved += MovedExperts(current, *next);
      current = *next;
    }
    clock.Advance(std::chrono::seconds(1));
  }
  BOOST_TEST(moved > 0U);
  BOOST_TEST(static_cast<double>(moved) * kBytesPerExpert <=
             kSeconds * kBytesPerSecond + 8 * kBytesPerExpert);
}

// Guards against a search that ends because each slot outside the most loaded rank holds the only
// replica of its expert.
BOOST_AUTO_TEST_CASE(AnOnlyReplicaMovesToMakePlaceForAHotExpert) {
  const group_shape shape{.ranks = 2, .layers = 1, .experts = 5, .slots_per_rank = 3};
  const expert_map map(1, shape, {0, 1, 1, 2, 3, 4});
  const expert_load load{10, 1, 1, 1, 1};
  const incremental_placement policy(incremental_options{});
  const expert_map proposed = policy.Propose(map, load, 2);
  BOOST_TEST(MovedExperts(map, proposed) == 2U);
  BOOST_TEST(StepSkew(proposed, load) == 1.0, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(policy.Propose(map, load, 1).Version() == map.Version());
}

}  // namespace
}  // namespace berylbarrow
