#include "berylbarrow/process/membership/fleet_members.h"

#include <boost/test/unit_test.hpp>
#include <set>

namespace berylbarrow {
namespace {

using std::chrono::milliseconds;

constexpr time_point kStart{std::chrono::hours(1)};

fleet_member Member(const std::string& name, member_role role, const std::string& domain) {
  return {.name = name,
          .role = role,
          .domain = domain,
          .incarnation = 7,
          .peers_address = "10.0.0.1:" + std::to_string(1000 + name.back()),
          .callers_address = "10.0.0.1:" + std::to_string(2000 + name.back()),
          .ready = true};
}

fleet_beat Beat(const fleet_member& member, std::uint64_t sequence) {
  return {.self = member, .sequence = sequence};
}

BOOST_AUTO_TEST_CASE(seeds_are_asked_until_members_are_known) {
  fleet_members members({.seeds = {"10.9.9.9:1"}},
                        Member("entry-a", member_role::kGateway, "north"));
  const beat_targets first = members.Targets(kStart);
  BOOST_TEST(first.direct == std::vector<std::string>{"10.9.9.9:1"});
  BOOST_TEST(first.remote.empty());
  BOOST_TEST(first.companions.empty());
  BOOST_TEST(first.unknown.empty());
  const fleet_member other = Member("entry-b", member_role::kGateway, "north");
  BOOST_TEST(members.OnBeat(Beat(other, 1), kStart));
  const auto targets = members.Targets(kStart + milliseconds(100));
  BOOST_TEST(targets.direct == std::vector<std::string>{other.peers_address});
  BOOST_TEST(targets.remote.empty());
  BOOST_TEST(targets.companions.empty());
  BOOST_TEST(targets.unknown.empty());
}

BOOST_AUTO_TEST_CASE(a_silent_member_is_lost_once_and_no_longer_named) {
  fleet_members members({}, Member("entry-a", member_role::kGateway, "north"));
  members.OnBeat(Beat(Member("entry-b", member_role::kGateway, "north"), 1), kStart);
  BOOST_TEST(members.LiveGateways(kStart) == 2U);
  BOOST_TEST(members.ReadyAddresses("north", 2, kStart).size() == 2U);
  const time_point later = kStart + std::chrono::seconds(3);
  BOOST_TEST(members.TakeLost(later).size() == 1U);
  BOOST_TEST(members.TakeLost(later).empty());
  BOOST_TEST(members.ReadyAddresses("north", 1, later).size() == 1U);
}

BOOST_AUTO_TEST_CASE(an_overtaken_beat_changes_nothing) {
  fleet_members members({}, Member("entry-a", member_role::kGateway, "north"));
  fleet_member other = Member("entry-b", member_role::kGateway, "north");
  members.OnBeat(Beat(other, 5), kStart);
  other.ready = false;
  members.OnBeat(Beat(other, 4), kStart);
  BOOST_TEST(members.ReadyAddresses("north", 2, kStart).size() == 2U);
}

BOOST_AUTO_TEST_CASE(addresses_of_the_callers_domain_suffice_if_one_may_be_lost) {
  fleet_members members({}, Member("entry-a", member_role::kGateway, "north"));
  members.OnBeat(Beat(Member("entry-b", member_role::kGateway, "north"), 1), kStart);
  members.OnBeat(Beat(Member("entry-c", member_role::kGateway, "south"), 1), kStart);
  BOOST_TEST(members.ReadyAddresses("north", 2, kStart).size() == 2U);
  BOOST_TEST(members.ReadyAddresses("south", 2, kStart).size() == 3U);
}

// A gateway told companions of the same six members each time, because its turns through all
// members had the length of the interval; a rank group then never found all of its ranks.
BOOST_AUTO_TEST_CASE(hints_reach_every_member_whatever_the_interval_of_the_listener) {
  fleet_members members({.hints_per_beat = 6}, Member("entry-a", member_role::kGateway, "north"));
  for (int i = 0; i < 24; ++i) {
    fleet_member companion = Member("side-" + std::to_string(i), member_role::kCompanion, "north");
    companion.group = "g";
    members.OnBeat(Beat(companion, 1), kStart);
  }
  std::set<std::string> heard;
  for (int beat = 0; beat < 400; ++beat) {
    const auto hints = members.RandomHints();
    if (beat % 8 != 0) continue;
    for (const member_hint& hint : hints) heard.insert(hint.name);
  }
  BOOST_TEST(heard.size() == 24U);
}

BOOST_AUTO_TEST_CASE(companions_learn_of_their_group_from_hints) {
  fleet_members members({}, Member("side-a", member_role::kCompanion, "north"));
  fleet_beat beat = Beat(Member("entry-b", member_role::kGateway, "north"), 1);
  beat.hints = {{.name = "side-c",
                 .role = member_role::kCompanion,
                 .peers_address = "10.0.0.3:1",
                 .group = "g"}};
  members.OnBeat(beat, kStart);
  BOOST_TEST(members.GroupAddresses("g") == std::vector<std::string>{"10.0.0.3:1"});
  BOOST_TEST(members.GroupAddresses("h").empty());
}

BOOST_AUTO_TEST_CASE(beats_survive_the_wire_and_other_bytes_are_refused) {
  fleet_beat beat = Beat(Member("entry-b", member_role::kGateway, "north"), 9);
  beat.in_flight = {{.upstream = 4, .in_flight = 2}};
  beat.crashes = {{.fingerprint = 11, .crashes = 3}};
  const std::string bytes = EncodeBeat(beat);
  BOOST_TEST((DecodeBeat(bytes) == beat));
  BOOST_TEST(!DecodeBeat(bytes.substr(0, bytes.size() - 1)).has_value());
  BOOST_TEST(!DecodeBeat("GET / HTTP/1.1").has_value());
}

}  // namespace
}  // namespace berylbarrow
