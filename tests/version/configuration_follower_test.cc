#include "berylbarrow/version/configuration/configuration_follower.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "berylbarrow/process/membership/rendezvous.h"

namespace berylbarrow {
namespace {

constexpr duration kTick = std::chrono::milliseconds(500);

/// A document with the entries a, b, c and d in one failure domain, unless the text is "invalid".
class fake_parser final : public configuration_parser {
 public:
  checked<configuration> Parse(std::string_view text, std::string_view /*file*/) const override {
    if (text == "invalid") {
      return findings{finding{.message = "invalid"}};
    }
    configuration document;
    for (const char* name : {"a", "b", "c", "d"}) {
      document.entries.push_back({.name = name, .domain = "heredia"});
    }
    return document;
  }
};

struct fixture {
  manual_clock clock;
  fake_parser parser;
  member_table members{member_options{}};
  configuration_follower follower{
      follower_options{.self = {.name = "a", .domain = "heredia", .incarnation = 1}}, parser,
      members};

  moment At() const { return {clock.Now(), clock.WallNow()}; }

  void ConnectPeer(const std::string& name, connection_id connection, revision in_force) {
    members.OnOpened(
        {.connection = connection,
         .greeting = {.sender = {.name = name, .incarnation = connection}, .in_force = in_force}},
        clock.Now());
  }

  void Start(revision number) {
    follower.OnTime(At());
    follower.OnDocument({.number = number, .text = "document"}, At());
  }

  /// A reply reaches the process as a message of a connected peer.
  follower_actions Reply(const configuration_reply& reply, connection_id from) {
    members.OnMessage(from, clock.Now());
    return follower.OnReply(reply, from, At());
  }

  follower_actions Pause() {
    clock.Advance(std::chrono::seconds(30));
    return follower.OnTime(At());
  }
};

// Guards against a process that wakes after a pause and acts on its old view.
BOOST_FIXTURE_TEST_CASE(PauseMakesTheViewStaleUntilTheServiceAnswers, fixture) {
  Start(1);
  BOOST_TEST((follower.View(clock.Now()) == view_state::kCurrent));
  const follower_actions actions = Pause();
  BOOST_TEST((follower.View(clock.Now()) == view_state::kStale));
  BOOST_REQUIRE(actions.watch.has_value());
  BOOST_TEST((actions.watch->mode == watch_mode::kRefresh));
  follower.OnDocument({.number = 1, .nonce = actions.watch->nonce}, At());
  BOOST_TEST((follower.View(clock.Now()) == view_state::kCurrent));
}

// Guards against a reply from before the pause, still in a socket buffer, that ends the refresh.
BOOST_FIXTURE_TEST_CASE(ReplyFromBeforeThePauseDoesNotEndTheRefresh, fixture) {
  Start(1);
  ConnectPeer("b", 5, 2);
  const follower_actions fetch = follower.OnPeerRevision(2, 5, At());
  BOOST_REQUIRE(fetch.sends.size() == 1U);
  const auto request = std::get<configuration_request>(fetch.sends[0].message);
  Pause();
  Reply({.number = 1, .nonce = request.nonce}, 5);
  BOOST_TEST((follower.View(clock.Now()) == view_state::kStale));
}

// Guards against one outdated peer that ends the refresh alone while others are connected.
BOOST_FIXTURE_TEST_CASE(RefreshNeedsTwoPeersWhileTheServiceIsSilent, fixture) {
  Start(1);
  ConnectPeer("b", 5, 1);
  ConnectPeer("c", 6, 1);
  const follower_actions actions = Pause();
  BOOST_TEST(actions.sends.size() == 2U);
  const std::uint64_t nonce = std::get<configuration_request>(actions.sends[0].message).nonce;
  Reply({.number = 1, .nonce = nonce}, 5);
  BOOST_TEST((follower.View(clock.Now()) == view_state::kStale));
  Reply({.number = 2, .text = "newer", .nonce = nonce}, 6);
  BOOST_TEST((follower.View(clock.Now()) == view_state::kCurrent));
  BOOST_TEST(follower.Revision() == 2U);
}

// Guards against a process cut off from everything that goes on admitting work.
BOOST_FIXTURE_TEST_CASE(SilenceOfAllMakesTheViewIsolated, fixture) {
  Start(1);
  for (int i = 0; i < 9; ++i) {
    clock.Advance(kTick);
    follower.OnTime(At());
  }
  BOOST_TEST((follower.View(clock.Now()) == view_state::kIsolated));
  ConnectPeer("b", 5, 1);
  BOOST_TEST((follower.View(clock.Now()) == view_state::kStale));
  clock.Advance(kTick);
  const follower_actions actions = follower.OnTime(At());
  BOOST_REQUIRE(actions.sends.size() == 1U);
  const auto request = std::get<configuration_request>(actions.sends[0].message);
  Reply({.number = 1, .nonce = request.nonce}, 5);
  BOOST_TEST((follower.View(clock.Now()) == view_state::kCurrent));
}

// Guards against a failure domain without a watcher after its watchers have died.
BOOST_FIXTURE_TEST_CASE(DeadWatchersAreReplaced, fixture) {
  const auto order = RendezvousPick("heredia", {"a", "b", "c", "d"}, 4);
  configuration_follower last(
      follower_options{.self = {.name = order[3], .domain = "heredia", .incarnation = 1}}, parser,
      members);
  for (std::size_t i = 0; i < 3; ++i) {
    ConnectPeer(order[i], i + 1, 1);
  }
  last.OnTime(At());
  last.OnDocument({.number = 1, .text = "document"}, At());
  BOOST_TEST(!last.State(At())["watches"].get<bool>());
  for (int i = 0; i < 30; ++i) {
    clock.Advance(kTick);
    last.OnTime(At());
  }
  BOOST_TEST(last.State(At())["watches"].get<bool>());
}

// Guards against a process that reaches the service but no peer, and goes on with an old document
// as soon as it hears a peer that has been cut off as well. Seed 1089620498128800505 of the history
// test: partition and replica gone.
BOOST_FIXTURE_TEST_CASE(IsolatedProcessAsksTheService, fixture) {
  Start(1);
  std::optional<configuration_watch> refresh;
  for (int i = 0; i < 9 && !refresh; ++i) {
    clock.Advance(kTick);
    refresh = follower.OnTime(At()).watch;
  }
  BOOST_REQUIRE(refresh.has_value());
  BOOST_TEST((refresh->mode == watch_mode::kRefresh));
  follower.OnDocument({.number = 2, .text = "newer", .nonce = refresh->nonce}, At());
  BOOST_TEST((follower.View(clock.Now()) == view_state::kCurrent));
  BOOST_TEST(follower.Revision() == 2U);
}

// Guards against a new process that waits for the service although a peer has the document.
BOOST_FIXTURE_TEST_CASE(NewProcessFetchesFromAPeer, fixture) {
  follower.OnTime(At());
  BOOST_TEST((follower.View(clock.Now()) == view_state::kNone));
  ConnectPeer("b", 5, 4);
  BOOST_TEST(follower.OnPeerRevision(4, 5, At()).sends.size() == 1U);
  BOOST_TEST(follower.OnPeerRevision(4, 5, At()).sends.empty());
  const follower_actions actions = Reply({.number = 4, .text = "text"}, 5);
  BOOST_TEST(actions.version_changed);
  BOOST_TEST(follower.Revision() == 4U);
}

// Guards against a new process that stays without a document because it has refused the newest one,
// which its peers have refused as well. Seed 5802031002710125461 of the history test.
BOOST_FIXTURE_TEST_CASE(RefusedRevisionDoesNotHideTheValidOneBelow, fixture) {
  follower.OnTime(At());
  follower.OnDocument({.number = 3, .text = "invalid"}, At());
  ConnectPeer("b", 5, 2);
  BOOST_TEST(follower.OnPeerRevision(3, 5, At()).sends.empty());
  BOOST_TEST(follower.OnPeerRevision(2, 5, At()).sends.size() == 1U);
  Reply({.number = 2, .text = "text"}, 5);
  BOOST_TEST(follower.Revision() == 2U);
}

}  // namespace
}  // namespace berylbarrow
