#ifndef BERYLBARROW_VERSION_EXPERT_GROUP_MEMBER_H_
#define BERYLBARROW_VERSION_EXPERT_GROUP_MEMBER_H_

#include <algorithm>
#include <cstdint>
#include <optional>

#include "berylbarrow/version/expert/expert_message.h"

namespace berylbarrow {

/// The rule by which a rank decides which map a step runs on.
class step_gate {
 public:
  virtual ~step_gate() = default;

  /// Handles a query, proposal or decision; returns the reply for its sender, if any.
  virtual std::optional<expert_message> Handle(const expert_message& message) = 0;

  /// The weights of the pending proposal, or of the committed map of a rank that has just started,
  /// are loaded. Returns the acknowledgement to send.
  virtual std::optional<map_acknowledgement> WeightsLoaded() = 0;

  /// The map of `step`, or null if the rank must not begin it yet.
  virtual const expert_map* MapForStep(std::uint64_t step) = 0;
};

/// One rank of a group. A rank that has acknowledged a proposal does not begin its activation step
/// before it knows the decision, so that no step runs on two maps. Follows only the highest
/// fencing token it has seen, also for engines that ignore the token themselves.
class group_member final : public step_gate {
 public:
  /// `incarnation` differs for every run of the rank.
  group_member(std::uint32_t rank, std::uint64_t incarnation)
      : rank_(rank), incarnation_(incarnation) {}

  std::optional<expert_message> Handle(const expert_message& message) override;
  std::optional<map_acknowledgement> WeightsLoaded() override;
  const expert_map* MapForStep(std::uint64_t step) override;

  /// Takes over the state of a rank that has survived the process that spoke for it. `known` is
  /// what the rank itself reports; its `rank` and `incarnation` are ignored.
  void Restore(const map_report& known);

  /// The rank beside this process begins `step` next.
  void ObserveStep(std::uint64_t step) { next_step_ = std::max(next_step_, step); }

  map_report Report() const;

  /// Whether weights are to be loaded.
  bool IsLoading() const {
    return (pending_ && !pending_loaded_) || (committed_ && !committed_loaded_);
  }
  /// Whether the pending map was acknowledged and so binds the rank.
  bool IsAcknowledged() const { return pending_loaded_; }
  const std::optional<scheduled_map>& Previous() const { return previous_; }
  const std::optional<scheduled_map>& Committed() const { return committed_; }
  const std::optional<scheduled_map>& Pending() const { return pending_; }
  fencing_token Token() const { return token_; }

 private:
  map_acknowledgement Acknowledge(std::uint64_t version, bool accepted) const;
  std::optional<expert_message> On(const map_query& query);
  std::optional<expert_message> On(const map_proposal& proposal);
  std::optional<expert_message> On(const map_decision& decision);
  void Commit(const map_decision& decision);

  std::uint32_t rank_;
  std::uint64_t incarnation_;
  fencing_token token_;
  std::uint64_t next_step_ = 0;
  std::optional<scheduled_map> previous_;   // in use until the committed one activates
  std::optional<scheduled_map> committed_;  // latest decision
  std::optional<scheduled_map> pending_;
  bool pending_loaded_ = false;
  bool committed_loaded_ = false;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_VERSION_EXPERT_GROUP_MEMBER_H_
