#include <atomic>
#include <boost/test/unit_test.hpp>
#include <vector>

#include "support/process_fleet.h"
#include "support/scripted_upstream.h"

namespace berylbarrow {
namespace {

using connection_action = scripted_reply::connection_action;

struct broken_answer {
  const char* name;
  std::string bytes;
  connection_action action;
  bool has_sound_head = false;  // so that the caller may get a part before the failure
};

const std::string kOk = "HTTP/1.1 200 OK\r\n";
const std::string kLength = "Content-Length: 6\r\n";
const std::vector<broken_answer> kAnswers{
    {"reset without length", kOk + "\r\nbroken", connection_action::kReset, true},
    {"closed with unread bytes", kOk + "\r\nbroken", connection_action::kClose, true},
    {"status 000", "HTTP/1.1 000 X\r\n" + kLength + "\r\nbroken", connection_action::kFinish},
    {"status 700", "HTTP/1.1 700 X\r\n" + kLength + "\r\nbroken", connection_action::kFinish},
    {"blank before a name", kOk + "X: a\r\n " + kLength + "\r\nbroken", connection_action::kFinish},
    {"blank in a name", kOk + "X Y: a\r\n" + kLength + "\r\nbroken", connection_action::kFinish},
    {"control byte in a name", kOk + "X\x01: a\r\n" + kLength + "\r\nbroken",
     connection_action::kFinish}};

// Guards against a broken answer that an agent or an entry passes on as a whole one.
BOOST_AUTO_TEST_CASE(BrokenAnswerOfAnUpstreamIsAFailure) {
  std::atomic<std::size_t> current{0};
  std::atomic<int> runs{0};
  const scripted_upstream upstream(
      [&](const std::string& request) {
        if (request.starts_with("GET /load ")) {
          const std::string report =
              R"({"instance":"i1","uptime_ms":600000,"running":0,"waiting":0})";
          return scripted_reply{.bytes = kOk + "Content-Length: " + std::to_string(report.size()) +
                                         "\r\n\r\n" + report};
        }
        ++runs;
        return scripted_reply{.bytes = kAnswers[current].bytes, .action = kAnswers[current].action};
      },
      scripted_upstream::reply_time::kAfterHeader);
  process_fleet fleet({.payments_upstream = upstream.Address()});
  constexpr std::size_t kLongUpload = 1U << 20U;  // as long as an entry takes
  for (const std::size_t upload : {std::size_t{2}, kLongUpload}) {
    for (std::size_t i = 0; i < kAnswers.size(); ++i) {
      BOOST_TEST_CONTEXT(kAnswers[i].name << ", " << upload << " bytes") {
        current = i;
        runs = 0;
        const std::string key =
            fleet.Grant("entry-1") + "/broken-" + std::to_string(upload) + std::to_string(i);
        const http_answer answer = Exchange(fleet.Callers("entry-1"), "POST",
                                            "/services/payments/payments", std::string(upload, 'u'),
                                            {{"Berylbarrow-Account", "counter"},
                                             {"Idempotency-Key", key},
                                             {"Berylbarrow-Attempt", "1"}});
        if (kAnswers[i].has_sound_head) {
          BOOST_TEST((answer.status >= 500U || !answer.complete), answer.status);
        } else {
          BOOST_TEST(answer.status >= 500U);
          BOOST_TEST(answer.body.find("broken") == std::string::npos, answer.body);
        }
        BOOST_TEST(runs == 1);
      }
    }
  }
}

}  // namespace
}  // namespace berylbarrow
