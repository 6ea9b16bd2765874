#include <atomic>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "platform/gateway_fixture.h"

namespace berylbarrow {
namespace {

const std::vector<std::string> kNoStatuses = {"000", "099", "101",  "600", "700",
                                              "999", "20",  "2000", "-20", " 200"};

/// The first answer has `status` and a body that looks like an answer to the next request; further
/// ones are sound.
struct troubled_upstream {
  troubled_upstream(const std::string& status, const std::string& fields)
      : upstream([this, status, fields](const std::string& request) {
          const std::string body = MakeSignedResponse(request, 200, "stray");
          if (answered++ > 0) return scripted_reply{.bytes = Sound(request)};
          return scripted_reply{.bytes = "HTTP/1.1 " + status + " X\r\nRequest-Attempt-Id: " +
                                         HeaderValue(request, "Request-Attempt-Id") + "\r\n" +
                                         fields + "Content-Length: " + std::to_string(body.size()) +
                                         "\r\n\r\n" + body};
        }) {}

  static std::string Sound(const std::string& request) {
    return request.find("/draft/") == std::string::npos
               ? MakeSignedResponse(request, 200, "done")
               : MakeStreamResponse(request, {"id: 1\ndata: a\n\n"}, true);
  }

  std::atomic<int> answered{0};
  scripted_upstream upstream;
};

/// The gateway ends the connection after the answer, so that the test need not guess when it is
/// complete.
std::string Answer(const gateway_fixture& gateway, const std::string& route) {
  const std::string request = MakeRequest(route, "a1", "key-1", std::chrono::seconds(20));
  const std::size_t head_end = request.find("\r\n\r\n");
  return gateway.SendAndReceive(
      request.substr(0, head_end) + "\r\nConnection: close" + request.substr(head_end),
      std::chrono::seconds(25));
}

constexpr gateway_fixture_options kOptions{.route_timeout = std::chrono::seconds(20)};

const std::vector<std::string> kFields = {"", "Replica-Signature: sig\r\n", "Not-Executed: 1\r\n"};

// An upstream in trouble sent an answer whose status was 000. The caller of a payment waited until
// its deadline, or got 700 as the answer.
BOOST_AUTO_TEST_CASE(a_payment_fails_with_502_if_the_status_is_none) {
  for (const std::string& status : kNoStatuses) {
    for (const std::string& fields : kFields) {
      BOOST_TEST_CONTEXT(status << " " << fields) {
        const troubled_upstream troubled(status, fields);
        const gateway_fixture gateway({&troubled.upstream}, kOptions);
        const std::string first = Answer(gateway, "pay");
        BOOST_TEST(first.starts_with("HTTP/1.1 502"), first.substr(0, 200));
        BOOST_TEST(troubled.upstream.Requests().size() == 1U);
        // Bytes that follow belong to no request.
        const std::string second = Answer(gateway, "pay");
        BOOST_TEST(second.ends_with("done"), second.substr(0, 200));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(what_may_be_repeated_is_sent_again_if_the_status_is_none) {
  for (const std::string& status : kNoStatuses) {
    for (const std::string route : {"read", "draft"}) {
      BOOST_TEST_CONTEXT(status << " " << route) {
        const troubled_upstream first(status, kFields[1]);
        const scripted_upstream sound([](const std::string& request) {
          return scripted_reply{.bytes = troubled_upstream::Sound(request)};
        });
        const gateway_fixture gateway({&first.upstream, &sound}, kOptions);
        const std::string answer = Answer(gateway, route);
        BOOST_TEST(answer.starts_with("HTTP/1.1 200"), answer.substr(0, 200));
        BOOST_TEST(answer.find("stray") == std::string::npos, answer.substr(0, 400));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(a_stream_is_reset_if_the_status_of_its_resumption_is_none) {
  for (const std::string& status : kNoStatuses) {
    BOOST_TEST_CONTEXT(status) {
      std::atomic<int> answered{0};
      const auto reply = [&](const std::string& request) {
        if (answered++ == 0) {
          return scripted_reply{.bytes = MakeStreamResponse(request, {"id: 1\ndata: a\n\n"}, false),
                                .action = scripted_reply::connection_action::kReset};
        }
        const std::string sound = MakeStreamResponse(request, {"id: 2\ndata: b\n\n"}, true);
        return scripted_reply{.bytes = "HTTP/1.1 " + status + sound.substr(sound.find(" OK"))};
      };
      const scripted_upstream one(reply);
      const scripted_upstream two(reply);
      const gateway_fixture gateway({&one, &two}, kOptions);
      const std::string answer = Answer(gateway, "draft");
      BOOST_TEST(answer.find("data: a\n\n") != std::string::npos, answer);
      BOOST_TEST(answer.find("data: b") == std::string::npos, answer);
      BOOST_TEST(!answer.ends_with("\r\n0\r\n\r\n"), answer);
      BOOST_TEST(gateway.LastConnectionWasReset());
    }
  }
}

}  // namespace
}  // namespace berylbarrow
