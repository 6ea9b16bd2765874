#include <boost/test/unit_test.hpp>
#include <chrono>

#include "platform/gateway_fixture.h"

namespace berylbarrow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using steady = std::chrono::steady_clock;

std::string StreamHead(const std::string& request) {
  return "HTTP/1.1 200 OK\r\nRequest-Attempt-Id: " + HeaderValue(request, "Request-Attempt-Id") +
         "\r\nReplica-Signature: sig\r\nTransfer-Encoding: chunked\r\n\r\n";
}

// An upstream that had stalled kept its connection busy with comments, which counted as progress,
// and the stream never went on elsewhere.
BOOST_AUTO_TEST_CASE(a_stalled_stream_that_sends_comments_goes_on_at_another_upstream) {
  for (const std::string comment : {": ping\n\n", "\n", "event: ping\n\n"}) {
    const scripted_upstream stalled([&](const std::string& request) {
      return scripted_reply{.bytes = StreamHead(request) + MakeChunk("id: 1\ndata: a\n\n"),
                            .endless_bytes = MakeChunk(comment),
                            .pause = milliseconds(200)};
    });
    const scripted_upstream other([](const std::string& request) {
      return scripted_reply{.bytes = MakeStreamResponse(request, {"id: 2\ndata: b\n\n"}, true)};
    });
    const gateway_fixture gateway({&stalled, &other}, {.route_timeout = seconds(6)});
    const auto start = steady::now();
    const std::string answer =
        gateway.SendAndReceive(MakeRequest("draft", "a1", "key-1", seconds(6)), milliseconds(1500));
    // Callers abandon a stream after a gap of 2 s between events.
    BOOST_TEST((steady::now() - start < seconds(4)), comment);
    BOOST_TEST(answer.find("data: a") != std::string::npos, answer.substr(0, 300));
    BOOST_TEST(answer.find("data: b") != std::string::npos, answer.substr(0, 300));
    BOOST_TEST(answer.ends_with("\r\n0\r\n\r\n"), answer.substr(0, 300));
  }
}

// A stream is not broken off because its events come slowly.
BOOST_AUTO_TEST_CASE(a_slow_stream_with_events_stays_at_its_upstream) {
  const scripted_upstream slow([](const std::string& request) {
    return scripted_reply{.bytes = StreamHead(request) + MakeChunk("id: 1\ndata: a\n\n"),
                          .delayed_bytes = MakeChunk("id: 2\ndata: b\n\n") + "0\r\n\r\n",
                          .delay = milliseconds(800)};
  });
  const scripted_upstream other([](const std::string& request) {
    return scripted_reply{.bytes = MakeStreamResponse(request, {"id: 2\ndata: c\n\n"}, true)};
  });
  const gateway_fixture gateway({&slow, &other}, {.route_timeout = seconds(6)});
  const std::string answer =
      gateway.SendAndReceive(MakeRequest("draft", "a1", "key-1", seconds(6)), milliseconds(1500));
  BOOST_TEST(answer.find("data: b") != std::string::npos, answer.substr(0, 300));
  BOOST_TEST(answer.ends_with("\r\n0\r\n\r\n"), answer.substr(0, 300));
  BOOST_TEST(other.Requests().empty());
}

}  // namespace
}  // namespace berylbarrow
