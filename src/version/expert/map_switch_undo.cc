// How a switch is ended without a new map: what a restarted coordinator finds, and fences.

#include <algorithm>

#include "berylbarrow/version/expert/map_switch.h"

namespace berylbarrow {

bool map_switch::IsFenced(const member_state& state, std::uint64_t version) {
  return state.armed.version == 0 && std::max(state.prepared, state.mapping) > version;
}

bool map_switch::IsAnyFenced(std::uint64_t version) const {
  return IsFenced(*State(), version) ||
         std::any_of(members_.begin(), members_.end(),
                     [&](const auto& each) { return IsFenced(each.second.state, version); });
}

bool map_switch::AreAllFenced(std::uint64_t version, std::uint32_t first_rank) const {
  for (std::uint32_t rank = first_rank; rank < status_->size; ++rank) {
    const auto found = members_.find(rank);
    const bool is_own = rank == status_->rank;
    if (!is_own && found == members_.end()) return false;
    if (!IsFenced(is_own ? *State() : found->second.state, version)) return false;
  }
  return true;
}

bool map_switch::HaveSealersRefused(std::uint64_t version) const {
  const std::uint32_t last = std::min(kLastSealer, status_->size - 1);
  for (std::uint32_t rank = 1; rank <= last; ++rank) {
    const auto found = members_.find(rank);
    if (rank != status_->rank && found == members_.end()) return false;
    const member_state state = rank == status_->rank ? *State() : found->second.state;
    // A companion that has restarted does not know what it has sealed before.
    const bool has_refused =
        state.announced == version && state.refused == version && state.sealed != version;
    if (!has_refused) return false;
  }
  return true;
}

std::optional<armed_map> map_switch::CommonArmedMap() const {
  if (!status_->armed || members_.size() + 1 != status_->size) return std::nullopt;
  const bool are_alike = std::all_of(members_.begin(), members_.end(), [&](const auto& each) {
    return each.second.state.armed == *status_->armed;
  });
  return are_alike ? status_->armed : std::nullopt;
}

void map_switch::AdvanceRecovery(time_point now) {
  const std::uint64_t held = HeldStep();
  if (held == 0) return Enter(switch_stage::kIdle, now);
  if (!AllMembers(now, [](const member_state&) { return true; })) return;
  std::optional<armed_map> committed = committed_;
  for (const auto& [rank, each] : members_) {
    if (each.state.committed.version != 0) committed = each.state.committed;
    if (each.state.armed.version != 0) committed = each.state.armed;
  }
  // Rank 0 may have been armed only if somebody has sealed the switch. If all are armed, the group
  // may have been released already by an order that is still under way.
  const auto common = CommonArmedMap();
  is_sealed_ = common || (committed && IsSealedByAny(committed->version));
  if (is_sealed_) {
    target_ = common ? *common : *committed;
    return Enter(switch_stage::kSealing, now);
  }
  // A rank that is not armed may have been sent the order to arm, of any version it has had.
  target_ = {.version = highest_version_, .step = held};
  is_undoing_final_ = false;
  Enter(switch_stage::kUndoing, now);
}

void map_switch::AdvanceUndoing(time_point now, std::vector<rank_order>& orders) {
  if (!is_undoing_final_) {
    if (IsAnyFenced(target_.version)) {
      is_undoing_final_ = true;
      ++sequence_;
    } else if (const auto common = CommonArmedMap(); common || IsSealedByAny(target_.version)) {
      if (common) target_ = *common;
      is_sealed_ = true;
      return Enter(switch_stage::kSealing, now);
    }
  }
  const std::uint64_t held = HeldStep();
  const bool has_begun = status_->step >= target_.step && !status_->armed;
  if (!has_begun && !AreAllFenced(target_.version, 0)) return;
  if (held != 0 && held <= target_.step) return Release(held, now, orders);
  released_to_ = std::max(released_to_, target_.step);
  is_undoing_final_ = false;
  ++undone_;
  Enter(switch_stage::kIdle, now);
}

void map_switch::GiveUpHold(time_point now) {
  released_to_ = std::max(released_to_, target_.step);
  ++undone_;
  Enter(switch_stage::kIdle, now);
}

void map_switch::Fence(std::uint64_t version, time_point now, std::vector<rank_order>& orders) {
  highest_version_ = std::max(highest_version_, version);
  const std::uint64_t newest = std::max(status_->mapping, status_->prepared.value_or(0));
  if (fence_version_ <= std::max(version, newest)) fence_version_ = NextVersion(incarnation_) | 1U;
  Order({.kind = order_kind::kFence,
         .rank = status_->rank,
         .epoch = status_->epoch,
         .version = fence_version_},
        options_.resend_after, now, orders);
}

}  // namespace berylbarrow
