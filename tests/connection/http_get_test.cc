#include "connection/http/http_get.h"

#include <boost/test/unit_test.hpp>
#include <optional>

#include "connection/socket_fixture.h"
#include "support/broken_fields.h"

namespace berylbarrow {
namespace {

using boost::asio::ip::tcp;

/// What http_get makes of the bytes that a server sends.
http_get_reply ReplyTo(const std::string& bytes) {
  boost::asio::io_context context;
  tcp::acceptor acceptor(context, {boost::asio::ip::address_v4::loopback(), 0});
  std::shared_ptr<raw_socket> server;
  acceptor.async_accept([&](boost::system::error_code error, tcp::socket socket) {
    if (error) return;
    server = std::make_shared<raw_socket>(std::move(socket));
    server->Read();
    server->Send(bytes);
  });
  std::optional<http_get_reply> received;
  const http_get request(
      context,
      {.address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()),
       .target = "/x",
       .timeout = std::chrono::seconds(20),
       .max_body_bytes = 100'000},
      [&](http_get_reply reply) { received = std::move(reply); });
  BOOST_REQUIRE(RunUntil(context, [&] { return received.has_value(); }));
  return *received;
}

const std::string kSound = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";

// A server in trouble sends an answer whose status is none; its body must not be used.
BOOST_AUTO_TEST_CASE(AnAnswerWithoutAStatusOfHttpIsAnError) {
  for (const std::string status :
       {"000", "099", "101", "600", "999", "", "0", "20", "2000", "-20", "+20", " 200", "2 0"}) {
    std::string answer = "HTTP/1.1 ";
    answer += status;
    answer += " X\r\nContent-Length: " + std::to_string(kSound.size()) + "\r\n\r\n";
    answer += kSound;
    const http_get_reply reply = ReplyTo(answer);
    BOOST_TEST(!reply.error.empty(), status);
    BOOST_TEST(reply.status == 0U, status);
  }
}

BOOST_AUTO_TEST_CASE(InterimAnswersAreSkipped) {
  const http_get_reply reply = ReplyTo("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + kSound);
  BOOST_TEST(reply.error == "");
  BOOST_TEST(reply.body == "done");
}

// A server in trouble sends a blank or a control byte in the name of a field; the body after it may
// be none of its own.
BOOST_AUTO_TEST_CASE(AnAnswerWithABrokenFieldNameIsAnError) {
  for (const std::string& line : BrokenFieldLines()) {
    for (const std::string& answer : AnswersWithLine(line)) {
      const http_get_reply reply = ReplyTo(answer);
      BOOST_TEST(!reply.error.empty(), answer);
      BOOST_TEST(reply.body == "", answer);
    }
  }
}

BOOST_AUTO_TEST_CASE(EmptyValuesAndTrailersAreSound) {
  for (const std::string line : {"Y: b", "Y:", "Y: \t"}) {
    for (const std::string& answer : AnswersWithLine(line)) {
      const http_get_reply reply = ReplyTo(answer);
      BOOST_TEST(reply.error == "", answer);
      BOOST_TEST(reply.body == "done", answer);
    }
  }
}

// A server began an answer without length and broke it off, during the upload or after it.
BOOST_AUTO_TEST_CASE(AnAnswerThatIsResetIsAnError) {
  const std::string head = "HTTP/1.1 200 OK\r\n\r\n";
  for (const std::size_t upload : {0U, 3U, 8U << 20U}) {
    for (const std::string& part : {head, head + "half"}) {
      for (const int delay_ms : {0, 50, 200}) {
        BOOST_TEST_CONTEXT(upload << " bytes, " << part << ", " << delay_ms << " ms") {
          boost::asio::io_context context;
          tcp::acceptor acceptor(context, {boost::asio::ip::address_v4::loopback(), 0});
          std::shared_ptr<raw_socket> server;
          acceptor.async_accept([&](boost::system::error_code error, tcp::socket socket) {
            if (!error) server = std::make_shared<raw_socket>(std::move(socket));
          });
          std::optional<http_get_reply> received;
          const http_get request(
              context,
              {.address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()),
               .target = "/x",
               .timeout = std::chrono::seconds(20),
               .max_body_bytes = 100'000,
               .body = std::string(upload, 'u')},
              [&](http_get_reply reply) { received = std::move(reply); });
          BOOST_TEST_REQUIRE(RunUntil(context, [&] { return server != nullptr; }));
          server->Send(part);
          RunFor(context, std::chrono::milliseconds(delay_ms));
          server->Reset();
          BOOST_TEST_REQUIRE(RunUntil(context, [&] { return received.has_value(); }));
          BOOST_TEST(!received->error.empty());
          BOOST_TEST(received->body == "");
        }
      }
    }
  }
}

// Bytes that are no answer may come without end.
BOOST_AUTO_TEST_CASE(HeadsAndBodiesAreBounded) {
  BOOST_TEST(!ReplyTo("HTTP/1.1 200 OK\r\nX: " + std::string(1'000'000, 'x')).error.empty());
  BOOST_TEST(!ReplyTo("HTTP/1.1 200 OK\r\n\r\n" + std::string(1'000'000, 'x')).error.empty());
  std::string interim;
  for (int i = 0; i < 100; ++i) interim += "HTTP/1.1 103 Early Hints\r\n\r\n";
  BOOST_TEST(!ReplyTo(interim + kSound).error.empty());
}

}  // namespace
}  // namespace berylbarrow
