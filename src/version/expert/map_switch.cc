#include "berylbarrow/version/expert/map_switch.h"

#include <algorithm>

#include "version/expert/held_stage.h"

namespace berylbarrow {
void map_switch::Reset() {
  members_.clear();
  sent_.clear();
  stage_ = switch_stage::kIdle;
  target_ = {};
  is_sealed_ = false;
  is_undoing_final_ = false;
  released_to_ = 0;
  plan_.reset();
  committed_.reset();
  fence_version_ = 0;
  announced_ = 0;
  refused_ = 0;
  known_layouts_.clear();
  coordinator_plan_.reset();
  sealed_ = 0;
  duty_ = holder_duty::kNone;
  maps_differ_since_.reset();
}

void map_switch::OnStatus(const rank_status& status, time_point asked) {
  if (!status_ || !status_->IsSameRun(status)) {
    Reset();
    first_step_ = status.step;
  }
  status_ = status;
  status_asked_ = asked;
  highest_version_ = std::max({highest_version_, status.mapping, status.prepared.value_or(0),
                               status.armed ? status.armed->version : 0});
  // The pass has begun, or the rank is fenced: what it was armed for is in use, or can no longer
  // come into use.
  const std::uint64_t newest = std::max(status.mapping, status.prepared.value_or(0));
  const bool is_over =
      committed_ && (status.step >= committed_->step || newest > committed_->version);
  if (is_over && !status.armed) committed_.reset();
  if (status.armed && !committed_) committed_ = *status.armed;
}

void map_switch::OnMember(const member_state& state, time_point now) {
  if (!status_ || state.group != status_->group || state.epoch != status_->epoch) return;
  if (state.rank == status_->rank) return;
  member& known = members_[state.rank];
  known.state = state;
  known.at = now;
  known.direct = now;
  highest_version_ = std::max({highest_version_, state.mapping, state.prepared, state.armed.version,
                               state.committed.version});
}

void map_switch::OnPlan(const switch_plan& plan, time_point now) {
  if (!status_ || plan.group != status_->group || plan.epoch != status_->epoch) return;
  if (left_behind_.count(plan.incarnation) > 0) return;
  if (plan.from_holder) {
    if (IsCoordinator() || IsHolder()) return;
    // The holder may still follow a coordinator that has ended.
    if (followed_ != 0 && followed_ != plan.incarnation) return;
  } else {
    if (IsCoordinator() && plan.incarnation != incarnation_) return;
    const bool is_overtaken = coordinator_plan_ &&
                              coordinator_plan_->incarnation == plan.incarnation &&
                              coordinator_plan_->sequence > plan.sequence;
    if (is_overtaken) return;
    coordinator_plan_ = plan;
    coordinator_plan_at_ = now;
    if (plan.stage == switch_stage::kAnnouncing) {
      announced_ = plan.target.version;
      announced_by_ = plan.incarnation;
    }
  }
  if (followed_ != 0 && followed_ != plan.incarnation) left_behind_.insert(followed_);
  followed_ = plan.incarnation;
  plan_ = plan;
}

void map_switch::OnRemoteStatus(std::uint32_t rank, const rank_status& status, time_point asked) {
  if (!status_ || status.group != status_->group || status.epoch != status_->epoch) return;
  if (status.rank != rank || rank == status_->rank) return;
  member& known = members_[rank];
  known.state.group = status.group;
  known.state.epoch = status.epoch;
  known.state.rank = rank;
  known.state.step = status.step;
  known.state.mapping = status.mapping;
  known.state.prepared = status.prepared.value_or(0);
  known.state.armed = status.armed.value_or(armed_map{});
  known.state.held = status.held.value_or(0);
  known.state.heard = followed_;
  known.at = std::max(known.at, asked);
}

duration map_switch::CoordinatorSilence() const {
  return options_.coordinator_silence * std::max(1U, status_->size / options_.ranks_per_silence);
}

duration map_switch::Silence() const {
  return options_.silence * std::max(1U, status_->size / options_.ranks_per_silence);
}

const armed_map& map_switch::Target() const {
  return duty_ == holder_duty::kNone ? target_ : duty_target_;
}

bool map_switch::IsArmed(const member_state& state) const {
  return state.mapping == Target().version || state.armed == Target();
}

bool map_switch::IsArmed(const rank_status& status) const {
  return status.mapping == Target().version || status.armed == Target();
}

bool map_switch::AreAllArmed(time_point now) const {
  return IsArmed(*status_) &&
         AllMembers(now, [&](const member_state& state) { return IsArmed(state); });
}

bool map_switch::IsSealedByAny(std::uint64_t version) const {
  return sealed_ == version || std::any_of(members_.begin(), members_.end(), [&](const auto& each) {
           return each.second.state.sealed == version;
         });
}

bool map_switch::MayArmFromAfar() const {
  if (duty_ == holder_duty::kFinish) return true;
  return IsCoordinator() && stage_ == switch_stage::kSealing && is_sealed_;
}

bool map_switch::IsUnattended(std::uint32_t rank, const member& member, time_point now) const {
  if (IsArmed(member.state)) return false;
  if (rank == 0) return duty_ == holder_duty::kFinish;
  if (member.state.announced != Target().version) return true;
  const bool is_new_to_holder = duty_ != holder_duty::kNone && now - duty_since_ <= Silence() / 2;
  return now - member.direct > Silence() && !is_new_to_holder;
}

std::vector<std::uint32_t> map_switch::SilentRanks(time_point now) const {
  std::vector<std::uint32_t> silent;
  const bool is_arming =
      IsCoordinator() && (stage_ == switch_stage::kArming || stage_ == switch_stage::kSealing);
  const bool is_holding = IsCoordinator() && stage_ == switch_stage::kHolding;
  if (!is_arming && !is_holding && duty_ != holder_duty::kFinish) return silent;
  static const member kUnknown;
  for (std::uint32_t rank = 0; rank < status_->size; ++rank) {
    if (rank == status_->rank || (is_holding && !IsHolderRank(rank))) continue;
    const auto found = members_.find(rank);
    const member& each = found == members_.end() ? kUnknown : found->second;
    // Of an armed rank it only has to be known that it still is.
    const bool is_settled = IsArmed(each.state) && now - each.at <= options_.member_lifetime / 2;
    const bool is_silent = now - each.direct > Silence() && !is_settled;
    if (is_silent || (!is_holding && IsUnattended(rank, each, now))) silent.push_back(rank);
  }
  return silent;
}

std::vector<std::uint32_t> map_switch::RanksWithoutLayout() const {
  std::vector<std::uint32_t> lacking;
  if (stage_ != switch_stage::kPreparing) return lacking;
  for (const auto& [rank, each] : members_) {
    const member_state& state = each.state;
    if (state.known != target_.version && state.prepared != target_.version) {
      lacking.push_back(rank);
    }
  }
  return lacking;
}

std::vector<std::uint32_t> map_switch::RanksAwaited() const {
  std::vector<std::uint32_t> awaited;
  const auto plan = Plan();
  if (!plan || (!IsHeldStage(plan->stage) && plan->stage != switch_stage::kAnnouncing)) {
    return awaited;
  }
  const auto is_lacking = [&](const member_state& state) {
    switch (plan->stage) {
      case switch_stage::kAnnouncing:
        return state.announced != plan->target.version;
      case switch_stage::kArming:
      case switch_stage::kSealing:
        return !IsArmed(state);
      case switch_stage::kReleasing:
        return state.mapping != plan->target.version;
      case switch_stage::kUndoing:
        return !IsFenced(state, plan->target.version);
      default:
        return false;
    }
  };
  for (std::uint32_t rank = 0; rank < status_->size; ++rank) {
    if (rank == status_->rank) continue;
    const auto found = members_.find(rank);
    if (IsHolderRank(rank) || found == members_.end() || is_lacking(found->second.state)) {
      awaited.push_back(rank);
    }
  }
  return awaited;
}

void map_switch::OnLayoutKnown(std::uint64_t version) { known_layouts_.insert(version); }

bool map_switch::IsCoordinator() const {
  return status_ && !status_->group.empty() && status_->rank == 0;
}

bool map_switch::IsActive() const {
  const bool planned = plan_ && plan_->stage != switch_stage::kIdle;
  return stage_ != switch_stage::kIdle || planned || committed_.has_value() ||
         duty_ != holder_duty::kNone || (status_ && status_->held);
}

bool map_switch::MayBeHeld() const {
  const auto may_be_held = [](switch_stage stage) {
    return IsHeldStage(stage) || stage == switch_stage::kRecovering ||
           stage == switch_stage::kAnnouncing;
  };
  return may_be_held(stage_) || (plan_ && may_be_held(plan_->stage)) || committed_.has_value() ||
         duty_ != holder_duty::kNone || (status_ && status_->held);
}

bool map_switch::AllFresh(time_point now) const {
  return status_ && members_.size() + 1 == status_->size &&
         std::all_of(members_.begin(), members_.end(), [&](const auto& each) {
           return now - each.second.at <= options_.member_lifetime;
         });
}

bool map_switch::AllMembers(time_point now,
                            const std::function<bool(const member_state&)>& condition) const {
  return AllFresh(now) && std::all_of(members_.begin(), members_.end(), [&](const auto& each) {
           return each.second.state.heard == followed_ && condition(each.second.state);
         });
}

std::optional<member_state> map_switch::HolderState() const {
  if (IsHolder()) return State();
  const auto found = members_.find(HolderRank(status_->size));
  return found == members_.end() ? std::nullopt : std::optional(found->second.state);
}

std::uint64_t map_switch::HeldStep() const {
  if (status_->held) return *status_->held;
  const auto holder = HolderState();
  return holder ? holder->held : 0;
}

void map_switch::Enter(switch_stage stage, time_point now) {
  stage_ = stage;
  stage_since_ = now;
  ++sequence_;
}

void map_switch::Begin(std::uint64_t version, time_point now) {
  target_ = {.version = version, .step = 0};
  is_sealed_ = false;
  is_undoing_final_ = false;
  highest_version_ = std::max(highest_version_, version);
  Enter(switch_stage::kPreparing, now);
}

void map_switch::ChooseStep() {
  std::uint64_t latest = std::max({status_->step, target_.step, released_to_});
  for (const auto& [rank, each] : members_) latest = std::max(latest, each.state.step);
  target_.step = latest + LeadSteps();
  ++sequence_;
}

std::uint64_t map_switch::LeadSteps() const {
  return options_.lead_steps + status_->size / options_.ranks_per_lead_step;
}

void map_switch::Order(const rank_order& order, duration pause, time_point now,
                       std::vector<rank_order>& orders) {
  const auto sent = sent_.find(order);
  // The report must be newer than the order, or the order's effect cannot show in it.
  const bool is_own = order.rank == status_->rank;
  if (sent != sent_.end() && now - sent->second < pause) return;
  if (sent != sent_.end() && is_own && status_asked_ <= sent->second) return;
  sent_[order] = now;
  orders.push_back(order);
}

void map_switch::Release(std::uint64_t step, time_point now, std::vector<rank_order>& orders) {
  released_to_ = std::max(released_to_, step);
  Order({.kind = order_kind::kGo,
         .rank = status_->held == step ? status_->rank : HolderRank(status_->size),
         .epoch = status_->epoch,
         .step = step},
        options_.resend_after, now, orders);
}

void map_switch::AdvanceReleasing(time_point now, std::vector<rank_order>& orders) {
  const std::uint64_t held = HeldStep();
  const bool is_held = held != 0 && held <= released_to_;
  // The holder releases the group itself. This is for a holder whose companion has ended.
  const bool is_overdue = now - stage_since_ > options_.resend_after;
  if (is_held && (status_->held || is_overdue)) return Release(held, now, orders);
  const bool is_used =
      status_->mapping == target_.version &&
      AllMembers(now, [&](const member_state& state) { return state.mapping == target_.version; });
  if (!is_used) return;
  ++finished_;
  Enter(switch_stage::kIdle, now);
}

void map_switch::AdvanceCoordinator(time_point now, std::vector<rank_order>& orders) {
  const rank_status& own = *status_;
  const auto holder = HolderState();
  const bool is_holder_the_same =
      IsHolder() || (holder && holder->incarnation == holder_incarnation_);
  const bool is_refused = !IsHolder() && holder && holder->refused == target_.version;
  switch (stage_) {
    case switch_stage::kIdle:
      if (HeldStep() == 0) return;
      // An order of before may be carried out late.
      if (HeldStep() <= released_to_) return Release(HeldStep(), now, orders);
      return Enter(switch_stage::kRecovering, now);
    case switch_stage::kRecovering:
      return AdvanceRecovery(now);
    case switch_stage::kPreparing: {
      const bool ready =
          own.prepared == target_.version && AllMembers(now, [&](const member_state& state) {
            return state.prepared == target_.version;
          });
      if (ready) {
        Enter(switch_stage::kAnnouncing, now);
      } else if (now - stage_since_ > options_.longest_prepare) {
        Enter(switch_stage::kIdle, now);  // nobody holds, nobody is armed
      }
      return;
    }
    case switch_stage::kAnnouncing:
      if (AllMembers(
              now, [&](const member_state& state) { return state.announced == target_.version; })) {
        holder_incarnation_ = holder->incarnation;
        ChooseStep();
        Enter(switch_stage::kHolding, now);
      } else if (now - stage_since_ > options_.longest_stage_before_arming) {
        Enter(switch_stage::kIdle, now);  // nobody holds, nobody is armed
      }
      return;
    case switch_stage::kHolding:
      // Nobody has been told to arm a rank, so nothing has to be undone but the hold.
      if (is_refused || !is_holder_the_same) return GiveUpHold(now);
      if (holder->held == target_.step && holder->step < target_.step && own.step < target_.step) {
        return Enter(switch_stage::kArming, now);
      }
      if (now - stage_since_ > options_.longest_stage_before_arming) return GiveUpHold(now);
      // The pass has begun, so that the hold cannot take effect any more.
      if (own.step >= target_.step) ChooseStep();
      Order({.kind = order_kind::kHold,
             .rank = HolderRank(own.size),
             .epoch = own.epoch,
             .step = target_.step},
            options_.resend_after, now, orders);
      return;
    case switch_stage::kArming: {
      if (is_refused || !is_holder_the_same || IsAnyFenced(target_.version)) {
        return Enter(switch_stage::kUndoing, now);
      }
      const bool others_armed =
          AllMembers(now, [&](const member_state& state) { return IsArmed(state); });
      const bool is_unattended = std::any_of(
          members_.begin(), members_.end(),
          [&](const auto& entry) { return IsUnattended(entry.first, entry.second, now); });
      if (others_armed || is_unattended) Enter(switch_stage::kSealing, now);
      return;
    }
    case switch_stage::kSealing:
      return AdvanceSealing(is_refused || !is_holder_the_same, now, orders);
    case switch_stage::kReleasing:
      return AdvanceReleasing(now, orders);
    case switch_stage::kUndoing:
      return AdvanceUndoing(now, orders);
  }
}

void map_switch::AdvanceSealing(bool is_opposed, time_point now, std::vector<rank_order>& orders) {
  if (IsAnyFenced(target_.version)) {
    is_sealed_ = false;
    return Enter(switch_stage::kUndoing, now);
  }
  if (!is_sealed_) {
    if (IsSealedByAny(target_.version) || IsHolder()) {
      is_sealed_ = true;
      ++sequence_;
    } else if (is_opposed) {
      Enter(switch_stage::kUndoing, now);
    }
    return;
  }
  ArmFromAfar(now, orders);
  if (!AreAllArmed(now)) return;
  released_to_ = std::max(released_to_, target_.step);
  Enter(switch_stage::kReleasing, now);
}

void map_switch::ArmFromAfar(time_point now, std::vector<rank_order>& orders) {
  if (!MayArmFromAfar()) return;
  for (const std::uint32_t rank : SilentRanks(now)) {
    const member_state& state = members_[rank].state;
    const bool can_arm = state.prepared == Target().version && state.step < Target().step;
    if (IsArmed(state) || !can_arm) continue;
    Order({.kind = order_kind::kArm,
           .rank = rank,
           .epoch = status_->epoch,
           .version = Target().version,
           .step = Target().step},
          options_.resend_after, now, orders);
  }
}

std::vector<rank_order> map_switch::Advance(time_point now) {
  std::vector<rank_order> orders;
  if (!status_ || status_->group.empty()) return orders;
  // What a process that stood still knows of its rank is too old to act on.
  if (now - status_asked_ > options_.member_lifetime) return orders;
  if (IsCoordinator()) {
    ObserveMaps(now);
    AdvanceCoordinator(now, orders);
    if (const auto plan = Plan()) OnPlan(*plan, now);
  } else if (IsHolder()) {
    AdvanceHolder(now, orders);
  }
  if (plan_) AdvanceMember(now, orders);
  return orders;
}

std::optional<member_state> map_switch::State() const {
  if (!status_ || status_->group.empty()) return std::nullopt;
  const std::uint64_t wanted = plan_ ? plan_->target.version : 0;
  return member_state{.incarnation = incarnation_,
                      .heard = followed_,
                      .group = status_->group,
                      .epoch = status_->epoch,
                      .rank = status_->rank,
                      .step = status_->step,
                      .mapping = status_->mapping,
                      .prepared = status_->prepared.value_or(0),
                      .known = wanted != 0 && known_layouts_.count(wanted) > 0 ? wanted : 0,
                      .armed = status_->armed.value_or(armed_map{}),
                      .committed = committed_.value_or(armed_map{}),
                      .held = status_->held.value_or(0),
                      .announced = announced_,
                      .refused = refused_,
                      .sealed = sealed_};
}

std::optional<switch_plan> map_switch::Plan() const {
  if (!status_) return std::nullopt;
  if (duty_ != holder_duty::kNone) {
    return switch_plan{
        .incarnation = followed_,
        .group = status_->group,
        .epoch = status_->epoch,
        .stage = duty_ == holder_duty::kUndo ? switch_stage::kUndoing : switch_stage::kSealing,
        .target = duty_target_,
        .from_holder = true,
        .is_final = duty_ == holder_duty::kFinish || is_undoing_final_};
  }
  if (!IsCoordinator()) return std::nullopt;
  return switch_plan{.incarnation = incarnation_,
                     .group = status_->group,
                     .epoch = status_->epoch,
                     .stage = stage_,
                     .target = target_,
                     .sequence = sequence_,
                     .is_final = stage_ == switch_stage::kUndoing ? is_undoing_final_ : is_sealed_};
}

}  // namespace berylbarrow
