#ifndef BERYLBARROW_REQUEST_DISPATCH_UPSTREAM_SELECTOR_H_
#define BERYLBARROW_REQUEST_DISPATCH_UPSTREAM_SELECTOR_H_

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "berylbarrow/process/membership/upstream_registry.h"
#include "berylbarrow/process/runtime/time.h"
#include "berylbarrow/request/dispatch/home_ranks.h"
#include "berylbarrow/request/dispatch/pass_time_history.h"
#include "berylbarrow/request/dispatch/pass_time_model.h"
#include "berylbarrow/request/routing/fleet_share.h"
#include "berylbarrow/version/routing/routing_view.h"

namespace berylbarrow {

/// State of a model engine, reported by its companion process.
struct engine_report {
  std::string address;  // of the upstream
  std::string group;    // whose ranks run each pass together; empty: none
  std::uint64_t epoch = 0;
  std::uint32_t rank = 0;
  bool open = true;           // false: this rank is lost, or the group is waiting for one
  double pace = 1.0;          // slowdown factor: 1 is nominal, 2 is half the speed
  std::uint32_t running = 0;  // requests
  std::uint32_t waiting = 0;  // requests
  template <class Archive>
  void serialize(Archive& archive) {
    archive(address, group, epoch, rank, open, pace, running, waiting);
  }
  auto operator<=>(const engine_report&) const = default;
};

struct aged_report {
  engine_report report;
  duration age = duration::zero();
  auto operator<=>(const aged_report&) const = default;
};

/// How an attempt to run a request on an upstream ended.
enum class attempt_outcome : std::uint8_t {
  kServed,
  kRefused,      // not run, because the upstream was full or its group was stalled
  kUnreachable,  // the connection could not be made
  kMisdirected,  // the address now belongs to another upstream
  kFailed,       // the response reports a failure
  kBroken,       // the response is missing or incomplete
  kAbandoned,    // ended by the entry or the caller, so it does not count against the upstream
};

/// A request for which an upstream is to be chosen.
struct dispatch_query {
  std::string service;
  std::string domain;                 // failure domain of the entry
  std::set<std::string> excluded;     // upstreams that the request was already sent to
  std::optional<std::uint32_t> unit;  // only upstreams of this failure unit are allowed
  /// Queries with the same value prefer the same failure unit.
  std::optional<std::uint64_t> affinity;
  std::uint32_t tokens = 0;  // expected number in prompt and response
  bool late = false;         // the request can no longer meet its latency target
  double tie_break = 0;      // random, uniform in [0, 1)
  /// Requests that the groups of the service must still have room for afterwards. If it is not set,
  /// the request is not limited by the room of the groups.
  std::optional<double> headroom;
};

/// Why no upstream could be chosen. The values are compared in this order and logged as numbers.
enum class dispatch_obstacle : std::uint8_t {
  kNone,
  kNoUpstream,
  kAllBusy,        // full or blocked
  kColdRateLimit,  // an upstream is cold and has reached its request rate limit
  kNoRetryBudget,  // a retry has to wait until the retry budget allows it
  kAllLimited,     // all upstreams are paused, or have named a rate limit whose shares are used up
  kNoRoom,         // more requests would make the streams of every group late
};

struct dispatch_choice {
  std::string upstream_id;
  std::string address;
  std::uint32_t load = 0;                                       // known requests on the upstream
  bool is_away = false;                                         // a rank that is dealt to others
  dispatch_obstacle obstacle = dispatch_obstacle::kNoUpstream;  // applies if `upstream_id` is empty
  /// Of kAllLimited: time until a pause ends or a limit allows the next request, if this entry has
  /// a share, and the requests per second that it may then send.
  std::optional<duration> limited_for;
  double limited_rate = 0;
};

struct upstream_selector_options {
  /// Requests per slot that may wait at an upstream without an engine.
  double queue_per_slot_without_engine = 1.5;
  /// Requests that may wait at an engine, so that a slot is reused as soon as it is free.
  std::uint32_t engine_queue_limit = 1;
  /// Extra load, in slots, with which an upstream in another failure domain is scored.
  double remote_domain_penalty_slots = 0.06;
  /// Extra load, in slots, with which an upstream outside the preferred failure unit is scored.
  double affinity_penalty_slots = 0.5;
  /// Extra load, in requests, with which a rank is scored that is not a home rank of this entry:
  /// what the other entries may have sent it since their last load messages.
  double away_penalty_requests = 3;
  /// Age up to which an engine report is used.
  duration report_lifetime = std::chrono::milliseconds(1500);
  duration failure_half_life = std::chrono::seconds(3);
  /// Time that an upstream is blocked after a failure; doubles with each consecutive failure.
  duration initial_block_duration = std::chrono::milliseconds(250);
  duration max_block_duration = std::chrono::seconds(2);
  /// Block after a misdirected attempt. The outdated record expires within this time.
  duration misdirected_block_duration = std::chrono::seconds(4);
  /// Block of all ranks of a group after one of them refused a request although it had free slots,
  /// which means that the group is stalled.
  duration group_block_duration = std::chrono::milliseconds(150);
  /// Share of the event gap limit of a stream that a pass may take: mean plus mean deviation.
  double event_gap_limit_share = 0.9;
  /// Value of a stream whose event gaps exceed the limit, relative to one within the limit.
  double late_response_value = 0.5;
  /// Share of an engine's capacity that late requests may fill. Without this limit, the backlog of
  /// late requests after an outage would fill the engine and make the other requests late as well.
  double late_capacity_share = 0.7;
  /// Lower limit of an engine's capacity, so that its pass time is still measured if it is too
  /// long.
  std::uint32_t min_engine_capacity = 2;
  /// Age up to which measured pass times are used.
  duration pass_time_lifetime = std::chrono::milliseconds(600);
  /// Share of the streams that may meet a pass beyond the event gap limit, if long passes come as
  /// often as in the last seconds.
  double late_stream_share = 0.1;
  /// Share of the slots of a group that can always be used. With fewer requests the fixed part of a
  /// pass dominates, and limiting them further hardly shortens it.
  double min_room_share = 0.5;
  /// Share of the request rate limit of a cold upstream that all entries together use.
  double cold_rate_share = 0.8;
  /// Lower limit of the request rate of a limited upstream, in requests per second from all
  /// entries: only answers tell that a limit has ended.
  double min_limited_rate = 0.1;
};

/// What is known of a group whose room is limited.
struct group_room {
  std::string group;
  double requests = 0;      // that run or wait
  double room = 0;          // requests that it can run within the event gap limit
  double predicted_ms = 0;  // per pass, by the model alone
  double measured_ms = 0;   // mean event gap; zero: not measured lately
  double load_factor = 1;   // for which the room is planned
  auto operator<=>(const group_room&) const = default;
};

/// Tracks the load and health of the upstreams as seen by this entry, and chooses one for each
/// attempt.
class upstream_selector {
 public:
  explicit upstream_selector(const upstream_selector_options& options) : options_(options) {}

  /// Takes over the registered upstreams. `view` may be null; profiles then stay as they are.
  void SetUpstreams(const upstream_registry& registry, const routing_view* view, time_point now);
  /// Sets the failure domains that get no requests.
  void SetEvacuatedDomains(const std::set<std::string>& domains, time_point now);
  /// Sets the gateways that the ranks of this entry's failure domain are dealt to. Returns whether
  /// they have changed.
  bool SetNearGateways(const near_gateways& gateways);
  /// Number of ranks that are dealt to this entry.
  std::size_t HomeRankCount() const;
  /// Must be called when the shares of this entry may have changed. `share` must outlive the
  /// selector.
  void UpdateRates(const fleet_share& share, time_point now);
  /// Sets the requests per second that limited upstreams take from all entries together, by hash of
  /// the id. They also apply to upstreams that become known later.
  void SetRateLimits(const std::map<std::uint32_t, double>& limits, time_point now);

  dispatch_choice Choose(const dispatch_query& query, time_point now) const;

  void OnSent(const std::string& id, std::uint32_t tokens, time_point now);
  void OnFinished(const std::string& id, std::uint32_t tokens, attempt_outcome outcome,
                  duration latency, time_point now);
  /// Records that the upstream reported the time for which it stays cold.
  void OnColdTimeLeft(const std::string& id, duration left, time_point now);
  /// Sends nothing to the upstream until then: it has said that it wants nothing from this entry.
  void OnPause(const std::string& id, time_point until);
  /// Returns whether the report opens or closes its group. A report that was made before the last
  /// one of that engine changes nothing.
  bool OnEngineReport(const engine_report& report, time_point made_at);
  /// Records the time between two events of a stream, which measures a pass of the group.
  void OnEventGap(const std::string& id, duration gap, time_point now);
  /// Replaces the in-flight requests of another entry, by hash of the upstream id.
  void OnPeerLoad(const std::string& peer, const std::map<std::uint32_t, std::uint32_t>& in_flight);
  void RemovePeer(const std::string& peer);
  /// Removes all peers whose names begin so.
  void RemovePeersNamed(const std::string& beginning);

  /// Hash of the failure unit of an upstream: the group whose ranks fail together, or the upstream
  /// itself.
  std::uint32_t FailureUnit(const std::string& id) const;
  bool HasFailureUnit(std::uint32_t unit) const;
  /// Whether the failure unit of an upstream may have others. True if the upstream is not known.
  bool IsInGroup(const std::string& id) const;
  /// Whether only one failure unit of the service can take requests, because others have failed.
  bool IsLastUnit(const std::string& service, time_point now) const;
  /// Returns the in-flight requests of this entry, by hash of the upstream id.
  std::map<std::uint32_t, std::uint32_t> LocalLoad() const;
  /// Returns the in-flight requests of this entry and of these peers, by hash of the upstream id.
  std::map<std::uint32_t, std::uint32_t> LoadOf(const std::vector<std::string>& peers) const;
  /// The last reports of the engines of a failure domain, up to that age.
  std::vector<aged_report> RecentReports(const std::string& domain, duration max_age,
                                         time_point now) const;
  /// The address of an upstream that has this hash; empty if there is none.
  std::string AddressOf(std::uint32_t address_hash) const;
  /// Returns the used share of a service's slots in [0, 1]; 1 if it has no slots.
  double Utilization(const std::string& service, time_point now) const;
  nlohmann::json State(time_point now) const;
  /// The groups of a service whose requests of different priority compete for room.
  std::vector<group_room> Rooms(const std::string& service, time_point now) const;

 private:
  struct upstream_state {
    upstream_record record;
    std::uint32_t id_hash = 0;
    std::optional<engine_profile> engine;
    duration event_gap_limit = duration::zero();  // shortest of the service's routes; zero: none
    bool is_room_limited = false;                 // its service has streams of different priority
    duration cold_start = duration::zero();
    double cold_requests_per_second = 0;
    time_point cold_until = time_point::min();
    bool is_home = true;  // false: a rank that this entry leaves to others
    std::uint32_t in_flight = 0;
    std::uint64_t in_flight_tokens = 0;
    double decayed_failures = 0;  // as of `last_failure_at`
    time_point last_failure_at = time_point::min();
    std::uint32_t consecutive_failures = 0;
    time_point blocked_until = time_point::min();
    time_point paused_until = time_point::min();  // at the wish of the upstream
    double latency_ms = 0;                        // moving average of served responses; 0: none yet
    std::optional<double> rate_limit;             // requests per second from all entries
    std::optional<request_rate> rate;             // of this entry, while cold or limited
    std::optional<engine_report> report;
    time_point report_received_at = time_point::min();
  };
  using load_by_upstream = std::map<std::uint32_t, std::uint32_t>;  // by hash of the id
  /// Moving averages of the pass time of a group, measured by the event gaps of its streams.
  struct pass_time_stats {
    double mean_ms = 0;
    double deviation_ms = 0;  // mean absolute deviation
    time_point updated_at;
    // Of services with a limited room:
    pass_time_history history;
    std::optional<pass_time_model> model;
    time_point model_built_at = time_point::min();
  };
  /// Whether a rank group can run passes, by the reports of its latest epoch.
  struct group_state {
    std::uint64_t epoch = 0;
    std::string closed_by;  // address of the rank that reported so last; empty: open
    time_point closed_at = time_point::min();
  };
  /// Predicted pass times by group key, valid for one choice.
  using group_models = std::map<std::string, pass_time_model>;
  using group_rooms = std::map<std::string, group_room>;

  std::uint32_t Load(const upstream_state& state, time_point now) const;
  std::uint32_t Capacity(const upstream_state& state, const group_models& groups,
                         time_point now) const;
  bool HasCapacity(const upstream_state& state, const group_models& groups, bool late,
                   time_point now) const;
  /// The room of each group, if the query is limited by it.
  group_rooms LimitingRooms(const dispatch_query& query, const group_models& groups,
                            time_point now) const;
  group_room RoomOf(const std::string& key, const pass_time_model& group,
                    const upstream_state& rank, time_point now) const;
  /// Whether the group of the upstream has room for the query and its headroom.
  bool HasRoom(const upstream_state& state, const dispatch_query& query, const group_rooms& rooms,
               double total_room) const;
  /// Compares a measured pass with the prediction.
  void UpdateHistory(pass_time_stats& pass_times, const upstream_state& state, double ms,
                     time_point now);
  /// The group of an upstream, or its id if it has none.
  std::string GroupKey(const upstream_state& state) const;
  bool IsUsable(const upstream_state& state, const dispatch_query& query) const;
  /// False if a recent report says that a rank of the group is lost: all of its ranks then stall.
  bool IsGroupOpen(const upstream_state& state, time_point now) const;
  bool IsWithinRate(const upstream_state& state, time_point now) const;
  /// True if the upstream failed recently, is paused, or its group is waiting for a rank.
  bool IsBlocked(const upstream_state& state, time_point now) const;
  /// Sets the part of the rate of a cold or limited upstream that this entry may use.
  void UpdateRate(upstream_state& state, time_point now) const;
  double DecayedFailures(const upstream_state& state, time_point now) const;
  /// What the upstreams of one choice are compared by.
  struct choice_basis {
    group_models groups;
    std::optional<std::string> preferred_unit;
    std::map<std::string, double> fastest_paces;  // by group key
  };
  /// Paces of the fastest ranks of the service's groups, by group key.
  std::map<std::string, double> FastestPaces(const std::string& service) const;
  /// Score() with what else makes an upstream preferable: a sound pace, the preferred failure unit,
  /// and that it is one of this entry's own ranks.
  double PreferenceScore(const upstream_state& state, const dispatch_query& query,
                         const choice_basis& basis, time_point now) const;
  /// Expected cost of sending a request to the upstream; the lowest score is chosen.
  double Score(const upstream_state& state, const dispatch_query& query, const group_models& groups,
               time_point now) const;
  /// Marks the home ranks of this entry.
  void UpdateHomeRanks();
  /// Whether the upstream is a rank of a group that has home ranks.
  bool IsDealt(const upstream_state& state) const;
  /// The failure unit that the query prefers among those that can take requests; nothing if it has
  /// no preference.
  std::optional<std::string> PreferredUnit(const dispatch_query& query, time_point now) const;
  group_models BuildGroupModels(const std::string& service, time_point now) const;
  void AddToTotalPeerLoad(const load_by_upstream& in_flight);
  /// Returns whether the report opens or closes the group.
  bool UpdateGroup(const engine_report& report, time_point now);
  double Pace(const upstream_state& state) const;
  void Block(upstream_state& state, time_point now);
  void BlockGroup(const upstream_state& state, time_point now);

  upstream_selector_options options_;
  std::map<std::string, upstream_state> upstreams_;
  std::unordered_map<std::uint32_t, std::string> ids_by_address_;  // by hash of the address
  std::map<std::string, load_by_upstream> peer_loads_;
  load_by_upstream total_peer_load_;                   // sum over all peers
  std::map<std::string, pass_time_stats> pass_times_;  // by group key
  std::map<std::string, group_state> groups_;          // by name
  std::set<std::string> evacuated_domains_;
  std::map<std::uint32_t, double> rate_limits_;  // requests per second by hash of the id
  std::optional<near_gateways> near_gateways_;   // nothing: ranks are not dealt
  const fleet_share* share_ = nullptr;           // null: this is the only entry
};

/// Identifies an upstream in messages between entries.
std::uint32_t UpstreamHash(const std::string& id);

}  // namespace berylbarrow

#endif  // BERYLBARROW_REQUEST_DISPATCH_UPSTREAM_SELECTOR_H_
