#ifndef BERYLBARROW_SRC_PROCESS_COMPANION_COMPANION_H_
#define BERYLBARROW_SRC_PROCESS_COMPANION_COMPANION_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "berylbarrow/connection/http/http_server.h"
#include "berylbarrow/process/companion/companion.h"
#include "berylbarrow/process/membership/fleet_members.h"
#include "berylbarrow/process/telemetry/metrics.h"
#include "berylbarrow/version/expert/layout_chooser.h"
#include "berylbarrow/version/expert/layout_spread.h"
#include "berylbarrow/version/expert/map_switch.h"
#include "connection/peer/heartbeat_socket.h"
#include "process/companion/rank_message.h"
#include "process/gateway/information_handler.h"

namespace berylbarrow {

class companion {
 public:
  companion(const companion_settings& settings, const engine_dialect& dialect,
            const runtime_clock& clock);

  int Run();

 private:
  using endpoint = boost::asio::ip::udp::endpoint;

  /// What the coordinator knows of a rank.
  struct rank_view {
    endpoint address;
    std::string engine_address;
    std::unique_ptr<http_caller> engine;  // to its engine, while its companion is silent
    bool engine_called = false;
    std::uint64_t epoch = 0;
    std::uint64_t lists_version = 0;
    std::optional<rank_layout> lists;  // of this rank alone
    std::set<std::uint32_t> layers;    // of `lists` that have arrived
    std::vector<double> load;
    double pace = 1;
    time_point load_at = time_point::min();
  };
  /// The layout of a version, while it arrives or in full.
  struct layout_draft {
    std::uint64_t version = 0;
    rank_layout layout;
    std::set<std::uint32_t> layers;
    bool IsComplete() const { return layers.size() == layout.Shape().layers; }
  };

  void WaitForReload();
  void Tick();
  void Beat(time_point now);
  void CallEngine(time_point now);
  void OnStatus(const http_result& result, time_point asked);
  void OnCounts(const http_result& result);
  void OnLists(const http_result& result);
  void ReadSilentRanks(time_point now);
  void Place(const rank_order& order);
  void ReadProfile(time_point now);
  void PlaceOrders(time_point now);
  void OnDatagram(std::string_view datagram, const endpoint& from);
  void OnRankMessage(const rank_message& message, const endpoint& from);
  void MergeLists(rank_view& view, const layout_part& part);
  void SendState(time_point now);
  void SendPlan(time_point now);
  void SendLayout(const switch_plan& plan, time_point now);
  void Consider(time_point now);
  double HorizonSeconds();
  std::optional<group_shape> Shape() const;
  std::optional<rank_layout> CurrentLayout() const;
  std::optional<group_work> GroupWork(time_point now);
  void Send(const std::string& datagram, const endpoint& to);
  http_answer AnswerMetrics(const http_head& head);

  const companion_settings& settings_;
  const engine_dialect& dialect_;
  const runtime_clock& clock_;
  boost::asio::io_context context_{1};
  boost::asio::steady_timer tick_{context_};
  boost::asio::signal_set signals_{context_, SIGTERM, SIGINT};
  boost::asio::signal_set reloads_{context_, SIGHUP};
  std::mt19937_64 random_;
  metrics counts_;
  fleet_members members_;
  map_switch switch_;
  std::shared_ptr<heartbeat_socket> socket_;
  http_caller engine_;
  http_caller orders_;
  http_caller store_;
  information_handler metrics_handler_;
  std::unique_ptr<http_server> metrics_server_;
  std::optional<engine_status> status_;
  std::optional<engine_profile> profile_;
  std::optional<rank_expert_lists> own_lists_;
  rate_average rates_;
  double taken_ = 0;   // average share of the places of the own rank that are taken
  expert_load usual_;  // long average of the group's load
  std::map<std::uint32_t, rank_view> ranks_;
  std::optional<endpoint> coordinator_;
  std::optional<layout_draft> draft_;
  layout_spread spread_{{}};
  std::optional<member_state> last_state_;  // that was sent
  std::optional<switch_plan> last_plan_;    // that was sent
  std::uint64_t beat_sequence_ = 0;
  std::uint64_t finished_ = 0;
  bool status_called_ = false;
  bool counts_called_ = false;
  bool lists_called_ = false;
  bool profile_called_ = false;
  bool leaving_ = false;
  time_point leaving_since_ = time_point::min();
  time_point next_beat_ = time_point::min();
  time_point next_status_ = time_point::min();
  time_point next_counts_ = time_point::min();
  time_point next_lists_ = time_point::min();
  time_point next_profile_ = time_point::min();
  time_point next_state_ = time_point::min();
  time_point next_greeting_ = time_point::min();
  time_point next_load_ = time_point::min();
  time_point next_plan_ = time_point::min();
  time_point next_consideration_ = time_point::min();
  switch_stage last_stage_ = switch_stage::kIdle;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_SRC_PROCESS_COMPANION_COMPANION_H_
