#include "berylbarrow/process/membership/member_table.h"

#include <boost/test/unit_test.hpp>

#include "berylbarrow/process/membership/rendezvous.h"

namespace berylbarrow {
namespace {

heartbeat Beat(std::uint64_t incarnation, std::uint64_t generation, std::uint64_t sequence) {
  return {.sender = {.name = "a",
                     .role = process_role::kAgent,
                     .domain = "heredia",
                     .incarnation = incarnation,
                     .generation = generation},
          .sequence = sequence,
          .state = process_state::kServing};
}

// Guards against a late heartbeat of a process that has been replaced.
BOOST_AUTO_TEST_CASE(OlderRunIsIgnored) {
  manual_clock clock;
  member_table table(member_options{});
  BOOST_TEST((table.OnHeartbeat(Beat(7, 200, 1), "x", clock.Now()) == heard_as::kNew));
  BOOST_TEST((table.OnHeartbeat(Beat(9, 100, 50), "x", clock.Now()) == heard_as::kOutdated));
  BOOST_TEST(table.Find("a")->identity.incarnation == 7U);
  BOOST_TEST((table.OnHeartbeat(Beat(3, 300, 1), "x", clock.Now()) == heard_as::kRestarted));
  BOOST_TEST(table.Find("a")->identity.incarnation == 3U);
}

// Guards against a replacement that is shut out because the wall clock of its instance was set
// back.
BOOST_AUTO_TEST_CASE(LowerGenerationReplacesADeadRun) {
  manual_clock clock;
  member_table table(member_options{});
  table.OnHeartbeat(Beat(7, 200, 9), "x", clock.Now());
  clock.Advance(std::chrono::seconds(4));
  BOOST_TEST((table.OnHeartbeat(Beat(8, 100, 1), "x", clock.Now()) == heard_as::kRestarted));
}

// Guards against load that goes back in time when datagrams overtake each other.
BOOST_AUTO_TEST_CASE(OvertakenHeartbeatIsIgnored) {
  manual_clock clock;
  member_table table(member_options{});
  heartbeat late = Beat(7, 200, 4);
  late.load.in_flight = 9;
  table.OnHeartbeat(Beat(7, 200, 5), "x", clock.Now());
  BOOST_TEST((table.OnHeartbeat(late, "x", clock.Now()) == heard_as::kOutdated));
  BOOST_TEST(table.Find("a")->load.in_flight == 0U);
}

// Guards against a silent peer that is taken for alive, and against death without suspicion.
BOOST_AUTO_TEST_CASE(SilenceLeadsToSuspicionThenDeath) {
  manual_clock clock;
  member_table table(member_options{});
  BOOST_TEST((table.Liveness("a", clock.Now()) == liveness::kUnknown));
  table.OnHeartbeat(Beat(7, 200, 1), "x", clock.Now());
  BOOST_TEST((table.Liveness("a", clock.Now()) == liveness::kAlive));
  clock.Advance(std::chrono::milliseconds(1500));
  BOOST_TEST((table.Liveness("a", clock.Now()) == liveness::kSuspect));
  clock.Advance(std::chrono::milliseconds(2500));
  BOOST_TEST((table.Liveness("a", clock.Now()) == liveness::kDead));
}

// Guards against the close of an old connection that removes the new one.
BOOST_AUTO_TEST_CASE(CloseOfAReplacedConnectionIsIgnored) {
  manual_clock clock;
  member_table table(member_options{});
  const hello greeting{.sender = Beat(7, 200, 0).sender};
  table.OnOpened({.connection = 1, .greeting = greeting}, clock.Now());
  table.OnOpened({.connection = 2, .greeting = greeting}, clock.Now());
  BOOST_TEST(table.OnClosed(1).empty());
  BOOST_TEST(table.Find("a")->connection.value() == 2U);
  BOOST_TEST(table.OnClosed(2) == "a");
}

// Guards against a peer that counts as disconnected because the hello of its older connection was
// overtaken by that of the newer one.
BOOST_AUTO_TEST_CASE(CloseOfAnOvertakenConnectionLeavesTheOpenOne) {
  manual_clock clock;
  member_table table(member_options{});
  const hello greeting{.sender = Beat(7, 200, 0).sender};
  table.OnOpened({.connection = 2, .greeting = greeting}, clock.Now());
  table.OnOpened({.connection = 1, .greeting = greeting}, clock.Now());
  BOOST_TEST(table.OnClosed(1).empty());
  BOOST_TEST(table.Find("a")->connection.value() == 2U);
}

// Guards against a choice of watchers that moves more than needed when one name goes.
BOOST_AUTO_TEST_CASE(RendezvousKeepsTheOtherChoices) {
  const std::vector<std::string> all{"a", "b", "c", "d", "e"};
  const auto before = RendezvousPick("key", all, 2);
  std::vector<std::string> rest;
  for (const std::string& name : all) {
    if (name != before[0]) {
      rest.push_back(name);
    }
  }
  BOOST_TEST(RendezvousPick("key", rest, 1).front() == before[1]);
}

}  // namespace
}  // namespace berylbarrow
