#include <atomic>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "platform/gateway_fixture.h"
#include "support/broken_fields.h"

namespace berylbarrow {
namespace {

using connection_action = scripted_reply::connection_action;
using std::chrono::seconds;

constexpr seconds kDeadline{20};
constexpr gateway_fixture_options kOptions{.route_timeout = kDeadline};

const std::vector<std::string> kLines = {" Content-Length: 2", "\tY: b",
                                         "Content Length: 2",  "Content-Length\t: 2",
                                         "\x01Y: b",           std::string("Y\0: b", 5)};

/// The gateway ends the connection after the answer, so that the test need not guess when it is
/// complete.
std::string Answer(const gateway_fixture& gateway, const std::string& route) {
  const std::string request = MakeRequest(route, "a1", "key-1", kDeadline);
  const std::size_t head_end = request.find("\r\n\r\n");
  return gateway.SendAndReceive(
      request.substr(0, head_end) + "\r\nConnection: close" + request.substr(head_end),
      kDeadline + seconds(5));
}

std::string SoundFields(const std::string& request) {
  return "Request-Attempt-Id: " + HeaderValue(request, "Request-Attempt-Id") +
         "\r\nReplica-Signature: s\r\n";
}

/// Answers the first request with a head that is broken, further ones in order.
struct troubled_upstream {
  troubled_upstream(const std::string& line, std::size_t place)
      : upstream([this, line, place](const std::string& request) {
          if (answered++ > 0) return scripted_reply{.bytes = Sound(request)};
          return scripted_reply{.bytes = AnswersWithLine(line, SoundFields(request))[place]};
        }) {}

  static std::string Sound(const std::string& request) {
    return request.find("/draft/") == std::string::npos
               ? MakeSignedResponse(request, 200, "sound")
               : MakeStreamResponse(request, {"id: 1\ndata: sound\n\n"}, true);
  }

  std::atomic<int> answered{0};
  scripted_upstream upstream;
};

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// An upstream in trouble sent an answer with a blank or a control byte in the name of a field. The
// line was passed on as a part of the field before it, or the body ended in the wrong place.
BOOST_AUTO_TEST_CASE(a_payment_fails_with_502_if_the_name_of_a_field_is_broken) {
  const std::size_t places = AnswersWithLine("").size();
  for (const std::string& line : kLines) {
    for (std::size_t place = 0; place < places; ++place) {
      BOOST_TEST_CONTEXT(line << ", place " << place) {
        const troubled_upstream troubled(line, place);
        const gateway_fixture gateway({&troubled.upstream}, kOptions);
        const std::string first = Answer(gateway, "pay");
        BOOST_TEST(first.starts_with("HTTP/1.1 502"), first.substr(0, 300));
        BOOST_TEST(!Contains(first, "done"), first.substr(0, 300));
        BOOST_TEST(troubled.upstream.Requests().size() == 1U);
        // Bytes that follow belong to no request.
        const std::string second = Answer(gateway, "pay");
        BOOST_TEST(second.ends_with("\r\n\r\nsound"), second.substr(0, 300));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(what_may_be_repeated_is_sent_again_if_the_name_of_a_field_is_broken) {
  // The trailer of a stream comes after the events that have been passed on.
  constexpr std::size_t kTrailer = 4;
  const std::size_t places = AnswersWithLine("").size();
  for (const std::string route : {"read", "draft"}) {
    for (std::size_t place = 0; place < places; ++place) {
      if (route == "draft" && place == kTrailer) continue;
      BOOST_TEST_CONTEXT(route << ", place " << place) {
        const troubled_upstream first(kLines[place % kLines.size()], place);
        const scripted_upstream other([](const std::string& request) {
          return scripted_reply{.bytes = troubled_upstream::Sound(request)};
        });
        const gateway_fixture gateway({&first.upstream, &other}, kOptions);
        const std::string answer = Answer(gateway, route);
        BOOST_TEST(answer.starts_with("HTTP/1.1 200"), answer.substr(0, 300));
        BOOST_TEST(Contains(answer, "sound"), answer.substr(0, 300));
        BOOST_TEST(!Contains(answer, "done"), answer.substr(0, 300));
      }
    }
  }
}

// The second upstream resumes with a broken head.
BOOST_AUTO_TEST_CASE(a_resumed_stream_with_a_broken_field_name_is_reset) {
  for (const std::string& line : kLines) {
    BOOST_TEST_CONTEXT(line) {
      std::atomic<int> answered{0};
      const auto reply = [&](const std::string& request) {
        if (answered++ == 0) {
          return scripted_reply{.bytes = MakeStreamResponse(request, {"id: 1\ndata: a\n\n"}, false),
                                .action = connection_action::kReset};
        }
        return scripted_reply{.bytes = AnswersWithLine(line, SoundFields(request)).front()};
      };
      const scripted_upstream one(reply);
      const scripted_upstream two(reply);
      const gateway_fixture gateway({&one, &two}, kOptions);
      const std::string answer = Answer(gateway, "draft");
      BOOST_TEST(Contains(answer, "data: a\n\n"), answer);
      BOOST_TEST(!Contains(answer, "done"), answer);
      BOOST_TEST(!answer.ends_with("\r\n0\r\n\r\n"), answer);
      BOOST_TEST(gateway.LastConnectionWasReset());
    }
  }
}

}  // namespace
}  // namespace berylbarrow
