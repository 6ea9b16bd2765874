#include "berylbarrow/connection/http/caller_server.h"

#include <xxhash.h>

#include <boost/test/unit_test.hpp>
#include <vector>

#include "connection/socket_fixture.h"

namespace berylbarrow {
namespace {

struct fixture {
  explicit fixture(caller_server_options options = {}) {
    options.listen_address = "127.0.0.1:0";
    server.emplace(context, options, [this](const entry_input& input) {
      if (full) {
        return false;
      }
      inputs.push_back(input);
      return true;
    });
  }

  std::shared_ptr<raw_socket> Connect() { return raw_socket::Connect(context, server->Port()); }
  template <typename Condition>
  bool Until(Condition condition) {
    return RunUntil(context, condition);
  }
  template <typename Message>
  const Message& At(std::size_t index) {
    BOOST_REQUIRE(Until([&] { return inputs.size() > index; }));
    BOOST_REQUIRE(std::holds_alternative<Message>(inputs[index]));
    return std::get<Message>(inputs[index]);
  }

  boost::asio::io_context context;
  std::optional<caller_server> server;
  std::vector<entry_input> inputs;
  bool full = false;
};

const std::string kGet = "GET /services/roster/shifts?day=2 HTTP/1.1\r\nHost: a\r\n\r\n";

std::string Post(const std::string& body, const std::string& headers = "") {
  return "POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\n" +
         headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Guards against fields of a request that are lost or changed on their way to the core.
BOOST_AUTO_TEST_CASE(RequestsArriveWithEveryField) {
  fixture f;
  const auto caller = f.Connect();
  const std::string prompt(300, 'p');
  const auto body = R"({"model":"forms","nested":{"model":"x"},"prompt":")" + prompt + "\"}";
  caller->Send(Post(body,
                    "Berylbarrow-Account: solano\r\nIdempotency-Key: a/1/2/n\r\n"
                    "Berylbarrow-Attempt: 2\r\nBerylbarrow-Deadline-Ms: 1500\r\n"
                    "Berylbarrow-Priority: 3\r\n"));
  const auto& completion = f.At<caller_request>(0);
  BOOST_TEST(completion.model == "forms");
  BOOST_TEST(completion.service.empty());
  BOOST_TEST(completion.prefix_hash == XXH64(prompt.data(), 256, 0));
  BOOST_TEST(completion.account == "solano");
  BOOST_TEST(completion.idempotency_key == "a/1/2/n");
  BOOST_TEST(completion.attempt == 2U);
  BOOST_TEST(completion.priority == 3U);
  BOOST_TEST((completion.deadline == std::chrono::milliseconds(1500)));
  BOOST_TEST(completion.request.body == body);
  const auto other = f.Connect();
  other->Send(kGet);
  const auto& plain = f.At<caller_request>(1);
  BOOST_TEST(plain.service == "roster");
  BOOST_TEST(plain.request.method == "GET");
  BOOST_TEST(plain.request.target == "/shifts?day=2");
  const auto third = f.Connect();
  third->Send("GET /v1/address?service=pay%2Dments&account=a HTTP/1.1\r\n\r\n");
  BOOST_TEST(f.At<address_query>(2).service == "pay-ments");
}

// Guards against callers that wait for the interim reply before they send a large body.
BOOST_AUTO_TEST_CASE(ExpectedContinueIsSentBeforeTheBody) {
  fixture f;
  const auto caller = f.Connect();
  const std::string body = R"({"model":"forms"})";
  const std::string request = Post(body, "Berylbarrow-Account: solano\r\nExpect: 100-continue\r\n");
  caller->Send(request.substr(0, request.size() - body.size()));
  BOOST_TEST(f.Until([&] { return caller->Has("HTTP/1.1 100 Continue\r\n\r\n"); }));
  BOOST_TEST(f.inputs.empty());
  caller->Send(body);
  BOOST_TEST(f.At<caller_request>(0).request.body == body);
}

// Guards against malformed, oversized or truncated input that reaches the core, has no clear error
// or brings the server down.
BOOST_AUTO_TEST_CASE(BadInputIsAnsweredAndNeverPassedOn) {
  struct bad_input {
    std::string bytes;
    std::string status;
  };
  const std::vector<bad_input> cases{
      {"no http at all\r\n\r\n", "400"},
      {"GET /services/a/b HTTP/1.0\r\n\r\n", "400"},
      {"GET /services/a/b HTTP/1.1\r\nContent-Length: x\r\n\r\n", "400"},
      {"GET /services/a/b HTTP/1.1\r\nbroken header\r\n\r\n", "400"},
      {"POST /services/a/b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "400"},
      {"GET /elsewhere HTTP/1.1\r\n\r\n", "404"},
      {"GET /v1/completions HTTP/1.1\r\n\r\n", "400"},
      {"GET /v1/address?account=a HTTP/1.1\r\n\r\n", "400"},
      {"GET /v1/address?service=a&service=b HTTP/1.1\r\n\r\n", "400"},
      {"GET /v1/address?service=%4 HTTP/1.1\r\n\r\n", "400"},
      {"GET /services//x HTTP/1.1\r\n\r\n", "400"},
      {"HEAD /services/a/x HTTP/1.1\r\n\r\n", "400"},
      {"GET /services/a/b HTTP/1.1\r\nBerylbarrow-Attempt: 0\r\n\r\n", "400"},
      {"GET /services/a/b HTTP/1.1\r\nBerylbarrow-Attempt: 1\r\nBerylbarrow-Attempt: 2\r\n\r\n",
       "400"},
      {"GET /services/a/b HTTP/1.1\r\nBerylbarrow-Deadline-Ms: soon\r\n\r\n", "400"},
      {"GET /services/a/b HTTP/1.1\r\nIdempotency-Key: a b\r\n\r\n", "400"},
      {Post("{\"model\":\"m\""), "400"},
      {Post("[\"model\"]"), "400"},
      {Post("{\"model\":5}"), "400"},
      {Post("{\"model\":\"a\",\"model\":\"b\"}"), "400"},
      {Post("{\"model\":\"a\",\"x\":" + std::string(900, '[') + std::string(900, ']') + "}"),
       "400"},
      {Post(std::string(2000, 'x')), "413"},
      {"POST /services/a/b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n" +
           std::string(2000, 'x') + "\r\n0\r\n\r\n",
       "413"},
      {"GET /services/a/b HTTP/1.1\r\nX: " + std::string(20000, 'h') + "\r\n\r\n", "413"},
      {"POST /services/a/b HTTP/1.1\r\nContent-Length: 50\r\n\r\nhalf", "400"},
      {"GET /services/a/b HTT", "400"},
  };
  fixture f({.max_request_bytes = 1900});
  for (const auto& input : cases) {
    const auto caller = f.Connect();
    caller->Send(input.bytes);
    RunUntil(
        f.context, [&] { return caller->Has("\r\n\r\n"); }, std::chrono::seconds(0));
    caller->FinishSending();
    BOOST_TEST(f.Until([&] { return caller->Closed(); }), input.bytes.substr(0, 80));
    BOOST_TEST(caller->Received().substr(0, 13) == "HTTP/1.1 " + input.status + " ",
               input.bytes.substr(0, 80) << " was answered " << caller->Received());
    BOOST_TEST(caller->Has(R"({"error":{"code":")"));
  }
  BOOST_TEST(f.inputs.empty());
  BOOST_TEST(f.server->Counters().malformed == cases.size());
}

// Guards against answers that go to the wrong one of several pipelined requests.
BOOST_AUTO_TEST_CASE(PipelinedRequestsAreAnsweredInOrder) {
  fixture f;
  const auto caller = f.Connect();
  caller->Send(kGet + kGet + "GET /services/pay/x HTTP/1.1\r\nConnection: close\r\n\r\n");
  for (std::size_t i = 0; i < 3; ++i) {
    const auto id = f.At<caller_request>(i).caller;
    BOOST_TEST(f.inputs.size() == i + 1);
    f.server->Deliver(caller_reply{
        .caller = id, .status = 200, .headers = {}, .body = "body" + std::to_string(i)});
  }
  BOOST_TEST(f.Until([&] { return caller->Closed(); }));
  const auto& text = caller->Received();
  BOOST_TEST(text.find("body0") < text.find("body1"));
  BOOST_TEST(text.find("body1") < text.find("body2"));
  BOOST_TEST(caller->Has("body2"));
}

// Guards against an incomplete answer that looks complete, and against a connection that is not
// reusable after a complete one.
BOOST_AUTO_TEST_CASE(IncompleteAnswerHasNoLastChunk) {
  fixture f;
  const auto caller = f.Connect();
  for (const bool complete : {true, false}) {
    const auto before = caller->Received().size();
    caller->Send(kGet);
    const auto id = f.At<caller_request>(complete ? 0 : 1).caller;
    f.server->Deliver(caller_head{.caller = id,
                                  .status = 200,
                                  .headers = {{"Berylbarrow-Request-Id", "r\r\nInjected: 1"}},
                                  .content_type = "text/plain"});
    f.server->Deliver(caller_part{.caller = id, .bytes = "hello"});
    f.server->Deliver(caller_part{.caller = id, .bytes = ""});
    f.server->Deliver(caller_end{.caller = id, .complete = complete});
    BOOST_REQUIRE(f.Until([&] { return complete ? caller->Has("0\r\n\r\n") : caller->Closed(); }));
    const auto answer = caller->Received().substr(before);
    BOOST_TEST(answer.find("Transfer-Encoding: chunked") != std::string::npos);
    BOOST_TEST(answer.find("\r\nInjected") == std::string::npos);
    BOOST_TEST(answer.find("5\r\nhello\r\n") != std::string::npos);
    BOOST_TEST((answer.find("\r\n0\r\n\r\n") != std::string::npos) == complete);
    BOOST_TEST(caller->Closed() == !complete);
  }
}

// Guards against work that goes on for a caller that has left, also while the sink is full.
BOOST_AUTO_TEST_CASE(LeavingCallerIsReported) {
  fixture f;
  const auto caller = f.Connect();
  caller->Send(kGet);
  const auto id = f.At<caller_request>(0).caller;
  f.full = true;
  caller->Close();
  BOOST_TEST(f.Until([&] { return f.server->Counters().abandoned == 1; }));
  BOOST_TEST(f.inputs.size() == 1U);
  f.full = false;
  BOOST_TEST(f.At<caller_closed>(1).caller == id);
  f.server->Deliver(caller_part{.caller = id, .bytes = "late"});
  BOOST_TEST(f.server->ConnectionCount() == 0U);
}

// Guards against a full ring that blocks, or that loses a request without telling its caller.
BOOST_AUTO_TEST_CASE(FullSinkIsRefusedAsNotRun) {
  fixture f;
  f.full = true;
  const auto caller = f.Connect();
  caller->Send(kGet);
  BOOST_TEST(f.Until([&] { return caller->Has("}}"); }));
  BOOST_TEST(caller->Has("HTTP/1.1 503"));
  BOOST_TEST(caller->Has("Berylbarrow-Outcome: not-run\r\n"));
  BOOST_TEST(caller->Has("Retry-After: 1\r\n"));
  f.full = false;
  caller->Send(kGet);
  f.At<caller_request>(0);
}

// Guards against an unbounded number of connections.
BOOST_AUTO_TEST_CASE(ConnectionsOverTheBoundAreRefused) {
  fixture f({.max_connections = 1});
  const auto first = f.Connect();
  BOOST_TEST(f.Until([&] { return f.server->ConnectionCount() == 1; }));
  const auto second = f.Connect();
  BOOST_TEST(f.Until([&] { return second->Closed(); }));
  BOOST_TEST(second->Has("HTTP/1.1 503"));
  first->Send(kGet);
  f.At<caller_request>(0);
}

// Guards against memory that grows with the answer of a caller that does not read.
BOOST_AUTO_TEST_CASE(CallerThatDoesNotReadIsDisconnected) {
  fixture f({.max_outgoing_bytes = 100'000});
  boost::asio::ip::tcp::socket socket(f.context);
  socket.connect({boost::asio::ip::address_v4::loopback(), f.server->Port()});
  boost::asio::write(socket, boost::asio::buffer(kGet));
  const auto id = f.At<caller_request>(0).caller;
  f.server->Deliver(caller_head{.caller = id, .status = 200, .headers = {}, .content_type = ""});
  BOOST_TEST(f.Until([&] {
    f.server->Deliver(caller_part{.caller = id, .bytes = std::string(50'000, 'x')});
    return f.server->Counters().slow_callers == 1;
  }));
  BOOST_TEST(f.At<caller_closed>(1).caller == id);
}

// Guards against a caller that holds a connection by sending its request too slowly.
BOOST_AUTO_TEST_CASE(SlowRequestEndsAtTheIdleTimeout) {
  fixture f({.idle_timeout = std::chrono::milliseconds(100)});
  const auto idle = f.Connect();
  const auto slow = f.Connect();
  slow->Send("POST /services/a/b HTTP/1.1\r\nContent-Length: 5\r\n\r\nab");
  BOOST_TEST(f.Until([&] { return slow->Closed() && idle->Closed(); }));
  BOOST_TEST(slow->Has("HTTP/1.1 400"));
  BOOST_TEST(slow->Has("truncated"));
  BOOST_TEST(idle->Received().empty());
  BOOST_TEST(f.inputs.empty());
}

// Guards against a graceful shutdown that cuts off a running request or keeps idle connections.
BOOST_AUTO_TEST_CASE(StopAcceptingFinishesRunningRequests) {
  fixture f;
  const auto idle = f.Connect();
  const auto busy = f.Connect();
  const auto used = f.Connect();
  busy->Send(kGet);
  const auto id = f.At<caller_request>(0).caller;
  used->Send(kGet);
  f.server->Deliver(caller_reply{
      .caller = f.At<caller_request>(1).caller, .status = 200, .headers = {}, .body = "one"});
  BOOST_TEST(f.Until([&] { return used->Has("one") && f.server->ConnectionCount() == 3; }));
  f.server->Deliver(callers_stop_accepting{});
  BOOST_TEST(f.Until([&] { return idle->Closed() && used->Closed(); }));
  BOOST_CHECK_THROW(f.Connect(), boost::system::system_error);
  BOOST_TEST(!busy->Closed());
  f.server->Deliver(caller_reply{.caller = id, .status = 200, .headers = {}, .body = "last"});
  BOOST_TEST(f.Until([&] { return busy->Closed(); }));
  BOOST_TEST(busy->Has("Connection: close\r\n"));
  BOOST_TEST(busy->Has("last"));
}

}  // namespace
}  // namespace berylbarrow
