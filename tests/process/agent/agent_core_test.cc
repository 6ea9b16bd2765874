#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "process/agent/agent_harness.h"

namespace berylbarrow {
namespace {

// Guards against an answer that is lost or changed on its way from the upstream to the entry.
BOOST_FIXTURE_TEST_CASE(DispatchRunsEndToEnd, agent_harness) {
  Serve();
  Receive(1, TestWork(1));
  const auto starts = All<upstream_start>();
  BOOST_TEST_REQUIRE(starts.size() == 1U);
  BOOST_TEST(starts[0].request.body == "body");
  Complete(starts[0].execution, "done");
  BOOST_TEST(Sent<answer_head>(1).size() == 1U);
  const auto parts = Sent<answer_part>(1);
  BOOST_TEST_REQUIRE(parts.size() == 2U);
  BOOST_TEST(parts[0].bytes == "done");
  BOOST_TEST((parts[1].end == answer_end::kComplete));
  BOOST_TEST(parts[1].offset == 4U);
  BOOST_TEST((Sent<answer_head>(1)[0].load == upstream_load{.in_flight = 1, .limit = kColdLimit}));
  BOOST_TEST((parts[1].load == upstream_load{.limit = kColdLimit}));
}

// Guards against requests that are dropped silently because the hello of an older connection of
// the same entry was overtaken by that of the one they come over.
BOOST_FIXTURE_TEST_CASE(OvertakenHelloLosesNoDispatch, agent_harness) {
  Serve();
  Open(3);
  Open(2);
  Receive(3, TestWork(1));
  Input(peer_closed{.connection = 2});
  const auto starts = All<upstream_start>();
  BOOST_TEST_REQUIRE(starts.size() == 1U);
  Complete(starts[0].execution, "done");
  BOOST_TEST(Sent<answer_part>(3).size() == 2U);
  Receive(3, TestWork(2));
  BOOST_TEST(All<upstream_start>().size() == 2U);
}

struct fixture : agent_harness {
  /// Runs a payment to its end on connection 1.
  execution_id Pay(std::uint64_t sequence, const std::string& nonce) {
    Receive(1, TestPayment(sequence, nonce));
    const execution_id execution = All<upstream_start>().back().execution;
    Complete(execution, "paid " + nonce);
    return execution;
  }
  std::string Received(connection_id connection, std::uint64_t sequence) const {
    std::string bytes;
    for (const answer_part& part : Sent<answer_part>(connection)) {
      bytes += part.id.sequence == sequence ? part.bytes : "";
    }
    return bytes;
  }
  bool WasRefused(connection_id connection, std::uint64_t sequence, refusal_reason reason,
                  run_certainty certainty = run_certainty::kNotRun) const {
    const auto all = Sent<refusal>(connection);
    return !all.empty() && all.back().id.sequence == sequence && all.back().reason == reason &&
           all.back().certainty == certainty;
  }
  void End(execution_id execution, upstream_outcome outcome) {
    Input(upstream_end{.execution = execution, .outcome = outcome});
  }
  void Publish(revision number, const std::string& text) {
    Input(document_received{.number = number, .text = text});
  }
  std::size_t Starts() const { return All<upstream_start>().size(); }
};

// Guards against a payment that runs again for a caller that resends, and against a second caller
// without the answer.
BOOST_FIXTURE_TEST_CASE(SameKeyJoinsRunningAndFinishedWork, fixture) {
  Serve();
  Receive(1, TestPayment(1, "n"));
  Input(upstream_head{.execution = 1, .status = 200});
  Input(upstream_part{.execution = 1, .bytes = "pa"});
  Receive(1, TestPayment(2, "n"));
  Input(upstream_part{.execution = 1, .bytes = "id"});
  End(1, upstream_outcome::kComplete);
  Receive(1, TestPayment(3, "n"));
  BOOST_TEST(Starts() == 1U);
  for (std::uint64_t sequence = 1; sequence <= 3; ++sequence) {
    BOOST_TEST(Received(1, sequence) == "paid");
  }
}

// Guards against a drain or a shutdown that cuts callers off from an answer that exists.
BOOST_FIXTURE_TEST_CASE(JoinsAreServedWhileDrainingAndLeaving, fixture) {
  Serve();
  Pay(1, "n");
  Publish(2, "out");
  Receive(1, TestPayment(2, "n"));
  Input(shutdown_requested{});
  Receive(1, TestPayment(3, "n"));
  BOOST_TEST(Received(1, 2) == "paid n");
  BOOST_TEST(Received(1, 3) == "paid n");
  Receive(1, TestPayment(4, "other"));
  BOOST_TEST(WasRefused(1, 4, refusal_reason::kLeaving));
}

// Guards against work for a domain that the sender already knows to be drained.
BOOST_FIXTURE_TEST_CASE(NewerSenderRevisionIsFetchedFirst, fixture) {
  Serve();
  dispatch work = TestWork(1);
  work.sender_revision = 2;
  Receive(1, work);
  BOOST_TEST(Sent<configuration_request>(1).size() == 1U);
  BOOST_TEST(Starts() == 0U);
  Receive(1, configuration_reply{.number = 2, .text = "out"});
  BOOST_TEST(WasRefused(1, 1, refusal_reason::kDraining));
  work = TestWork(2);
  work.sender_revision = 3;
  Receive(1, work);
  Advance(std::chrono::milliseconds(1250));
  BOOST_TEST(WasRefused(1, 2, refusal_reason::kStaleView));
}

// Guards against work that an agent without any contact goes on taking from its queue.
BOOST_FIXTURE_TEST_CASE(IsolatedAgentRefusesQueuedWork, fixture) {
  Serve();
  Receive(1, TestWork(1));
  Receive(1, TestWork(2));
  for (int i = 0; i < 17; ++i) {
    clock.Advance(std::chrono::milliseconds(250));
    core.Advance(At(), outputs);
  }
  BOOST_TEST(WasRefused(1, 2, refusal_reason::kStaleView));
}

// Guards against a false "not run", against a true one that a late copy makes false, and against
// the end of a broken answer that comes before it is known whether the upstream died, or never.
BOOST_FIXTURE_TEST_CASE(UpstreamFailuresEndWithTheTruth, fixture) {
  Serve();
  Receive(1, TestPayment(1, "n"));
  End(1, upstream_outcome::kNotSent);
  BOOST_TEST(WasRefused(1, 1, refusal_reason::kUpstreamGone));
  Receive(1, TestPayment(2, "n"));
  BOOST_TEST(WasRefused(1, 2, refusal_reason::kUpstreamGone));
  Receive(1, TestPayment(3, "m"));
  End(2, upstream_outcome::kBroken);
  BOOST_TEST(!WasRefused(1, 3, refusal_reason::kUpstreamGone, run_certainty::kUnknown));
  Input(upstream_report{.reachable = true, .instance = "a"});
  BOOST_TEST(WasRefused(1, 3, refusal_reason::kUpstreamGone, run_certainty::kUnknown));
  Receive(1, TestPayment(4, "m"));
  BOOST_TEST(WasRefused(1, 4, refusal_reason::kUpstreamGone, run_certainty::kUnknown));
  Receive(1, TestWork(5));
  Input(upstream_head{.execution = 3, .status = 200});
  Input(upstream_part{.execution = 3, .bytes = "abc"});
  End(3, upstream_outcome::kBroken);
  Advance(std::chrono::milliseconds(250));
  BOOST_TEST((Sent<answer_part>(1).back().end == answer_end::kMore));
  Advance(std::chrono::milliseconds(50));
  const answer_part last = Sent<answer_part>(1).back();
  BOOST_TEST((last.end == answer_end::kBroken));
  BOOST_TEST(last.offset == 3U);
  BOOST_TEST(Starts() == 3U);
}

// Guards against keys that run after their records are gone, or in another run of the agent.
BOOST_FIXTURE_TEST_CASE(KeysExpireWithTheirEpoch, fixture) {
  Serve();
  Pay(1, "n");
  Receive(1, acknowledgement{.id = TestWork(1).id, .offset = 6, .finished = true});
  Advance(std::chrono::seconds(181));
  Receive(1, TestPayment(2, "n"));
  BOOST_TEST(Received(1, 2) == "paid n");
  Advance(std::chrono::seconds(120));
  dispatch late = TestPayment(3, "n");
  late.attempt = 2;
  Receive(1, late);
  BOOST_TEST(WasRefused(1, 3, refusal_reason::kGrantExpired, run_certainty::kUnknown));
  Receive(1, TestPayment(4, "new"));
  BOOST_TEST(WasRefused(1, 4, refusal_reason::kGrantExpired));
  dispatch foreign = TestPayment(5, "n");
  foreign.idempotency_key = FormatGrantKey({{"pay-1", kAgentIncarnation + 1, 6}, "n"});
  foreign.attempt = 2;
  Receive(1, foreign);
  BOOST_TEST(WasRefused(1, 5, refusal_reason::kGrantExpired, run_certainty::kUnknown));
  dispatch bare = TestPayment(6, "n");
  bare.idempotency_key.clear();
  Receive(1, bare);
  BOOST_TEST(WasRefused(1, 6, refusal_reason::kGrantMissing));
  BOOST_TEST(Starts() == 1U);
}

// Guards against a caller that has gone and whose draft blocks a slot, and against a payment whose
// answer is thrown away because its caller has gone.
BOOST_FIXTURE_TEST_CASE(OnlyIdempotentWorkIsCancelled, fixture) {
  Serve();
  Receive(1, TestWork(1));
  Receive(1, cancel{.id = TestWork(1).id});
  BOOST_TEST(All<upstream_cancel>().size() == 1U);
  End(1, upstream_outcome::kBroken);
  Receive(1, TestPayment(2, "n"));
  Receive(1, cancel{.id = TestWork(2).id});
  Complete(2, "paid");
  Receive(1, TestPayment(3, "n"));
  BOOST_TEST(Received(1, 3) == "paid");
  Receive(1, TestWork(4));
  Input(peer_closed{.connection = 1});
  Advance(std::chrono::milliseconds(4750));
  BOOST_TEST(All<upstream_cancel>().size() == 1U);
  Advance(std::chrono::milliseconds(500));
  BOOST_TEST(All<upstream_cancel>().size() == 2U);
}

// Guards against a request that crashes one upstream after the other, and against innocent
// requests that stay suspects.
BOOST_FIXTURE_TEST_CASE(SuspectsRunAloneAndAreRefusedAfterTheSecondDeath, fixture) {
  Serve();
  const auto die = [this](const char* instance) {
    End(All<upstream_start>().back().execution, upstream_outcome::kBroken);
    Input(upstream_report{.reachable = true, .instance = instance});
  };
  Input(upstream_report{.reachable = true, .instance = "a"});
  Receive(1, TestWork(1));
  die("b");
  BOOST_TEST(Sent<answer_part>(1).back().suspects.size() == 1U);
  BOOST_TEST(All<heartbeat_send>().back().content.suspects.size() == 1U);
  BOOST_TEST(core.State()["suspects"].size() == 1U);
  dispatch again = TestWork(2);
  again.fingerprint = 1;
  Receive(1, again);
  Receive(1, TestWork(3));
  BOOST_TEST(Starts() == 2U);
  die("c");
  again.id.sequence = 4;
  Receive(1, again);
  BOOST_TEST(WasRefused(1, 4, refusal_reason::kSuspect));
  Beat({{.fingerprint = 5, .deaths = 1}});
  Complete(3, "x");
  Receive(1, TestWork(5));
  Complete(All<upstream_start>().back().execution, "x");
  const auto suspects = core.State()["suspects"];
  BOOST_TEST(suspects.back()["cleared"] == 1U);
  dispatch known = TestWork(6);
  known.suspects = {{.fingerprint = 6, .deaths = 2, .observer = 7}};
  Receive(1, known);
  BOOST_TEST(WasRefused(1, 6, refusal_reason::kSuspect));
}

// Guards against a request that is cleared by a refusal of its upstream, which did not run it: it
// used to end one upstream after the other, with a refusal in between.
BOOST_FIXTURE_TEST_CASE(OnlyACompletedRunClearsASuspect, fixture) {
  Serve();
  std::uint64_t sequence = 0;
  for (const std::uint16_t status : {503, 429, 421, 408, 500, 200}) {
    dispatch work = TestWork(++sequence);
    work.fingerprint = 100 + sequence;
    work.suspects = {{.fingerprint = work.fingerprint, .deaths = 1, .observer = 7}};
    Receive(1, work);
    const execution_id execution = All<upstream_start>().back().execution;
    Input(upstream_head{.execution = execution, .status = status, .content_type = "text/plain"});
    Input(upstream_end{.execution = execution});
    const auto suspects = core.State()["suspects"];
    const auto known = std::find_if(suspects.begin(), suspects.end(), [&](const auto& each) {
      return each["fingerprint"] == work.fingerprint;
    });
    BOOST_TEST_REQUIRE((known != suspects.end()));
    BOOST_TEST((*known)["cleared"] == (status == 200 ? 1U : 0U), "status " << status);
  }
}

// Guards against queued work that starts after its time to live or after a drain.
BOOST_FIXTURE_TEST_CASE(QueuedWorkIsCheckedBeforeItStarts, fixture) {
  Serve();
  Receive(1, TestWork(1));
  dispatch brief = TestWork(2);
  brief.remaining = std::chrono::milliseconds(500);
  Receive(1, brief);
  Receive(1, TestPayment(3, "n"));
  Advance(std::chrono::milliseconds(500));
  BOOST_TEST(WasRefused(1, 2, refusal_reason::kDeadline));
  Publish(2, "out");
  BOOST_TEST(WasRefused(1, 3, refusal_reason::kDraining));
  Complete(1, "x");
  BOOST_TEST(Starts() == 1U);
}

// Guards against a queue without bound; one runs and four wait.
BOOST_FIXTURE_TEST_CASE(FullQueueRefuses, fixture) {
  Serve();
  for (std::uint64_t sequence = 1; sequence <= 6; ++sequence) {
    Receive(1, TestWork(sequence));
  }
  BOOST_TEST(WasRefused(1, 6, refusal_reason::kOverload));
  const refusal last = Sent<refusal>(1).back();
  BOOST_TEST((last.load == upstream_load{.in_flight = 1, .queued = 4, .limit = 1}));
  BOOST_TEST((last.retry_after > duration::zero()));
}

// Guards against a shutdown that cuts off running work or answers that entries have not taken.
BOOST_FIXTURE_TEST_CASE(ShutdownWaitsForWorkAndAcknowledgements, fixture) {
  Serve();
  Receive(1, TestWork(1));
  Receive(1, TestWork(2));
  Input(shutdown_requested{});
  BOOST_TEST((All<heartbeat_send>().back().content.state == process_state::kLeaving));
  Advance(std::chrono::seconds(3));
  Complete(1, "x");
  Complete(2, "y");
  Receive(1, acknowledgement{.id = TestWork(1).id, .offset = 1, .finished = true});
  Advance(std::chrono::seconds(3));
  BOOST_TEST(All<process_finished>().empty());
  Receive(1, acknowledgement{.id = TestWork(2).id, .offset = 1, .finished = true});
  BOOST_TEST(All<process_finished>().size() == 1U);
}

// Guards against a shutdown that never ends because an entry has died.
BOOST_FIXTURE_TEST_CASE(ShutdownEndsWithoutAcknowledgements, fixture) {
  Serve();
  Pay(1, "n");
  Input(shutdown_requested{});
  Advance(std::chrono::milliseconds(9750));
  BOOST_TEST(All<process_finished>().empty());
  Advance(std::chrono::milliseconds(250));
  BOOST_TEST(All<process_finished>().size() == 1U);
}

// Guards against entries that cannot find a new agent, or route by old load or epochs.
BOOST_FIXTURE_TEST_CASE(HeartbeatsReachSeedsAndEntries, fixture) {
  core.Advance(At(), outputs);
  BOOST_TEST(All<heartbeat_send>().back().to == "seed:1");
  Serve();
  clock.Advance(std::chrono::milliseconds(500));
  core.Advance(At(), outputs);
  BOOST_TEST(All<heartbeat_send>().back().to == "entry-1:1");
  Beat({});
  clock.Advance(std::chrono::milliseconds(500));
  core.Advance(At(), outputs);
  const heartbeat_send last = All<heartbeat_send>().back();
  BOOST_TEST(last.to == "entry-1:9");
  BOOST_TEST(last.content.grant_epoch == 1U);
  BOOST_TEST(last.content.load.limit == 1U);
}

// Guards against inputs that crash the process.
BOOST_FIXTURE_TEST_CASE(UnexpectedInputsAreIgnored, fixture) {
  for (int round = 0; round < 2; ++round) {
    for (const peer_message& message :
         {peer_message(hello{}), peer_message(dispatch{}), peer_message(cancel{}),
          peer_message(answer_head{}), peer_message(acknowledgement{}), peer_message(refusal{}),
          peer_message(configuration_reply{}), peer_message(ping{})}) {
      Receive(1, message);
    }
    Input(peer_closed{.connection = 9});
    Input(upstream_head{.execution = 9});
    Input(upstream_part{.execution = 9});
    Input(upstream_end{.execution = 9});
    Input(upstream_report{});
    Input(instances_received{});
    for (const auto kind : {operator_query_kind::kState, operator_query_kind::kStatus}) {
      Input(operator_query{.kind = kind});
      BOOST_TEST(nlohmann::json::parse(All<operator_reply>().back().body).is_object());
    }
    Serve();
  }
}

// Guards against an upstream that is sent an answer without bound, and against an entry that takes
// a cut answer for a whole one.
BOOST_AUTO_TEST_CASE(AnswerBeyondItsBoundEndsBroken) {
  agent_harness agent({.max_answer_bytes = 10, .max_buffered_bytes = 1000});
  agent.Serve();
  agent.Receive(1, TestWork(1));
  agent.Input(upstream_head{.execution = 1, .status = 200});
  agent.Input(upstream_part{.execution = 1, .bytes = "12345678"});
  agent.Receive(1, acknowledgement{.id = TestWork(1).id, .offset = 8});
  agent.Input(upstream_part{.execution = 1, .bytes = "12345678"});
  BOOST_TEST(agent.All<upstream_cancel>().empty());
  agent.Input(upstream_part{.execution = 1, .bytes = "12345678"});
  BOOST_TEST(agent.All<upstream_cancel>().size() == 1U);
  BOOST_TEST((agent.Sent<answer_part>(1).back().end == answer_end::kBroken));
}

// Guards against a payment whose answer does not end and holds its slot and the shutdown for ever.
BOOST_AUTO_TEST_CASE(PaymentBeyondItsBoundReleasesTheUpstream) {
  agent_harness agent({.max_answer_bytes = 10, .max_buffered_bytes = 1000});
  agent.Serve();
  agent.Receive(1, TestPayment(1, "n"));
  agent.Input(upstream_head{.execution = 1, .status = 200});
  agent.Input(upstream_part{.execution = 1, .bytes = "12345678"});
  agent.Input(upstream_part{.execution = 1, .bytes = "12345678"});
  BOOST_TEST(agent.All<upstream_cancel>().size() == 1U);
  BOOST_TEST_REQUIRE(agent.Sent<refusal>(1).size() == 1U);
  BOOST_TEST((agent.Sent<refusal>(1).back().certainty == run_certainty::kUnknown));
  agent.Input(upstream_end{.execution = 1, .outcome = upstream_outcome::kBroken});
  agent.Receive(1, TestPayment(2, "n"));
  BOOST_TEST(agent.All<upstream_start>().size() == 1U);
  BOOST_TEST((agent.Sent<refusal>(1).back().certainty == run_certainty::kUnknown));
  agent.Input(shutdown_requested{});
  agent.Advance(std::chrono::seconds(11));
  BOOST_TEST(agent.All<process_finished>().size() == 1U);
}

// Guards against a late copy of a payment that was refused when the table had no room for it.
BOOST_AUTO_TEST_CASE(KeyRefusedByAFullTableNeverRuns) {
  agent_harness agent({.max_executions = 1});
  agent.Serve();
  agent.Receive(1, TestWork(1));
  agent.Receive(1, TestPayment(2, "n"));
  agent.Complete(1, "x");
  agent.Receive(1, acknowledgement{.id = TestWork(1).id, .offset = 1, .finished = true});
  agent.Receive(1, TestPayment(3, "n"));
  BOOST_TEST(agent.All<upstream_start>().size() == 1U);
  BOOST_TEST(agent.Sent<refusal>(1).size() == 2U);
  agent.Advance(std::chrono::seconds(61));
  agent.Receive(1, TestPayment(4, "n", 2));
  BOOST_TEST(agent.All<upstream_start>().size() == 2U);
}

}  // namespace
}  // namespace berylbarrow
