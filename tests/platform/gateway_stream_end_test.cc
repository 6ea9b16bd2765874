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

/// A request for the head of a stream, and a payment after it on the same connection.
std::string MakeHeadThenPayment() {
  const std::string draft = MakeRequest("draft", "a1");
  const std::string payment = MakeRequest("pay", "a2");
  const std::string length = "Content-Length: 3\r\n\r\nabc";
  return "HEAD" + draft.substr(4, draft.size() - 4 - length.size()) + "\r\n" +
         payment.substr(0, payment.size() - length.size()) + "Connection: close\r\n" + length;
}

// Guards against bytes that belong to no answer: the last chunk of a stream followed the answer to
// HEAD, and stood where the next answer of the connection was due (review/13).
BOOST_AUTO_TEST_CASE(the_answer_to_head_on_a_streaming_route_has_no_body) {
  const scripted_upstream upstream([](const std::string& request) {
    return request.starts_with("HEAD ")
               ? scripted_reply{.bytes = MakeStreamResponse(request, {}, false)}
               : scripted_reply{.bytes = MakeSignedResponse(request, 200, "paid")};
  });
  const gateway_fixture gateway({&upstream});
  const std::string answer = gateway.SendAndReceive(MakeHeadThenPayment());
  BOOST_TEST(answer.starts_with("HTTP/1.1 200"), answer);
  BOOST_TEST(Contains(answer.substr(0, answer.find("\r\n\r\n")), "text/event-stream"), answer);
  const std::size_t head_end = answer.find("\r\n\r\n") + 4;
  BOOST_TEST(answer.substr(head_end).starts_with("HTTP/1.1 200"), answer);
  BOOST_TEST(answer.ends_with("\r\n\r\npaid"), answer);
}

// An answer to HEAD ends with its head, whatever a body would have ended with.
BOOST_AUTO_TEST_CASE(the_answer_to_head_needs_no_event) {
  const scripted_upstream upstream([](const std::string& request) {
    return request.starts_with("HEAD ")
               ? scripted_reply{.bytes = UnframedHead(request)}
               : scripted_reply{.bytes = MakeSignedResponse(request, 200, "paid")};
  });
  const gateway_fixture gateway({&upstream});
  const std::string answer = gateway.SendAndReceive(MakeHeadThenPayment());
  BOOST_TEST(answer.starts_with("HTTP/1.1 200"), answer);
  BOOST_TEST(answer.ends_with("\r\n\r\npaid"), answer);
}

}  // namespace
}  // namespace berylbarrow
