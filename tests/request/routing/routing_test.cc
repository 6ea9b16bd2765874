#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>

#include "berylbarrow/request/routing/routing_policy.h"

namespace berylbarrow {
namespace {

constexpr int kChoices = 4000;

std::vector<routing_candidate> Equal() {
  std::vector<routing_candidate> result;
  for (const char* name : {"a", "b", "c", "d"}) {
    result.push_back({.name = name, .load = {.in_flight = 1, .limit = 10}});
  }
  return result;
}

std::array<int, 4> Count(routing_policy& policy, const std::vector<routing_candidate>& candidates,
                         std::uint64_t prefix = 0) {
  std::mt19937_64 random(3);
  std::array<int, 4> counts{};
  for (int i = 0; i < kChoices; ++i) {
    ++counts.at(policy.Choose(candidates, {.prefix_hash = prefix}, random));
  }
  return counts;
}

// Guards against two random candidates that can be the same one, which would give the most loaded
// upstream work.
BOOST_AUTO_TEST_CASE(MostLoadedOfAllIsNeverChosen) {
  auto candidates = Equal();
  candidates[2].load.in_flight = 9;
  power_of_two_policy policy;
  const auto counts = Count(policy, candidates);
  BOOST_TEST(counts[2] == 0);
  BOOST_TEST(counts[0] > kChoices / 5);
  BOOST_TEST(counts[3] > kChoices / 5);
}

// Guards against a cold upstream that is taken for idle because its few requests are not set
// against its limit, and against reports that are trusted although requests were sent since.
BOOST_AUTO_TEST_CASE(LimitAndRequestsSinceTheReportCount) {
  auto candidates = Equal();
  candidates[0].load.limit = 1;
  candidates[1].sent_since_report = 9;
  power_of_two_policy policy;
  const auto counts = Count(policy, candidates);
  BOOST_TEST(counts[0] + counts[1] < kChoices / 4);
  BOOST_TEST(
      LoadRatio({.name = "x", .load = {.in_flight = 2, .queued = 1}, .sent_since_report = 1}) == 4);
}

// Guards against a prefix that moves between upstreams, and against an upstream that is overloaded
// because it keeps a popular prefix.
BOOST_AUTO_TEST_CASE(PrefixStaysUnlessItsUpstreamIsOverloaded) {
  auto candidates = Equal();
  power_of_two_policy policy({.prefix_affinity = true});
  const auto counts = Count(policy, candidates, 99);
  const auto home = std::max_element(counts.begin(), counts.end());
  BOOST_TEST(*home == kChoices);
  const auto index = static_cast<std::size_t>(home - counts.begin());
  candidates[index].load.in_flight = 5;
  BOOST_TEST(Count(policy, candidates, 99).at(index) == kChoices);
  candidates[index].load.in_flight = 6;
  BOOST_TEST(Count(policy, candidates, 99).at(index) == 0);
}

// Guards against a policy that cannot take a single candidate, and against baselines that do not do
// what they are compared for.
BOOST_AUTO_TEST_CASE(BaselinesChooseByTurnAndByReport) {
  auto candidates = Equal();
  candidates[1].load.in_flight = 0;
  candidates[1].sent_since_report = 9;
  round_robin_policy round_robin;
  least_reported_load_policy least;
  power_of_two_policy power;
  const std::vector<routing_candidate> one{candidates[0]};
  BOOST_TEST((Count(round_robin, candidates) == std::array<int, 4>{1000, 1000, 1000, 1000}));
  BOOST_TEST((Count(least, candidates) == std::array<int, 4>{0, kChoices, 0, 0}));
  BOOST_TEST((Count(power, one) == std::array<int, 4>{kChoices, 0, 0, 0}));
}

}  // namespace
}  // namespace berylbarrow
