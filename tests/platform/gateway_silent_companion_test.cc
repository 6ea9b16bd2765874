#include <boost/asio/ip/udp.hpp>
#include <boost/test/unit_test.hpp>

#include "berylbarrow/process/membership/fleet_beat.h"
#include "platform/gateway_fixture.h"

namespace berylbarrow {
namespace {

using boost::asio::ip::udp;
using std::chrono::milliseconds;

/// Sends one heartbeat of a companion beside `upstream`; nothing follows.
void SendOneHeartbeat(const gateway_fixture& gateway, const scripted_upstream& upstream) {
  boost::asio::io_context context;
  udp::socket socket(context, {boost::asio::ip::make_address("127.0.0.1"), 0});
  const fleet_member member{
      .name = "companion-1",
      .role = member_role::kCompanion,
      .domain = "north",
      .incarnation = 7,
      .peers_address = "127.0.0.1:" + std::to_string(socket.local_endpoint().port()),
      .group = "g"};
  const engine_report report{.address = upstream.Address(), .group = "g", .epoch = 1};
  const fleet_beat heartbeat{.self = member, .sequence = 1, .reports = {report}};
  socket.send_to(boost::asio::buffer(EncodeBeat(heartbeat)), gateway.PeersEndpoint());
}

// A companion that is only silent, longer than members count as live, is no reason to start the
// work of its upstream again elsewhere or to give it up.
BOOST_AUTO_TEST_CASE(work_goes_on_at_an_upstream_whose_companion_is_silent) {
  const scripted_upstream working([](const std::string& request) {
    return scripted_reply{
        .bytes =
            "HTTP/1.1 200 OK\r\nRequest-Attempt-Id: " + HeaderValue(request, "Request-Attempt-Id") +
            "\r\nReplica-Signature: sig\r\nTransfer-Encoding: chunked\r\n\r\n",
        .endless_bytes = MakeChunk("data: token\n\n"),
        .pause = milliseconds(200)};
  });
  const scripted_upstream other([](const std::string& request) {
    return scripted_reply{.bytes = MakeStreamResponse(request, {"id: 1\ndata: b\n\n"}, true)};
  });
  const gateway_fixture gateway({&working, &other}, {.route_timeout = milliseconds(3500)});
  SendOneHeartbeat(gateway, working);
  const std::string answer = gateway.SendAndReceive(
      MakeRequest("draft", "a1", "key-1", milliseconds(3500)), milliseconds(1500));
  std::size_t events = 0;
  for (std::size_t at = answer.find("data: token"); at != std::string::npos;
       at = answer.find("data: token", at + 1)) {
    ++events;
  }
  BOOST_TEST(events >= 12U);
  BOOST_TEST(working.Requests().size() == 1U);
  BOOST_TEST(other.Requests().empty());
}

}  // namespace
}  // namespace berylbarrow
