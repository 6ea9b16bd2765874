#include <algorithm>
#include <utility>

#include "berylbarrow/process/telemetry/log.h"
#include "connection/http/endpoint.h"
#include "process/companion/companion.h"

namespace berylbarrow {
namespace {

using std::chrono::milliseconds;

constexpr duration kBeatInterval = milliseconds(250);
constexpr duration kStateInterval = milliseconds(150);
constexpr duration kGreetingInterval = std::chrono::seconds(1);
constexpr duration kLoadInterval = milliseconds(150);
// The coordinator of a larger group hears of each rank less often, and of as many ranks a second.
constexpr std::uint32_t kRanksPerLoadInterval = 16;
constexpr duration kPlanInterval = milliseconds(200);
// During a switch each change is sent at once, and again after this time, as datagrams get lost.
constexpr duration kSwitchResend = milliseconds(32);

}  // namespace

void companion::OnDatagram(std::string_view datagram, const endpoint& from) {
  if (const auto message = DecodeRankMessage(datagram)) {
    OnRankMessage(*message, from);
    return;
  }
  const auto beat = DecodeBeat(datagram);
  if (beat) members_.OnBeat(*beat, clock_.Now());
}

void companion::OnRankMessage(const rank_message& message, const endpoint& from) {
  if (!status_) return;
  const time_point now = clock_.Now();
  const auto is_ours = [&](const std::string& group, std::uint64_t epoch) {
    return group == status_->rank.group && epoch == status_->rank.epoch;
  };
  if (!message.plan.empty() && is_ours(message.plan.front().group, message.plan.front().epoch)) {
    coordinator_ = from;
    const switch_plan& plan = message.plan.front();
    switch_.OnPlan(plan, now);
    for (const layout_part& part : message.layout) {
      const auto shape = Shape();
      if (!shape) break;
      if (!draft_ || draft_->version != part.version) {
        draft_ = layout_draft{.version = part.version, .layout = rank_layout(*shape)};
      }
      if (!MergePart(part, draft_->layout)) continue;
      for (std::uint32_t i = 0; i < part.layers; ++i) draft_->layers.insert(part.first_layer + i);
      if (draft_->IsComplete() && draft_->layout.IsSound()) switch_.OnLayoutKnown(part.version);
    }
    PlaceOrders(now);
    SendState(now);
  }
  if (message.state.empty()) return;
  const member_state& state = message.state.front();
  if (!is_ours(state.group, state.epoch)) return;
  if (state.rank == 0) coordinator_ = from;
  switch_.OnMember(state, now);
  rank_view& view = ranks_[state.rank];
  view.address = from;
  if (!message.engine_address.empty()) view.engine_address = message.engine_address;
  view.epoch = state.epoch;
  for (const layout_part& part : message.lists) MergeLists(view, part);
  const auto shape = Shape();
  for (const load_part& part : message.load) {
    if (!shape) break;
    view.load.resize(std::size_t{shape->layers} * shape->experts, 0);
    if (!MergePart(part, view.load)) continue;
    view.load_at = now;
    view.pace = part.pace;
  }
  if (!switch_.IsActive()) return;
  PlaceOrders(now);
  SendPlan(now);
}

void companion::MergeLists(rank_view& view, const layout_part& part) {
  auto shape = Shape();
  if (!shape) return;
  shape->ranks = 1;
  if (!view.lists || view.lists_version != part.version) {
    view.lists = rank_layout(*shape);
    view.lists_version = part.version;
    view.layers.clear();
  }
  if (!MergePart(part, *view.lists)) return;
  for (std::uint32_t i = 0; i < part.layers; ++i) view.layers.insert(part.first_layer + i);
}

void companion::SendState(time_point now) {
  const auto state = switch_.State();
  if (!state) return;
  const bool active = switch_.IsActive();
  const bool changed = active && state != last_state_;
  if (now < next_state_ && !changed) return;
  next_state_ = now + (active ? kSwitchResend : kStateInterval);
  last_state_ = state;
  rank_message message{.state = {*state}, .engine_address = settings_.upstream_address};
  if (now >= next_greeting_ && !coordinator_) {
    next_greeting_ = now + kGreetingInterval;
    const std::string greeting = EncodeRankMessage(message);
    for (const std::string& address : members_.GroupAddresses(state->group)) {
      Send(greeting, ParseUdpEndpoint(address));
    }
  }
  if (state->rank == 0 || !coordinator_) return;
  const std::vector<double> demand = rates_.Demand();
  const bool load_due = now >= next_load_ && !demand.empty();
  if (!load_due) {
    Send(EncodeRankMessage(message), *coordinator_);
    return;
  }
  next_load_ = now + kLoadInterval * std::max(1U, status_->rank.size / kRanksPerLoadInterval);
  auto shape = Shape();
  if (own_lists_ && shape && own_lists_->experts.size() == shape->layers) {
    shape->ranks = 1;
    rank_layout lists(*shape);
    for (std::uint32_t layer = 0; layer < shape->layers; ++layer) {
      lists.Set(layer, 0, own_lists_->experts[layer]);
    }
    message.lists = SplitLayout(lists, own_lists_->version);
    message.lists.resize(std::min<std::size_t>(message.lists.size(), 1));
  }
  for (load_part& part : SplitLoad(demand)) {
    part.pace = status_->pace;
    message.load = {part};
    Send(EncodeRankMessage(message), *coordinator_);
    message.lists.clear();
  }
}

void companion::SendPlan(time_point now) {
  const auto plan = switch_.Plan();
  if (!plan) return;
  SendLayout(*plan, now);
  if (now < next_plan_ && plan == last_plan_) return;
  next_plan_ = now + (switch_.IsActive() ? kSwitchResend : kPlanInterval);
  last_plan_ = plan;
  rank_message announcement{.plan = {*plan}};
  if (switch_.IsCoordinator()) {
    // The deputy learns from it where the coordinator's engine is.
    announcement.state = {*switch_.State()};
    announcement.engine_address = settings_.upstream_address;
  }
  const std::string text = EncodeRankMessage(announcement);
  std::set<endpoint> told;
  for (const auto& [rank, view] : ranks_) {
    told.insert(view.address);
    Send(text, view.address);
  }
  if (ranks_.size() + 1 >= status_->rank.size) return;
  for (const std::string& address : members_.GroupAddresses(plan->group)) {
    const endpoint to = ParseUdpEndpoint(address);
    if (told.count(to) == 0) Send(text, to);
  }
}

void companion::SendLayout(const switch_plan& plan, time_point now) {
  const std::vector<std::uint32_t> lacking = switch_.RanksWithoutLayout();
  if (lacking.empty() || !draft_) return;
  std::vector<std::string> parts;
  std::size_t bytes = 0;
  for (const layout_part& part : SplitLayout(draft_->layout, draft_->version)) {
    parts.push_back(EncodeRankMessage({.plan = {plan}, .layout = {part}}));
    bytes += parts.back().size();
  }
  for (const std::uint32_t rank : spread_.Next(lacking, bytes, now)) {
    for (const std::string& part : parts) Send(part, ranks_[rank].address);
  }
}

void companion::Send(const std::string& datagram, const endpoint& to) {
  socket_->Send(datagram, to);
}

void companion::Beat(time_point now) {
  next_beat_ = now + kBeatInterval;
  fleet_beat beat{.self = members_.Self(), .sequence = ++beat_sequence_};
  if (status_) {
    beat.reports.push_back({.address = settings_.upstream_address,
                            .group = status_->rank.group,
                            .epoch = status_->rank.epoch,
                            .rank = status_->rank.rank,
                            .open = status_->rank.group.empty() || status_->rank.open,
                            .pace = status_->pace,
                            .running = status_->running,
                            .waiting = status_->waiting});
  }
  const std::string datagram = EncodeBeat(beat);
  for (const std::string& target : members_.Targets(now)) Send(datagram, ParseUdpEndpoint(target));
}

}  // namespace berylbarrow
