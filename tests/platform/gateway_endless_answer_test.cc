#include <boost/test/unit_test.hpp>
#include <chrono>

#include "berylbarrow/connection/http/upstream_link.h"
#include "platform/gateway_fixture.h"

namespace berylbarrow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using steady = std::chrono::steady_clock;

// The largest answer, what its link may have read beyond it, and the buffers of the sockets.
constexpr std::size_t kMaxSentBytes = std::size_t{20} << 20U;
// Well before the deadline, which is 30 s.
constexpr auto kMaxAnswerTime = seconds(10);

/// Sends `begin` and then `endless` again and again.
scripted_upstream EndlessUpstream(const std::string& begin, const std::string& endless,
                                  milliseconds pause = milliseconds(0)) {
  return scripted_upstream([=](const std::string& request) {
    std::string bytes = begin;
    const std::string kId = "$ID";
    if (const auto at = bytes.find(kId); at != std::string::npos) {
      bytes.replace(at, kId.size(), HeaderValue(request, "Request-Attempt-Id"));
    }
    return scripted_reply{.bytes = bytes, .endless_bytes = endless, .pause = pause};
  });
}

const std::string kSignedHead =
    "HTTP/1.1 200 OK\r\nRequest-Attempt-Id: $ID\r\nReplica-Signature: sig\r\n";

/// The gateway ends the connection after the answer, so that its arrival can be timed.
std::string MakeLastRequest(const std::string& route) {
  const std::string request = MakeRequest(route, "a1", "key-1", seconds(30));
  const std::size_t head_end = request.find("\r\n\r\n");
  return request.substr(0, head_end) + "\r\nConnection: close" + request.substr(head_end);
}

void CheckPaymentFails(const std::string& begin, const std::string& endless) {
  const scripted_upstream upstream = EndlessUpstream(begin, endless);
  const gateway_fixture gateway({&upstream}, {.route_timeout = seconds(30)});
  const auto start = steady::now();
  const std::string response = gateway.SendAndReceive(MakeLastRequest("pay"), seconds(12));
  BOOST_TEST((steady::now() - start < kMaxAnswerTime));
  // The payment may have run, so no status that promises "not run" is allowed.
  BOOST_TEST(response.starts_with("HTTP/1.1 502"), response.substr(0, 200));
  BOOST_TEST(response.find("Content-Length: 0") != std::string::npos, response.substr(0, 200));
  BOOST_TEST(upstream.Requests().size() == 1U);
  BOOST_TEST(upstream.EndlessByteCount() < kMaxSentBytes);
}

// An upstream in trouble may send bytes without end, in a head or in a body.
BOOST_AUTO_TEST_CASE(a_payment_fails_with_502_if_the_head_does_not_end) {
  CheckPaymentFails("HTTP/1.1 200 OK\r\nX: ", std::string(4096, 'x'));
  CheckPaymentFails("HTTP/1.1 200 OK\r\n", "X: " + std::string(1000, 'x') + "\r\n");
}

BOOST_AUTO_TEST_CASE(a_payment_fails_with_502_if_no_head_comes) {
  CheckPaymentFails("", std::string(4096, '\0'));
  CheckPaymentFails("", "HTTP/1.1 100 Continue\r\n\r\n");
  CheckPaymentFails("",
                    "HTTP/1.1 200 OK\r\nRequest-Attempt-Id: other\r\n"
                    "Content-Length: 0\r\n\r\n");
}

BOOST_AUTO_TEST_CASE(a_payment_fails_with_502_if_the_body_does_not_end) {
  CheckPaymentFails(kSignedHead + "\r\n", std::string(4096, 'x'));
  CheckPaymentFails(kSignedHead + "Content-Length: 900000000000\r\n\r\n", std::string(4096, 'x'));
  CheckPaymentFails(kSignedHead + "Transfer-Encoding: chunked\r\n\r\n",
                    MakeChunk(std::string(4096, 'x')));
}

// Beast has no limit for what stands between the chunks.
BOOST_AUTO_TEST_CASE(a_payment_fails_with_502_if_a_chunk_head_or_the_trailer_does_not_end) {
  CheckPaymentFails(kSignedHead + "Transfer-Encoding: chunked\r\n\r\n5;x=", std::string(4096, 'x'));
  CheckPaymentFails(kSignedHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
                    "X: " + std::string(1000, 'x') + "\r\n");
}

BOOST_AUTO_TEST_CASE(a_draft_continues_at_another_upstream_if_an_event_does_not_end) {
  for (const milliseconds pause : {milliseconds(0), milliseconds(100)}) {
    const scripted_upstream endless = EndlessUpstream(
        kSignedHead + "Transfer-Encoding: chunked\r\n\r\n" + MakeChunk("id: 1\ndata: a\n\n"),
        MakeChunk(": comment\n"), pause);
    const scripted_upstream other([](const std::string& request) {
      return scripted_reply{.bytes = MakeStreamResponse(request, {"id: 2\ndata: b\n\n"}, true)};
    });
    const gateway_fixture gateway({&endless, &other}, {.route_timeout = seconds(30)});
    const auto start = steady::now();
    const std::string response = gateway.SendAndReceive(MakeLastRequest("draft"), seconds(12));
    BOOST_TEST((steady::now() - start < kMaxAnswerTime));
    BOOST_TEST(response.find("data: a") != std::string::npos, response.substr(0, 300));
    BOOST_TEST(response.ends_with("data: b\n\n\r\n0\r\n\r\n"), response.substr(0, 300));
    BOOST_TEST(response.find(": comment") == std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(a_draft_without_another_upstream_is_reset_and_does_not_look_complete) {
  const scripted_upstream endless = EndlessUpstream(
      kSignedHead + "Transfer-Encoding: chunked\r\n\r\n" + MakeChunk("id: 1\ndata: a\n\n"),
      MakeChunk(std::string(4096, 'x')));
  const gateway_fixture gateway({&endless}, {.route_timeout = seconds(30)});
  const std::string response = gateway.SendAndReceive(MakeLastRequest("draft"), seconds(12));
  BOOST_TEST(!response.ends_with("\r\n0\r\n\r\n"));
  BOOST_TEST(gateway.LastConnectionWasReset());
}

// Memory stays bounded if several upstreams do so at once.
BOOST_AUTO_TEST_CASE(answers_share_one_limit_for_the_bytes_that_are_held) {
  byte_budget budget(100, 0);
  BOOST_TEST(budget.Replace(0, 60));
  BOOST_TEST(!budget.Replace(0, 41));
  BOOST_TEST(budget.Replace(60, 100));
  BOOST_TEST(!budget.Replace(100, 101));
  BOOST_TEST(budget.Replace(100, 0));
  BOOST_TEST(budget.Used() == 0U);
}

// Answers without end of one upstream used up the limit, and those of all others failed.
BOOST_AUTO_TEST_CASE(small_answers_do_not_fail_because_of_large_ones) {
  byte_budget budget(100, 10);
  BOOST_TEST(budget.Replace(0, 110));
  BOOST_TEST(budget.Used() == 100U);
  BOOST_TEST(budget.Replace(0, 10));
  BOOST_TEST(!budget.Replace(10, 11));
  BOOST_TEST(budget.Replace(110, 5));
  BOOST_TEST(budget.Used() == 0U);
}

BOOST_AUTO_TEST_CASE(a_caller_that_sends_a_chunk_head_without_end_gets_431) {
  const gateway_fixture gateway({});
  const std::string response = gateway.SendAndReceive(
      "POST /pay/x HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n5;x=" +
      std::string(100'000, 'x'));
  BOOST_TEST(response.starts_with("HTTP/1.1 431"), response.substr(0, 200));
}

}  // namespace
}  // namespace berylbarrow
