#include "berylbarrow/process/membership/ring_neighbours.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace berylbarrow {
namespace {

std::vector<fleet_member> Gateways(std::size_t count) {
  std::vector<fleet_member> members;
  for (std::size_t i = 0; i < count; ++i) {
    const std::string name(1, static_cast<char>('a' + i));
    members.push_back({.name = name, .domain = i < 3 ? "north" : "south", .peers_address = name});
  }
  members.push_back({.name = "b2", .role = member_role::kCompanion, .peers_address = "companion"});
  return members;
}

using addresses = std::vector<std::string>;

BOOST_AUTO_TEST_CASE(neighbours_are_on_both_sides_and_around_the_end) {
  const auto members = Gateways(7);
  BOOST_TEST((RingNeighbours(members, members[3], 2) == addresses{"b", "c", "e", "f"}));
  BOOST_TEST((RingNeighbours(members, members[0], 2) == addresses{"f", "g", "b", "c"}));
  BOOST_TEST((RingNeighbours(members, members[6], 2) == addresses{"e", "f", "a", "b"}));
}

// Guards against one-sided pairs: a report is of use only to a gateway that sends some back.
BOOST_AUTO_TEST_CASE(gateways_choose_each_other) {
  for (std::size_t count = 1; count < 12; ++count) {
    const auto members = Gateways(count);
    for (std::size_t i = 0; i < count; ++i) {
      const auto chosen = RingNeighbours(members, members[i], 2);
      BOOST_TEST(chosen.size() == std::min<std::size_t>(count - 1, 4));
      for (std::size_t k = 0; k < count; ++k) {
        const auto back = RingNeighbours(members, members[k], 2);
        const bool is_chosen = std::count(chosen.begin(), chosen.end(), members[k].name) > 0;
        BOOST_TEST(is_chosen == (std::count(back.begin(), back.end(), members[i].name) > 0));
        BOOST_TEST(std::count(chosen.begin(), chosen.end(), members[k].name) <= 1);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(a_gateway_that_is_not_listed_finds_its_place) {
  const auto members = Gateways(7);
  const fleet_member late{.name = "c5", .domain = "north", .peers_address = "c5"};
  BOOST_TEST((RingNeighbours(members, late, 1) == addresses{"c", "d"}));
  BOOST_TEST(RingNeighbours({}, late, 2).empty());
}

}  // namespace
}  // namespace berylbarrow
