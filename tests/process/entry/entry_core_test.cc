#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "process/entry/entry_fixture.h"

namespace berylbarrow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against an address response without a grant, or with an entry that nobody has heard of.
BOOST_FIXTURE_TEST_CASE(AddressResponseNamesLiveEntriesAndAGrant, entry_fixture) {
  Start();
  Input(address_query{.caller = 1, .service = "payments", .account = "acme"});
  Input(address_query{.caller = 2, .service = "nothing", .account = "acme"});
  const auto replies = Take<caller_reply>();
  BOOST_REQUIRE(replies.size() == 2U);
  const auto body = nlohmann::json::parse(replies[0].body);
  BOOST_TEST(body.at("addresses").size() == 1U);
  BOOST_TEST(body.at("addresses")[0].at("address") == "c1");
  BOOST_TEST(body.at("valid_for_ms") == 10000);
  const std::string grant = body.at("grant");
  BOOST_TEST((grant == "p-1/1/5" || grant == "p-2/1/5"));
  BOOST_TEST(replies[1].status == 404);
}

// Guards against parts that are lost, doubled or sent to another caller on the way.
BOOST_FIXTURE_TEST_CASE(AnswerIsRelayedOnce, entry_fixture) {
  Start();
  Draft(1);
  const auto sent = Sent<dispatch>();
  BOOST_REQUIRE(sent.size() == 1U);
  const auto& [connection, work] = sent[0];
  BOOST_TEST((work.remaining == seconds(30)));
  Receive(connection, answer_head{.id = work.id, .status = 200, .content_type = "text/plain"});
  const answer_part first{.id = work.id, .offset = 0, .bytes = "abc"};
  Receive(connection, first);
  Receive(connection, first);
  Receive(connection, answer_part{.id = work.id, .offset = 2, .bytes = "cde"});
  Receive(connection, answer_part{.id = work.id, .offset = 5, .end = answer_end::kComplete});
  BOOST_TEST(Take<caller_head>().size() == 1U);
  const auto parts = Take<caller_part>();
  BOOST_REQUIRE(parts.size() == 2U);
  BOOST_TEST(parts[0].bytes + parts[1].bytes == "abcde");
  const auto ends = Take<caller_end>();
  BOOST_REQUIRE(ends.size() == 1U);
  BOOST_TEST(ends[0].complete);
  const auto done = Sent<acknowledgement>();
  BOOST_REQUIRE(done.size() == 1U);
  BOOST_TEST((done[0].second.finished && done[0].second.offset == 5));
}

// Guards against a leaving entry that exits before it has handled what arrived during a pause.
// Seed 21058 of the history test: entry shutdown and entry pause.
BOOST_FIXTURE_TEST_CASE(PauseWhileLeavingLosesNoRequest, entry_fixture) {
  Start();
  Input(shutdown_requested{});
  Wait(seconds(1));
  clock.Advance(seconds(30));
  core->Advance(At(), outputs);
  BOOST_TEST(Take<process_finished>().empty());
  Draft(1);
  Wait(seconds(2));
  BOOST_TEST(Take<caller_reply>().size() == 1U);
  BOOST_TEST(Take<process_finished>().size() == 1U);
}

}  // namespace
}  // namespace berylbarrow
