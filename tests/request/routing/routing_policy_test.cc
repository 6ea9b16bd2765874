#include "berylbarrow/request/routing/routing_policy.h"

#include <boost/test/unit_test.hpp>

namespace berylbarrow {
namespace {

routing_candidate Candidate(std::string_view name, std::uint32_t in_flight, std::uint32_t limit) {
  return {.name = name, .load = {.in_flight = in_flight, .limit = limit, .warm = limit == 16}};
}

// Guards against requests that wait for seconds for one of the few slots of a cold upstream.
BOOST_AUTO_TEST_CASE(NoRequestWaitsWhileAnUpstreamHasAFreeSlot) {
  const std::vector<routing_candidate> candidates{Candidate("a", 2, 2), Candidate("b", 3, 2),
                                                  Candidate("c", 2, 2), Candidate("d", 15, 16)};
  std::mt19937_64 random(1);
  for (const bool has_affinity : {true, false}) {
    power_of_two_policy policy({.prefix_affinity = has_affinity});
    for (std::uint64_t prefix = 1; prefix <= 200; ++prefix) {
      BOOST_TEST(policy.Choose(candidates, {.prefix_hash = prefix}, random) == 3U);
    }
  }
}

// Guards against preferring a cold upstream because its queue is short, although it is slow.
BOOST_AUTO_TEST_CASE(AWarmUpstreamIsPreferredWhenAllHaveAQueue) {
  const std::vector<routing_candidate> candidates{Candidate("a", 2, 2), Candidate("b", 2, 2),
                                                  Candidate("c", 20, 16)};
  std::mt19937_64 random(1);
  power_of_two_policy policy;
  for (int i = 0; i < 200; ++i) {
    BOOST_TEST(policy.Choose(candidates, {}, random) == 2U);
  }
}

}  // namespace
}  // namespace berylbarrow
