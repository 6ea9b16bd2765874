#ifndef BERYLBARROW_PROCESS_AGENT_GROUP_AGENT_H_
#define BERYLBARROW_PROCESS_AGENT_GROUP_AGENT_H_

#include <cstdint>
#include <deque>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "berylbarrow/process/core/core.h"
#include "berylbarrow/version/expert/group_coordinator.h"
#include "berylbarrow/version/expert/group_member.h"
#include "berylbarrow/version/expert/rebalancer.h"

namespace berylbarrow {

/// Ranks whose agents may coordinate their group: the lowest ones.
inline constexpr std::uint32_t kGroupCandidates = 3;

struct group_agent_options {
  std::string group;
  std::uint32_t rank = 0;
  group_shape shape;
  std::uint64_t incarnation = 0;  // of the process
  // From a proposal to its activation: 2.5 s at 40 ms a step, for polls, messages and weights.
  std::uint64_t lead_steps = 64;
  // A load is observed once per poll of the engine, not once per step.
  rebalancer_options rebalance = {.half_life_steps = 16, .interval_steps = 16};
  // How long a candidate that has just started listens for lower ones.
  duration takeover_after = std::chrono::seconds(4);
};

struct group_actions {
  std::vector<rank_send> sends;  // to the agents of other ranks
  std::vector<engine_order> orders;
  std::vector<log_event> events;
};

/// Speaks for one rank of a group, and coordinates the group if its rank is the lowest live one.
/// The engine keeps the maps and holds a prepared rank; this object keeps the engine in step with
/// what the rank has promised, and repeats orders until the engine shows their effect.
class group_agent {
 public:
  group_agent(const group_agent_options& options, time_point now);
  // The rebalancer refers to the policy.
  group_agent(const group_agent&) = delete;
  group_agent& operator=(const group_agent&) = delete;

  void On(const engine_state& state, time_point now, group_actions& actions);
  void On(std::uint32_t sender, const expert_message& message, time_point now,
          group_actions& actions);
  /// `may_lead`: no lower candidate is alive, and this process is not leaving.
  void Advance(bool may_lead, time_point now, group_actions& actions);
  time_point NextDeadline() const { return next_advance_; }

  bool Leads() const { return leads_; }
  /// The highest token that the rank or its coordinator has seen.
  fencing_token Token() const;
  std::uint64_t CommittedVersion() const;
  /// 0 if none is pending.
  std::uint64_t PendingVersion() const;
  std::uint64_t NextStep() const { return engine_.next_step; }
  nlohmann::json State() const;

 private:
  bool Fits(const expert_message& message) const;
  bool Fits(const std::optional<scheduled_map>& map) const;
  bool IsOutdated(const engine_state& state) const;
  void Renew(const engine_state& state, time_point now);
  void TakeOver(time_point now, group_actions& actions);
  void Rebalance(bool is_new_step, time_point now, group_actions& actions);
  void Announce(time_point now, group_actions& actions);
  void Post(std::uint32_t rank, expert_message message, group_actions& actions);
  void PostAll(std::vector<rank_send>& sends, group_actions& actions);
  void Receive(std::uint32_t sender, const expert_message& message, time_point now,
               group_actions& actions);
  void ReceiveAsMember(std::uint32_t sender, const expert_message& message, time_point now,
                       group_actions& actions);
  void Settle(time_point now, group_actions& actions);
  void NoteLoaded(group_actions& actions);
  bool IsInStep() const;
  std::optional<engine_order> WantedOrder() const;
  void SendOrder(time_point now, group_actions& actions);

  group_agent_options options_;
  incremental_placement policy_;
  std::optional<group_member> member_;  // empty until the engine has been read
  std::optional<group_coordinator> coordinator_;
  rebalancer rebalancer_;
  engine_state engine_;  // as last read

  std::uint64_t renewals_ = 0;
  std::uint64_t incarnation_ = 0;  // of the run of the rank
  bool awaits_decision_ = true;    // of the coordinator whose token the rank follows
  time_point next_announcement_;
  std::uint32_t proposer_ = 0;                  // rank that sent the last proposal
  std::optional<std::uint32_t> decision_from_;  // not answered yet

  std::uint64_t last_order_ = 0;
  std::optional<time_point> order_sent_;  // not answered yet

  time_point eligible_at_;
  bool leads_ = false;
  std::optional<time_point> fenced_since_;
  time_point next_advance_;
  std::deque<expert_message> local_;  // from the coordinator here to the rank here, and back
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_PROCESS_AGENT_GROUP_AGENT_H_
