#include <boost/test/unit_test.hpp>

#include "platform/gateway_world.h"

namespace berylbarrow {
namespace {

using std::chrono::milliseconds;
using end = scripted_reply::end;

constexpr const char* kStreamFields = "Content-Type: text/event-stream\r\n";

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

int Count(const std::string& text, const std::string& part) {
  int count = 0;
  for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) ++count;
  return count;
}

/// The head of a chunked stream and its first chunks.
std::string Stream(const std::string& request, const std::vector<std::string>& chunks, bool ended) {
  std::string text =
      "HTTP/1.1 200 OK\r\nRequest-Attempt-Id: " + FieldOf(request, "Request-Attempt-Id") +
      "\r\nReplica-Signature: sig\r\n" + kStreamFields + "Transfer-Encoding: chunked\r\n\r\n";
  for (const std::string& chunk : chunks) {
    char length[16];
    std::snprintf(length, sizeof(length), "%zx\r\n", chunk.size());
    text += length + chunk + "\r\n";
  }
  return ended ? text + "0\r\n\r\n" : text;
}

scripted_upstream Serving(const std::string& body) {
  return scripted_upstream([body](const std::string& request) {
    return scripted_reply{.bytes = Answer(request, 200, body)};
  });
}

BOOST_AUTO_TEST_CASE(a_request_is_relayed_with_its_account_and_without_its_key) {
  const scripted_upstream upstream = Serving("done");
  const gateway_world world({&upstream});
  const std::string answer = world.Exchange(CallerRequest("pay", "a1"));
  BOOST_TEST(Has(answer, "HTTP/1.1 200"));
  BOOST_TEST(Has(answer, "Replica-Signature: sig"));
  BOOST_TEST(Has(answer, "\r\n\r\ndone"));
  BOOST_TEST_REQUIRE(upstream.Requests().size() == 1U);
  const std::string sent = upstream.Requests().front();
  BOOST_TEST(FieldOf(sent, "Tenant") == "counter");
  BOOST_TEST(FieldOf(sent, "Expect-Replica") == "i-1");
  BOOST_TEST(!Has(sent, "key-1"));
  BOOST_TEST(Has(sent, "\r\n\r\nabc"));
}

BOOST_AUTO_TEST_CASE(a_payment_whose_answer_is_lost_is_not_sent_again) {
  const scripted_upstream losing(
      [](const std::string&) { return scripted_reply{.after = end::kReset}; });
  const scripted_upstream other = Serving("done");
  const gateway_world world({&losing, &other});
  BOOST_TEST(Has(world.Exchange(CallerRequest("pay", "a1")), "HTTP/1.1 502"));
  BOOST_TEST(losing.Requests().size() + other.Requests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_lookup_whose_answer_is_lost_is_sent_to_another_upstream) {
  const scripted_upstream losing(
      [](const std::string&) { return scripted_reply{.after = end::kReset}; });
  const scripted_upstream other = Serving("done");
  const gateway_world world({&losing, &other});
  BOOST_TEST(Has(world.Exchange(CallerRequest("read", "a1")), "\r\n\r\ndone"));
}

BOOST_AUTO_TEST_CASE(a_payment_that_was_refused_as_not_run_is_sent_to_another_upstream) {
  const scripted_upstream full([](const std::string&) {
    return scripted_reply{.bytes =
                              "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"};
  });
  const scripted_upstream other = Serving("done");
  const gateway_world world({&full, &other});
  BOOST_TEST(Has(world.Exchange(CallerRequest("pay", "a1")), "\r\n\r\ndone"));
  BOOST_TEST(other.Requests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(
    a_status_that_promises_not_run_is_not_passed_on_for_a_payment_that_may_have_run) {
  const scripted_upstream failing([](const std::string& request) {
    return scripted_reply{.bytes = Answer(request, 503, "sorry")};
  });
  const gateway_world world({&failing});
  const std::string answer = world.Exchange(CallerRequest("pay", "a1"));
  BOOST_TEST(Has(answer, "HTTP/1.1 502"));
  BOOST_TEST(!Has(answer, "Replica-Signature"));
}

BOOST_AUTO_TEST_CASE(a_late_second_answer_belongs_to_no_request) {
  const scripted_upstream doubling([](const std::string& request) {
    const bool first = FieldOf(request, "Request-Attempt-Id") == "a1";
    std::string bytes = Answer(request, 200, first ? "one" : "two");
    // The extra answer to the first request arrives where the second one's is expected.
    if (!first) bytes = Answer("\r\nRequest-Attempt-Id: a1\r\n", 200, "one") + bytes;
    return scripted_reply{.bytes = bytes};
  });
  const gateway_world world({&doubling});
  BOOST_TEST(Has(world.Exchange(CallerRequest("pay", "a1")), "\r\n\r\none"));
  const std::string second = world.Exchange(CallerRequest("pay", "a2"));
  BOOST_TEST(Has(second, "\r\n\r\ntwo"));
  BOOST_TEST(!Has(second, "one"));
}

BOOST_AUTO_TEST_CASE(a_success_that_no_upstream_signed_is_not_passed_on) {
  const scripted_upstream forged([](const std::string&) {
    return scripted_reply{.bytes = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfake"};
  });
  const gateway_world world({&forged});
  const std::string answer = world.Exchange(CallerRequest("pay", "a1"));
  BOOST_TEST(Has(answer, "HTTP/1.1 502"));
  BOOST_TEST(!Has(answer, "fake"));
}

BOOST_AUTO_TEST_CASE(bytes_that_are_no_answer_and_cut_answers_fail_the_request) {
  for (const std::string bytes :
       {"garbage\r\n\r\n",
        "HTTP/1.1 200 OK\r\nReplica-Signature: s\r\nContent-Length: 9\r\n\r\nab"}) {
    const scripted_upstream garbled([bytes](const std::string&) {
      return scripted_reply{.bytes = bytes, .after = end::kClose};
    });
    const gateway_world world({&garbled});
    BOOST_TEST(Has(world.Exchange(CallerRequest("pay", "a1")), "HTTP/1.1 502"));
  }
}

BOOST_AUTO_TEST_CASE(an_answer_without_length_is_whole_only_if_its_connection_ends_in_order) {
  for (const end after : {end::kClose, end::kReset}) {
    const scripted_upstream unframed([after](const std::string& request) {
      return scripted_reply{.bytes = "HTTP/1.1 200 OK\r\nRequest-Attempt-Id: " +
                                     FieldOf(request, "Request-Attempt-Id") +
                                     "\r\nReplica-Signature: s\r\n\r\nall of it",
                            .after = after};
    });
    const gateway_world world({&unframed});
    const std::string answer = world.Exchange(CallerRequest("pay", "a1"));
    BOOST_TEST(Has(answer, "all of it") == (after == end::kClose));
  }
}

BOOST_AUTO_TEST_CASE(a_torn_stream_goes_on_at_another_upstream) {
  const scripted_upstream torn([](const std::string& request) {
    return scripted_reply{.bytes = Stream(request, {"id: 1\ndata: a\n\n", "id: 2\nda"}, false),
                          .after = end::kReset};
  });
  const scripted_upstream other([](const std::string& request) {
    return scripted_reply{.bytes = Stream(request, {"id: 2\ndata: b\n\n"}, true)};
  });
  const gateway_world world({&torn, &other});
  const std::string answer = world.Exchange(CallerRequest("draft", "a1"));
  BOOST_TEST(Count(answer, "HTTP/1.1") == 1);
  BOOST_TEST(Count(answer, "id: 2") == 1);
  BOOST_TEST(Has(answer, "data: b\n\n\r\n0\r\n\r\n"));
  BOOST_TEST_REQUIRE(other.Requests().size() == 1U);
  BOOST_TEST(FieldOf(other.Requests().front(), "Last-Event-Id") == "1");
}

// hunt on ophodnja-hr, mix --seed 62763989409: the refusal of the second upstream was written as a
// second answer into the stream.
BOOST_AUTO_TEST_CASE(a_stream_whose_resumption_is_refused_is_cut) {
  const scripted_upstream torn([](const std::string& request) {
    return scripted_reply{.bytes = Stream(request, {"id: 1\ndata: a\n\n"}, false),
                          .after = end::kReset};
  });
  const scripted_upstream full([](const std::string&) {
    return scripted_reply{.bytes =
                              "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"};
  });
  const gateway_world world({&torn, &full});
  const std::string answer = world.Exchange(CallerRequest("draft", "a1"));
  BOOST_TEST(Count(answer, "HTTP/1.1") == 1);
  BOOST_TEST(!Has(answer, "\r\n0\r\n\r\n"));
  BOOST_TEST(world.WasReset());
}

// ophodnja-hr trouble-2 at 1e37d1c (GONE): requests lay unread at an upstream that stood still, and
// reached it after their callers had left.
BOOST_AUTO_TEST_CASE(a_caller_that_leaves_resets_its_attempt) {
  const scripted_upstream silent([](const std::string&) { return scripted_reply{}; });
  const gateway_world world({&silent});
  BOOST_TEST(world.Exchange(CallerRequest("draft", "a1"), milliseconds(100)).empty());
  for (int i = 0; i < 50 && silent.Resets() == 0; ++i) {
    std::this_thread::sleep_for(milliseconds(10));
  }
  BOOST_TEST(silent.Requests().size() == 1U);
  BOOST_TEST(silent.Resets() == 1);
}

BOOST_AUTO_TEST_CASE(keys_routes_and_staleness_have_answers_of_their_own) {
  const scripted_upstream upstream = Serving("done");
  gateway_world world({&upstream});
  BOOST_TEST(Has(world.Exchange(CallerRequest("pay", "a1", "no-key")), "HTTP/1.1 401"));
  BOOST_TEST(Has(world.Exchange(CallerRequest("none", "a2")), "HTTP/1.1 404"));
  world.MakeStale(milliseconds(5000));
  const std::string stale = world.Exchange(CallerRequest("pay", "a3"));
  BOOST_TEST(Has(stale, "HTTP/1.1 503"));
  BOOST_TEST(Has(stale, "Retry-After: "));
  BOOST_TEST(upstream.Requests().empty());
}

BOOST_AUTO_TEST_CASE(requests_with_unsound_framing_reach_no_upstream) {
  const scripted_upstream upstream = Serving("done");
  const gateway_world world({&upstream});
  const std::string head =
      "POST /pay/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token key-1\r\n";
  for (const std::string fields : {
           "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
           "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
           "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
           "Transfer-Encoding: gzip\r\n\r\nabc",
           "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
           "Content-Length: -3\r\n\r\nabc",
           "Content-Length: 3x\r\n\r\nabc",
           "Host: other.example\r\nContent-Length: 3\r\n\r\nabc",
           "Bad Name: x\r\n\r\n",
       }) {
    const std::string answer = world.Exchange(head + fields, milliseconds(200));
    BOOST_TEST(Has(answer, "HTTP/1.1 400"), fields << " was answered " << answer);
  }
  BOOST_TEST(upstream.Requests().empty());
}

BOOST_AUTO_TEST_CASE(oversized_heads_and_bodies_are_refused) {
  const scripted_upstream upstream = Serving("done");
  const gateway_world world({&upstream});
  const std::string head = "POST /pay/x HTTP/1.1\r\nHost: h.example\r\n";
  BOOST_TEST(
      Has(world.Exchange(head + "X: " + std::string(20'000, 'x') + "\r\n\r\n"), "HTTP/1.1 431"));
  BOOST_TEST(Has(world.Exchange(head + "Content-Length: 99999999\r\n\r\n"), "HTTP/1.1 413"));
  BOOST_TEST(upstream.Requests().empty());
}

}  // namespace
}  // namespace berylbarrow
