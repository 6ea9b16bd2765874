#include "berylbarrow/request/routing/cold_share_policy.h"

#include <boost/test/unit_test.hpp>

namespace berylbarrow {
namespace {

constexpr int kChoices = 1000;

routing_candidate Candidate(std::string_view name, std::uint32_t in_flight, std::uint32_t limit) {
  return {.name = name, .load = {.in_flight = in_flight, .limit = limit, .warm = limit == 16}};
}

int ColdChoices(const std::vector<routing_candidate>& candidates) {
  std::mt19937_64 random(1);
  cold_share_policy policy(std::make_unique<power_of_two_policy>(), {.share = 0.04});
  int cold = 0;
  for (int i = 0; i < kChoices; ++i) {
    cold += candidates[policy.Choose(candidates, {.service = "s"}, random)].load.limit < 8 ? 1 : 0;
  }
  return cold;
}

// Guards against idle cold upstreams that receive most requests and determine the 95th percentile
// of the latency, and against cold upstreams that receive no requests and never warm up.
BOOST_AUTO_TEST_CASE(ColdUpstreamsGetTheirShareWhileAWarmOneHasAFreeSlot) {
  BOOST_TEST(ColdChoices({Candidate("a", 0, 2), Candidate("b", 0, 2), Candidate("c", 9, 16)}) ==
             kChoices / 25);
  BOOST_TEST(ColdChoices({Candidate("a", 2, 2), Candidate("b", 0, 16)}) == 0);
}

// Guards against requests that wait at warm upstreams while a cold one has a free slot, and against
// a service that receives no requests because all its upstreams are cold.
BOOST_AUTO_TEST_CASE(ShareIsNotAppliedWithoutAFreeWarmUpstream) {
  BOOST_TEST(ColdChoices({Candidate("a", 0, 2), Candidate("b", 16, 16)}) == kChoices);
  BOOST_TEST(ColdChoices({Candidate("a", 0, 2), Candidate("b", 0, 2)}) == kChoices);
}

// Guards against a service that is warming up and whose requests use up the cold share of another
// service.
BOOST_AUTO_TEST_CASE(EachServiceHasItsOwnShare) {
  const std::vector<routing_candidate> candidates{Candidate("a", 0, 2), Candidate("b", 0, 16)};
  std::mt19937_64 random(1);
  cold_share_policy policy(std::make_unique<power_of_two_policy>(), {.share = 0.5});
  BOOST_TEST(policy.Choose(candidates, {.service = "s"}, random) == 1U);
  BOOST_TEST(policy.Choose(candidates, {.service = "t"}, random) == 1U);
  BOOST_TEST(policy.Choose(candidates, {.service = "t"}, random) == 0U);
  BOOST_TEST(policy.Choose(candidates, {.service = "s"}, random) == 0U);
}

}  // namespace
}  // namespace berylbarrow
