#include <boost/asio/ip/udp.hpp>
#include <boost/test/unit_test.hpp>

#include "berylbarrow/process/membership/fleet_beat.h"
#include "berylbarrow/version/store/freshness_exchange.h"
#include "berylbarrow/version/store/store_view.h"
#include "platform/gateway_fixture.h"

namespace berylbarrow {
namespace {

using boost::asio::ip::udp;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Another gateway of the fleet, as far as datagrams show it.
class peer_gateway {
 public:
  explicit peer_gateway(const gateway_fixture& gateway) : gateway_(gateway.PeersEndpoint()) {
    socket_.non_blocking(true);
  }

  /// Tells the gateway of this one, until the gateway's freshness report has arrived.
  std::optional<freshness_report> AwaitReport() {
    for (int attempt = 0; attempt < 200; ++attempt) {
      const auto address = socket_.local_endpoint();
      Send(EncodeBeat({.self = {.name = "entry-b",
                                .domain = "north",
                                .incarnation = 1,
                                .peers_address = "127.0.0.1:" + std::to_string(address.port()),
                                .callers_address = "127.0.0.1:1"},
                       .sequence = ++sequence_}));
      std::this_thread::sleep_for(milliseconds(25));
      if (auto report = Receive()) return report;
    }
    return std::nullopt;
  }
  /// What the gateway has told of the store, if anything.
  const std::optional<store_view>& View() const { return view_; }
  void Send(const std::string& datagram) {
    socket_.send_to(boost::asio::buffer(datagram), gateway_);
  }

 private:
  /// The latest report that has arrived.
  std::optional<freshness_report> Receive() {
    std::optional<freshness_report> latest;
    std::array<char, 65536> bytes{};
    boost::system::error_code error;
    while (true) {
      const std::size_t size = socket_.receive(boost::asio::buffer(bytes), 0, error);
      if (error) return latest;
      if (auto report = DecodeFreshnessReport({bytes.data(), size})) latest = std::move(report);
      if (const auto view = DecodeStoreView({bytes.data(), size})) view_ = view;
    }
  }

  udp::endpoint gateway_;
  boost::asio::io_context context_;
  udp::socket socket_{context_, udp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)};
  std::uint64_t sequence_ = 0;
  std::optional<store_view> view_;
};

struct fixture {
  std::string Ask(const std::string& id) { return gateway.SendAndReceive(MakeRequest("read", id)); }
  /// A report of the peer that echoes the gateway's own.
  freshness_report Answer(const freshness_report& of, std::uint64_t version) {
    freshness_exchange exchange({}, {.name = 77, .incarnation = 1});
    exchange.OnReport(of, time_point());
    return exchange.MakeReport({.version = version}, milliseconds(100), time_point());
  }

  scripted_upstream upstream{[](const std::string& request) {
    return scripted_reply{.bytes = MakeSignedResponse(request, 200, "done")};
  }};
  gateway_fixture gateway{{&upstream}};
  peer_gateway peer{gateway};
};

// Guards against a gateway that refuses keys because it has lost the store, although another one
// has just read the same configuration there.
BOOST_FIXTURE_TEST_CASE(keys_are_accepted_on_the_proof_of_another_gateway, fixture) {
  gateway.MakeConfigurationStale(milliseconds(5500));
  BOOST_TEST(Ask("a1").find("HTTP/1.1 503") == 0U);
  const auto report = peer.AwaitReport();
  BOOST_REQUIRE(report.has_value());
  BOOST_TEST(report->has_age);
  BOOST_TEST(report->view.version == 4U);
  // Of another version, or not shown to have been stated lately.
  peer.Send(EncodeFreshnessReport(Answer(*report, 5)));
  freshness_report undated = Answer(*report, 4);
  undated.echoes.clear();
  peer.Send(EncodeFreshnessReport(undated));
  BOOST_TEST(Ask("a2").find("HTTP/1.1 503") == 0U);
  bool is_accepted = false;
  for (int i = 0; i < 20 && !is_accepted; ++i) {
    const auto newest = peer.AwaitReport();
    BOOST_REQUIRE(newest.has_value());
    peer.Send(EncodeFreshnessReport(Answer(*newest, 4)));
    is_accepted = Ask("b" + std::to_string(i)).find("HTTP/1.1 200") == 0U;
  }
  BOOST_TEST(is_accepted);
}

// Regression test (review/7): a gateway that started while the store held an older configuration
// accepted a revoked key, because the others named their version only in a later era than 0.
BOOST_FIXTURE_TEST_CASE(a_gateway_that_starts_learns_the_version_in_force_in_any_era, fixture) {
  BOOST_REQUIRE(peer.AwaitReport().has_value());
  BOOST_REQUIRE(peer.View().has_value());
  BOOST_TEST((*peer.View() == store_view{.era = 0, .version = 4}));
}

}  // namespace
}  // namespace berylbarrow
