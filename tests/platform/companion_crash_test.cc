#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <vector>

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

/// The engine of a rank in a group of four that is held before pass 100, with map 0 of one layer
/// and eight experts in use and version 5 prepared.
class held_engine {
 public:
  explicit held_engine(std::uint32_t rank) : rank_(rank) {}

  std::string Address() const { return upstream_.Address(); }
  bool IsHeld() const { return is_held_; }
  /// Version that was prepared last.
  std::uint64_t Prepared() const { return prepared_; }
  /// Whether the last version that was prepared leaves this rank the experts that it has, and each
  /// expert on some rank.
  bool HasFittingMap() const { return has_fitting_map_; }

 private:
  std::string Answer(const std::string& request) {
    if (request.rfind("GET /picked?", 0) == 0) {
      return R"({"step":99,"epoch":3,"mapping":{"version":0,"experts":[[1,5]]},"prepared":null})";
    }
    if (request.rfind("GET /picked ", 0) == 0) {
      return R"({"step":99,"epoch":3,"counts":[1,1,1,1,1,1,1,1]})";
    }
    if (request.rfind("GET /report ", 0) == 0) {
      std::string report = R"({"group":{"name":"g","epoch":3,"rank":)" + std::to_string(rank_) +
                           R"(,"state":"open"},"size":4,"step":99,"mapping":0,"prepared":)" +
                           std::to_string(prepared_);
      // The hold is on the engine of rank 1.
      return report + (is_held_ && rank_ == 1 ? R"(,"held":100})" : "}");
    }
    if (request.rfind("POST /order ", 0) == 0) {
      const auto order = nlohmann::json::parse(request.substr(request.find("\r\n\r\n") + 4));
      if (order.at("op") == "go") is_held_ = false;
      if (order.at("op") == "prepare") Prepare(order);
    }
    return "{}";
  }
  void Prepare(const nlohmann::json& order) {
    const auto layer = order.at("mapping").at(0).get<std::vector<std::vector<int>>>();
    std::set<int> all;
    for (const auto& list : layer) all.insert(list.begin(), list.end());
    has_fitting_map_ = layer.at(rank_) == std::vector<int>{1, 5} && all.size() == 8;
    prepared_ = order.at("version");
  }

  std::uint32_t rank_;
  std::atomic<bool> is_held_{true};
  std::atomic<bool> has_fitting_map_{false};
  std::atomic<std::uint64_t> prepared_{5};
  scripted_upstream upstream_{[this](const std::string& request) -> scripted_reply {
    const std::string body = Answer(request);
    return {.bytes = "HTTP/1.1 200 x\r\nContent-Length: " + std::to_string(body.size()) +
                     "\r\n\r\n" + body};
  }};
};

/// State of another rank that reports to the coordinator `heard`.
rank_message StateOf(std::uint32_t rank, std::uint64_t heard, std::uint64_t prepared) {
  return {.state = {{.incarnation = 1000 + rank,
                     .heard = heard,
                     .group = "g",
                     .epoch = 3,
                     .rank = rank,
                     .step = 99,
                     .prepared = prepared,
                     .held = rank == 1 ? 100U : 0U,
                     .announced = 5,
                     .refused = 5}}};
}

// The coordinator stands still right after its hold. The companion of rank 1 has learned of the
// other ranks only from it, undoes the switch with them and releases the group, but only once no
// rank from 1 on can be armed any more.
BOOST_AUTO_TEST_CASE(a_holder_ends_the_switch_of_a_silent_coordinator) {
  const held_engine engine(1);
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
  switch_plan ending = companion.ReceivePlan();
  BOOST_TEST(ending.from_holder);
  BOOST_TEST((ending.stage == switch_stage::kUndoing));
  BOOST_TEST((ending.target == plan.target));
  BOOST_TEST(!ending.is_final);
  BOOST_TEST(engine.IsHeld());
  companion.Send(StateOf(2, 77, 5));
  companion.Send(StateOf(3, 77, 5));
  while (!ending.is_final) ending = companion.ReceivePlan();
  while (engine.Prepared() == 5) std::this_thread::sleep_for(std::chrono::milliseconds(5));
  BOOST_TEST(engine.Prepared() > 5U);
  BOOST_TEST(engine.HasFittingMap());
  companion.Send(StateOf(2, 77, 7));
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  BOOST_TEST(engine.IsHeld());  // rank 3 may still carry out an order to arm
  companion.Send(StateOf(3, 77, 9));
  while (engine.IsHeld()) std::this_thread::sleep_for(std::chrono::milliseconds(5));
}

// Regression test (review/6): a coordinator that had restarted released an idle group although an
// order of a companion that had ended could still arm a rank.
BOOST_AUTO_TEST_CASE(a_restarted_coordinator_fences_all_ranks_before_it_releases_the_group) {
  const held_engine engine(0);
  const held_engine holder_engine(1);
  companion_fixture companion(engine.Address());
  companion.ReceiveReport(true);
  std::uint64_t heard = 0;
  const auto await = [&](const std::function<bool(const switch_plan&)>& is_met) {
    while (true) {
      companion.DiscardReceived();
      for (const std::uint32_t rank : {1U, 2U, 3U}) {
        rank_message message = StateOf(rank, heard, 5);
        if (rank == 1) message.engine_address = holder_engine.Address();
        companion.Send(message);
      }
      const switch_plan plan = companion.ReceivePlan();
      heard = plan.incarnation;
      if (is_met(plan)) return plan;
    }
  };
  await([](const switch_plan& plan) { return plan.stage == switch_stage::kUndoing; });
  // Its own rank is fenced, so the switch can no longer be finished.
  const switch_plan undoing = await([](const switch_plan& plan) { return plan.is_final; });
  BOOST_TEST(engine.Prepared() > undoing.target.version);
  BOOST_TEST(engine.HasFittingMap());
  BOOST_TEST(holder_engine.IsHeld());
  for (const std::uint32_t rank : {1U, 2U, 3U}) {
    companion.Send(StateOf(rank, heard, engine.Prepared() + rank));
  }
  while (holder_engine.IsHeld()) std::this_thread::sleep_for(std::chrono::milliseconds(5));
}

}  // namespace
}  // namespace berylbarrow
