#ifndef BERYLBARROW_VERSION_EXPERT_MAP_SWITCH_H_
#define BERYLBARROW_VERSION_EXPERT_MAP_SWITCH_H_

#include <cstdint>
#include <functional>
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

enum class order_kind : std::uint8_t {
  kPrepare,
  kHold,
  kArm,
  kGo,
  kDisarm,
  kFence,  // prepares the experts in use as a newer version, so that no older one can be armed
};

/// An order to a rank, usually the one beside this process.
struct rank_order {
  order_kind kind = order_kind::kPrepare;
  std::uint32_t rank = 0;
  std::uint64_t epoch = 0;
  std::uint64_t version = 0;  // kPrepare, kArm, kDisarm, kFence
  std::uint64_t step = 0;     // kHold, kArm, kGo
  auto operator<=>(const rank_order&) const = default;
};

/// What each companion reports of its rank to the process that leads a switch.
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
  std::uint64_t held = 0;      // the engine does not begin this pass; 0: none
  // The following are versions of maps; 0: none.
  std::uint64_t announced = 0;  // this run of the sender has known of the switch since before it
                                // was decided
  std::uint64_t refused = 0;    // this run of the sender does not arm its rank for it or seal it
  std::uint64_t sealed = 0;     // the sender will never refuse it
  template <class Archive>
  void serialize(Archive& archive) {
    archive(incarnation, heard, group, epoch, rank, step, mapping, prepared, known, armed,
            committed, held, announced, refused, sealed);
  }
  auto operator<=>(const member_state&) const = default;
};

enum class switch_stage : std::uint8_t {
  kIdle,
  kRecovering,  // a hold of an earlier coordinator was found
  kPreparing,   // the ranks copy experts
  kAnnouncing,  // all companions confirm that they know of the switch
  kHolding,     // the coordinator stops the group before the step
  kArming,      // all ranks but the coordinator's are armed for the step
  kSealing,     // a sealer rules out that the switch is undone; then the last rank is armed
  kReleasing,   // all are armed: the group goes on
  kUndoing,     // all ranks are fenced, and the group goes on with the map in use
};

/// What the process that leads a switch wants of the members.
struct switch_plan {
  std::uint64_t incarnation = 0;  // of the coordinator
  std::string group;
  std::uint64_t epoch = 0;
  switch_stage stage = switch_stage::kIdle;
  armed_map target;
  std::uint64_t sequence = 0;  // of the coordinator's plans: datagrams may overtake each other
  bool from_holder = false;    // sent by the holder in the place of the coordinator
  bool is_final = false;       // kSealing, kUndoing: the opposite cannot come about any more
  template <class Archive>
  void serialize(Archive& archive) {
    archive(incarnation, group, epoch, stage, target, sequence, from_holder, is_final);
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
  /// The holder gets the plan of a held group every 32 ms, so it notices a silent coordinator
  /// after four lost messages.
  duration coordinator_silence = std::chrono::milliseconds(150);
  /// A switch whose hold cannot be placed, or that not all companions confirm, is given up.
  duration longest_stage_before_arming = std::chrono::seconds(1);
  /// Ranks that report different maps for so long do not just report at different times.
  duration longest_map_difference = std::chrono::milliseconds(1500);
};

/// Changes the map of a rank group so that no pass begins while two ranks have different maps.
///
/// The companion of rank 0 coordinates. Once every companion has confirmed to know of the switch,
/// it places a hold on the engine of the holder, rank 1, which stops the whole group before the
/// step of the switch. Only when the holder reports the hold are the other ranks armed, then rank
/// 0, and only when every rank reports to be armed does the holder release the group. Orders may be
/// lost, or carried out seconds later: every order names the epoch, takes effect only before its
/// step begins, and is repeated until a report shows its effect.
///
/// An undone switch must not come back by an order to arm that is carried out after the release.
/// So each rank is fenced before: its engine prepares the experts in use as a newer version, and
/// from then on refuses to arm the older one. A fenced rank is never armed for the switch again,
/// which no restart makes forgotten: nobody disarms a rank, or gives up a switch of which all ranks
/// may have been armed, before one is fenced. The steps of an earlier switch are over, and with
/// them its orders, before the next one begins.
///
/// The engine of a frozen instance answers nobody, so the process that stops the group and the
/// engine that can release it are on different instances, and the rank of the first one is armed
/// last. If the coordinator is silent, the holder undoes the switch. It cannot fence rank 0, but
/// rank 0 is armed only once one of the sealers has promised never to refuse; so the holder goes on
/// without it when all sealers have refused. A switch that is sealed is finished, by the
/// coordinator or by the holder. A companion that has restarted has forgotten what it had promised:
/// its seal and its refusal do not count.
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
  /// holder is always among them, because it has to notice a silent coordinator.
  std::vector<std::uint32_t> RanksAwaited() const;
  /// The layout of `version` has been received completely.
  void OnLayoutKnown(std::uint64_t version);

  bool IsCoordinator() const;
  /// Whether the hold of a switch is placed on the engine of this rank.
  bool IsHolder() const { return status_ && IsHolderRank(status_->rank); }
  /// Whether this process ends a switch in the place of the coordinator.
  bool LeadsAsHolder() const { return duty_ != holder_duty::kNone; }
  /// Rank of the holder in a group of this size: the coordinator's own if there is no other.
  static constexpr std::uint32_t HolderRank(std::uint32_t size) { return size > 1 ? 1 : 0; }
  /// All ranks are heard, agree on the map in use, and nothing is under way, also no order of an
  /// earlier switch or of a coordinator before this process.
  bool CanBegin(time_point now) const;
  /// The same, but the ranks have had different maps in use for longer than their reports may be
  /// apart. Only a switch to another map on all of them ends that.
  bool CanRepair(time_point now) const;
  /// The version of the map in use on each rank, by the latest reports.
  std::vector<std::uint64_t> MapsInUse() const;
  /// Begins a change to the map of this version. Coordinator only.
  void Begin(std::uint64_t version, time_point now);
  /// A version for a map that no rank has had. `random` keeps it apart from one that another
  /// coordinator chooses at the same time.
  std::uint64_t NextVersion(std::uint64_t random) const;

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
  /// For the members; only from the coordinator, and from the holder while it leads.
  std::optional<switch_plan> Plan() const;
  std::uint64_t Finished() const { return finished_; }
  /// Switches that this process has ended without a new map after the group was stopped.
  std::uint64_t Undone() const { return undone_; }

 private:
  struct member {
    member_state state;
    time_point at;      // of the newest news
    time_point direct;  // of the newest news from its companion
  };
  /// How the holder ends a switch whose coordinator is silent or has restarted.
  enum class holder_duty : std::uint8_t { kNone, kUndo, kFinish };

  void Reset();
  duration Silence() const;
  duration CoordinatorSilence() const;
  bool IsHolderRank(std::uint32_t rank) const { return rank == HolderRank(status_->size); }
  bool AllFresh(time_point now) const;
  /// Nothing is under way at any rank, apart from the maps that they have in use.
  bool IsSettled(time_point now) const;
  bool AreMapsAlike() const;
  void ObserveMaps(time_point now);
  std::uint64_t LeadSteps() const;
  bool AllMembers(time_point now, const std::function<bool(const member_state&)>& condition) const;
  /// The member state of the holder; its own if this process is the holder.
  std::optional<member_state> HolderState() const;
  /// Pass before which a hold stops the group; 0: none is known. Earlier versions placed it on the
  /// engine of rank 0.
  std::uint64_t HeldStep() const;
  /// The map and step that this process wants the ranks to be armed for.
  const armed_map& Target() const;
  bool IsArmed(const member_state& state) const;
  bool IsArmed(const rank_status& status) const;
  bool AreAllArmed(time_point now) const;
  /// The companions of ranks 1 to this one seal a switch; one of them is enough.
  static constexpr std::uint32_t kLastSealer = 2;
  bool IsSealedByAny(std::uint64_t version) const;
  /// Whether this process arms ranks whose companions do not do it.
  bool MayArmFromAfar() const;
  bool IsUnattended(std::uint32_t rank, const member& member, time_point now) const;
  void AdvanceCoordinator(time_point now, std::vector<rank_order>& orders);
  void AdvanceRecovery(time_point now);
  void AdvanceUndoing(time_point now, std::vector<rank_order>& orders);
  /// `is_opposed`: the holder refuses the switch, or has restarted.
  void AdvanceSealing(bool is_opposed, time_point now, std::vector<rank_order>& orders);
  void AdvanceReleasing(time_point now, std::vector<rank_order>& orders);
  void AdvanceHolder(time_point now, std::vector<rank_order>& orders);
  /// Takes the lead because the coordinator is silent or has restarted.
  void BeginDuty(std::uint64_t step, time_point now);
  void AdvanceMember(time_point now, std::vector<rank_order>& orders);
  void Arm(const armed_map& target, time_point now, std::vector<rank_order>& orders);
  void Refuse(std::uint64_t version, time_point now, std::vector<rank_order>& orders);
  /// Promises never to refuse this version, if the rank is a sealer.
  void Seal(std::uint64_t version);
  /// Whether the rank's engine refuses to arm this version or an older one for good.
  static bool IsFenced(const member_state& state, std::uint64_t version);
  bool IsAnyFenced(std::uint64_t version) const;
  /// Whether all ranks from `first_rank` on are fenced.
  bool AreAllFenced(std::uint64_t version, std::uint32_t first_rank) const;
  /// Whether no sealer has sealed this version or will, so that rank 0 is never armed for it.
  bool HaveSealersRefused(std::uint64_t version) const;
  /// The map and step for which all ranks are armed, if they are.
  std::optional<armed_map> CommonArmedMap() const;
  void Fence(std::uint64_t version, time_point now, std::vector<rank_order>& orders);
  void ArmFromAfar(time_point now, std::vector<rank_order>& orders);
  void Release(std::uint64_t step, time_point now, std::vector<rank_order>& orders);
  void Order(const rank_order& order, duration pause, time_point now,
             std::vector<rank_order>& orders);
  /// Ends a switch for which no rank has been told to arm; a hold is released when it shows.
  void GiveUpHold(time_point now);
  void Enter(switch_stage stage, time_point now);
  void ChooseStep();

  map_switch_options options_;
  std::uint64_t incarnation_;
  std::optional<rank_status> status_;
  time_point status_asked_;
  std::uint64_t first_step_ = 0;  // the first pass that this process knows of in this epoch
  std::map<std::uint32_t, member> members_;  // by rank, without this one
  std::map<rank_order, time_point> sent_;

  // Coordinator.
  switch_stage stage_ = switch_stage::kIdle;
  time_point stage_since_;
  armed_map target_;
  std::uint64_t sequence_ = 0;
  std::uint64_t holder_incarnation_ = 0;  // that has confirmed the announcement
  bool is_sealed_ = false;                // rank 0 and silent ranks may be armed
  bool is_undoing_final_ = false;         // also of the holder: the switch cannot be finished
  std::uint64_t released_to_ = 0;         // holds up to this step may be released
  std::uint64_t finished_ = 0;
  std::uint64_t undone_ = 0;
  std::optional<time_point> maps_differ_since_;

  // Member, which the coordinator is too.
  std::uint64_t followed_ = 0;           // incarnation of the coordinator
  std::set<std::uint64_t> left_behind_;  // coordinators of before
  std::optional<switch_plan> plan_;
  std::optional<armed_map> committed_;
  std::uint64_t fence_version_ = 0;  // that this rank was last told to prepare as a fence
  std::uint64_t announced_ = 0;
  std::uint64_t refused_ = 0;
  std::set<std::uint64_t> known_layouts_;
  std::uint64_t highest_version_ = 0;

  // Holder.
  std::optional<switch_plan> coordinator_plan_;  // the latest
  time_point coordinator_plan_at_;
  std::uint64_t announced_by_ = 0;  // incarnation of the coordinator
  std::uint64_t sealed_ = 0;
  holder_duty duty_ = holder_duty::kNone;
  time_point duty_since_;
  armed_map duty_target_;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_VERSION_EXPERT_MAP_SWITCH_H_
