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

// Guards against a new entry that waits for the service although it knows of peers, and against
// connections to agents that are no longer in the document.
BOOST_FIXTURE_TEST_CASE(ConnectionsFollowTheDocument, entry_fixture) {
  core->Advance(At(), outputs);
  BOOST_TEST(Take<peer_connect>().at(0).address == "seed:1");
  BOOST_TEST(Take<heartbeat_send>().at(0).to == "seed:1");
  Document(1, "first");
  BOOST_TEST(Take<peer_connect>().size() == 5U);
  BOOST_TEST(Take<peer_disconnect>().at(0).name == "seed:1");
  core->Advance(At(), outputs);
  BOOST_TEST(Take<heartbeat_send>().size() == 6U);
  Document(2, "no-p-2");
  const auto left = Take<peer_disconnect>();
  BOOST_REQUIRE(left.size() == 1U);
  BOOST_TEST(left[0].name == "p-2");
}

// Guards against requests that are run for nobody known, or as an operation nobody declared.
BOOST_FIXTURE_TEST_CASE(UnknownNamesAreRefused, entry_fixture) {
  Start();
  Draft(1, "nobody");
  const http_request other{.method = "POST", .target = "/payout"};
  Input(caller_request{.caller = 2, .request = other, .account = "acme", .service = "payments"});
  Input(caller_request{.caller = 3, .request = other, .account = "acme", .model = "x"});
  const auto replies = Take<caller_reply>();
  BOOST_REQUIRE(replies.size() == 3U);
  BOOST_TEST(replies[0].status == 400);
  BOOST_TEST(replies[1].status == 404);
  BOOST_TEST(replies[2].status == 404);
  BOOST_TEST(HeaderOf(replies[0], "Berylbarrow-Outcome") == "not-run");
  BOOST_TEST(HeaderOf(replies[0], "Berylbarrow-Request-Id") == "e1-1");
}

// Guards against a refusal that ends a request another agent could take, and against a second
// attempt under the same id.
BOOST_FIXTURE_TEST_CASE(RefusedRequestGoesElsewhere, entry_fixture) {
  Start();
  Draft(1);
  const auto first = Sent<dispatch>().at(0);
  Receive(first.first, refusal{.id = first.second.id, .reason = refusal_reason::kDraining});
  const auto second = Sent<dispatch>().at(0);
  BOOST_TEST(second.first != first.first);
  BOOST_TEST((second.second.id != first.second.id));
  Receive(second.first, refusal{.id = second.second.id, .retry_after = milliseconds(2500)});
  const auto reply = Take<caller_reply>().at(0);
  BOOST_TEST(reply.status == 503);
  BOOST_TEST(HeaderOf(reply, "Berylbarrow-Outcome") == "not-run");
  BOOST_TEST(HeaderOf(reply, "Retry-After") == "3");
}

// Guards against a stream that starts again, or stops, when its connection or its agent is lost.
BOOST_FIXTURE_TEST_CASE(StartedAnswerContinuesAtItsOffset, entry_fixture) {
  Start();
  Draft(1);
  const auto [connection, work] = Sent<dispatch>().at(0);
  const std::string agent = "d-" + std::to_string(connection / 10);
  Receive(connection, answer_head{.id = work.id, .status = 200});
  Receive(connection, answer_part{.id = work.id, .bytes = "abc"});
  Input(peer_closed{connection});
  Open(agent, 60);
  const auto again = Sent<dispatch>().at(0);
  BOOST_TEST((again.first == 60 && again.second.id == work.id && again.second.answer_offset == 3));
  Receive(connection, answer_part{.id = work.id, .offset = 3, .bytes = "late"});
  Input(peer_closed{60});
  BOOST_TEST(Sent<dispatch>().empty());
  Wait(milliseconds(260));
  const auto moved = Sent<dispatch>().at(0);
  BOOST_TEST((moved.second.id != work.id && moved.second.answer_offset == 3));
  Receive(moved.first, answer_head{.id = moved.second.id, .status = 200});
  Receive(
      moved.first,
      answer_part{.id = moved.second.id, .offset = 3, .bytes = "de", .end = answer_end::kComplete});
  const auto parts = Take<caller_part>();
  BOOST_REQUIRE(parts.size() == 2U);
  BOOST_TEST(parts[1].bytes == "de");
  BOOST_TEST(Take<caller_end>().at(0).complete);
}

// Guards against an answer put together from two different ones, with a clean end.
BOOST_FIXTURE_TEST_CASE(ChangedAnswerEndsIncomplete, entry_fixture) {
  Start();
  for (const bool is_shorter : {false, true}) {
    Draft(1);
    const auto [connection, work] = Sent<dispatch>().at(0);
    Receive(connection, answer_head{.id = work.id, .status = 200});
    Receive(connection, answer_part{.id = work.id, .bytes = "abc"});
    Receive(connection, answer_part{.id = work.id, .offset = 3, .end = answer_end::kBroken});
    const auto [other, next] = Sent<dispatch>().at(0);
    Receive(other, answer_part{.id = next.id, .offset = 3, .bytes = "before the head"});
    Receive(other, answer_head{.id = next.id,
                               .status = static_cast<std::uint16_t>(is_shorter ? 200 : 500)});
    Receive(other, answer_part{.id = next.id, .bytes = "a", .end = answer_end::kComplete});
    BOOST_TEST(Take<caller_part>().size() == 1U);
    BOOST_TEST(!Take<caller_end>().at(0).complete);
    Sent<acknowledgement>();
  }
}

// Guards against a broken answer without a head that is awaited until the deadline, against a retry
// that outruns the news of the first death, and against a third upstream that dies.
BOOST_FIXTURE_TEST_CASE(RequestThatCrashesTwoUpstreamsIsRefused, entry_fixture) {
  Start();
  Draft(1);
  std::uint64_t fingerprint = 0;
  for (std::uint64_t observer : {1, 2}) {
    const auto [connection, work] = Sent<dispatch>().at(0);
    fingerprint = work.fingerprint;
    BOOST_TEST(work.suspects.size() == observer - 1);
    Receive(
        connection,
        answer_part{.id = work.id,
                    .end = answer_end::kBroken,
                    .suspects = {{.fingerprint = fingerprint, .deaths = 1, .observer = observer}}});
    BOOST_TEST(Take<heartbeat_send>().back().content.suspects.size() == observer);
  }
  BOOST_TEST(Sent<dispatch>().empty());
  BOOST_TEST(Take<caller_reply>().at(0).status == 422);
  Draft(2);
  BOOST_TEST(Sent<dispatch>().empty());
  const auto reply = Take<caller_reply>().at(0);
  BOOST_TEST(reply.status == 422);
  BOOST_TEST(HeaderOf(reply, "Berylbarrow-Outcome") == "not-run");
}

// Guards against routing by a heartbeat that is older than the answers since.
BOOST_FIXTURE_TEST_CASE(AnswersCarryTheLoadForRouting, entry_fixture) {
  Start();
  Draft(1);
  const auto [connection, work] = Sent<dispatch>().at(0);
  const std::string agent = "d-" + std::to_string(connection / 10);
  const auto load = [this, &agent = agent] {
    const auto members = nlohmann::json::parse(core->State().dump()).at("fleet").at("members");
    for (const auto& item : members) {
      if (item["name"] == agent) {
        return item["queued"].get<std::uint32_t>();
      }
    }
    return 0U;
  };
  Receive(connection, answer_head{.id = work.id, .status = 200, .load = {.queued = 7, .limit = 4}});
  BOOST_TEST(load() == 7U);
  Receive(
      connection,
      answer_part{.id = work.id, .end = answer_end::kComplete, .load = {.queued = 8, .limit = 4}});
  BOOST_TEST(load() == 8U);
}

// Guards against a request that goes on at an agent although its caller or the entry gave it up
// while the connection was down.
BOOST_FIXTURE_TEST_CASE(CancelWaitsForTheConnection, entry_fixture) {
  Start();
  for (const std::uint64_t run : {1, 2}) {
    Draft(run);
    const auto [connection, work] = Sent<dispatch>().at(0);
    const std::string agent = "d-" + std::to_string(connection / 10);
    Input(peer_closed{connection});
    Input(caller_closed{run});
    Sent<cancel>();
    Open(agent, connection, run);
    const auto cancels = Sent<cancel>();
    // A new run of the agent knows nothing of the request.
    BOOST_TEST_REQUIRE(cancels.size() == (run == 1 ? 1U : 0U));
    BOOST_TEST((run == 2 || (cancels[0].first == connection && cancels[0].second.id == work.id)));
  }
}

// Guards against an agent that keeps more of an answer than the entry may still ask for.
BOOST_FIXTURE_TEST_CASE(LongAnswerIsAcknowledgedOnTheWay, entry_fixture) {
  Start();
  Draft(1);
  const auto [connection, work] = Sent<dispatch>().at(0);
  Receive(connection, answer_head{.id = work.id, .status = 200});
  const std::string piece(40 << 10, 'x');
  Receive(connection, answer_part{.id = work.id, .bytes = piece});
  BOOST_TEST(Sent<acknowledgement>().empty());
  Receive(connection, answer_part{.id = work.id, .offset = piece.size(), .bytes = piece});
  BOOST_TEST(Sent<acknowledgement>().at(0).second.offset == 2 * piece.size());
}

// Guards against a payment without a key that is run, and a refusal that leaves the caller without
// a way to go on.
BOOST_FIXTURE_TEST_CASE(PaymentWithoutAGrantKeyIsRefused, entry_fixture) {
  Start();
  for (const char* key : {"", "p-1", "p-1/1/5", "p-1/xyz/5/n", "p-1/1/5/"}) {
    Pay(1, key, 2);
    const auto reply = Take<caller_reply>().at(0);
    BOOST_TEST(reply.status == 428);
    BOOST_TEST(HeaderOf(reply, "Berylbarrow-Outcome") == "not-run");
    BOOST_TEST(nlohmann::json::parse(reply.body).contains("grant"));
  }
}

// Guards against a payment that runs a second time after its agent was replaced.
BOOST_FIXTURE_TEST_CASE(PaymentStaysWithItsRun, entry_fixture) {
  Start();
  Pay(1, "p-1/1/5/n", 1);
  const auto [connection, work] = Sent<dispatch>().at(0);
  BOOST_TEST(connection == 40U);
  BOOST_TEST(work.idempotency_key == "p-1/1/5/n");
  Input(peer_closed{40});
  Open("p-1", 60);
  BOOST_TEST((Sent<dispatch>().at(0).second.id == work.id));
  Beat("p-1", 2);
  const auto reply = Take<caller_reply>().at(0);
  BOOST_TEST(reply.status == 502);
  BOOST_TEST(HeaderOf(reply, "Berylbarrow-Outcome") == "unknown");
  Pay(2, "p-1/1/5/n", 2);
  Wait(milliseconds(510));
  BOOST_TEST(Take<caller_reply>().at(0).status == 502);
  BOOST_TEST(Sent<dispatch>().empty());
}

// Guards against "not run" for a key that another entry may have forwarded, and against a late copy
// of a refused first attempt that is run after all.
BOOST_FIXTURE_TEST_CASE(UnreachableAgentIsNotRunForAFirstAttemptOnly, entry_fixture) {
  Start();
  Input(peer_closed{40});
  Pay(1, "p-1/1/5/n", 1);
  Pay(2, "p-1/1/5/m", 2);
  Pay(3, "p-1/1/5/k", 0);
  BOOST_TEST(Take<caller_reply>().empty());
  Wait(milliseconds(510));
  const auto replies = Take<caller_reply>();
  BOOST_REQUIRE(replies.size() == 3U);
  BOOST_TEST(replies[0].status == 503);
  BOOST_TEST(HeaderOf(replies[0], "Berylbarrow-Outcome") == "not-run");
  BOOST_TEST(nlohmann::json::parse(replies[0].body).at("grant") == "p-2/1/5");
  BOOST_TEST(replies[1].status == 502);
  BOOST_TEST(replies[2].status == 502);
  BOOST_TEST(!HeaderOf(replies[1], "Retry-After").empty());
  Open("p-1", 60);
  Pay(4, "p-1/1/5/n", 1);
  BOOST_TEST(Take<caller_reply>().at(0).status == 503);
  BOOST_TEST(Sent<dispatch>().empty());
  Pay(5, "p-1/1/5/m", 3);
  BOOST_TEST(Sent<dispatch>().size() == 1U);
}

// Guards against a drained agent that gets a new payment, or that cannot tell the outcome of an
// old one.
BOOST_FIXTURE_TEST_CASE(OnlyLaterAttemptsReachADrainedAgent, entry_fixture) {
  Start();
  Document(2, "a-out");
  Pay(1, "p-1/1/5/n", 1);
  BOOST_TEST(HeaderOf(Take<caller_reply>().at(0), "Berylbarrow-Outcome") == "not-run");
  Pay(2, "p-1/1/5/m", 2);
  BOOST_TEST(Sent<dispatch>().at(0).first == 40U);
}

// Guards against requests that never end, upstreams that work for nobody, and a payment that is
// called not run although it was dispatched.
BOOST_FIXTURE_TEST_CASE(DeadlineAndAbortCancelTheDispatch, entry_fixture) {
  Start();
  Draft(1);
  Pay(2, "p-1/1/5/n", 1);
  Draft(3);
  Input(caller_closed{3});
  BOOST_TEST(Sent<cancel>().size() == 1U);
  for (int i = 0; i < 30; ++i) {
    Wait(seconds(1));
    for (const char* agent : {"d-1", "d-2", "d-3", "p-1", "p-2"}) {
      Beat(agent);
    }
  }
  const auto replies = Take<caller_reply>();
  BOOST_REQUIRE(replies.size() == 2U);
  BOOST_TEST(replies[0].status == 504);
  BOOST_TEST(replies[1].status == 502);
  BOOST_TEST(HeaderOf(replies[1], "Berylbarrow-Outcome") == "unknown");
  BOOST_TEST(Sent<cancel>().size() == 2U);
}

// Guards against routing on the view from before a pause, and against callers that wait for ever.
BOOST_FIXTURE_TEST_CASE(RequestsWaitForACurrentView, entry_fixture) {
  Start();
  clock.Advance(seconds(3));
  Draft(1);
  const auto refresh = Take<configuration_watch>().at(0);
  BOOST_TEST(Sent<dispatch>().empty());
  Wait(milliseconds(1010));
  BOOST_TEST(Take<caller_reply>().at(0).status == 503);
  Draft(2);
  Beat("d-1");
  BOOST_TEST(Sent<dispatch>().empty());
  Input(document_received{.number = 1, .nonce = refresh.nonce});
  BOOST_TEST(Sent<dispatch>().size() == 1U);
}

// Guards against an entry that takes more than it has room for.
BOOST_FIXTURE_TEST_CASE(FullEntryRefuses, entry_fixture) {
  entry_core_options options = Options();
  options.limits.max_requests = 2;
  core = MakeEntryCore(options, parser);
  Start();
  Draft(1);
  Draft(2, "big");
  Draft(3);
  Pay(4, "p-1/1/5/n", 2);
  const auto replies = Take<caller_reply>();
  BOOST_REQUIRE(replies.size() == 2U);
  BOOST_TEST(replies[0].status == 503);
  BOOST_TEST(replies[1].status == 502);
}

// Guards against callers that are sent to, or kept at, an entry whose domain is taken out.
BOOST_FIXTURE_TEST_CASE(EntryOfADrainedDomainSendsCallersAway, entry_fixture) {
  Start();
  Input(heartbeat_received{.from = "e2",
                           .content = {.sender = {.name = "entry-2", .incarnation = 9},
                                       .sequence = 1,
                                       .state = process_state::kServing}});
  Document(2, "a-out");
  Input(address_query{.caller = 1, .service = "drafting", .account = "acme"});
  const auto body = nlohmann::json::parse(Take<caller_reply>().at(0).body);
  BOOST_TEST(body.at("addresses").size() == 1U);
  BOOST_TEST(body.at("addresses")[0].at("address") == "c2");
  Draft(2);
  BOOST_TEST(Sent<dispatch>().size() == 1U);
  for (int i = 0; i < 10; ++i) {
    Wait(seconds(1));
    Beat("d-2");
  }
  Draft(3);
  const auto reply = Take<caller_reply>().back();
  BOOST_TEST(reply.status == 503);
  BOOST_TEST(nlohmann::json::parse(reply.body).contains("addresses"));
}

// Guards against a shutdown that cuts off callers who hold the address or wait for an answer.
BOOST_FIXTURE_TEST_CASE(ShutdownServesWhatItPromised, entry_fixture) {
  Start();
  Input(shutdown_requested{});
  BOOST_TEST((Take<heartbeat_send>().at(0).content.state == process_state::kLeaving));
  Draft(1);
  const auto [connection, work] = Sent<dispatch>().at(0);
  // The address lifetime of 10 s, after 4 s in which other entries may still name this one.
  for (int i = 0; i < 14; ++i) {
    BOOST_TEST(Take<callers_stop_accepting>().empty());
    Wait(seconds(1));
    Beat("d-" + std::to_string(connection / 10));
  }
  BOOST_TEST(Take<callers_stop_accepting>().size() == 1U);
  BOOST_TEST(Take<process_finished>().empty());
  Receive(connection, answer_head{.id = work.id, .status = 200});
  Receive(connection, answer_part{.id = work.id, .end = answer_end::kComplete});
  BOOST_TEST(Take<process_finished>().empty());
  Wait(milliseconds(250));
  BOOST_TEST(Take<process_finished>().size() == 1U);
}

// Guards against an entry that operators cannot look into.
BOOST_FIXTURE_TEST_CASE(OperatorsSeeStateStatusAndMetrics, entry_fixture) {
  Start();
  Draft(1);
  Input(operator_query{.query = 1, .kind = operator_query_kind::kState});
  Input(operator_query{.query = 2, .kind = operator_query_kind::kStatus});
  Input(operator_query{.query = 3, .kind = operator_query_kind::kMetrics});
  const auto replies = Take<operator_reply>();
  BOOST_REQUIRE(replies.size() == 3U);
  BOOST_TEST(nlohmann::json::parse(replies[0].body).at("work").at("requests").size() == 1U);
  const auto status = nlohmann::json::parse(replies[1].body);
  BOOST_TEST(status.at("upstreams").size() == 5U);
  BOOST_TEST(status.at("processes").size() == 6U);
  BOOST_TEST(replies[2].body.find("berylbarrow_attempts_total 1\n") != std::string::npos);
}

}  // namespace
}  // namespace berylbarrow
