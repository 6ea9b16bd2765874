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

// Guards against idle cold upstreams that take most requests and set the 95th percentile, and
// against cold ones that get none and never become warm.
BOOST_AUTO_TEST_CASE(ColdUpstreamsGetTheirShareWhileAWarmOneHasAFreeSlot) {
  BOOST_TEST(ColdChoices({Candidate("a", 0, 2), Candidate("b", 0, 2), Candidate("c", 9, 16)}) ==
             kChoices / 25);
  BOOST_TEST(ColdChoices({Candidate("a", 2, 2), Candidate("b", 0, 16)}) == 0);
}

// Guards against work that waits at warm upstreams while a cold one has a free slot, and against a
// service that is cold as a whole and gets no work.
BOOST_AUTO_TEST_CASE(TheShareDoesNotBindWithoutAFreeWarmUpstream) {
  BOOST_TEST(ColdChoices({Candidate("a", 0, 2), Candidate("b", 16, 16)}) == kChoices);
  BOOST_TEST(ColdChoices({Candidate("a", 0, 2), Candidate("b", 0, 2)}) == kChoices);
}

// Guards against a restored service whose requests use up the share of another one.
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
