#ifndef BERYLBARROW_PROCESS_AGENT_AGENT_CORE_H_
#define BERYLBARROW_PROCESS_AGENT_AGENT_CORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "berylbarrow/process/agent/group_agent.h"
#include "berylbarrow/process/core/core.h"
#include "berylbarrow/process/membership/fleet_view.h"
#include "berylbarrow/process/settings/settings.h"
#include "berylbarrow/request/admission/admission_limit.h"
#include "berylbarrow/request/admission/fair_queue.h"
#include "berylbarrow/request/execution/execution_table.h"
#include "berylbarrow/request/execution/key_policy.h"
#include "berylbarrow/request/suspect/suspect_table.h"

namespace berylbarrow {

struct agent_core_options {
  process_identity identity;
  std::string service;  // of the upstream beside this agent
  process_limits limits;
  std::vector<std::string> seeds;  // "IP:port"
  std::uint64_t seed = 1;          // of the jitter in retry times
  member_options members;
  follower_options follower;
};

/// Counts since the start of the process.
struct agent_counters {
  std::map<std::pair<refusal_reason, run_certainty>, std::uint64_t> refusals;
  std::uint64_t started = 0;
  std::uint64_t completed = 0;
  std::uint64_t broken = 0;
  std::uint64_t not_sent = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t joins = 0;
  std::uint64_t reattached = 0;
  std::uint64_t duplicates = 0;
  std::uint64_t tombstone_hits = 0;
  std::uint64_t held = 0;
  std::uint64_t parts_dropped = 0;
  std::uint64_t upstream_deaths = 0;
  std::uint64_t unexpected = 0;  // messages that fit no record or connection; ignored
};

/// All decisions of an agent.
class agent_core final : public agent_decisions {
 public:
  /// `parser` must outlive the core.
  agent_core(const agent_core_options& options, const configuration_parser& parser,
             std::unique_ptr<key_policy> policy, std::unique_ptr<admission_limit> limit);

  void Handle(const agent_input& input, const moment& at,
              std::vector<agent_output>& outputs) override;
  void Advance(const moment& at, std::vector<agent_output>& outputs) override;
  time_point NextDeadline() const override;
  nlohmann::json State() const override;

 private:
  /// A dispatch that waits until the view is current and has reached the sender's revision.
  struct held_dispatch {
    dispatch work;
    connection_id connection = 0;
    time_point since;
  };
  /// A request whose connection to the upstream broke, until the upstream is known to have died.
  struct broken_work {
    std::uint64_t fingerprint = 0;
    time_point at;
  };
  enum class gate : std::uint8_t { kOpen, kWait, kRefuse };

  // Longest wait for a current view before work is refused.
  static constexpr duration kViewWait = std::chrono::seconds(1);
  // Longest time that the end of a broken answer waits for a load report. A report of a reachable
  // host takes a few milliseconds; a silent one must not hold the caller's retry up for longer.
  static constexpr duration kConfirmWait = std::chrono::milliseconds(300);

  // Inputs and time (agent_core.cc).
  void Begin(const moment& at, std::vector<agent_output>& outputs);
  void Settle();
  void Apply(const fleet_changes& changes);
  void ApplyVersion();
  void AdvanceEpoch();
  void SendHeartbeats();
  std::set<std::string> HeartbeatTargets() const;
  /// Address of the next entry of the document that is not heard; empty if all are.
  std::string NextSilentEntry();
  void FinishIfDone();
  void LogUpstreamEvents();
  void On(const peer_opened& event);
  void On(const peer_closed& event);
  void On(const peer_received& event);
  void On(const heartbeat_received& event);
  void On(const document_received& event);
  void On(const instances_received& event);
  void On(const shutdown_requested& event);
  void On(const operator_query& event);
  void On(const upstream_head& event);
  void On(const upstream_part& event);
  void On(const upstream_end& event);
  void On(const upstream_report& event);
  void On(const engine_state& event);
  bool IsLatest(connection_id connection) const;
  const service_options* Service() const;
  grant_options Grant() const;
  upstream_load Load() const;
  time_point Now() const { return at_.now; }
  /// The time without the pauses of the process.
  time_point ActiveNow() const { return at_.now - paused_; }

  // New work (agent_dispatch.cc).
  void OnDispatch(const dispatch& work, connection_id connection);
  void Join(execution_record& record, const dispatch& work, connection_id connection);
  void Admit(const dispatch& work, connection_id connection);
  void Enqueue(const dispatch& work, connection_id connection);
  std::uint32_t WeightOf(const std::string& account) const;
  bool MakePlace(const std::string& account, std::uint32_t weight);
  std::optional<refusal_reason> ReasonAgainst(const dispatch& work);
  gate Gate(revision needed) const;
  bool InService() const;
  void Hold(const dispatch& work, connection_id connection);
  void ReleaseHeld();
  void RefuseNew(const dispatch& work, connection_id connection, refusal_reason reason);
  void RefuseRecord(execution_record& record, refusal_reason reason);
  void SendRefusal(const request_id& id, connection_id connection, refusal_reason reason,
                   run_certainty certainty, std::uint64_t fingerprint);
  std::uint64_t EpochOf(const dispatch& work) const;
  grant_window Window() const;

  // The upstream (agent_upstream.cc).
  void RecheckQueue();
  void Pump();
  bool MayStartNext() const;
  void Start(execution_record& record, bool alone);
  execution_record* Running(execution_id id);
  void Finish(execution_record& record, answer_end end);
  void EndUnknown(execution_record& record, refusal_reason reason);
  void OnBroken(execution_record& record);
  bool IsUnconfirmed(std::uint64_t fingerprint) const;
  void EndBroken(execution_record& record);
  void EndUnconfirmed(time_point until);
  void OnOverflow(execution_record& record);
  void Release(execution_record& record);
  void NoteDeath();
  void CountDeaths(const std::set<std::uint64_t>& fingerprints);
  void ReleaseCancelled();

  // Answers (agent_delivery.cc).
  void Deliver(execution_record& record);
  void Deliver(const execution_record& record, const request_id& id, subscriber& target);
  void SendEnd(const execution_record& record, const request_id& id, subscriber& target,
               std::string_view bytes, answer_end end);
  void OnAcknowledgement(const acknowledgement& message);
  void OnCancel(const cancel& message);
  /// Closes the connection on which the execution runs. Its end no longer counts.
  void StopAtUpstream(execution_record& record);
  void CancelExecution(execution_record& record);
  void OnDetached(connection_id connection);
  void CancelOrphans();

  // The group of the upstream's rank (agent_group.cc).
  void ApplyGroup();
  void ConnectCandidates(const expert_group_options* group);
  void OnGroupMessage(const group_message& message, connection_id connection);
  void AdvanceGroup();
  void Perform(group_actions& actions);
  bool HearsLowerCandidate() const;
  std::string GroupMetrics() const;

  std::string Metrics() const;

  void Emit(agent_output output) { outputs_->push_back(std::move(output)); }
  void Send(connection_id connection, peer_message message) {
    Emit(peer_send{.connection = connection, .message = std::move(message)});
  }

  agent_core_options options_;
  fleet_view fleet_;
  std::unique_ptr<key_policy> policy_;
  std::unique_ptr<admission_limit> limit_;
  execution_table table_;
  fair_queue queue_;
  suspect_table suspects_;
  restart_detector restarts_;
  std::mt19937_64 random_;
  agent_counters counters_;
  std::uint64_t logged_deaths_ = 0;
  std::uint64_t logged_cold_resets_ = 0;

  moment at_{};
  duration paused_ = duration::zero();            // sum of all pauses
  std::vector<agent_output>* outputs_ = nullptr;  // of the input being handled

  std::map<connection_id, std::uint64_t> connections_;  // open ones, with the peer's incarnation
  std::map<std::uint64_t, connection_id> latest_;       // per incarnation, the newest one
  std::vector<held_dispatch> held_;
  std::size_t held_bytes_ = 0;
  std::set<execution_id> running_;  // at the upstream
  std::optional<execution_id> alone_;
  std::deque<std::pair<time_point, execution_id>> cancelled_;  // their slot is freed at this time
  std::deque<std::pair<time_point, execution_id>> orphans_;    // cancelled at this time
  std::optional<time_point> view_lost_;  // since when queued work waits for the view
  std::deque<broken_work> broken_;
  // Broken answers whose end waits for a load report, with the time since when.
  std::deque<std::pair<time_point, execution_id>> unconfirmed_;
  std::set<std::uint64_t> dead_counted_;  // of the present death
  bool upstream_dead_ = false;
  time_point dead_since_;

  expert_group_options group_options_;  // of `group_`
  std::unique_ptr<group_agent> group_;  // null if the upstream is in no group
  std::uint32_t group_rank_ = 0;
  std::map<std::string, std::string> candidates_;  // others that may lead, with their addresses

  std::uint64_t epoch_ = 0;
  std::uint64_t oldest_epoch_ = 0;
  time_point epoch_due_;  // in active time
  bool heartbeat_due_ = false;
  std::size_t next_silent_entry_ = 0;  // in the document, the next one that may be told
  std::optional<time_point> leaving_since_;
  time_point last_work_;  // when work last ran or waited
  bool is_finished_ = false;
};

/// The core with the policies of the product. `parser` must outlive it.
std::unique_ptr<agent_decisions> MakeAgentCore(const agent_core_options& options,
                                               const configuration_parser& parser);

const char* ReasonName(refusal_reason reason);

}  // namespace berylbarrow

#endif  // BERYLBARROW_PROCESS_AGENT_AGENT_CORE_H_
