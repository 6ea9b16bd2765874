#include "berylbarrow/connection/http/engine_client.h"

#include <boost/test/unit_test.hpp>
#include <vector>

#include "common/stub_server.h"
#include "connection/http/expert_map_text.h"
#include "connection/socket_fixture.h"

namespace berylbarrow {
namespace {

constexpr group_shape kShape{.ranks = 2, .layers = 1, .experts = 2, .slots_per_rank = 2};

/// An engine that answers every request with `state`, and a client towards it.
struct fixture {
  fixture() {
    client.Deliver(engine_watch{.enabled = true});
    BOOST_REQUIRE(RunUntil(context, [this] { return !states.empty(); }));
  }

  /// Delivers an order to prepare a map and waits for its answer.
  engine_state Order(time_point not_after) {
    client.Deliver(engine_order{.order = 7,
                                .token = {.term = 5, .rank = 1},
                                .version = 3,
                                .map = scheduled_map{expert_map(3, kShape, {0, 1, 1, 0}), 40},
                                .not_after = not_after});
    BOOST_REQUIRE(RunUntil(context, [this] { return states.back().order == 7; }));
    return states.back();
  }

  boost::asio::io_context context;
  manual_clock clock;
  engine_state state{.reachable = true,
                     .instance = "a",
                     .next_step = 20,
                     .committed = scheduled_map{expert_map::Initial(kShape), 0},
                     .load = {1.5, 2.5}};
  std::vector<std::string> posts;  // path and body
  std::vector<engine_state> states;
  std::string address = "127.0.0.1:" + std::to_string(FreePort());
  tools::stub_server server{context, address, [this](const auto& connection) {
                              if (connection->Method() == "POST") {
                                posts.push_back(connection->Path() + connection->Request().body());
                              }
                              connection->Reply(200, "application/json", EngineStateText(state));
                            }};
  engine_client client{context, {.address = address}, clock, [this](const agent_input& input) {
                         states.push_back(std::get<engine_state>(input));
                         return true;
                       }};

  std::uint16_t FreePort() {
    return boost::asio::ip::tcp::acceptor(context, {boost::asio::ip::address_v4::loopback(), 0})
        .local_endpoint()
        .port();
  }
};

// Guards against a state or an order that changes on its way.
BOOST_AUTO_TEST_CASE(StatesAndOrdersSurviveTheirText) {
  fixture f;
  BOOST_TEST((f.states.back().committed == f.state.committed));
  BOOST_TEST((f.states.back().load == f.state.load));
  BOOST_TEST(f.states.back().next_step == 20U);
  BOOST_TEST(f.Order(time_point::max()).reachable);
  BOOST_REQUIRE(f.posts.size() == 1U);
  const std::string path = "/expert-map/prepare";
  BOOST_TEST(f.posts[0].rfind(path, 0) == 0U);
  const auto order = ParseOrder(f.posts[0].substr(path.size()));
  BOOST_REQUIRE(order.has_value());
  BOOST_TEST((order->token == fencing_token{5, 1}));
  BOOST_TEST((order->map == scheduled_map{expert_map(3, kShape, {0, 1, 1, 0}), 40}));
}

// Guards against an agent that was paused or replaced and changes the map of an engine that does
// not check the token itself.
BOOST_AUTO_TEST_CASE(OldOrdersAreNotSent) {
  fixture f;
  f.state.token = {.term = 6};
  f.Order(time_point::max());
  f.state.token = {};
  f.states.push_back({});
  f.Order(f.clock.Now() - std::chrono::milliseconds(1));
  BOOST_TEST(f.posts.empty());
  BOOST_TEST(f.client.Counters().orders_fenced == 1U);
  BOOST_TEST(f.client.Counters().orders_late == 1U);
}

// Guards against slots beyond the end of a map whose text is inconsistent.
BOOST_AUTO_TEST_CASE(InconsistentMapsAreNoState) {
  fixture f;
  std::string text = EngineStateText(f.state);
  text.replace(text.find("\"ranks\":2"), 9, "\"ranks\":9");
  BOOST_TEST(!ParseEngineState(text).reachable);
  BOOST_TEST(!ParseEngineState("{}").reachable);
}

}  // namespace
}  // namespace berylbarrow
