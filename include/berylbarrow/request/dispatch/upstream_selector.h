#ifndef BERYLBARROW_REQUEST_DISPATCH_UPSTREAM_SELECTOR_H_
#define BERYLBARROW_REQUEST_DISPATCH_UPSTREAM_SELECTOR_H_

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "berylbarrow/process/membership/upstream_registry.h"
#include "berylbarrow/process/runtime/time.h"
#include "berylbarrow/request/dispatch/pass_time_model.h"
#include "berylbarrow/version/routing/routing_view.h"

namespace berylbarrow {

/// What the process beside a model engine reports of it.
struct engine_report {
  std::string address;  // of the upstream
  std::string group;    // of ranks that run each pass together; empty: none
  std::uint64_t epoch = 0;
  std::uint32_t rank = 0;
  bool open = true;   // false: the group waits for a rank
  double pace = 1.0;  // time of a pass over the usual one
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(address, group, epoch, rank, open, pace, running, waiting);
  }
  auto operator<=>(const engine_report&) const = default;
};

/// How an attempt at an upstream ended.
enum class attempt_outcome : std::uint8_t {
  kServed,
  kRefused,      // not run: it was full or its group had stalled
  kUnreachable,  // no connection
  kMisdirected,  // another upstream has the address
  kFailed,       // an answer that says failure
  kBroken,       // no answer, or one that was cut short
  kAbandoned,    // the entry or the caller gave up; says nothing of the upstream
};

struct dispatch_query {
  std::string service;
  std::string domain;              // of the entry
  std::set<std::string> excluded;  // upstreams that had this request before
  std::uint32_t tokens = 0;        // expected, prompt and answer
  bool late = false;               // it cannot meet its latency objective any more
  double tie_break = 0;            // uniform in [0, 1), breaks ties
};

enum class dispatch_obstacle : std::uint8_t {
  kNone,
  kNoUpstream,
  kAllBusy,
  kColdRateLimit,
  kNoRetryBudget,  // a repeated attempt has to wait for the retry budget
};

struct dispatch_choice {
  std::string upstream_id;
  std::string address;
  std::uint32_t load = 0;  // requests there, as far as is known
  dispatch_obstacle obstacle = dispatch_obstacle::kNoUpstream;  // if `upstream_id` is empty
};

struct upstream_selector_options {
  /// Waiting requests that an upstream without an engine may have, per slot.
  double queue_per_slot_without_engine = 1.5;
  /// Requests beyond the slots of an engine, so that a free place is taken at once.
  std::uint32_t engine_queue_limit = 1;
  /// Load that an upstream of another domain counts as having on top, in slots.
  double remote_domain_penalty_slots = 0.06;
  duration report_lifetime = std::chrono::milliseconds(1500);
  duration failure_half_life = std::chrono::seconds(3);
  duration initial_block_duration = std::chrono::milliseconds(250);
  duration max_block_duration = std::chrono::seconds(2);
  /// Another upstream has the address; the record that is wrong lapses within this time.
  duration misdirected_block_duration = std::chrono::seconds(4);
  /// An upstream that refuses although it has places waits for its group; so do the other ranks.
  duration group_block_duration = std::chrono::milliseconds(150);
  /// Share of the longest pause of a stream's route that passes may take, their spread included.
  double event_gap_limit_share = 0.9;
  /// What an answer with longer pauses is worth to its caller, against one without.
  double late_response_value = 0.5;
  /// Share of an engine's requests up to which it gets late ones. After an outage a backlog of them
  /// would fill it, and the requests that can still be on time would be late as well.
  double late_capacity_share = 0.7;
  /// Requests that an engine gets whatever its pauses are, so that they are still measured.
  std::uint32_t min_engine_capacity = 2;
  duration pass_time_lifetime = std::chrono::milliseconds(600);
  /// Share of the bound for cold upstreams that all entries together use.
  double cold_rate_share = 0.8;
};

/// What an entry knows of the load and health of the upstreams, and its choice among them.
class upstream_selector {
 public:
  explicit upstream_selector(const upstream_selector_options& options) : options_(options) {}

  void SetUpstreams(const upstream_registry& registry, const routing_view* view, time_point now);
  void SetEvacuatedDomains(const std::set<std::string>& domains, time_point now);
  /// Number of entries that share the bounds of cold upstreams, this one included.
  void SetEntryCount(std::uint32_t count) { entries_ = count == 0 ? 1 : count; }

  dispatch_choice Choose(const dispatch_query& query, time_point now) const;

  void OnSent(const std::string& id, std::uint32_t tokens, time_point now);
  void OnFinished(const std::string& id, std::uint32_t tokens, attempt_outcome outcome,
                  duration latency, time_point now);
  /// The upstream says that it stays cold for so long.
  void OnColdTimeLeft(const std::string& id, duration left, time_point now);
  void OnEngineReport(const engine_report& report, time_point now);
  /// The time between two events of a stream, which is the time of a pass of its group.
  void OnEventGap(const std::string& id, duration pause, time_point now);
  /// Requests of another entry in flight, by hash of the upstream's id.
  void OnPeerLoad(const std::string& peer, const std::map<std::uint32_t, std::uint32_t>& in_flight);
  void RemovePeer(const std::string& peer);

  /// Requests of this entry in flight, by hash of the upstream's id.
  std::map<std::uint32_t, std::uint32_t> LocalLoad() const;
  /// Share of the places of a service that are taken, as far as is known.
  double Utilization(const std::string& service, time_point now) const;
  nlohmann::json State(time_point now) const;

 private:
  struct upstream_state {
    upstream_record record;
    std::uint32_t hash = 0;  // of the id
    std::optional<engine_profile> engine;
    duration pause_limit = duration::zero();  // the shortest of the service's routes
    duration cold_start = duration::zero();
    double cold_per_second = 0;
    time_point cold_until = time_point::min();
    std::uint32_t in_flight = 0;
    std::uint64_t tokens = 0;
    double failures = 0;  // decayed count
    time_point failures_at = time_point::min();
    std::uint32_t failures_in_row = 0;
    time_point blocked_until = time_point::min();
    double latency_ms = 0;  // moving average of answers that were served
    double cold_tokens = 1;
    time_point cold_tokens_at = time_point::min();
    std::optional<engine_report> report;
    time_point reported_at = time_point::min();
  };
  using load_by_upstream = std::map<std::uint32_t, std::uint32_t>;  // by hash of the id
  /// Passes of a group as streams show them, in milliseconds.
  struct pass_times {
    double mean = 0;
    double spread = 0;  // mean absolute deviation
    time_point at;
  };
  /// The upstreams that run passes together, as one choice sees them.
  using group_models = std::map<std::string, pass_time_model>;

  std::uint32_t Load(const upstream_state& state, time_point now) const;
  std::uint32_t Capacity(const upstream_state& state, const group_models& groups,
                         time_point now) const;
  bool HasPlace(const upstream_state& state, const group_models& groups, bool late,
                time_point now) const;
  std::string PassKey(const upstream_state& state) const;
  bool IsUsable(const upstream_state& state, const dispatch_query& query) const;
  bool IsGroupOpen(const upstream_state& state, time_point now) const;
  bool HasColdRoom(const upstream_state& state, time_point now) const;
  double ColdTokens(const upstream_state& state, time_point now) const;
  double FailureScore(const upstream_state& state, time_point now) const;
  double Score(const upstream_state& state, const dispatch_query& query, const group_models& groups,
               time_point now) const;
  group_models GroupModels(const std::string& service, time_point now) const;
  void AddPeerLoad(const load_by_upstream& in_flight);
  double Pace(const upstream_state& state) const;
  void Block(upstream_state& state, time_point now);
  void BlockGroup(const upstream_state& state, time_point now);

  upstream_selector_options options_;
  std::map<std::string, upstream_state> upstreams_;
  std::map<std::string, load_by_upstream> peers_;
  load_by_upstream peer_total_;               // of all peers
  std::map<std::string, pass_times> passes_;  // by group, or by upstream without one
  std::set<std::string> evacuated_;
  std::uint32_t entries_ = 1;
};

/// Short name of an upstream in messages between entries.
std::uint32_t UpstreamHash(const std::string& id);

}  // namespace berylbarrow

#endif  // BERYLBARROW_REQUEST_DISPATCH_UPSTREAM_SELECTOR_H_
