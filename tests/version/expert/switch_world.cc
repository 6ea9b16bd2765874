#include "version/expert/switch_world.h"

#include <algorithm>
#include <utility>

namespace berylbarrow {
namespace {

using std::chrono::milliseconds;

constexpr duration kMishapLength = std::chrono::seconds(2);
constexpr duration kPassTime = milliseconds(23);
constexpr double kKilledShareOfHerd = 0.6;

}  // namespace

rank_status engine_group::Report(std::uint32_t rank) const {
  const rank_state& state = ranks_[rank];
  return {.group = "g",
          .epoch = epoch_,
          .rank = rank,
          .size = static_cast<std::uint32_t>(ranks_.size()),
          .open = true,
          .step = step_,
          .mapping = state.mapping,
          .prepared = state.prepared,
          .armed = state.armed,
          .held = state.held};
}

void engine_group::Carry(const rank_order& order) {
  if (order.epoch != epoch_) return;
  rank_state& rank = ranks_[order.rank];
  switch (order.kind) {
    case order_kind::kPrepare:
    case order_kind::kFence:
      if (order.version <= rank.highest || rank.armed) return;
      rank.highest = order.version;
      rank.prepared = order.version;
      return;
    case order_kind::kHold:
      if (order.step > step_ && !rank.held) rank.held = order.step;
      return;
    case order_kind::kArm:
      if (order.step <= step_ || rank.prepared != order.version) return;
      rank.armed = armed_map{.version = order.version, .step = order.step};
      return;
    case order_kind::kGo:
      if (rank.held == order.step) rank.held.reset();
      return;
    case order_kind::kDisarm:
      if (rank.armed && rank.armed->version == order.version) rank.armed.reset();
      return;
  }
}

bool engine_group::IsMixed() const {
  return std::any_of(ranks_.begin(), ranks_.end(),
                     [&](const rank_state& rank) { return rank.mapping != ranks_[0].mapping; });
}

bool engine_group::Pass() {
  for (const rank_state& rank : ranks_) {
    if (rank.held == step_ + 1 && !ignore_holds_) {
      ++held_passes_;
      return true;
    }
  }
  ++step_;
  held_passes_ = 0;
  for (rank_state& rank : ranks_) {
    if (rank.armed && rank.armed->step == step_) {
      rank.mapping = rank.armed->version;
      rank.armed.reset();
      rank.prepared.reset();
    }
  }
  return !IsMixed();
}

void engine_group::BeginEpoch() {
  ++epoch_;
  for (rank_state& rank : ranks_) rank = {.highest = rank.highest};
}

void engine_group::ForceMapping(std::uint32_t rank, std::uint64_t version) {
  ranks_[rank].mapping = version;
  ranks_[rank].highest = std::max(ranks_[rank].highest, version);
}

switch_world::switch_world(std::uint64_t seed, const faults& faults, std::uint32_t size)
    : size_(size), random_(seed), faults_(faults), group_(size), companions_(size) {
  for (std::uint32_t rank = 0; rank < size_; ++rank) Restart(rank);
  if (faults.ignore_holds) group_.IgnoreHolds();
}

bool switch_world::Run(duration span) {
  const time_point end = now_ + span;
  for (; now_ < end; now_ += milliseconds(1)) {
    Break();
    Deliver();
    for (std::uint32_t rank = 0; rank < size_; ++rank) Tick(rank);
    const bool is_pass_due = (now_ - kStart) % kPassTime == duration::zero();
    if (is_pass_due && now_ >= idle_until_ && !group_.Pass()) {
      now_ += milliseconds(1);
      return false;
    }
    longest_held_ = std::max(longest_held_, group_.HeldPasses());
  }
  return true;
}

bool switch_world::RunUntil(switch_stage stage) {
  const time_point end = now_ + std::chrono::seconds(10);
  while (now_ < end) {
    if (companions_[0].decisions->Stage() == stage) return true;
    if (!Run(milliseconds(1))) return false;
  }
  return false;
}

void switch_world::Kill(const std::vector<std::uint32_t>& ranks, duration down) {
  for (const std::uint32_t rank : ranks) {
    companions_[rank].dead_until = now_ + down;
    Restart(rank);
  }
}

void switch_world::SetBusy(bool is_busy) { idle_until_ = is_busy ? now_ : time_point::max(); }

duration switch_world::LongestHeld() const { return longest_held_ * kPassTime; }

bool switch_world::Chance(double share) {
  return share > 0 && std::uniform_real_distribution<double>(0, 1)(random_) < share;
}

void switch_world::Restart(std::uint32_t rank) {
  // What was sent to a process that has ended does not reach the next one.
  companions_[rank] = {.decisions = std::make_unique<map_switch>(map_switch_options{}, random_()),
                       .frozen_until = now_,
                       .dead_until = companions_[rank].dead_until};
}

void switch_world::Strike() {
  const switch_stage stage = companions_[0].decisions->Stage();
  if (stage != last_stage_) stage_since_ = now_;
  last_stage_ = stage;
  if (planned_.kind == mishap::kNone || now_ - kStart < std::chrono::seconds(1)) return;
  if (stage != planned_.stage || now_ - stage_since_ != planned_.after) return;
  if (planned_.kind == mishap::kFreeze) {
    companions_[planned_.rank].frozen_until = now_ + kMishapLength;
  } else {
    Kill({planned_.rank}, kMishapLength);
  }
  planned_.kind = mishap::kNone;
}

bool switch_world::IsDown(std::uint32_t rank) const {
  return companions_[rank].frozen_until > now_ || companions_[rank].dead_until > now_;
}

bool switch_world::IsMute(std::uint32_t rank) const {
  return faults_.mute_engines && companions_[rank].frozen_until > now_;
}

void switch_world::Break() {
  Strike();
  const auto rank = static_cast<std::uint32_t>(random_() % size_);
  if (Chance(faults_.kill)) Restart(rank);
  if (Chance(faults_.freeze)) {
    companions_[rank].frozen_until = now_ + milliseconds(500 + random_() % 3500);
  }
  if (Chance(faults_.epoch)) group_.BeginEpoch();
  if (Chance(faults_.herd_kill)) {
    std::vector<std::uint32_t> herd;
    for (std::uint32_t each = 0; each < size_; ++each) {
      if (Chance(kKilledShareOfHerd)) herd.push_back(each);
    }
    Kill(herd, milliseconds(random_() % 3000));
  }
  if (Chance(faults_.idle)) idle_until_ = now_ + milliseconds(random_() % 3000);
}

void switch_world::Send(std::uint32_t to, message sent) {
  if (Chance(faults_.lose_message)) return;
  sent.at = now_ + milliseconds(1 + random_() % 3);
  companions_[to].inbox.push_back(std::move(sent));
}

void switch_world::Receive(std::uint32_t rank) {
  companion_state& receiver = companions_[rank];
  if (receiver.dead_until > now_) receiver.inbox.clear();
  // A frozen process reads its datagrams when it wakes.
  if (receiver.frozen_until > now_) return;
  std::size_t kept = 0;
  for (message& each : receiver.inbox) {
    if (each.at > now_) {
      std::swap(receiver.inbox[kept++], each);
      continue;
    }
    if (each.state) receiver.decisions->OnMember(*each.state, now_);
    if (each.plan) {
      receiver.decisions->OnPlan(*each.plan, now_);
      receiver.decisions->OnLayoutKnown(each.plan->target.version);
    }
  }
  receiver.inbox.resize(kept);
}

void switch_world::Deliver() {
  for (std::uint32_t rank = 0; rank < size_; ++rank) Receive(rank);
  for (auto each = late_.begin(); each != late_.end();) {
    if (each->at > now_) {
      ++each;
      continue;
    }
    group_.Carry(each->order);
    each = late_.erase(each);
  }
}

void switch_world::Place(std::uint32_t from, const rank_order& order) {
  if (from != order.rank && IsMute(order.rank)) return;
  for (const delayed_orders& each : delayed_) {
    if (each.kind != order.kind || (each.rank && *each.rank != order.rank)) continue;
    late_.push_back({.at = now_ + each.late, .order = order});
    return;
  }
  if (Chance(faults_.late_order)) {
    // Half of the orders arrive while the work that they belong to may still be under way.
    const auto latest = Chance(0.5) ? 400 : 12'000;
    late_.push_back({.at = now_ + milliseconds(20 + random_() % latest), .order = order});
    return;
  }
  group_.Carry(order);
}

void switch_world::Tick(std::uint32_t rank) {
  companion_state& self = companions_[rank];
  if (IsDown(rank)) return;
  map_switch& decisions = *self.decisions;
  if ((now_ - kStart) % milliseconds(4) == duration::zero()) {
    decisions.OnStatus(group_.Report(rank), now_);
    for (const std::uint32_t silent : decisions.SilentRanks(now_)) {
      if (!IsMute(silent)) decisions.OnRemoteStatus(silent, group_.Report(silent), now_);
    }
  }
  const bool is_wanted = is_switching_while_idle_ || now_ >= idle_until_;
  if ((is_wanted && decisions.CanBegin(now_)) || decisions.CanRepair(now_)) {
    const std::uint64_t version = decisions.NextVersion(random_());
    decisions.OnLayoutKnown(version);
    decisions.Begin(version, now_);
  }
  for (const rank_order& order : decisions.Advance(now_)) Place(rank, order);
  finished_ += decisions.Finished() - std::exchange(self.finished, decisions.Finished());
  // News are sent at once, and everything is repeated.
  const auto state = decisions.State();
  const auto plan = decisions.Plan();
  const bool is_repeated = (now_ - kStart) % milliseconds(8) == duration::zero();
  if (state && (is_repeated || state != std::exchange(self.sent_state, state))) {
    for (const std::uint32_t leader : {0U, 1U}) {
      if (leader != rank && leader < size_) Send(leader, {.state = state});
    }
  }
  if (plan && (is_repeated || plan != std::exchange(self.sent_plan, plan))) {
    for (std::uint32_t other = 0; other < size_; ++other) {
      if (other != rank) Send(other, {.state = state, .plan = plan});
    }
  }
}

}  // namespace berylbarrow
