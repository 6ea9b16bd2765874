#include <boost/test/unit_test.hpp>

#include "platform/gateway_fixture.h"

namespace berylbarrow {
namespace {

using std::chrono::milliseconds;

/// Names a limit in each answer unless `limit` is empty.
scripted_upstream LimitedUpstream(const std::string& limit) {
  return scripted_upstream([limit](const std::string& request) {
    const std::string field = limit.empty() ? "" : "Server-Limit: " + limit + "\r\n";
    return scripted_reply{.bytes = MakeSignedResponse(request, 200, "done", field)};
  });
}

/// A gateway takes no part in limits before it knows the others.
void WaitForSettling() { std::this_thread::sleep_for(milliseconds(1600)); }

// Guards against sending an upstream more than the limit that it names, while others are free.
BOOST_AUTO_TEST_CASE(an_upstream_that_names_a_limit_gets_no_more_and_the_others_get_the_rest) {
  const scripted_upstream limited = LimitedUpstream("2.0");
  const scripted_upstream free = LimitedUpstream("");
  const gateway_fixture gateway({&limited, &free});
  WaitForSettling();
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < 40; ++i) {
    const std::string answer =
        gateway.SendAndReceive(MakeRequest("read", "a" + std::to_string(i)), milliseconds(20));
    BOOST_TEST(answer.find("done") != std::string::npos);
  }
  const double passed =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
  // The first request is sent before the limit is known.
  BOOST_TEST(static_cast<double>(limited.Requests().size()) <= 2 + 2 * passed);
  BOOST_TEST(limited.Requests().size() >= 1U);
}

// Guards against holding requests that no upstream may take before their deadline.
BOOST_AUTO_TEST_CASE(requests_are_refused_at_once_when_all_upstreams_have_used_up_their_limits) {
  const scripted_upstream limited = LimitedUpstream("0.2");
  const gateway_fixture gateway({&limited});
  WaitForSettling();
  gateway.SendAndReceive(MakeRequest("read", "a0"));
  const auto start = std::chrono::steady_clock::now();
  const std::string answer = gateway.SendAndReceive(MakeRequest("read", "a1"), milliseconds(100));
  BOOST_TEST(answer.find("HTTP/1.1 503") == 0U, answer);
  BOOST_TEST(answer.find("Retry-After: ") != std::string::npos);
  BOOST_TEST((std::chrono::steady_clock::now() - start < milliseconds(400)));
  BOOST_TEST(limited.Requests().size() == 1U);
}

}  // namespace
}  // namespace berylbarrow
