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
#include "berylbarrow/request/suspect/crash_analysis.h"
#include "berylbarrow/version/expert/layout_chooser.h"
#include "berylbarrow/version/expert/layout_spread.h"
#include "berylbarrow/version/expert/map_switch.h"
#include "berylbarrow/version/expert/rank_tree.h"
#include "connection/peer/heartbeat_socket.h"
#include "process/companion/rank_message.h"
#include "process/gateway/information_handler.h"

namespace berylbarrow {

/// Companion process of one model engine. It polls the engine's status and expert counts, sends
/// heartbeats, and takes part in switches of the expert map. The companion of rank 0 coordinates
/// the switches of its rank group and decides when a new layout is worth its copies.
class companion {
 public:
  companion(const companion_settings& settings, const engine_dialect& dialect,
            const runtime_clock& clock);

  int Run();

 private:
  using endpoint = boost::asio::ip::udp::endpoint;

  /// What a link of 6 Mbit/s carries beside the other messages of a group.
  static constexpr double kLayoutBytesPerSecond = 500'000;

  enum class beat_reach : std::uint8_t { kUsualTargets, kAllGateways };

  /// Last known state of another rank of the group.
  struct peer_rank {
    endpoint address;
    std::string engine_address;
    std::unique_ptr<http_caller> engine_caller;  // for orders, and while its companion is silent
    bool engine_call_pending = false;
    bool is_stood_in_for = false;  // logged
    std::uint64_t epoch = 0;
    std::uint64_t lists_version = 0;
    std::optional<rank_layout> lists;  // of this rank only, as a layout of one rank
    std::set<std::uint32_t> layers;    // of `lists`, received so far
    std::vector<double> load;  // tokens per second, [layer * experts + expert]; empty: in the load
                               // of a relay
    double pace = 1;           // pass time divided by the normal pass time
    std::optional<time_point> load_time;  // nothing: its load has not been received yet
    /// A rank that has yet to report counts as idle, so that others do not wait for it.
    bool IsLoadStale(time_point now, duration max_age) const {
      return load_time && now - *load_time > max_age;
    }
  };
  /// Layout of a map version.
  struct versioned_layout {
    std::uint64_t version = 0;
    rank_layout layout;
    std::set<std::uint32_t> layers;  // received so far
    bool IsComplete() const { return layers.size() == layout.Shape().layers; }
  };

  void WaitForReloadSignal();
  void Tick();
  /// Reports the load of the engine to the known gateways.
  void SendHeartbeat(time_point now, beat_reach reach = beat_reach::kUsualTargets);
  void PollEngine(time_point now);
  /// `requested_at`: time of the request, as the status may be older than its response.
  void OnStatus(const http_result& result, time_point requested_at);
  /// Logs when the engine has become slow, and when it is sound again.
  void LogPace();
  /// The engine did not answer a request for its status.
  void OnStatusFailure();
  /// Whether the engine has crashed or cannot be reached, so that the ranks of its group stall.
  bool IsRankLost() const;
  void OnExpertCounts(const http_result& result);
  void OnExpertLists(const http_result& result);
  /// Polls the engines of ranks whose companions are silent during a switch.
  void PollSilentRanks(time_point now);
  /// Sends an order to the engine of its rank; a prepare order needs the complete `target_`. A
  /// fence is sent once the expert lists of this rank are known.
  void SendOrder(const rank_order& order);
  /// Sends orders to the engine of another rank; nullptr if its address is not known.
  http_caller* RemoteEngine(std::uint32_t rank);
  void FetchProfile(time_point now);
  void SendDueOrders(time_point now);
  void OnDatagram(std::string_view datagram, const endpoint& from);
  /// Keeps what the gateways know of crashes, and answers an empty digest, with which a gateway
  /// asks for it.
  void OnCrashDigest(const crash_digest& digest, const endpoint& from);
  void OnRankMessage(const rank_message& message, const endpoint& from);
  void OnAddresses(const std::vector<rank_address>& addresses);
  /// Sends the holder the addresses of all ranks, as long as it does not know them.
  void SendAddresses(time_point now);
  void OnTargetLayout(const layout_part& part, time_point now);
  void OnTargetDelta(const layout_delta& part, time_point now);
  /// Ranks that this process passes a new target layout on to.
  void BeginRelaying(time_point now);
  /// Adds the layers of `part` to the lists of `peer`, and discards those of another version.
  void MergeExpertLists(peer_rank& peer, const layout_part& part);
  void OnPlan(const rank_message& message, const endpoint& from, time_point now);
  void OnMemberState(const rank_message& message, const endpoint& from, time_point now);
  /// Sends this rank's state to the processes that may coordinate its group.
  void FindCoordinator(const rank_message& message, time_point now);
  void SendState(time_point now);
  /// Sends the load of this rank, and of those that it is the relay of, towards the coordinator.
  void SendLoad(rank_message&& message, time_point now);
  /// Adds the recent loads of the ranks that this one is the relay of, and returns these ranks.
  std::vector<covered_rank> AddCoveredLoads(std::vector<double>& load, time_point now) const;
  duration StateInterval() const;
  /// Whether the group is so large that its messages have to be spared.
  bool IsLargeGroup() const { return GroupSize() > rank_tree::kMaxDirectRanks; }
  /// Ranks of the group by the last status, also while the engine does not answer.
  std::uint32_t GroupSize() const { return switch_.Status() ? switch_.Status()->size : 0; }
  void SendPlan(time_point now);
  void SendPlanTo(const std::vector<std::uint32_t>& ranks, const rank_message& announcement,
                  time_point now);
  /// Sends the target layout to ranks that are to prepare it and have not received it.
  void SendLayout(const switch_plan& plan, time_point now);
  /// Passes the target layout on to the ranks that this one is the relay of.
  void RelayLayout(time_point now);
  std::vector<std::string> LayoutDatagrams(const switch_plan& plan, bool relayed) const;
  /// The target layout as its difference from the one in use; all of it if that is not known.
  std::vector<std::string> DeltaDatagrams(const switch_plan& plan, bool relayed) const;
  /// Whether the rank takes part as a relay, as far as its recent messages show.
  bool IsLiveRelay(std::uint32_t rank, time_point now) const;
  /// Begins a switch if a layout is found that is worth its copies. Coordinator only.
  void EvaluateLayout(time_point now);
  /// Updates the average slot usage and returns the time for which a new layout is expected to fit.
  double UpdateHorizonSeconds();
  std::optional<group_shape> Shape() const;
  /// Layout of the map in use, if the lists of all ranks are known.
  std::optional<rank_layout> CurrentLayout() const;
  /// A layout in which this rank holds the experts that it has, so that it copies none.
  std::optional<rank_layout> FenceLayout() const;
  /// A layout near the different maps that the ranks have in use, if all their lists are known.
  std::optional<rank_layout> MixedLayout() const;
  void BeginSwitch(std::uint64_t version, const rank_layout& layout, time_point now);
  /// Begins a switch that gives all ranks the same map again. Coordinator only.
  void RepairMaps(time_point now);
  /// Load to plan for, if that of every known rank is recent. Updates the long-term average.
  std::optional<group_work> GroupWork(time_point now);
  void Send(const std::string& datagram, const endpoint& to);
  http_answer AnswerMetrics(const http_head& head);

  const companion_settings& settings_;
  const engine_dialect& dialect_;
  const runtime_clock& clock_;
  boost::asio::io_context context_{1};
  boost::asio::steady_timer tick_timer_{context_};
  boost::asio::signal_set shutdown_signals_{context_, SIGTERM, SIGINT};
  boost::asio::signal_set reload_signals_{context_, SIGHUP};
  std::mt19937_64 random_;
  metrics metrics_;
  fleet_members members_;
  map_switch switch_;
  crash_analysis crashes_;  // for gateways that start while no other one runs
  std::shared_ptr<heartbeat_socket> socket_;
  http_caller engine_caller_;
  http_caller order_caller_;
  http_caller store_caller_;
  information_handler metrics_handler_;
  std::unique_ptr<http_server> metrics_server_;
  std::optional<engine_status> status_;
  rank_status last_rank_;              // of the last status, kept while the engine does not answer
  std::uint32_t failed_statuses_ = 0;  // requests without an answer since the last status
  std::optional<engine_profile> profile_;
  std::optional<rank_expert_lists> own_lists_;
  rate_average expert_rates_;
  double average_slot_usage_ = 0;  // running average of the share of this rank's slots in use
  expert_load long_term_load_;     // long-term average of the group's load
  std::map<std::uint32_t, peer_rank> ranks_;  // by rank, without this one
  std::optional<endpoint> coordinator_address_;
  std::optional<endpoint> leading_holder_;      // ends a switch in the place of the coordinator
  std::optional<endpoint> relay_address_;       // takes the load of this rank
  std::optional<switch_plan> layout_plan_;      // with which the target layout arrived
  std::vector<std::uint32_t> unrelayed_ranks_;  // have still to be sent `target_` by this process
  std::optional<versioned_layout> target_;      // of the current or the last switch
  std::optional<versioned_layout> in_use_;      // the last target that came into use
  std::vector<layout_delta> target_delta_;      // of `target_`, the parts known so far
  std::set<std::uint32_t> delta_ranks_;  // were sent `target_delta_` and not all of the layout
  layout_spread spread_{{.bytes_per_second = kLayoutBytesPerSecond}};
  std::optional<member_state> last_sent_state_;
  std::optional<switch_plan> last_sent_plan_;
  std::uint64_t heartbeat_sequence_ = 0;
  std::uint64_t finished_switches_ = 0;  // counted in the metrics
  std::uint64_t undone_switches_ = 0;    // counted in the metrics
  bool led_as_holder_ = false;           // at the last look
  bool status_call_pending_ = false;
  bool counts_call_pending_ = false;
  bool lists_call_pending_ = false;
  bool profile_call_pending_ = false;
  bool is_slow_ = false;  // as logged
  bool shutting_down_ = false;
  time_point shutdown_started_ = time_point::min();
  time_point next_heartbeat_ = time_point::min();
  time_point next_status_ = time_point::min();
  time_point next_counts_ = time_point::min();
  time_point next_lists_ = time_point::min();
  time_point next_profile_ = time_point::min();
  time_point next_state_ = time_point::min();
  time_point next_discovery_ = time_point::min();
  time_point next_load_ = time_point::min();
  time_point next_plan_ = time_point::min();
  time_point next_awaited_plan_ = time_point::min();
  time_point next_evaluation_ = time_point::min();
  time_point next_addresses_ = time_point::min();
  switch_stage last_stage_ = switch_stage::kIdle;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_SRC_PROCESS_COMPANION_COMPANION_H_
