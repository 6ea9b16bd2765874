#include "berylbarrow/connection/http/upstream_client.h"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <vector>

#include "connection/socket_fixture.h"
#include "support/broken_fields.h"

namespace berylbarrow {
namespace {

using boost::asio::ip::tcp;

/// A listener whose connections are answered by the test, and a client towards it.
struct fixture {
  explicit fixture(upstream_client_options options = {}) {
    Accept();
    options.address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    client.emplace(context, options, clock, [this](const agent_input& input) {
      if (full) {
        ++refused;
        return false;
      }
      if (const auto* part = std::get_if<upstream_part>(&input)) {
        bytes += part->bytes;
      } else if (const auto* head = std::get_if<upstream_head>(&input)) {
        heads.push_back(*head);
      } else if (const auto* end = std::get_if<upstream_end>(&input)) {
        ends.push_back(*end);
      } else if (const auto* report = std::get_if<upstream_report>(&input)) {
        reports.push_back(*report);
      }
      return true;
    });
  }

  void Accept() {
    acceptor.async_accept([this](boost::system::error_code error, tcp::socket socket) {
      if (!error) {
        sockets.push_back(std::make_shared<raw_socket>(std::move(socket)));
        if (reads) sockets.back()->Read();
        Accept();
      }
    });
  }

  void Start(execution_id execution, std::uint64_t offset = 0, const std::string& body = "{}") {
    client->Deliver(upstream_start{.execution = execution,
                                   .id = {.sender = 0xab, .sequence = 7},
                                   .request = {.method = "POST",
                                               .target = "/pay",
                                               .content_type = "application/json",
                                               .body = body},
                                   .resume_offset = offset,
                                   .not_after = not_after});
  }

  /// The connection whose request contains the text.
  std::shared_ptr<raw_socket> Receiving(const std::string& text) {
    std::shared_ptr<raw_socket> found;
    BOOST_REQUIRE(Until([&] {
      for (const auto& socket : sockets) {
        found = socket->Has(text) ? socket : found;
      }
      return found != nullptr;
    }));
    return found;
  }

  template <typename Condition>
  bool Until(Condition condition) {
    return RunUntil(context, condition);
  }

  boost::asio::io_context context;
  manual_clock clock;
  time_point not_after = time_point::max();
  tcp::acceptor acceptor{context, {boost::asio::ip::address_v4::loopback(), 0}};
  std::vector<std::shared_ptr<raw_socket>> sockets;
  std::optional<upstream_client> client;
  std::vector<upstream_head> heads;
  std::vector<upstream_end> ends;
  std::vector<upstream_report> reports;
  std::string bytes;
  bool full = false;
  bool reads = true;  // whether the listener reads what it gets
  int refused = 0;
};

/// Comparable form of an end.
std::pair<upstream_outcome, execution_id> Of(const upstream_end& end) {
  return {end.outcome, end.execution};
}

std::pair<upstream_outcome, execution_id> End(upstream_outcome outcome,
                                              execution_id execution = 1) {
  return {outcome, execution};
}

// An upstream in trouble sent an answer whose status was 000: it was taken for an interim answer,
// and the next head was read from its body. 700 was passed on.
BOOST_AUTO_TEST_CASE(AnswerWithoutAStatusOfHttpIsBroken) {
  for (const std::string status :
       {"000", "099", "101", "600", "999", "", "0", "20", "2000", "-20", "+20", " 200", "2 0"}) {
    for (const std::string fields : {"Content-Length: 38\r\n", "Content-Length: 0\r\n", ""}) {
      BOOST_TEST_CONTEXT(status << " " << fields) {
        std::string answer = "HTTP/1.1 ";
        answer += status;
        answer += " X\r\n";
        answer += fields;
        answer += "\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        fixture f;
        f.Start(1);
        f.Receiving("POST /pay")->Send(answer);
        BOOST_TEST(f.Until([&] { return !f.ends.empty(); }));
        BOOST_TEST((Of(f.ends[0]) == End(upstream_outcome::kBroken)));
        BOOST_TEST(f.heads.empty());
        BOOST_TEST(f.client->ConnectionCount() == 0U);
      }
    }
  }
}

// An upstream in trouble sent a blank or a control byte in the name of a field: the line was taken
// for a part of the field before it, and with it the framing of the body.
BOOST_AUTO_TEST_CASE(AnswerWithABrokenFieldNameIsBroken) {
  constexpr std::size_t kTrailer = 4;
  for (const std::string& line : BrokenFieldLines()) {
    const std::vector<std::string> answers = AnswersWithLine(line);
    for (std::size_t place = 0; place < answers.size(); ++place) {
      BOOST_TEST_CONTEXT(answers[place]) {
        fixture f;
        f.Start(1);
        f.Receiving("POST /pay")->Send(answers[place]);
        BOOST_TEST_REQUIRE(f.Until([&] { return !f.ends.empty(); }));
        BOOST_TEST((Of(f.ends[0]) == End(upstream_outcome::kBroken)));
        BOOST_TEST((f.heads.empty() || place == kTrailer));
      }
    }
  }
}

// Guards against lost, reordered or undecoded bytes, and against a repeated part while the sink is
// full.
BOOST_AUTO_TEST_CASE(ChunkedAnswerIsPassedOnAsItArrives) {
  fixture f;
  f.Start(1, 42);
  const auto upstream = f.Receiving("POST /pay HTTP/1.1\r\n");
  BOOST_TEST(upstream->Has("X-Request-Id: 00000000000000ab-7\r\n"));
  BOOST_TEST(upstream->Has("Berylbarrow-Resume-Offset: 42\r\n"));
  BOOST_TEST(upstream->Has("\r\n\r\n{}"));
  upstream->Send("HTTP/1.1 200 OK\r\nContent-Type: text/x\r\nTransfer-Encoding: chunked\r\n\r\n");
  BOOST_TEST(f.Until([&] { return !f.heads.empty(); }));
  BOOST_TEST(f.heads[0].content_type == "text/x");
  upstream->Send("5\r\nhel");
  BOOST_TEST(f.Until([&] { return f.bytes == "hel"; }));
  f.full = true;
  upstream->Send("lo\r\n6\r\n world\r\n0\r\n\r\n");
  BOOST_TEST(f.Until([&] { return f.refused > 3; }));
  f.full = false;
  BOOST_TEST(f.Until([&] { return !f.ends.empty(); }));
  BOOST_TEST(f.bytes == "hello world");
  BOOST_TEST((Of(f.ends[0]) == End(upstream_outcome::kComplete)));
  BOOST_TEST(f.client->ConnectionCount() == 0U);
}

// Guards against an operation that is called "not sent" although the upstream may have run it.
BOOST_AUTO_TEST_CASE(BrokenAfterTheRequestWasWritten) {
  const std::vector<std::string> answers{
      "",
      "HTTP/1.1 200 OK\r\nContent-Le",
      "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
      "HTTP/1.1 200 OK\r\n\r\nno length",
      "nonsense\r\n\r\n",
      "HTTP/1.1 200 OK\r\nX: " + std::string(20000, 'h') + "\r\n\r\n"};
  fixture f;
  for (std::size_t i = 0; i < answers.size(); ++i) {
    f.sockets.clear();
    f.Start(i);
    const auto upstream = f.Receiving("POST /pay");
    upstream->Send(answers[i]);
    RunUntil(
        f.context, [&] { return f.ends.size() > i; }, std::chrono::seconds(0));
    upstream->FinishSending();
    BOOST_REQUIRE(f.Until([&] { return f.ends.size() > i; }));
    BOOST_TEST((Of(f.ends[i]) == End(upstream_outcome::kBroken, i)), answers[i].substr(0, 60));
  }
  f.sockets.clear();
  f.Start(99);
  f.Receiving("POST /pay")->Reset();
  BOOST_REQUIRE(f.Until([&] { return f.ends.size() > answers.size(); }));
  BOOST_TEST((Of(f.ends.back()) == End(upstream_outcome::kBroken, 99)));
}

// Guards against an upstream that sends bytes without end, in a head or between the chunks of a
// body: the bytes that are held stay bounded, and the work does not count as "not sent".
BOOST_AUTO_TEST_CASE(AnswerWithoutEndIsBroken) {
  const std::string line = "X: " + std::string(1000, 'x') + "\r\n";
  const std::vector<std::pair<std::string, std::string>> answers{
      {"", std::string(1000, '\0')},
      {"HTTP/1.1 200 OK\r\n", line},
      {"HTTP/1.1 200 OK\r\nX: ", std::string(1000, 'x')},
      {"", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=", std::string(1000, 'x')},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", line}};
  constexpr std::size_t kMaxBytes = 1U << 20U;
  fixture f;
  for (std::size_t i = 0; i < answers.size(); ++i) {
    f.sockets.clear();
    f.Start(i);
    const auto upstream = f.Receiving("POST /pay");
    upstream->Send(answers[i].first);
    std::size_t sent = 0;
    while (f.ends.size() == i && sent < kMaxBytes) {
      upstream->Send(answers[i].second);
      sent += answers[i].second.size();
      f.context.restart();
      f.context.run_for(std::chrono::milliseconds(1));
    }
    BOOST_REQUIRE_MESSAGE(f.ends.size() > i, answers[i].first);
    BOOST_TEST((Of(f.ends[i]) == End(upstream_outcome::kBroken, i)), answers[i].first);
  }
}

// An upstream began an answer while the request was being written, and broke it off.
BOOST_AUTO_TEST_CASE(AnswerThatIsBrokenOffDuringTheUploadIsBroken) {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string body(8U << 20U, 'u');  // fills the buffers of both sockets
  const std::vector<std::string> parts{"", head + "\r\n", head + "\r\nhalf",
                                       head + "Content-Length: 4\r\n\r\nhalf"};
  for (const std::string& part : parts) {
    for (const int delay_ms : {0, 50, 200}) {
      for (const bool close : {false, true}) {
        BOOST_TEST_CONTEXT(part << ", " << delay_ms << " ms, close " << close) {
          fixture f({.load_poll_interval = std::chrono::hours(1)});
          f.Receiving("GET /load");
          f.reads = false;
          f.Start(1, 0, body);
          BOOST_TEST_REQUIRE(f.Until([&] { return f.sockets.size() == 2; }));
          const auto upstream = f.sockets[1];
          upstream->Send(part);
          RunFor(f.context, std::chrono::milliseconds(delay_ms));
          if (close) {
            upstream->Close();  // with unread bytes, which makes it a reset
          } else {
            upstream->Reset();
          }
          BOOST_TEST_REQUIRE(f.Until([&] { return !f.ends.empty(); }));
          BOOST_TEST((Of(f.ends[0]) == End(upstream_outcome::kBroken)));
          BOOST_TEST(f.bytes == "");
        }
      }
    }
  }
}

// Guards against a death that is confirmed a whole poll interval late, or ruled out by a report
// from before it; and against polls that cancels cause.
BOOST_AUTO_TEST_CASE(BreakIsFollowedByANewReport) {
  fixture f({.load_poll_interval = std::chrono::hours(1)});
  const auto outdated = f.Receiving("GET /load");
  f.Start(1);
  f.Receiving("POST /pay")->Close();
  BOOST_TEST(f.Until([&] { return f.sockets.size() == 3; }));
  BOOST_TEST(f.Until([&] { return f.sockets[2]->Has("GET /load"); }));
  BOOST_TEST(f.ends.size() == 1U);
  BOOST_TEST(f.reports.empty());
  f.sockets[2]->Close();
  BOOST_TEST(f.Until([&] { return f.reports.size() == 1; }));
  f.Start(2);
  BOOST_TEST(f.Until([&] { return f.sockets.size() == 4 && f.sockets[3]->Has("POST /pay"); }));
  f.client->Deliver(upstream_cancel{.execution = 2});
  BOOST_TEST(f.Until([&] { return f.ends.size() == 2; }));
  BOOST_TEST(f.client->Counters().reports_missing == 1U);
}

// Guards against an unreachable upstream whose requests cannot be sent elsewhere.
BOOST_AUTO_TEST_CASE(RefusedConnectionIsNotSent) {
  fixture f({.max_connections = 1});
  f.Start(1);
  f.Start(2);
  BOOST_TEST(f.Until([&] { return f.ends.size() == 1; }));
  BOOST_TEST((Of(f.ends[0]) == End(upstream_outcome::kNotSent, 2)), "over the bound");
  f.acceptor.close();
  f.client->Deliver(upstream_cancel{.execution = 1});
  BOOST_TEST(f.Until([&] { return f.ends.size() == 2; }));
  f.Start(3);
  BOOST_TEST(f.Until([&] { return f.ends.size() == 3; }));
  BOOST_TEST((Of(f.ends[2]) == End(upstream_outcome::kNotSent, 3)), "connection refused");
  BOOST_TEST(f.Until([&] { return !f.reports.empty() && !f.reports.back().reachable; }));
}

// Guards against a cancelled request that keeps its connection or ends twice.
BOOST_AUTO_TEST_CASE(CancelClosesTheConnection) {
  fixture f;
  f.Start(1);
  const auto upstream = f.Receiving("POST /pay");
  upstream->Send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nabc");
  BOOST_TEST(f.Until([&] { return f.bytes == "abc"; }));
  f.client->Deliver(upstream_cancel{.execution = 1});
  f.client->Deliver(upstream_cancel{.execution = 1});
  BOOST_TEST(f.Until([&] { return upstream->Closed(); }));
  BOOST_TEST(f.ends.size() == 1U);
  BOOST_TEST((Of(f.ends[0]) == End(upstream_outcome::kBroken)));
  f.Start(2);
  f.client->Deliver(upstream_cancel{.execution = 2});
  BOOST_TEST(f.Until([&] { return f.ends.size() == 2; }));
  BOOST_TEST((Of(f.ends[1]) == End(upstream_outcome::kNotSent, 2)));
}

// Guards against work that an agent paused after its decision still sends when it resumes: the
// failure domain may have been drained in the meantime.
BOOST_AUTO_TEST_CASE(LateStartIsNotSent) {
  fixture f({.load_poll_interval = std::chrono::hours(1)});
  f.Receiving("GET /load");
  f.not_after = f.clock.Now() + std::chrono::seconds(1);
  f.clock.Advance(std::chrono::seconds(1));
  f.Start(1);
  f.Receiving("POST /pay");
  f.clock.Advance(duration(1));
  f.Start(2);
  BOOST_REQUIRE(f.Until([&] { return !f.ends.empty(); }));
  BOOST_TEST((Of(f.ends[0]) == End(upstream_outcome::kNotSent, 2)));
  BOOST_TEST(f.client->ConnectionCount() == 1U);
  BOOST_TEST(f.sockets.size() == 2U);  // the load report and the first request
  BOOST_TEST(f.client->Counters().late == 1U);
}

// Guards against the same when the pause falls between the opening of the connection and the write.
BOOST_AUTO_TEST_CASE(StartThatBecomesLateWhileConnectingIsNotSent) {
  fixture f({.load_poll_interval = std::chrono::hours(1)});
  f.Receiving("GET /load");
  f.not_after = f.clock.Now();
  f.Start(1);
  f.clock.Advance(duration(1));
  BOOST_REQUIRE(f.Until([&] { return !f.ends.empty(); }));
  BOOST_TEST((Of(f.ends[0]) == End(upstream_outcome::kNotSent)));
  BOOST_TEST(f.Until([&] { return f.sockets.size() == 2 && f.sockets[1]->Closed(); }));
  BOOST_TEST(f.sockets[1]->Received().empty());
}

// Guards against load reports that are misread, and polling that stops after a bad answer.
BOOST_AUTO_TEST_CASE(LoadIsPolled) {
  fixture f({.load_poll_interval = std::chrono::milliseconds(1)});
  const std::string good = R"({"instance":"i1","uptime_ms":1200,"running":3,"waiting":1})";
  for (const auto& body : {std::string("not json"), std::string("[1]"), good}) {
    f.reports.clear();
    f.sockets.clear();
    f.Receiving("GET /load HTTP/1.1\r\n")
        ->Send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
               body);
    BOOST_REQUIRE(f.Until([&] { return !f.reports.empty(); }));
    BOOST_TEST(f.reports[0].reachable == (body == good));
  }
  BOOST_TEST(f.reports[0].instance == "i1");
  BOOST_TEST((f.reports[0].uptime == std::chrono::milliseconds(1200)));
  BOOST_TEST(f.reports[0].running == 3U);
  BOOST_TEST(f.reports[0].waiting == 1U);
}

}  // namespace
}  // namespace berylbarrow
