#include <boost/test/unit_test.hpp>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

#include "platform/gateway_fixture.h"

namespace berylbarrow {
namespace {

using connection_action = scripted_reply::connection_action;

constexpr const char* kUntaggedRefusal =
    "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
constexpr const char* kUntaggedSuccess =
    "HTTP/1.1 200 OK\r\nReplica-Signature: sig\r\nContent-Length: 5\r\n\r\nother";

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

/// Runs every request. Sends `extra` before each answer but the first of a connection.
class extra_sending_upstream {
 public:
  explicit extra_sending_upstream(std::string extra)
      : extra_(std::move(extra)), upstream_([this](const std::string& request) {
          const std::lock_guard lock(mutex_);
          // Each connection has its own thread.
          const bool is_first = ++connections_[std::this_thread::get_id()] == 1;
          return scripted_reply{.bytes = (is_first ? "" : extra_) +
                                         MakeSignedResponse(request, 200, "done")};
        }) {}

  const scripted_upstream& Upstream() const { return upstream_; }

 private:
  std::string extra_;
  std::mutex mutex_;
  std::map<std::thread::id, int> connections_;
  scripted_upstream upstream_;
};

struct second_exchange {
  std::string answer;
  int runs = 0;
};

/// Sends a request on a new connection to the upstream, and another one on the same connection.
/// Returns the answer to the second one, and how often it was run.
second_exchange ExchangeAfterExtra(const std::string& route, const std::string& extra) {
  const extra_sending_upstream upstream(extra);
  const gateway_fixture gateway({&upstream.Upstream()});
  BOOST_TEST(Contains(gateway.SendAndReceive(MakeRequest(route, "a1")), "\r\n\r\ndone"));
  second_exchange second{.answer = gateway.SendAndReceive(MakeRequest(route, "a2"))};
  for (const std::string& request : upstream.Upstream().Requests()) {
    if (HeaderValue(request, "Request-Attempt-Id") == "a2") ++second.runs;
  }
  return second;
}

bool PromisesNotRun(const std::string& answer) {
  return Contains(answer, "HTTP/1.1 503") || Contains(answer, "HTTP/1.1 429") ||
         Contains(answer, "HTTP/1.1 408") || Contains(answer, "HTTP/1.1 421");
}

// Guards against a refusal without id, repeated on a kept connection, that is taken for the answer
// to a payment which runs.
BOOST_AUTO_TEST_CASE(a_refusal_without_id_on_a_kept_connection_is_not_taken_for_the_answer) {
  for (const char* route : {"pay", "read"}) {
    const second_exchange second = ExchangeAfterExtra(route, kUntaggedRefusal);
    BOOST_TEST(!second.answer.empty());
    BOOST_TEST(!PromisesNotRun(second.answer), route << ": " << second.answer);
    if (std::string_view(route) == "pay") BOOST_TEST(second.runs == 1);
  }
}

// Guards against a refusal that is broken off inside its head and completed by the head of the
// next answer, so that the statement of the one comes with the id of the other.
BOOST_AUTO_TEST_CASE(a_torn_refusal_is_not_joined_with_the_next_answer) {
  for (const char* torn : {"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nRetry-After: 0.",
                           "HTTP/1.1 503 Busy\r\nNot-Executed: ", "HTTP/1.1 503 Bu"}) {
    for (const char* route : {"pay", "read"}) {
      const second_exchange second = ExchangeAfterExtra(route, torn);
      BOOST_TEST(!second.answer.empty());
      BOOST_TEST(!PromisesNotRun(second.answer), route << " after " << torn << second.answer);
      if (std::string_view(route) == "pay") BOOST_TEST(second.runs == 1);
    }
  }
}

// Guards against an answer without id, repeated on a kept connection, that goes to another caller.
BOOST_AUTO_TEST_CASE(a_success_without_id_on_a_kept_connection_goes_to_no_other_caller) {
  for (const char* route : {"pay", "read"}) {
    BOOST_TEST(!Contains(ExchangeAfterExtra(route, kUntaggedSuccess).answer, "other"));
  }
}

// Guards against a lookup that runs, loses its answer, is refused elsewhere, and is then answered
// as not run.
BOOST_AUTO_TEST_CASE(a_lookup_that_may_have_run_is_not_refused_as_not_run) {
  const scripted_upstream losing(
      [](const std::string&) { return scripted_reply{.action = connection_action::kReset}; });
  const scripted_upstream full(
      [](const std::string&) { return scripted_reply{.bytes = kUntaggedRefusal}; });
  const gateway_fixture gateway({&losing, &full});
  const std::string answer = gateway.SendAndReceive(MakeRequest("read", "a1"));
  BOOST_TEST(losing.Requests().size() == 1U);
  BOOST_TEST(Contains(answer, "HTTP/1.1 502"), answer);
}

// Guards against passing on a status that promises "not run" of an upstream which does not state
// that it has not run the request.
BOOST_AUTO_TEST_CASE(a_status_that_promises_not_run_is_passed_on_only_with_the_statement) {
  for (const unsigned status : {503U, 429U, 408U}) {
    for (const char* route : {"pay", "read", "draft"}) {
      const scripted_upstream failing([&](const std::string& request) {
        return scripted_reply{.bytes = MakeSignedResponse(request, status, "sorry")};
      });
      const gateway_fixture gateway({&failing});
      const std::string answer = gateway.SendAndReceive(MakeRequest(route, "a1"));
      BOOST_TEST(Contains(answer, "HTTP/1.1 502"), route << ": " << answer);
      BOOST_TEST(!Contains(answer, "Replica-Signature"));
    }
  }
}

}  // namespace
}  // namespace berylbarrow
