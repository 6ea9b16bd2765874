#ifndef BERYLBARROW_VERSION_EXPERT_GROUP_COORDINATOR_H_
#define BERYLBARROW_VERSION_EXPERT_GROUP_COORDINATOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "berylbarrow/process/runtime/time.h"
#include "berylbarrow/version/expert/expert_message.h"

namespace berylbarrow {

struct coordinator_options {
  std::uint32_t rank = 0;  // of the process that coordinates
  group_shape shape;
  std::uint64_t lead_steps = 16;  // from a proposal to its activation
  duration resend_interval = std::chrono::milliseconds(200);
  duration proposal_timeout = std::chrono::seconds(30);  // weights not loaded everywhere: abort
};

/// A message for one rank of the group.
struct rank_send {
  std::uint32_t rank = 0;
  expert_message message;
};

/// Brings all ranks of a group from one map to the next. Any number of coordinators may run at the
/// same time: the fencing token decides, and every decision needs all ranks, so a new coordinator
/// sees what an earlier one may have committed.
class group_coordinator {
 public:
  explicit group_coordinator(const coordinator_options& options);

  /// Takes over the group: asks every rank for its state.
  void Start(time_point now, std::vector<rank_send>& sends);

  void Handle(const expert_message& message, time_point now, std::vector<rank_send>& sends);

  /// Sends again what was not answered; gives up a proposal that takes too long.
  void Advance(time_point now, std::vector<rank_send>& sends);

  /// Proposes a map under a version that no earlier proposal had, so that a late acknowledgement
  /// cannot count for another map. Returns false while another change is in progress or the state
  /// of the group is not known.
  bool Propose(const expert_map& wanted, time_point now, std::vector<rank_send>& sends);

  /// The rank beside this coordinator begins `step`.
  void ObserveStep(std::uint64_t step);

  /// The map decided last, once every rank has reported.
  const expert_map* Current() const { return decided_ ? &decided_->map : nullptr; }
  bool IsIdle() const { return phase_ == phase::kIdle; }
  /// Whether a higher token was seen; the coordinator then stays silent until Start.
  bool IsFenced() const { return phase_ == phase::kFenced; }
  fencing_token Token() const { return token_; }

 private:
  enum class phase : std::uint8_t { kStopped, kQuerying, kIdle, kProposing, kDeciding, kFenced };

  void On(const map_report& report, time_point now, std::vector<rank_send>& sends);
  void NoteVersions(const map_report& report);
  void OnQueried(const map_report& report, time_point now, std::vector<rank_send>& sends);
  void On(const map_acknowledgement& reply, time_point now, std::vector<rank_send>& sends);
  void Recover(time_point now, std::vector<rank_send>& sends);
  void Enter(phase next, time_point now, std::vector<rank_send>& sends);
  bool IsApplied(const map_report& report) const;
  std::optional<scheduled_map> FindPending() const;
  void Decide(const scheduled_map& subject, bool committed, time_point now,
              std::vector<rank_send>& sends);
  void Finish(time_point now, std::vector<rank_send>& sends);
  bool HasRestartedRank() const;
  void SendToMissing(time_point now, std::vector<rank_send>& sends);
  expert_message CurrentMessage(std::uint32_t rank) const;
  bool IsKnownRun(std::uint32_t rank, std::uint64_t incarnation) const;

  coordinator_options options_;
  phase phase_ = phase::kStopped;
  fencing_token token_;
  std::uint64_t highest_step_ = 0;
  std::uint64_t highest_version_ = 0;  // of any proposal or decision seen
  std::map<std::uint32_t, map_report> reports_;
  std::set<std::uint32_t> answered_;
  std::optional<scheduled_map> previous_;  // in use until decided_ activates
  std::optional<scheduled_map> decided_;   // last commit that all ranks know
  std::optional<scheduled_map> subject_;   // of the proposal or decision in progress
  bool commits_ = false;                   // the decision in progress
  time_point next_send_;
  time_point phase_begun_;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_VERSION_EXPERT_GROUP_COORDINATOR_H_
