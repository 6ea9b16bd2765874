#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <future>

#include "common/expected_answer.h"
#include "support/process_fleet.h"

namespace berylbarrow {
namespace {

using boost::asio::ip::tcp;
using boost::asio::ip::udp;

/// A draft of 400 tokens through the relay, disturbed by `disturb` while its answer is on its way.
void CheckDraftSurvives(process_fleet& fleet, const std::function<void()>& disturb) {
  const std::string body = DraftBody("a long form", 400);
  const std::size_t connections = fleet.Relay().Accepted();
  const std::size_t bytes = fleet.Relay().BytesFromTarget();
  auto answer = std::async(std::launch::async, [&] { return fleet.Draft("entry-2", body); });
  constexpr std::size_t kSomeParts = 2000;  // more than pings, less than the answer
  BOOST_TEST(Eventually([&] { return fleet.Relay().BytesFromTarget() > bytes + kSomeParts; }));
  disturb();
  const http_answer whole = answer.get();
  BOOST_TEST(whole.status == 200U, whole.body);
  BOOST_TEST(whole.complete);
  BOOST_TEST((whole.body == tools::ExpectedCompletion(body)));
  BOOST_TEST(fleet.Relay().Accepted() > connections);
}

// Guards against an answer that waits for ever on a connection that became silent, and against
// lost, doubled or reordered bytes when it continues on a new one. Only the upstream behind the
// relay and the entry of its failure domain are in service.
BOOST_AUTO_TEST_CASE(AnswerContinuesAfterAConnectionBreaksOrBecomesSilent) {
  process_fleet fleet({.out = "heredia"});
  CheckDraftSurvives(fleet, [&] { fleet.Relay().Cut(); });
  CheckDraftSurvives(fleet, [&] { fleet.Relay().Silence(); });
  BOOST_TEST(fleet.Metric("entry-2", "berylbarrow_peers_closed_silent_total") >= 1);
  BOOST_TEST(fleet.Metric("entry-2", "berylbarrow_reattachments_total") >= 2);
  BOOST_TEST(fleet.Metric("alajuela-draft", "berylbarrow_agent_broken_total") == 0);
  // A slow connection is not a silent one.
  fleet.Relay().Delay(std::chrono::milliseconds(300));
  const std::string body = DraftBody("a short form", 3);
  BOOST_TEST((fleet.Draft("entry-2", body).body == tools::ExpectedCompletion(body)));
}

/// Sends bytes and waits until the other side closes the connection.
bool IsClosedAfter(const std::string& address, const std::string& bytes) {
  boost::asio::io_context context;
  tcp::socket socket(context);
  const auto colon = address.rfind(':');
  socket.connect({boost::asio::ip::make_address(address.substr(0, colon)),
                  static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))});
  boost::system::error_code ignored;
  boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
  bool closed = false;
  std::array<char, 4096> buffer{};
  std::function<void()> read = [&] {
    socket.async_read_some(boost::asio::buffer(buffer),
                           [&](boost::system::error_code error, std::size_t /*count*/) {
                             closed = error.failed();
                             if (!closed) read();
                           });
  };
  read();
  context.run_for(std::chrono::seconds(30));
  return closed;
}

void SendDatagram(const std::string& address, const std::string& bytes) {
  boost::asio::io_context context;
  udp::socket socket(context, udp::v4());
  const auto colon = address.rfind(':');
  socket.send_to(boost::asio::buffer(bytes),
                 {boost::asio::ip::make_address(address.substr(0, colon)),
                  static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))});
}

// Guards against a process that ends, hangs or allocates without bound on bytes that are not its
// protocol.
BOOST_AUTO_TEST_CASE(MalformedAndOversizedInputAtEachPort) {
  process_fleet fleet;
  const std::string noise("\x00\xff\x13garbage\r\n\r\n\x80", 15);
  const std::string huge_frame("\xff\xff\xff\x7f", 4);
  for (const std::string& process : fleet.Processes()) {
    BOOST_TEST(IsClosedAfter(fleet.Peers(process), noise), process);
    BOOST_TEST(IsClosedAfter(fleet.Peers(process), huge_frame), process);
    BOOST_TEST(IsClosedAfter(fleet.Operators(process), noise), process);
    BOOST_TEST(IsClosedAfter(fleet.Operators(process), "GET /" + std::string(100'000, 'x')),
               process);
    SendDatagram(fleet.Peers(process), noise);
    SendDatagram(fleet.Peers(process), std::string(60'000, 'x'));
    BOOST_TEST(Eventually([&] {
      return fleet.Metric(process, "berylbarrow_peers_heartbeats_malformed_total") >= 2 &&
             fleet.Metric(process, "berylbarrow_peers_closed_malformed_total") >= 1;
    }));
  }
  for (const std::string entry : {"entry-1", "entry-2"}) {
    BOOST_TEST(IsClosedAfter(fleet.Callers(entry), noise));
    BOOST_TEST(IsClosedAfter(fleet.Callers(entry),
                             "GET / HTTP/1.1\r\nX: " + std::string(100'000, 'x') + "\r\n\r\n"));
    BOOST_TEST(fleet.Draft(entry, std::string((1 << 20) + 1, 'x')).status == 413U);
    BOOST_TEST(fleet.Draft(entry, "not json").status == 400U);
    BOOST_TEST(fleet.Draft(entry, DraftBody("still serving", 2)).status == 200U);
  }
  for (const std::string& process : fleet.Processes()) {
    BOOST_TEST(fleet.IsRunning(process), process);
  }
}

}  // namespace
}  // namespace berylbarrow
