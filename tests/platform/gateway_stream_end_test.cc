#include <boost/test/unit_test.hpp>

#include "platform/gateway_fixture.h"

namespace berylbarrow {
namespace {

using connection_action = scripted_reply::connection_action;

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

std::string UnframedHead(const std::string& request) {
  return "HTTP/1.1 200 OK\r\nRequest-Attempt-Id: " + HeaderValue(request, "Request-Attempt-Id") +
         "\r\nReplica-Signature: s\r\nContent-Type: text/event-stream\r\n\r\n";
}

// Guards against a stream that looks complete although its upstream broke it off, where the end of
// the connection is the end of the stream.
BOOST_AUTO_TEST_CASE(a_stream_that_ends_with_its_connection_is_complete_only_after_a_whole_event) {
  for (const std::string events : {"id: 1\ndata: a\n\n", "id: 1\ndata: a\n\nid: 2\nda", ""}) {
    const scripted_upstream unframed([events](const std::string& request) {
      return scripted_reply{.bytes = UnframedHead(request) + events,
                            .action = connection_action::kClose};
    });
    const gateway_fixture gateway({&unframed});
    const std::string answer = gateway.SendAndReceive(MakeRequest("draft", "a1"));
    const bool is_whole = events == "id: 1\ndata: a\n\n";
    BOOST_TEST(Contains(answer, "\r\n0\r\n\r\n") == is_whole,
               "events " << events << ": " << answer);
    BOOST_TEST(!Contains(answer, "id: 2"));
  }
}

// Guards against losing the rest of a stream that ended inside an event: another upstream goes on.
BOOST_AUTO_TEST_CASE(a_stream_that_ends_inside_an_event_is_resumed) {
  const scripted_upstream torn([](const std::string& request) {
    return scripted_reply{.bytes = UnframedHead(request) + "id: 1\ndata: a\n\nid: 2\nda",
                          .action = connection_action::kClose};
  });
  const scripted_upstream other([](const std::string& request) {
    return scripted_reply{.bytes = UnframedHead(request) + "id: 2\ndata: b\n\n",
                          .action = connection_action::kClose};
  });
  const gateway_fixture gateway({&torn, &other});
  const std::string answer = gateway.SendAndReceive(MakeRequest("draft", "a1"));
  BOOST_TEST(Contains(answer, "data: b\n\n\r\n0\r\n\r\n"));
  BOOST_TEST_REQUIRE(other.Requests().size() == 1U);
  BOOST_TEST(HeaderValue(other.Requests().front(), "Last-Event-Id") == "1");
}

}  // namespace
}  // namespace berylbarrow
