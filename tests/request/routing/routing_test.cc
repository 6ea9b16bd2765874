#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>

#include "berylbarrow/request/routing/routing_policy.h"

namespace berylbarrow {
namespace {

constexpr int kChoices = 4000;

std::vector<routing_candidate> EquallyLoadedCandidates() {
  std::vector<routing_candidate> result;
  for (const char* name : {"a", "b", "c", "d"}) {
    result.push_back({.name = name, .load = {.in_flight = 1, .limit = 10}});
  }
  return result;
}

std::array<int, 4> CountChoices(routing_policy& policy,
                                const std::vector<routing_candidate>& candidates,
                                std::uint64_t prefix = 0) {
  std::mt19937_64 random(3);
  std::array<int, 4> counts{};
  for (int i = 0; i < kChoices; ++i) {
    ++counts.at(policy.Choose(candidates, {.prefix_hash = prefix}, random));
  }
  return counts;
}

// Guards against drawing the same random candidate twice, which would send requests to the most
// loaded upstream.
BOOST_AUTO_TEST_CASE(MostLoadedCandidateIsNeverChosen) {
  auto candidates = EquallyLoadedCandidates();
  candidates[2].load.in_flight = 9;
  power_of_two_policy policy;
  const auto counts = CountChoices(policy, candidates);
  BOOST_TEST(counts[2] == 0);
  BOOST_TEST(counts[0] > kChoices / 5);
  BOOST_TEST(counts[3] > kChoices / 5);
}

// Guards against treating a cold upstream as idle because its few requests are not divided by its
// limit, and against ignoring the requests sent since the last report.
BOOST_AUTO_TEST_CASE(LoadIncludesLimitAndRequestsSinceReport) {
  auto candidates = EquallyLoadedCandidates();
  candidates[0].load.limit = 1;
  candidates[1].sent_since_report = 9;
  power_of_two_policy policy;
  const auto counts = CountChoices(policy, candidates);
  BOOST_TEST(counts[0] + counts[1] < kChoices / 4);
  BOOST_TEST(
      LoadRatio({.name = "x", .load = {.in_flight = 2, .queued = 1}, .sent_since_report = 1}) == 4);
}

// Guards against sending the same prefix to different upstreams, which would miss their caches, and
// against overloading the upstream of a popular prefix.
BOOST_AUTO_TEST_CASE(PrefixStaysUnlessItsUpstreamIsOverloaded) {
  auto candidates = EquallyLoadedCandidates();
  power_of_two_policy policy({.prefix_affinity = true});
  const auto counts = CountChoices(policy, candidates, 99);
  const auto most_chosen = std::max_element(counts.begin(), counts.end());
  BOOST_TEST(*most_chosen == kChoices);
  const auto index = static_cast<std::size_t>(most_chosen - counts.begin());
  candidates[index].load.in_flight = 5;
  BOOST_TEST(CountChoices(policy, candidates, 99).at(index) == kChoices);
  candidates[index].load.in_flight = 6;
  BOOST_TEST(CountChoices(policy, candidates, 99).at(index) == 0);
}

// Guards against a failure with a single candidate, and against baseline policies that do not
// follow their rule, which would make comparisons with them invalid.
BOOST_AUTO_TEST_CASE(BaselinesChooseInTurnAndByReportedLoad) {
  auto candidates = EquallyLoadedCandidates();
  candidates[1].load.in_flight = 0;
  candidates[1].sent_since_report = 9;
  round_robin_policy round_robin;
  least_reported_load_policy least_reported_load;
  power_of_two_policy power_of_two;
  const std::vector<routing_candidate> single{candidates[0]};
  BOOST_TEST((CountChoices(round_robin, candidates) == std::array<int, 4>{1000, 1000, 1000, 1000}));
  BOOST_TEST(
      (CountChoices(least_reported_load, candidates) == std::array<int, 4>{0, kChoices, 0, 0}));
  BOOST_TEST((CountChoices(power_of_two, single) == std::array<int, 4>{kChoices, 0, 0, 0}));
}

}  // namespace
}  // namespace berylbarrow
