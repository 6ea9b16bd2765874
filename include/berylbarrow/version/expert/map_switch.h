#ifndef BERYLBARROW_VERSION_EXPERT_MAP_SWITCH_H_
#define BERYLBARROW_VERSION_EXPERT_MAP_SWITCH_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "berylbarrow/process/runtime/time.h"

namespace berylbarrow {

/// A map and the pass at whose begin a rank changes to it.
struct armed_map {
  std::uint64_t version = 0;
  std::uint64_t step = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(version, step);
  }
  auto operator<=>(const armed_map&) const = default;
};

/// What a rank's engine says of its part in the group.
struct rank_status {
  std::string group;  // empty: the engine is no rank of a group
  std::uint64_t epoch = 0;
  std::uint32_t rank = 0;
  std::uint32_t size = 0;
  bool open = false;
  std::uint64_t step = 0;     // the last pass that was begun
  std::uint64_t mapping = 0;  // version in use
  std::optional<std::uint64_t> prepared;
  std::optional<armed_map> armed;
  std::optional<std::uint64_t> held;  // the group does not begin this pass
  auto operator<=>(const rank_status&) const = default;
  /// Whether both are of the same rank in the same epoch of its group.
  bool IsSameRun(const rank_status& other) const {
    return group == other.group && epoch == other.epoch && rank == other.rank;
  }
};

enum class order_kind : std::uint8_t { kPrepare, kHold, kArm, kGo };

/// An order to a rank, usually the one beside this process.
struct rank_order {
  order_kind kind = order_kind::kPrepare;
  std::uint32_t rank = 0;
  std::uint64_t epoch = 0;
  std::uint64_t version = 0;  // kPrepare, kArm
  std::uint64_t step = 0;     // kHold, kArm, kGo
  auto operator<=>(const rank_order&) const = default;
};

/// What each companion tells the coordinator of its rank.
struct member_state {
  std::uint64_t incarnation = 0;  // of the sender
  std::uint64_t heard = 0;        // incarnation of the coordinator that the sender follows
  std::string group;
  std::uint64_t epoch = 0;
  std::uint32_t rank = 0;
  std::uint64_t step = 0;
  std::uint64_t mapping = 0;
  std::uint64_t prepared = 0;  // 0: none
  std::uint64_t known = 0;     // the layout that the sender has been asked for and has; 0: not yet
  armed_map armed;             // version 0: none
  armed_map committed;         // an order to arm was sent; version 0: none
  template <class Archive>
  void serialize(Archive& archive) {
    archive(incarnation, heard, group, epoch, rank, step, mapping, prepared, known, armed,
            committed);
  }
  auto operator<=>(const member_state&) const = default;
};

enum class switch_stage : std::uint8_t {
  kIdle,
  kRecovering,  // a hold of an earlier coordinator was found
  kPreparing,   // the ranks copy experts
  kHolding,     // the coordinator stops the group before the step
  kArming,      // the ranks are armed for the step
  kReleasing,   // all are armed: the group goes on
};

/// What the coordinator wants of the members.
struct switch_plan {
  std::uint64_t incarnation = 0;  // of the coordinator
  std::string group;
  std::uint64_t epoch = 0;
  switch_stage stage = switch_stage::kIdle;
  armed_map target;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(incarnation, group, epoch, stage, target);
  }
  auto operator<=>(const switch_plan&) const = default;
};

struct map_switch_options {
  std::uint64_t lead_steps = 2;  // of the switch ahead of the last pass seen
  /// Another step of lead for so many ranks: arming a larger group takes longer, and passes that
  /// reach the step before all ranks are armed wait for the release.
  std::uint32_t ranks_per_lead_step = 32;
  duration member_lifetime = std::chrono::milliseconds(700);
  duration resend_after = std::chrono::milliseconds(120);  // orders whose effect does not show
  duration prepare_resend = std::chrono::milliseconds(600);
  duration longest_prepare = std::chrono::seconds(8);
  /// A process that is silent for so long during a switch is stood in for.
  duration silence = std::chrono::milliseconds(250);
  /// `silence` is so much longer by the factor of the group's size and this number, because the
  /// messages of a larger group take longer.
  std::uint32_t ranks_per_silence = 48;
  /// The members hear of a hold so much earlier than the engine, so that the deputy knows of it.
  duration announcement = std::chrono::milliseconds(6);
};

/// Changes the map of a rank group so that no pass begins while two ranks have different maps.
///
/// The companion of rank 0 coordinates. Its hold on its own rank stops the whole group before the
/// step of the switch; only when the hold shows in the engine's report are the ranks armed, and
/// only when every rank reports to be armed is the hold released. Orders may be lost, or carried
/// out seconds later: every order names the epoch, takes effect only before its step begins, and
/// is repeated until the engine's report shows its effect. Once an order to arm was sent nobody
/// gives up; a new epoch ends everything. A coordinator that restarts finds its hold in the report
/// and asks all members whether they are committed before it goes on.
///
/// A companion that falls silent while the group is held would stop the group. Its rank is then
/// armed from afar, and if it is the coordinator, the companion of rank 1 carries the same switch
/// to its end: who places the orders is of no importance, only that none is placed before its
/// condition holds.
class map_switch {
 public:
  map_switch(const map_switch_options& options, std::uint64_t incarnation)
      : options_(options), incarnation_(incarnation) {}

  /// `asked`: when the report was asked for.
  void OnStatus(const rank_status& status, time_point asked);
  void OnMember(const member_state& state, time_point now);
  void OnPlan(const switch_plan& plan, time_point now);
  /// A report of another rank, read from afar.
  void OnRemoteStatus(std::uint32_t rank, const rank_status& status, time_point asked);
  /// Ranks whose reports are wanted, because their companions are silent during a switch.
  std::vector<std::uint32_t> SilentRanks(time_point now) const;
  /// Ranks that are to prepare the target of the switch and have not got its layout.
  std::vector<std::uint32_t> RanksWithoutLayout() const;
  /// Ranks that have not yet reported the effect of a stage in which the group may be held. The
  /// deputy is always among them, because it has to notice a silent coordinator.
  std::vector<std::uint32_t> RanksAwaited() const;
  /// The layout of `version` has been received completely.
  void OnLayoutKnown(std::uint64_t version);

  bool IsCoordinator() const;
  /// All ranks are heard, agree on the map in use, and nothing is under way.
  bool CanBegin(time_point now) const;
  /// Begins a change to the map of this version. Coordinator only.
  void Begin(std::uint64_t version, time_point now);
  /// Highest version of a map that any rank is known to have had.
  std::uint64_t HighestVersion() const { return highest_version_; }

  /// The orders to place now.
  std::vector<rank_order> Advance(time_point now);
  /// Whether something is under way, so that reports should be read often.
  bool IsActive() const;
  /// Whether the group may be held, so that every millisecond counts.
  bool MayBeHeld() const;
  switch_stage Stage() const { return stage_; }
  const std::optional<rank_status>& Status() const { return status_; }
  /// For the coordinator; nothing while the rank is in no group.
  std::optional<member_state> State() const;
  /// For the members; only from the coordinator and its deputy.
  std::optional<switch_plan> Plan() const;
  std::uint64_t Finished() const { return finished_; }

 private:
  struct member {
    member_state state;
    time_point at;      // of the newest news
    time_point direct;  // of the newest news from its companion
    bool held = false;  // for rank 0: the report shows the hold of the switch
  };

  void Reset();
  duration Silence() const;
  bool AllFresh(time_point now) const;
  template <typename Condition>
  bool AllMembers(time_point now, Condition condition) const;
  void AdvanceCoordinator(time_point now, std::vector<rank_order>& orders);
  void AdvanceRecovery(time_point now, std::vector<rank_order>& orders);
  void AdvanceMember(time_point now, std::vector<rank_order>& orders);
  void AdvanceDeputy(time_point now, std::vector<rank_order>& orders);
  void ArmSilentRanks(time_point now, std::vector<rank_order>& orders);
  bool IsArmed(std::uint64_t mapping, const armed_map& armed) const;
  void Order(const rank_order& order, duration pause, time_point now,
             std::vector<rank_order>& orders);
  void Enter(switch_stage stage, time_point now);
  void ChooseStep();

  map_switch_options options_;
  std::uint64_t incarnation_;
  std::optional<rank_status> status_;
  time_point status_asked_;
  std::map<std::uint32_t, member> members_;  // by rank, without this one
  std::map<rank_order, time_point> sent_;

  // Coordinator.
  switch_stage stage_ = switch_stage::kIdle;
  time_point stage_since_;
  armed_map target_;
  std::uint64_t released_to_ = 0;  // holds up to this step may be released
  std::uint64_t finished_ = 0;

  // Member, which the coordinator is too.
  std::uint64_t followed_ = 0;           // incarnation of the coordinator
  std::set<std::uint64_t> left_behind_;  // coordinators of before
  std::optional<switch_plan> plan_;
  time_point plan_at_;
  bool deputising_ = false;
  std::optional<armed_map> committed_;
  std::set<std::uint64_t> known_layouts_;
  std::uint64_t highest_version_ = 0;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_VERSION_EXPERT_MAP_SWITCH_H_
