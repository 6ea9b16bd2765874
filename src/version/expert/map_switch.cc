#include "berylbarrow/version/expert/map_switch.h"

#include <algorithm>

namespace berylbarrow {
namespace {

bool IsHeldStage(switch_stage stage) {
  return stage == switch_stage::kHolding || stage == switch_stage::kArming ||
         stage == switch_stage::kReleasing;
}

}  // namespace

void map_switch::Reset() {
  members_.clear();
  sent_.clear();
  stage_ = switch_stage::kIdle;
  target_ = {};
  released_to_ = 0;
  plan_.reset();
  committed_.reset();
  known_layouts_.clear();
  deputising_ = false;
}

void map_switch::OnStatus(const rank_status& status, time_point asked) {
  if (!status_ || !status_->IsSameRun(status)) Reset();
  status_ = status;
  status_asked_ = asked;
  highest_version_ = std::max({highest_version_, status.mapping, status.prepared.value_or(0),
                               status.armed ? status.armed->version : 0});
  // The pass has begun: what the rank was armed for is in use, or can no longer come into use.
  if (committed_ && status.step >= committed_->step && !status.armed) committed_.reset();
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
  if (IsCoordinator() && plan.incarnation != incarnation_) return;
  if (left_behind_.count(plan.incarnation) > 0) return;
  if (followed_ != 0 && followed_ != plan.incarnation) left_behind_.insert(followed_);
  followed_ = plan.incarnation;
  plan_ = plan;
  plan_at_ = now;
  deputising_ = false;
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
  known.state.heard = followed_;
  known.at = std::max(known.at, asked);
  known.held = status.held && plan_ && *status.held == plan_->target.step;
}

duration map_switch::Silence() const {
  return options_.silence * std::max(1U, status_->size / options_.ranks_per_silence);
}

std::vector<std::uint32_t> map_switch::SilentRanks(time_point now) const {
  std::vector<std::uint32_t> silent;
  const bool arming = deputising_ || (IsCoordinator() && stage_ == switch_stage::kArming);
  if (!arming) return silent;
  for (const auto& [rank, each] : members_) {
    // Of an armed rank it only has to be known that it still is. The deputy also has to see the
    // hold on rank 0.
    const bool is_settled = rank != 0 && IsArmed(each.state.mapping, each.state.armed) &&
                            now - each.at <= options_.member_lifetime / 2;
    if (now - each.direct > Silence() && !is_settled) silent.push_back(rank);
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
  if (!IsCoordinator() || !IsHeldStage(stage_)) return awaited;
  for (const auto& [rank, each] : members_) {
    const member_state& state = each.state;
    const bool is_lacking =
        (stage_ == switch_stage::kArming && !IsArmed(state.mapping, state.armed)) ||
        (stage_ == switch_stage::kReleasing && state.mapping != target_.version);
    if (rank == 1 || is_lacking) awaited.push_back(rank);
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
         (status_ && status_->held);
}

bool map_switch::MayBeHeld() const {
  const bool is_planned = plan_ && IsHeldStage(plan_->stage);
  return IsHeldStage(stage_) || stage_ == switch_stage::kRecovering || is_planned ||
         committed_.has_value() || (status_ && status_->held);
}

bool map_switch::AllFresh(time_point now) const {
  return status_ && members_.size() + 1 == status_->size &&
         std::all_of(members_.begin(), members_.end(), [&](const auto& each) {
           return now - each.second.at <= options_.member_lifetime;
         });
}

template <typename Condition>
bool map_switch::AllMembers(time_point now, Condition condition) const {
  return AllFresh(now) && std::all_of(members_.begin(), members_.end(), [&](const auto& each) {
           return each.second.state.heard == followed_ && condition(each.second.state);
         });
}

bool map_switch::CanBegin(time_point now) const {
  if (!IsCoordinator() || stage_ != switch_stage::kIdle || !status_->open) return false;
  if (status_->held || status_->armed || committed_) return false;
  return AllMembers(now, [&](const member_state& state) {
    return state.mapping == status_->mapping && state.armed.version == 0 &&
           state.committed.version == 0;
  });
}

void map_switch::Enter(switch_stage stage, time_point now) {
  stage_ = stage;
  stage_since_ = now;
}

void map_switch::Begin(std::uint64_t version, time_point now) {
  target_ = {.version = version, .step = 0};
  highest_version_ = std::max(highest_version_, version);
  Enter(switch_stage::kPreparing, now);
}

void map_switch::ChooseStep() {
  std::uint64_t latest = status_->step;
  for (const auto& [rank, each] : members_) latest = std::max(latest, each.state.step);
  target_.step = std::max(latest, target_.step) + options_.lead_steps +
                 status_->size / options_.ranks_per_lead_step;
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

void map_switch::AdvanceRecovery(time_point now, std::vector<rank_order>& orders) {
  const std::uint64_t held = *status_->held;
  if (!AllMembers(now, [](const member_state&) { return true; })) return;
  std::optional<armed_map> committed = committed_;
  for (const auto& [rank, each] : members_) {
    if (each.state.committed.version != 0) committed = each.state.committed;
  }
  if (committed && committed->step >= held) {
    target_ = *committed;
    Enter(switch_stage::kArming, now);
    return;
  }
  released_to_ = std::max(released_to_, held);
  Order({.kind = order_kind::kGo, .rank = status_->rank, .epoch = status_->epoch, .step = held},
        options_.resend_after, now, orders);
}

void map_switch::AdvanceCoordinator(time_point now, std::vector<rank_order>& orders) {
  const rank_status& own = *status_;
  const auto go = [&](std::uint64_t step) {
    Order({.kind = order_kind::kGo, .rank = own.rank, .epoch = own.epoch, .step = step},
          options_.resend_after, now, orders);
  };
  switch (stage_) {
    case switch_stage::kIdle:
      if (!own.held) return;
      // An order of before may be carried out late.
      if (*own.held <= released_to_) return go(*own.held);
      Enter(switch_stage::kRecovering, now);
      return;
    case switch_stage::kRecovering:
      if (!own.held) return Enter(switch_stage::kIdle, now);
      return AdvanceRecovery(now, orders);
    case switch_stage::kPreparing: {
      const bool ready =
          own.prepared == target_.version && AllMembers(now, [&](const member_state& state) {
            return state.prepared == target_.version;
          });
      if (ready) {
        ChooseStep();
        Enter(switch_stage::kHolding, now);
      } else if (now - stage_since_ > options_.longest_prepare) {
        Enter(switch_stage::kIdle, now);  // nobody holds, nobody is armed
      }
      return;
    }
    case switch_stage::kHolding:
      if (own.held == target_.step && own.step < target_.step) {
        Enter(switch_stage::kArming, now);
        return;
      }
      // The pass has begun, so that the hold cannot take effect any more.
      if (own.step >= target_.step) {
        ChooseStep();
        Enter(switch_stage::kHolding, now);
      }
      if (now - stage_since_ < options_.announcement) return;
      if (own.held && *own.held <= released_to_) go(*own.held);
      Order({.kind = order_kind::kHold, .rank = own.rank, .epoch = own.epoch, .step = target_.step},
            options_.resend_after, now, orders);
      return;
    case switch_stage::kArming: {
      ArmSilentRanks(now, orders);
      const bool all = IsArmed(own.mapping, own.armed.value_or(armed_map{})) &&
                       AllMembers(now, [&](const member_state& state) {
                         return IsArmed(state.mapping, state.armed);
                       });
      if (!all) return;
      released_to_ = target_.step;
      Enter(switch_stage::kReleasing, now);
      return go(target_.step);
    }
    case switch_stage::kReleasing: {
      if (own.held && *own.held <= released_to_) return go(*own.held);
      const bool used =
          own.mapping == target_.version && AllMembers(now, [&](const member_state& state) {
            return state.mapping == target_.version;
          });
      if (!used) return;
      ++finished_;
      Enter(switch_stage::kIdle, now);
      return;
    }
  }
}

bool map_switch::IsArmed(std::uint64_t mapping, const armed_map& armed) const {
  return mapping == plan_->target.version || armed == plan_->target;
}

void map_switch::ArmSilentRanks(time_point now, std::vector<rank_order>& orders) {
  for (const std::uint32_t rank : SilentRanks(now)) {
    const member_state& state = members_[rank].state;
    const bool can_arm = state.prepared == plan_->target.version && state.step < plan_->target.step;
    if (IsArmed(state.mapping, state.armed) || !can_arm) continue;
    Order({.kind = order_kind::kArm,
           .rank = rank,
           .epoch = status_->epoch,
           .version = plan_->target.version,
           .step = plan_->target.step},
          options_.resend_after, now, orders);
  }
}

void map_switch::AdvanceDeputy(time_point now, std::vector<rank_order>& orders) {
  if (!IsHeldStage(plan_->stage) || now - plan_at_ <= Silence()) {
    deputising_ = false;
    return;
  }
  deputising_ = true;
  const auto coordinator = members_.find(0);
  if (coordinator == members_.end()) return;
  const member& first = coordinator->second;
  const bool holds =
      first.held && now - first.at <= Silence() && first.state.step < plan_->target.step;
  if (!holds) return;
  plan_->stage = switch_stage::kArming;
  ArmSilentRanks(now, orders);
  const bool all = IsArmed(status_->mapping, status_->armed.value_or(armed_map{})) &&
                   AllMembers(now, [&](const member_state& state) {
                     return IsArmed(state.mapping, state.armed);
                   });
  if (!all) return;
  Order({.kind = order_kind::kGo, .rank = 0, .epoch = status_->epoch, .step = plan_->target.step},
        options_.resend_after, now, orders);
}

void map_switch::AdvanceMember(time_point now, std::vector<rank_order>& orders) {
  const rank_status& own = *status_;
  const armed_map& target = plan_->target;
  if (plan_->stage == switch_stage::kPreparing) {
    const bool done = own.prepared == target.version || own.mapping == target.version;
    if (done || known_layouts_.count(target.version) == 0 || own.armed) return;
    Order({.kind = order_kind::kPrepare,
           .rank = own.rank,
           .epoch = own.epoch,
           .version = target.version},
          options_.prepare_resend, now, orders);
    return;
  }
  if (plan_->stage != switch_stage::kArming) return;
  if (committed_ && *committed_ != target) return;
  if (own.armed == target || own.mapping == target.version) return;
  if (own.prepared != target.version || own.step >= target.step) return;
  committed_ = target;
  Order({.kind = order_kind::kArm,
         .rank = own.rank,
         .epoch = own.epoch,
         .version = target.version,
         .step = target.step},
        options_.resend_after, now, orders);
}

std::vector<rank_order> map_switch::Advance(time_point now) {
  std::vector<rank_order> orders;
  if (!status_ || status_->group.empty()) return orders;
  if (IsCoordinator()) {
    AdvanceCoordinator(now, orders);
    if (const auto plan = Plan()) OnPlan(*plan, now);
  }
  if (plan_ && status_->rank == 1) AdvanceDeputy(now, orders);
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
                      .committed = committed_.value_or(armed_map{})};
}

std::optional<switch_plan> map_switch::Plan() const {
  if (deputising_ && plan_->stage == switch_stage::kArming) return plan_;
  if (!IsCoordinator()) return std::nullopt;
  return switch_plan{.incarnation = incarnation_,
                     .group = status_->group,
                     .epoch = status_->epoch,
                     .stage = stage_,
                     .target = target_};
}

}  // namespace berylbarrow
