#include <boost/test/unit_test.hpp>
#include <chrono>

#include "platform/gateway_fixture.h"

namespace berylbarrow {
namespace {

using connection_action = scripted_reply::connection_action;
using reply_time = scripted_upstream::reply_time;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kDeadline{20};
constexpr gateway_fixture_options kOptions{.route_timeout = kDeadline};
// Fills the buffers of both sockets, so that the gateway is still writing when the answer comes.
constexpr std::size_t kLongUpload = (4U << 20U) - 1;
constexpr std::size_t kShortUpload = 3;
const std::string kPart = "half of the ans";

/// The gateway ends the connection after the answer, so that the test need not guess when it is
/// complete.
std::string MakeUpload(const std::string& route, std::size_t size) {
  return "POST /" + route +
         "/x HTTP/1.1\r\nHost: h.example\r\nRequest-Attempt-Id: a1\r\nAuthorization: Token "
         "key-1\r\n"
         "Deadline-Remaining-Ms: " +
         std::to_string(milliseconds(kDeadline).count()) +
         "\r\nConnection: close\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n" +
         std::string(size, 'u');
}

/// The head of an answer that ends with its connection.
std::string UnframedHead(const std::string& request) {
  return "HTTP/1.1 200 OK\r\nRequest-Attempt-Id: " + HeaderValue(request, "Request-Attempt-Id") +
         "\r\nReplica-Signature: s\r\n\r\n";
}

std::string MakeEvent(int number) {
  return "id: " + std::to_string(number) + "\ndata: e" + std::to_string(number) + "\n\n";
}

/// Begins an answer that ends with its connection as soon as the head of the request has come,
/// and breaks it off.
struct early_upstream {
  early_upstream(const std::string& part, connection_action action, const std::string& later = "",
                 milliseconds delay = milliseconds(0))
      : upstream(
            [=](const std::string& request) {
              return scripted_reply{.bytes = UnframedHead(request) + part,
                                    .action = action,
                                    .delayed_bytes = later,
                                    .delay = delay};
            },
            reply_time::kAfterHeader) {}

  scripted_upstream upstream;
};

struct break_off {
  const char* name;
  std::string part;  // sent at once, after the head
  std::string later;
  milliseconds delay;
  connection_action action;
};

const std::vector<break_off> kBreaks = {
    {"reset after the head", "", "", milliseconds(0), connection_action::kReset},
    {"reset after a part", kPart, "", milliseconds(0), connection_action::kReset},
    {"reset later", kPart, "wer", milliseconds(200), connection_action::kReset},
    {"closed with unread bytes", kPart, "wer", milliseconds(100), connection_action::kClose},
    // The limit for unacknowledged bytes ends the connection.
    {"stalled", kPart, "", milliseconds(0), connection_action::kStall},
};

std::string Answer(const gateway_fixture& gateway, const std::string& request) {
  return gateway.SendAndReceive(request, kDeadline + seconds(5));
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// An upstream answered a long upload at once with a 200 without length, sent a part of the body and
// reset the connection while the upload was being written. The caller got the part as the answer.
BOOST_AUTO_TEST_CASE(a_payment_fails_with_502_if_its_answer_is_broken_off_during_the_upload) {
  for (const break_off& each : kBreaks) {
    BOOST_TEST_CONTEXT(each.name) {
      const early_upstream early(each.part, each.action, each.later, each.delay);
      const gateway_fixture gateway({&early.upstream}, kOptions);
      const std::string answer = Answer(gateway, MakeUpload("pay", kLongUpload));
      BOOST_TEST(answer.starts_with("HTTP/1.1 502"), answer.substr(0, 300));
      BOOST_TEST(!Contains(answer, kPart));
      BOOST_TEST(early.upstream.Requests().size() == 1U);
    }
  }
}

// The same, with an upload that has left the gateway.
BOOST_AUTO_TEST_CASE(a_payment_fails_with_502_if_its_answer_is_reset_after_the_upload) {
  const early_upstream early(kPart, connection_action::kReset);
  const gateway_fixture gateway({&early.upstream}, kOptions);
  const std::string answer = Answer(gateway, MakeUpload("pay", kShortUpload));
  BOOST_TEST(answer.starts_with("HTTP/1.1 502"), answer.substr(0, 300));
}

BOOST_AUTO_TEST_CASE(a_lookup_is_sent_again_if_its_answer_is_broken_off_during_the_upload) {
  for (const break_off& each : kBreaks) {
    BOOST_TEST_CONTEXT(each.name) {
      const early_upstream early(each.part, each.action, each.later, each.delay);
      const scripted_upstream sound([](const std::string& request) {
        return scripted_reply{.bytes = MakeSignedResponse(request, 200, "done")};
      });
      const gateway_fixture gateway({&early.upstream, &sound}, kOptions);
      const std::string answer = Answer(gateway, MakeUpload("read", kLongUpload));
      BOOST_TEST(answer.starts_with("HTTP/1.1 200"), answer.substr(0, 300));
      BOOST_TEST(answer.ends_with("\r\n\r\ndone"), answer.substr(0, 300));
      BOOST_TEST_REQUIRE(sound.Requests().size() == 1U);
      BOOST_TEST(sound.Requests().front().ends_with("\r\n\r\n" + std::string(kLongUpload, 'u')));
    }
  }
}

// A stream looks complete if it ends between two events.
BOOST_AUTO_TEST_CASE(a_stream_that_is_broken_off_during_the_upload_is_resumed) {
  for (const connection_action action : {connection_action::kReset, connection_action::kClose}) {
    const early_upstream early(MakeEvent(1), action, MakeEvent(2), milliseconds(100));
    const scripted_upstream other([](const std::string& request) {
      return scripted_reply{.bytes = MakeStreamResponse(request, {MakeEvent(3)}, true)};
    });
    const gateway_fixture gateway({&early.upstream, &other}, kOptions);
    const std::string answer = Answer(gateway, MakeUpload("draft", kLongUpload));
    BOOST_TEST(Contains(answer, MakeEvent(1)), answer);
    BOOST_TEST(answer.ends_with(MakeEvent(3) + "\r\n0\r\n\r\n"), answer);
    BOOST_TEST_REQUIRE(other.Requests().size() == 1U);
    BOOST_TEST(HeaderValue(other.Requests().front().substr(0, 1000), "Last-Event-Id") == "2");
  }
}

BOOST_AUTO_TEST_CASE(a_stream_that_is_broken_off_and_cannot_be_resumed_is_reset) {
  for (const break_off& each : kBreaks) {
    BOOST_TEST_CONTEXT(each.name) {
      const early_upstream early(MakeEvent(1), each.action);
      const gateway_fixture gateway({&early.upstream}, kOptions);
      const std::string answer = Answer(gateway, MakeUpload("draft", kLongUpload));
      BOOST_TEST(!answer.ends_with("\r\n0\r\n\r\n"), answer);
      BOOST_TEST(gateway.LastConnectionWasReset());
    }
  }
}

BOOST_AUTO_TEST_CASE(a_resumed_stream_that_is_broken_off_during_the_upload_is_reset) {
  const scripted_upstream first([](const std::string& request) {
    return scripted_reply{.bytes = MakeStreamResponse(request, {MakeEvent(1)}, false),
                          .action = connection_action::kReset};
  });
  const early_upstream second(MakeEvent(2), connection_action::kReset);
  const gateway_fixture gateway({&first, &second.upstream}, kOptions);
  const std::string answer = Answer(gateway, MakeUpload("draft", kLongUpload));
  BOOST_TEST(second.upstream.Requests().size() == 1U);
  BOOST_TEST(Contains(answer, MakeEvent(2)), answer);
  BOOST_TEST(!answer.ends_with("\r\n0\r\n\r\n"), answer);
  BOOST_TEST(gateway.LastConnectionWasReset());
}

// An answer that ends in order is complete, although the upstream does not read the upload.
BOOST_AUTO_TEST_CASE(an_answer_that_ends_in_order_during_the_upload_is_passed_on) {
  for (const milliseconds delay : {milliseconds(0), milliseconds(200)}) {
    const early_upstream early(kPart, connection_action::kFinish, "wer", delay);
    const gateway_fixture gateway({&early.upstream}, kOptions);
    const std::string answer = Answer(gateway, MakeUpload("pay", kLongUpload));
    BOOST_TEST(answer.starts_with("HTTP/1.1 200"), answer.substr(0, 300));
    BOOST_TEST(answer.ends_with("\r\n\r\n" + kPart + "wer"), answer.substr(0, 300));
  }
}

// The length shows that an answer is complete, whatever becomes of the connection.
BOOST_AUTO_TEST_CASE(an_answer_with_a_length_is_complete_although_the_upload_fails) {
  const scripted_upstream early(
      [](const std::string& request) {
        return scripted_reply{.bytes = MakeSignedResponse(request, 200, "done"),
                              .action = connection_action::kReset};
      },
      reply_time::kAfterHeader);
  const gateway_fixture gateway({&early}, kOptions);
  const std::string answer = Answer(gateway, MakeUpload("pay", kLongUpload));
  BOOST_TEST(answer.ends_with("\r\n\r\ndone"), answer.substr(0, 300));
}

}  // namespace
}  // namespace berylbarrow
