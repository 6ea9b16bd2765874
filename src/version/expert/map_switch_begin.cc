// When the coordinator may begin a switch, and which version the map gets.

#include <algorithm>

#include "berylbarrow/version/expert/map_switch.h"

namespace berylbarrow {
namespace {

// Versions that are chosen from the same highest known one differ by a random number below this.
constexpr std::uint64_t kVersionBlock = std::uint64_t{1} << 20U;

}  // namespace

bool map_switch::IsSettled(time_point now) const {
  if (!IsCoordinator() || stage_ != switch_stage::kIdle || !status_->open) return false;
  if (status_->held || status_->armed || committed_) return false;
  // An engine refuses an order for a pass that has begun. Until then, an order of the previous
  // switch, or of a coordinator that has ended, could take effect in this one: it may name the same
  // step.
  const bool are_steps_over = status_->step >= first_step_ + LeadSteps() &&
                              status_->step >= std::max(target_.step, released_to_);
  if (!are_steps_over) return false;
  return AllMembers(now, [&](const member_state& state) {
    return state.armed.version == 0 && state.committed.version == 0 && state.held == 0;
  });
}

bool map_switch::AreMapsAlike() const {
  return std::all_of(members_.begin(), members_.end(), [&](const auto& entry) {
    return entry.second.state.mapping == status_->mapping;
  });
}

void map_switch::ObserveMaps(time_point now) {
  if (AreMapsAlike() || !AllFresh(now)) return maps_differ_since_.reset();
  if (!maps_differ_since_) maps_differ_since_ = now;
}

bool map_switch::CanBegin(time_point now) const { return IsSettled(now) && AreMapsAlike(); }

bool map_switch::CanRepair(time_point now) const {
  return maps_differ_since_ && now - *maps_differ_since_ > options_.longest_map_difference &&
         IsSettled(now) && !AreMapsAlike();
}

std::vector<std::uint64_t> map_switch::MapsInUse() const {
  std::vector<std::uint64_t> versions(status_ ? status_->size : 0);
  if (!status_ || status_->rank >= versions.size()) return versions;
  versions[status_->rank] = status_->mapping;
  for (const auto& [rank, each] : members_) {
    if (rank < versions.size()) versions[rank] = each.state.mapping;
  }
  return versions;
}

std::uint64_t map_switch::NextVersion(std::uint64_t random) const {
  const std::uint64_t block = highest_version_ / kVersionBlock + 1;
  // Fences have odd versions, so that no rank takes the content of one for that of a map.
  return block * kVersionBlock + random % (kVersionBlock / 2) * 2;
}

}  // namespace berylbarrow
