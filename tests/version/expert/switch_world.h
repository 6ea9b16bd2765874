#ifndef BERYLBARROW_TESTS_VERSION_EXPERT_SWITCH_WORLD_H_
#define BERYLBARROW_TESTS_VERSION_EXPERT_SWITCH_WORLD_H_

#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "berylbarrow/version/expert/map_switch.h"

namespace berylbarrow {

/// A rank group as its engines behave: all ranks begin each pass together, and a group without work
/// begins none.
class engine_group {
 public:
  explicit engine_group(std::uint32_t size) : ranks_(size) {}

  rank_status Report(std::uint32_t rank) const;
  /// Carries the order out, or refuses it.
  void Carry(const rank_order& order);
  /// Begins the next pass unless a rank holds it. Returns false if two ranks have different maps.
  bool Pass();
  void BeginEpoch();

  void IgnoreHolds() { ignore_holds_ = true; }
  std::uint64_t HeldPasses() const { return held_passes_; }
  bool Holds(std::uint32_t rank) const { return ranks_[rank].held.has_value(); }
  std::uint64_t Mapping(std::uint32_t rank = 0) const { return ranks_[rank].mapping; }
  std::uint64_t Step() const { return step_; }
  /// Gives a rank the map that it has prepared, whatever the others have.
  void ForceMapping(std::uint32_t rank, std::uint64_t version);

 private:
  struct rank_state {
    std::uint64_t mapping = 0;
    std::uint64_t highest = 0;
    std::optional<std::uint64_t> prepared;
    std::optional<armed_map> armed;
    std::optional<std::uint64_t> held;
  };

  bool IsMixed() const;

  std::uint64_t epoch_ = 1;
  std::uint64_t step_ = 10;
  std::uint64_t held_passes_ = 0;
  bool ignore_holds_ = false;
  std::vector<rank_state> ranks_;
};

/// Chances in one millisecond, unless they say otherwise.
struct faults {
  double lose_message = 0;  // of each message
  double late_order = 0;    // of each order: no answer, carried out up to 12 s later
  double kill = 0;          // a companion, which starts again at once
  double herd_kill = 0;     // of most companions at the same moment, for up to 3 s
  double freeze = 0;
  double epoch = 0;
  double idle = 0;            // the callers leave for up to 3 s
  bool ignore_holds = false;  // engines report holds, but do not stop for them
  bool mute_engines = false;  // the engine of a frozen instance answers nobody
};

/// What becomes of one instance at one moment of a switch.
enum class mishap : std::uint8_t { kNone, kFreeze, kKill };
struct planned_mishap {
  mishap kind = mishap::kNone;
  std::uint32_t rank = 0;
  switch_stage stage = switch_stage::kIdle;  // of the coordinator
  duration after = duration::zero();         // its begin
};

/// Orders that get no answer and are carried out late.
struct delayed_orders {
  order_kind kind = order_kind::kArm;
  std::optional<std::uint32_t> rank;  // nothing: of all ranks
  duration late = duration::zero();
};

/// The companions of a group, their engines and the network between them, in steps of a
/// millisecond.
class switch_world {
 public:
  switch_world(std::uint64_t seed, const faults& faults, std::uint32_t size = 4);

  /// Returns false at the first pass with two maps.
  bool Run(duration span);
  /// Runs until the coordinator is in this stage. Returns false if it is not within ten seconds.
  bool RunUntil(switch_stage stage);

  /// Once, in the first switch that begins after the first second.
  void Plan(const planned_mishap& planned) { planned_ = planned; }
  void Delay(const std::vector<delayed_orders>& delayed) { delayed_ = delayed; }
  void Kill(const std::vector<std::uint32_t>& ranks, duration down);
  void SetBusy(bool is_busy);
  void StopFaults() { faults_ = {}; }

  duration LongestHeld() const;
  /// Whether the planned mishap has come about.
  bool HasStruck() const { return planned_.kind == mishap::kNone; }
  const engine_group& Group() const { return group_; }
  engine_group& Group() { return group_; }
  std::uint64_t Finished() const { return finished_; }
  std::size_t PendingOrders() const { return late_.size(); }
  const map_switch& Companion(std::uint32_t rank) const { return *companions_[rank].decisions; }
  /// Switches are begun as soon as they can be, by default only while the group has work.
  void SetSwitchingWhileIdle(bool is_switching) { is_switching_while_idle_ = is_switching; }

 private:
  static constexpr time_point kStart{std::chrono::hours(1)};

  struct message {
    time_point at;
    std::optional<member_state> state;
    std::optional<switch_plan> plan;
  };
  struct companion_state {
    std::unique_ptr<map_switch> decisions;
    time_point frozen_until = kStart;
    time_point dead_until = kStart;
    std::optional<member_state> sent_state;
    std::optional<switch_plan> sent_plan;
    std::uint64_t finished = 0;
    std::vector<message> inbox;
  };
  struct late_order {
    time_point at;
    rank_order order;
  };

  bool Chance(double share);
  void Restart(std::uint32_t rank);
  void Strike();
  bool IsDown(std::uint32_t rank) const;
  bool IsMute(std::uint32_t rank) const;
  void Break();
  void Send(std::uint32_t to, message sent);
  /// Reads what has reached this companion, in the order in which it was sent.
  void Receive(std::uint32_t rank);
  void Deliver();
  void Place(std::uint32_t from, const rank_order& order);
  void Tick(std::uint32_t rank);

  std::uint32_t size_;
  std::mt19937_64 random_;
  faults faults_;
  time_point now_ = kStart;
  time_point idle_until_ = kStart;
  bool is_switching_while_idle_ = false;
  engine_group group_;
  std::vector<companion_state> companions_;
  std::deque<late_order> late_;
  std::vector<delayed_orders> delayed_;
  std::uint64_t finished_ = 0;
  planned_mishap planned_;
  switch_stage last_stage_ = switch_stage::kIdle;
  time_point stage_since_ = kStart;
  std::uint64_t longest_held_ = 0;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_TESTS_VERSION_EXPERT_SWITCH_WORLD_H_
