#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cxxopts.hpp>
#include <functional>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "common/stub_server.h"
#include "common/tool_main.h"
#include "connection/http/expert_map_text.h"
#include "ranks/rank_group.h"

namespace berylbarrow::tools {
namespace {

using connection_pointer = std::shared_ptr<stub_connection>;

constexpr std::uint16_t kStatusOk = 200;
constexpr std::uint16_t kStatusMalformed = 400;
constexpr std::uint16_t kStatusNotFound = 404;
constexpr std::uint16_t kStatusConflict = 409;

void ReplyText(const connection_pointer& connection, std::uint16_t status,
               const std::string& body) {
  connection->Reply(status, "application/json", body);
}

/// The HTTP side of the ranks: one port each.
class rank_servers {
 public:
  rank_servers(boost::asio::io_context& context, const std::vector<std::string>& addresses,
               const rank_group_options& options, duration step_time)
      : group_(options), timer_(context), step_time_(step_time) {
    for (std::uint32_t rank = 0; rank < addresses.size(); ++rank) {
      servers_.push_back(std::make_unique<stub_server>(
          context, addresses[rank],
          [this, rank](const connection_pointer& connection) { Handle(rank, connection); }));
    }
    WaitForStep();
  }

 private:
  static time_point Now() { return system_clock().Now(); }

  void WaitForStep() {
    timer_.expires_after(step_time_);
    timer_.async_wait([this](boost::system::error_code cancelled) {
      if (!cancelled) {
        group_.Tick(Now());
        WaitForStep();
      }
    });
  }

  void Handle(std::uint32_t rank, const connection_pointer& connection) {
    const std::string request = connection->Method() + " " + connection->Path();
    const engine_state state = group_.State(rank, Now());
    if (request == "GET /load") {
      const nlohmann::json body{
          {"instance", state.instance}, {"uptime_ms", 0}, {"running", 0}, {"waiting", 0}};
      ReplyText(connection, kStatusOk, body.dump());
    } else if (request == "GET /expert-map") {
      ReplyText(connection, kStatusOk, EngineStateText(state));
    } else if (request == "GET /ledger") {
      ReplyText(connection, kStatusOk, group_.Ledger().dump());
    } else if (request == "POST /admin/fault") {
      SetFault(rank, connection);
    } else {
      HandleOrder(rank, request, connection);
    }
  }

  void SetFault(std::uint32_t rank, const connection_pointer& connection) {
    const std::string mode = connection->QueryText("mode");
    if (mode == "restart") {
      group_.Restart(rank);
    } else if (mode == "stall" || mode == "none") {
      group_.SetStalled(rank, mode == "stall");
    } else {
      ReplyText(connection, kStatusMalformed, R"({"error":"mode is stall, none or restart"})");
      return;
    }
    ReplyText(connection, kStatusOk, "{}");
  }

  void HandleOrder(std::uint32_t rank, const std::string& request,
                   const connection_pointer& connection) {
    auto order = ParseOrder(connection->Request().body());
    if (request == "POST /expert-map/prepare" && order) {
      order->action = engine_action::kPrepare;
    } else if (request == "POST /expert-map/commit" && order) {
      order->action = engine_action::kCommit;
    } else if (request == "POST /expert-map/abort" && order) {
      order->action = engine_action::kAbort;
    } else {
      ReplyText(connection, kStatusNotFound, R"({"error":"no such path, or not an order"})");
      return;
    }
    const bool accepted = group_.Apply(rank, *order, Now());
    ReplyText(connection, accepted ? kStatusOk : kStatusConflict,
              EngineStateText(group_.State(rank, Now())));
  }

  rank_group group_;
  boost::asio::steady_timer timer_;
  duration step_time_;
  std::vector<std::unique_ptr<stub_server>> servers_;
};

int Run(int argc, char** argv) {
  cxxopts::Options usage("berylbarrow-ranks", "Stand-in for the engines of one group of ranks");
  usage.add_options()("help", "print this text")("listen", "IP:port of each rank, in rank order",
                                                 cxxopts::value<std::vector<std::string>>())(
      "layers", "layers with experts", cxxopts::value<std::uint32_t>()->default_value("2"))(
      "experts", "experts per layer", cxxopts::value<std::uint32_t>()->default_value("8"))(
      "slots", "slots per rank and layer", cxxopts::value<std::uint32_t>()->default_value("3"))(
      "step-ms", "time of a step", cxxopts::value<std::uint32_t>()->default_value("10"))(
      "load-ms", "time to load the weights of a map",
      cxxopts::value<std::uint32_t>()->default_value("20"))(
      "drift-steps", "steps until another expert is the most popular one; 0: never",
      cxxopts::value<std::uint64_t>()->default_value("200"))(
      "ignore-fencing", "accept orders with an old fencing token");
  const auto given = usage.parse(argc, argv);
  if (given.count("help") > 0) {
    std::cout << usage.help();
    return 0;
  }
  const auto addresses = given["listen"].as<std::vector<std::string>>();
  const group_shape shape{.ranks = static_cast<std::uint32_t>(addresses.size()),
                          .layers = given["layers"].as<std::uint32_t>(),
                          .experts = given["experts"].as<std::uint32_t>(),
                          .slots_per_rank = given["slots"].as<std::uint32_t>()};
  boost::asio::io_context context(1);
  const rank_servers servers(
      context, addresses,
      {.shape = shape,
       .checks_fencing = given.count("ignore-fencing") == 0,
       .load_time = std::chrono::milliseconds(given["load-ms"].as<std::uint32_t>()),
       .drift_steps = given["drift-steps"].as<std::uint64_t>()},
      std::chrono::milliseconds(given["step-ms"].as<std::uint32_t>()));
  RunUntilSignal(context);
  return 0;
}

}  // namespace
}  // namespace berylbarrow::tools

int main(int argc, char** argv) {
  return berylbarrow::tools::ToolMain("berylbarrow-ranks", berylbarrow::tools::Run, argc, argv);
}
