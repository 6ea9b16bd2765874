#include "berylbarrow/connection/http/http_caller.h"

#include <boost/test/unit_test.hpp>
#include <optional>

#include "connection/socket_fixture.h"
#include "support/broken_fields.h"

namespace berylbarrow {
namespace {

using boost::asio::ip::tcp;

// Fills the buffers of both sockets.
constexpr std::size_t kLongUpload = 8U << 20U;
const std::string kUnframed = "HTTP/1.1 200 OK\r\n\r\nhalf";

/// A server whose answers the test writes, and a caller of it.
struct fixture {
  explicit fixture(bool reads = true) {
    acceptor.async_accept([this, reads](boost::system::error_code error, tcp::socket socket) {
      if (error) return;
      server = std::make_shared<raw_socket>(std::move(socket));
      if (reads) server->Read();
    });
  }

  void Call(http_call call) {
    caller.Call(std::move(call), [this](const http_result& received) { result = received; });
    BOOST_REQUIRE(RunUntil(context, [this] { return server != nullptr; }));
  }

  bool HasResult() {
    return RunUntil(context, [this] { return result.has_value(); });
  }

  boost::asio::io_context context;
  system_clock clock;
  tcp::acceptor acceptor{context, {boost::asio::ip::address_v4::loopback(), 0}};
  http_caller caller{context, "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()),
                     std::chrono::seconds(20), clock};
  std::shared_ptr<raw_socket> server;
  std::optional<http_result> result;
};

/// What a caller makes of the bytes that a server sends.
http_result ResultOf(const std::string& answer) {
  fixture f;
  f.Call({.target = "/x"});
  f.server->Send(answer);
  BOOST_TEST_REQUIRE(f.HasResult());
  return *f.result;
}

BOOST_AUTO_TEST_CASE(an_answer_whose_status_is_none_is_none) {
  for (const std::string status :
       {"000", "099", "101", "600", "999", "", "0", "20", "2000", "-20", "+20", " 200", "2 0"}) {
    for (const std::string fields : {"Content-Length: 4\r\n", ""}) {
      std::string answer = "HTTP/1.1 ";
      answer += status;
      answer += " X\r\n" + fields + "\r\ndone";
      const http_result result = ResultOf(answer);
      BOOST_TEST(result.status == 0U, answer);
      BOOST_TEST(result.body == "", answer);
    }
  }
}

BOOST_AUTO_TEST_CASE(an_answer_with_a_broken_field_name_is_none) {
  for (const std::string& line : BrokenFieldLines()) {
    for (const std::string& answer : AnswersWithLine(line)) {
      const http_result result = ResultOf(answer);
      BOOST_TEST(result.status == 0U, answer);
      BOOST_TEST(result.body == "", answer);
    }
  }
}

// A server began an answer without length while the call was being written, and reset the
// connection. The part was the result.
BOOST_AUTO_TEST_CASE(an_answer_that_is_broken_off_during_the_upload_is_none) {
  for (const std::string& part : {kUnframed, kUnframed.substr(0, kUnframed.size() - 4)}) {
    for (const int delay_ms : {0, 50, 200}) {
      for (const bool close : {false, true}) {
        BOOST_TEST_CONTEXT(part.size() << " bytes, " << delay_ms << " ms, close " << close) {
          fixture f(false);
          f.Call({.method = "POST", .target = "/x", .body = std::string(kLongUpload, 'u')});
          f.server->Send(part);
          RunFor(f.context, std::chrono::milliseconds(delay_ms));
          if (close) {
            f.server->Close();  // with unread bytes, which makes it a reset
          } else {
            f.server->Reset();
          }
          BOOST_TEST_REQUIRE(f.HasResult());
          BOOST_TEST(f.result->status == 0U);
          BOOST_TEST(f.result->body == "");
        }
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(an_answer_that_is_reset_after_the_upload_is_none) {
  fixture f;
  f.Call({.target = "/x"});
  BOOST_TEST_REQUIRE(RunUntil(f.context, [&] { return f.server->Has("\r\n\r\n"); }));
  f.server->Send(kUnframed);
  RunFor(f.context, std::chrono::milliseconds(50));
  f.server->Reset();
  BOOST_TEST_REQUIRE(f.HasResult());
  BOOST_TEST(f.result->status == 0U);
}

BOOST_AUTO_TEST_CASE(an_answer_that_ends_in_order_during_the_upload_is_the_result) {
  fixture f(false);
  f.Call({.method = "POST", .target = "/x", .body = std::string(kLongUpload, 'u')});
  f.server->Send(kUnframed);
  RunFor(f.context, std::chrono::milliseconds(50));
  f.server->FinishSending();
  BOOST_TEST_REQUIRE(f.HasResult());
  BOOST_TEST(f.result->status == 200U);
  BOOST_TEST(f.result->body == "half");
}

}  // namespace
}  // namespace berylbarrow
