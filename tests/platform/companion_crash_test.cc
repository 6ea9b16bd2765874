#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <memory>
#include <string>
#include <thread>

#include "berylbarrow/process/companion/companion.h"
#include "berylbarrow/process/membership/fleet_beat.h"
#include "berylbarrow/request/suspect/crash_analysis.h"
#include "platform/engine_api.h"
#include "platform/gateway_fixture.h"
#include "process/companion/rank_message.h"

namespace berylbarrow {
namespace {

using boost::asio::ip::udp;

constexpr time_point kStart{std::chrono::hours(1)};

udp::endpoint MakeUdpEndpoint(const std::string& address) {
  const auto colon = address.rfind(':');
  return {boost::asio::ip::make_address(address.substr(0, colon)),
          static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

/// A companion whose store does not answer, and a gateway's socket that it knows as seed.
class companion_fixture {
 public:
  /// By default the engine does not answer either.
  explicit companion_fixture(const std::string& engine_address = FreeLoopbackAddress())
      : settings_{.name = "side-a",
                  .peers_address = FreeLoopbackAddress(),
                  .upstream_address = engine_address,
                  .service = "app",
                  .store_address = FreeLoopbackAddress(),
                  .seeds = {"127.0.0.1:" + std::to_string(gateway_.local_endpoint().port())}},
        thread_([this] { RunCompanion(settings_, dialect_, clock_); }) {
    while (!DecodeBeat(Receive())) continue;
  }
  ~companion_fixture() {
    std::raise(SIGTERM);
    thread_.join();
  }

  void Send(const crash_digest& digest) {
    gateway_.send_to(boost::asio::buffer(EncodeCrashDigest(digest)),
                     MakeUdpEndpoint(settings_.peers_address));
  }
  void Send(const rank_message& message) {
    gateway_.send_to(boost::asio::buffer(EncodeRankMessage(message)),
                     MakeUdpEndpoint(settings_.peers_address));
  }
  /// The next plan of the companion, as the coordinator of its group.
  switch_plan ReceivePlan() {
    while (true) {
      const auto message = DecodeRankMessage(Receive());
      if (message && !message->plan.empty()) return message->plan.front();
    }
  }
  /// Where the fixture receives what the companion sends.
  std::string Address() const {
    return "127.0.0.1:" + std::to_string(gateway_.local_endpoint().port());
  }
  /// Discards what has arrived so far.
  void DiscardReceived() {
    while (gateway_.available() > 0) Receive();
  }
  crash_digest ReceiveDigest() {
    while (true) {
      if (auto digest = DecodeCrashDigest(Receive())) return *digest;
    }
  }
  /// The next report of the engine, whether it is open or not.
  engine_report ReceiveReport(bool open) {
    while (true) {
      const auto heartbeat = DecodeBeat(Receive());
      if (!heartbeat || heartbeat->reports.empty()) continue;
      if (heartbeat->reports.front().open == open) return heartbeat->reports.front();
    }
  }

 private:
  std::string Receive() {
    std::array<char, 1400> bytes{};
    const std::size_t size = gateway_.receive(boost::asio::buffer(bytes));
    return {bytes.data(), size};
  }

  boost::asio::io_context context_;
  udp::socket gateway_{context_, {boost::asio::ip::make_address("127.0.0.1"), 0}};
  system_clock clock_;
  platform::engine_api dialect_;
  companion_settings settings_;
  std::thread thread_;
};

// Guards against a fleet that forgets a deadly part when all gateways are restarted at once.
BOOST_AUTO_TEST_CASE(a_companion_returns_the_crashes_that_gateways_have_told_it) {
  companion_fixture companion;
  const trait_list deadly{1, 100, 500};
  crash_analysis before({.observer = 1});
  before.OnAnswered({2, 100}, kStart);
  before.OnCrash(deadly, 1, answer_progress::kStarted, kStart);
  companion.Send(before.MakeDigest(kStart));
  companion.Send(crash_digest{});
  crash_analysis after({.observer = 2});
  after.Merge(companion.ReceiveDigest(), kStart + std::chrono::seconds(1));
  const auto permission = [&](const trait_list& traits) {
    return after.Check(traits, false, kStart + std::chrono::seconds(1)).permission;
  };
  BOOST_TEST((permission({3, 101, 500}) == crash_permission::kRefused));
  BOOST_TEST((permission({4, 100}) == crash_permission::kUnrestricted));
}

// Guards against requests that are sent to the other ranks of a group while all of them stall for
// the rank that crashed.
BOOST_AUTO_TEST_CASE(a_companion_reports_the_rank_of_an_engine_that_is_gone_as_lost) {
  auto engine = std::make_unique<scripted_upstream>([](const std::string& request) {
    const bool is_status = request.rfind("GET /report ", 0) == 0;
    const std::string body =
        is_status ? R"({"group":{"name":"g","epoch":3,"rank":1,"state":"open"},"size":4})" : "";
    return scripted_reply{.bytes = "HTTP/1.1 " + std::string(is_status ? "200" : "404") +
                                   " x\r\nContent-Length: " + std::to_string(body.size()) +
                                   "\r\n\r\n" + body};
  });
  companion_fixture companion(engine->Address());
  const engine_report open = companion.ReceiveReport(true);
  BOOST_TEST(open.group == "g");
  engine.reset();
  const engine_report lost = companion.ReceiveReport(false);
  BOOST_TEST(lost.group == "g");
  BOOST_TEST(lost.epoch == 3U);
  BOOST_TEST(lost.address == open.address);
}

// Regression test (review/2): after one broken answer of its engine a companion forgot the other
// ranks, but not the switch that it coordinated, and ended when it sent them the plan of that
// switch.
BOOST_AUTO_TEST_CASE(a_coordinator_goes_on_with_its_switch_after_a_broken_answer_of_its_engine) {
  constexpr std::uint32_t kRanks = 32;
  std::atomic<bool> breaks_next{false};
  // An earlier coordinator has left a hold behind.
  const scripted_upstream engine([&](const std::string& request) -> scripted_reply {
    const bool is_status = request.rfind("GET /report ", 0) == 0;
    const std::string body =
        is_status
            ? R"({"group":{"name":"g","epoch":3,"rank":0,"state":"open"},"size":32,"step":99,)"
              R"("held":100})"
            : "";
    const std::string bytes = "HTTP/1.1 " + std::string(is_status ? "200" : "404") +
                              " x\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                              body;
    if (!is_status || !breaks_next.exchange(false)) return {.bytes = bytes};
    return {.bytes = bytes.substr(0, bytes.size() / 2),
            .action = scripted_reply::connection_action::kReset};
  });
  companion_fixture companion(engine.Address());
  std::uint64_t coordinator = 0;
  const auto send_states = [&] {
    for (std::uint32_t rank = 1; rank < kRanks; ++rank) {
      companion.Send(rank_message{.state = {{.incarnation = 1000 + rank,
                                             .heard = coordinator,
                                             .group = "g",
                                             .epoch = 3,
                                             .rank = rank,
                                             .step = 99,
                                             .prepared = 5,
                                             .committed = {.version = 5, .step = 100}}}});
    }
  };
  // A companion that does not know the group of its engine ignores the other ranks.
  companion.ReceiveReport(true);
  switch_plan plan;
  while (plan.stage != switch_stage::kUndoing) {
    companion.DiscardReceived();
    send_states();
    // Further states before the companion has read these would overflow its socket.
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    plan = companion.ReceivePlan();
    coordinator = plan.incarnation;
  }
  breaks_next = true;
  while (breaks_next) std::this_thread::sleep_for(std::chrono::milliseconds(5));
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  companion.DiscardReceived();
  // The ranks have sent nothing since, so the plan goes to those that were known before.
  BOOST_TEST((companion.ReceivePlan() == plan));
}

// The coordinator stands still right after its hold. The companion of rank 1 has learned of the
// other ranks only from it, undoes the switch with them and releases the group.
BOOST_AUTO_TEST_CASE(a_holder_ends_the_switch_of_a_silent_coordinator) {
  std::atomic<bool> is_held{true};
  const scripted_upstream engine([&](const std::string& request) -> scripted_reply {
    const bool is_status = request.rfind("GET /report ", 0) == 0;
    if (request.find("\"go\"") != std::string::npos) is_held = false;
    std::string body = "{}";
    if (is_status) {
      body = R"({"group":{"name":"g","epoch":3,"rank":1,"state":"open"},"size":4,"step":99)";
      body += is_held ? R"(,"held":100})" : "}";
    }
    return {.bytes = "HTTP/1.1 200 x\r\nContent-Length: " + std::to_string(body.size()) +
                     "\r\n\r\n" + body};
  });
  companion_fixture companion(engine.Address());
  companion.ReceiveReport(true);
  switch_plan plan{.incarnation = 77,
                   .group = "g",
                   .epoch = 3,
                   .stage = switch_stage::kAnnouncing,
                   .target = {.version = 5}};
  std::vector<rank_address> addresses;
  for (const std::uint32_t rank : {0U, 2U, 3U}) {
    addresses.push_back({.rank = rank, .companion = companion.Address()});
  }
  companion.Send(rank_message{.plan = {plan}, .addresses = addresses});
  plan.stage = switch_stage::kHolding;
  plan.target.step = 100;
  plan.sequence = 1;
  companion.Send(rank_message{.plan = {plan}});
  const switch_plan ending = companion.ReceivePlan();
  BOOST_TEST(ending.from_holder);
  BOOST_TEST((ending.stage == switch_stage::kUndoing));
  BOOST_TEST((ending.target == plan.target));
  BOOST_TEST(is_held);
  for (const std::uint32_t rank : {2U, 3U}) {
    companion.Send(rank_message{.state = {{.incarnation = 1000 + rank,
                                           .heard = 77,
                                           .group = "g",
                                           .epoch = 3,
                                           .rank = rank,
                                           .step = 99,
                                           .announced = 5,
                                           .refused = 5}}});
  }
  while (is_held) std::this_thread::sleep_for(std::chrono::milliseconds(5));
}

}  // namespace
}  // namespace berylbarrow
