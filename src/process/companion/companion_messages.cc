#include <algorithm>
#include <numeric>
#include <utility>

#include "berylbarrow/process/telemetry/log.h"
#include "connection/http/endpoint.h"
#include "process/companion/companion.h"

namespace berylbarrow {
namespace {

using std::chrono::milliseconds;

constexpr duration kHeartbeatInterval = milliseconds(250);
constexpr duration kStateInterval = milliseconds(150);
// The ranks of a larger group report less often, so that the reports which the coordinator receives
// grow less than the group. At most twice the interval: older reports make a rank count as silent.
constexpr std::uint32_t kRanksPerStateInterval = 32;
constexpr std::uint32_t kMaxStateIntervals = 2;
constexpr duration kDiscoveryInterval = std::chrono::seconds(1);
constexpr duration kLoadInterval = milliseconds(150);
// A relay adds loads up to this age to its own.
constexpr duration kMaxCoveredLoadAge = std::chrono::seconds(1);
constexpr duration kPlanInterval = milliseconds(200);
constexpr std::uint32_t kMaxPlanIntervals = 3;
// During a switch each change is sent at once and is repeated at this interval, because datagrams
// may be lost. In larger groups than kRanksPerResend, only the ranks from which the coordinator
// waits for an answer get the plan so often.
constexpr duration kSwitchResendInterval = milliseconds(32);
constexpr std::uint32_t kRanksPerResend = 16;
constexpr std::uint32_t kRanksPerPlanResend = 8;
// A relay has passed a layout on to its ranks within this time.
constexpr duration kRelayTime = milliseconds(150);
// Addresses are sent again in case a datagram was lost. Most switches are shorter.
constexpr duration kAddressesInterval = milliseconds(500);
// Addresses that fit into one datagram.
constexpr std::size_t kAddressesPerMessage = 18;

std::size_t TotalSize(const std::vector<std::string>& datagrams) {
  return std::accumulate(
      datagrams.begin(), datagrams.end(), std::size_t{0},
      [](std::size_t sum, const std::string& datagram) { return sum + datagram.size(); });
}

std::string EndpointText(const boost::asio::ip::udp::endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

}  // namespace

void companion::OnDatagram(std::string_view datagram, const endpoint& from) {
  if (const auto message = DecodeRankMessage(datagram)) {
    OnRankMessage(*message, from);
    return;
  }
  if (const auto digest = DecodeCrashDigest(datagram)) {
    OnCrashDigest(*digest, from);
    return;
  }
  const auto heartbeat = DecodeBeat(datagram);
  if (heartbeat) members_.OnBeat(*heartbeat, clock_.Now());
}

void companion::OnCrashDigest(const crash_digest& digest, const endpoint& from) {
  const time_point now = clock_.Now();
  const bool is_question = digest.crashes.empty() && digest.answers.empty();
  if (!is_question) return crashes_.Merge(digest, now);
  if (!crashes_.HasObservations()) return;
  Send(EncodeCrashDigest(crashes_.MakeDigest(now)), from);
  logger::Event(log_level::kInfo, "fleet", "crash_digest_returned",
                {{"observations", std::to_string(crashes_.ObservationCount())},
                 {"suspects", std::to_string(crashes_.SuspectCount())},
                 {"to", EndpointText(from)}});
}

void companion::OnRankMessage(const rank_message& message, const endpoint& from) {
  if (!status_) return;
  const time_point now = clock_.Now();
  const auto is_own_group = [&](const std::string& group, std::uint64_t epoch) {
    return group == status_->rank.group && epoch == status_->rank.epoch;
  };
  if (!message.plan.empty() &&
      is_own_group(message.plan.front().group, message.plan.front().epoch)) {
    OnPlan(message, from, now);
  }
  if (!message.state.empty() &&
      is_own_group(message.state.front().group, message.state.front().epoch)) {
    OnMemberState(message, from, now);
  }
}

void companion::OnPlan(const rank_message& message, const endpoint& from, time_point now) {
  const switch_plan& plan = message.plan.front();
  if (plan.from_holder) {
    if (switch_.IsCoordinator()) return;
    leading_holder_ = from;
    next_state_ = now;
  } else if (!message.relayed) {
    leading_holder_.reset();
    coordinator_address_ = from;
    if (message.target_layout.empty() && message.target_delta.empty()) {
      relay_address_.reset();
      if (!message.relay_address.empty()) relay_address_ = ParseUdpEndpoint(message.relay_address);
      // The coordinator repeats its plan until it has the answer of this rank.
      if (plan.stage != switch_stage::kIdle) next_state_ = now;
    }
  }
  switch_.OnPlan(plan, now);
  OnAddresses(message.addresses);
  for (const layout_part& part : message.target_layout) OnTargetLayout(part, now);
  for (const layout_delta& part : message.target_delta) OnTargetDelta(part, now);
  if (!message.target_layout.empty() || !message.target_delta.empty()) layout_plan_ = plan;
  RelayLayout(now);
  SendDueOrders(now);
  SendState(now);
}

void companion::OnAddresses(const std::vector<rank_address>& addresses) {
  for (const rank_address& each : addresses) {
    if (each.rank >= GroupSize() || each.rank == status_->rank.rank) continue;
    peer_rank& peer = ranks_[each.rank];
    peer.epoch = status_->rank.epoch;
    peer.address = ParseUdpEndpoint(each.companion);
    if (!each.engine.empty()) peer.engine_address = each.engine;
  }
}

void companion::SendAddresses(time_point now) {
  const std::uint32_t holder = map_switch::HolderRank(GroupSize());
  const auto receiver = ranks_.find(holder);
  const bool is_wanted =
      switch_.IsCoordinator() && switch_.Stage() != switch_stage::kIdle && receiver != ranks_.end();
  if (!is_wanted || now < next_addresses_) return;
  next_addresses_ = now + kAddressesInterval;
  const auto plan = switch_.Plan();
  rank_message message{.plan = {*plan}};
  const auto flush = [&] {
    if (message.addresses.empty()) return;
    Send(EncodeRankMessage(message), receiver->second.address);
    message.addresses.clear();
  };
  for (const auto& [rank, peer] : ranks_) {
    if (rank == holder) continue;
    message.addresses.push_back(
        {.rank = rank, .companion = EndpointText(peer.address), .engine = peer.engine_address});
    if (message.addresses.size() >= kAddressesPerMessage) flush();
  }
  flush();
}

void companion::OnTargetLayout(const layout_part& part, time_point now) {
  const auto shape = Shape();
  if (!shape || switch_.IsCoordinator()) return;
  if (!target_ || target_->version != part.version) {
    target_ = versioned_layout{.version = part.version, .layout = rank_layout(*shape)};
    BeginRelaying(now);
  }
  if (target_->IsComplete() || !MergePart(part, target_->layout)) return;
  for (std::uint32_t i = 0; i < part.layers; ++i) target_->layers.insert(part.first_layer + i);
  if (target_->IsComplete() && target_->layout.IsSound()) switch_.OnLayoutKnown(part.version);
}

void companion::OnTargetDelta(const layout_delta& part, time_point now) {
  const auto shape = Shape();
  if (!shape || switch_.IsCoordinator()) return;
  if (target_ && target_->version == part.version && target_->IsComplete()) return;
  if (!target_delta_.empty() && target_delta_.front().version != part.version) {
    target_delta_.clear();
  }
  if (std::find(target_delta_.begin(), target_delta_.end(), part) == target_delta_.end()) {
    target_delta_.push_back(part);
  }
  if (target_delta_.size() < part.parts) return;
  const bool is_base_known = in_use_ && in_use_->version == part.base;
  if (!is_base_known && part.base != 0) return;
  rank_layout layout = is_base_known ? in_use_->layout : InitialLayout(*shape);
  // The coordinator sends all of the layout to a rank that does not report to have it.
  if (!ApplyDelta(target_delta_, layout) || !layout.IsSound()) return;
  target_ = versioned_layout{.version = part.version, .layout = std::move(layout)};
  for (std::uint32_t i = 0; i < shape->layers; ++i) target_->layers.insert(i);
  BeginRelaying(now);
  switch_.OnLayoutKnown(part.version);
}

void companion::BeginRelaying(time_point now) {
  const rank_tree tree(status_->rank.size);
  unrelayed_ranks_.clear();
  if (!tree.IsRelay(status_->rank.rank)) return;
  unrelayed_ranks_ = tree.ChildrenOf(status_->rank.rank);
  spread_.Begin(now);
}

void companion::OnMemberState(const rank_message& message, const endpoint& from, time_point now) {
  const member_state& state = message.state.front();
  if (state.rank == 0) coordinator_address_ = from;
  switch_.OnMember(state, now);
  peer_rank& peer = ranks_[state.rank];
  peer.address = from;
  if (!message.engine_address.empty()) peer.engine_address = message.engine_address;
  peer.epoch = state.epoch;
  for (const layout_part& part : message.sender_lists) MergeExpertLists(peer, part);
  const auto shape = Shape();
  for (const load_part& part : message.sender_load) {
    if (!shape) break;
    peer.load.resize(std::size_t{shape->layers} * shape->experts, 0);
    if (!MergePart(part, peer.load)) continue;
    peer.load_time = now;
    peer.pace = part.pace;
    for (const covered_rank& covered : message.covered) {
      const auto found = ranks_.find(covered.rank);
      if (covered.rank == state.rank || found == ranks_.end()) continue;
      found->second.load.clear();
      found->second.load_time = now;
      found->second.pace = covered.pace;
    }
  }
  if (!switch_.IsActive()) return;
  SendDueOrders(now);
  SendPlan(now);
}

void companion::MergeExpertLists(peer_rank& peer, const layout_part& part) {
  auto shape = Shape();
  if (!shape) return;
  shape->ranks = 1;
  if (!peer.lists || peer.lists_version != part.version) {
    peer.lists = rank_layout(*shape);
    peer.lists_version = part.version;
    peer.layers.clear();
  }
  if (!MergePart(part, *peer.lists)) return;
  for (std::uint32_t i = 0; i < part.layers; ++i) peer.layers.insert(part.first_layer + i);
}

duration companion::StateInterval() const {
  const std::uint32_t size = GroupSize();
  if (switch_.IsActive()) return kSwitchResendInterval * std::max(1U, size / kRanksPerResend);
  return kStateInterval * std::clamp(size / kRanksPerStateInterval, 1U, kMaxStateIntervals);
}

void companion::SendState(time_point now) {
  const auto state = switch_.State();
  if (!state) return;
  std::optional<member_state> comparable = state;
  // All ranks begin a pass together, so the coordinator also learns of it from its own engine.
  if (IsLargeGroup()) comparable->step = 0;
  const bool changed = switch_.IsActive() && comparable != last_sent_state_;
  if (now < next_state_ && !changed) return;
  next_state_ = now + StateInterval();
  last_sent_state_ = comparable;
  rank_message message{.state = {*state}, .engine_address = settings_.upstream_address};
  if (!coordinator_address_ && state->rank != 0) FindCoordinator(message, now);
  if (state->rank == 0 || !coordinator_address_) return;
  if (leading_holder_) Send(EncodeRankMessage(message), *leading_holder_);
  // During a switch of a large group the links are left to its messages.
  const bool is_load_paused = IsLargeGroup() && switch_.IsActive();
  const bool is_load_due = status_ && now >= next_load_ && !is_load_paused;
  if (is_load_due && !expert_rates_.Demand().empty()) {
    SendLoad(std::move(message), now);
  } else {
    Send(EncodeRankMessage(message), *coordinator_address_);
  }
}

void companion::FindCoordinator(const rank_message& message, time_point now) {
  const std::string datagram = EncodeRankMessage(message);
  const std::string hinted = members_.CoordinatorAddress(message.state.front().group);
  if (!hinted.empty()) {
    Send(datagram, ParseUdpEndpoint(hinted));
    // It answers with its plan, unless another companion coordinates the group by now.
    if (next_discovery_ == time_point::min()) next_discovery_ = now + kDiscoveryInterval;
  }
  if (now < next_discovery_) return;
  next_discovery_ = now + kDiscoveryInterval;
  for (const std::string& address : members_.GroupAddresses(message.state.front().group)) {
    Send(datagram, ParseUdpEndpoint(address));
  }
}

void companion::SendLoad(rank_message&& message, time_point now) {
  next_load_ = now + kLoadInterval;
  auto shape = Shape();
  if (own_lists_ && shape && own_lists_->experts.size() == shape->layers) {
    shape->ranks = 1;
    rank_layout lists(*shape);
    for (std::uint32_t layer = 0; layer < shape->layers; ++layer) {
      lists.Set(layer, 0, own_lists_->experts[layer]);
    }
    message.sender_lists = SplitLayout(lists, own_lists_->version);
    message.sender_lists.resize(std::min<std::size_t>(message.sender_lists.size(), 1));
  }
  endpoint to = *coordinator_address_;
  if (relay_address_) {
    // Only the load takes the way of the relay.
    Send(EncodeRankMessage(message), to);
    message.sender_lists.clear();
    to = *relay_address_;
  }
  std::vector<double> load = expert_rates_.Demand();
  message.covered = AddCoveredLoads(load, now);
  for (load_part& part : SplitLoad(load)) {
    part.pace = status_->pace;
    message.sender_load = {part};
    Send(EncodeRankMessage(message), to);
    message.sender_lists.clear();
  }
}

std::vector<covered_rank> companion::AddCoveredLoads(std::vector<double>& load,
                                                     time_point now) const {
  std::vector<covered_rank> covered;
  const rank_tree tree(GroupSize());
  if (!tree.IsRelay(status_->rank.rank)) return covered;
  for (const auto& [rank, peer] : ranks_) {
    const bool is_recent = peer.epoch == status_->rank.epoch && peer.load.size() == load.size() &&
                           !peer.IsLoadStale(now, kMaxCoveredLoadAge);
    if (!is_recent || tree.ParentOf(rank) != status_->rank.rank) continue;
    for (std::size_t i = 0; i < load.size(); ++i) load[i] += peer.load[i];
    covered.push_back({.rank = rank, .pace = peer.pace});
  }
  return covered;
}

bool companion::IsLiveRelay(std::uint32_t rank, time_point now) const {
  const auto found = ranks_.find(rank);
  return found != ranks_.end() && rank_tree(GroupSize()).IsRelay(rank) &&
         !found->second.IsLoadStale(now, kMaxCoveredLoadAge);
}

void companion::SendPlan(time_point now) {
  const auto plan = switch_.Plan();
  if (!plan) return;
  SendLayout(*plan, now);
  SendAddresses(now);
  const rank_message announcement{.plan = {*plan}};
  const std::uint32_t size = GroupSize();
  if (now < next_plan_ && plan == last_sent_plan_) {
    if (now < next_awaited_plan_) return;
    next_awaited_plan_ = now + kSwitchResendInterval;
    return SendPlanTo(switch_.RanksAwaited(), announcement, now);
  }
  next_plan_ = now + (switch_.IsActive()
                          ? kSwitchResendInterval * std::max(1U, size / kRanksPerPlanResend)
                          : kPlanInterval *
                                std::clamp(size / kRanksPerStateInterval, 1U, kMaxPlanIntervals));
  next_awaited_plan_ = now + kSwitchResendInterval;
  last_sent_plan_ = plan;
  std::vector<std::uint32_t> known;
  std::set<endpoint> notified;
  for (const auto& [rank, peer] : ranks_) {
    known.push_back(rank);
    notified.insert(peer.address);
  }
  SendPlanTo(known, announcement, now);
  if (ranks_.size() + 1 >= size) return;
  const std::string datagram = EncodeRankMessage(announcement);
  for (const std::string& address : members_.GroupAddresses(plan->group)) {
    const endpoint to = ParseUdpEndpoint(address);
    if (notified.count(to) == 0) Send(datagram, to);
  }
}

void companion::SendPlanTo(const std::vector<std::uint32_t>& ranks,
                           const rank_message& announcement, time_point now) {
  const rank_tree tree(GroupSize());
  std::map<std::uint32_t, std::string> datagrams;  // by the relay that they name
  for (const std::uint32_t rank : ranks) {
    const auto receiver = ranks_.find(rank);
    if (receiver == ranks_.end()) continue;
    if (rank == map_switch::HolderRank(GroupSize()) && switch_.IsCoordinator()) {
      // The holder gets the address of the coordinator's engine, for a switch that it has to end.
      rank_message message = announcement;
      message.state = {*switch_.State()};
      message.engine_address = settings_.upstream_address;
      Send(EncodeRankMessage(message), receiver->second.address);
      continue;
    }
    const std::uint32_t parent = tree.ParentOf(rank);
    const std::uint32_t relay = IsLiveRelay(parent, now) ? parent : 0;
    std::string& datagram = datagrams[relay];
    if (datagram.empty()) {
      rank_message message = announcement;
      if (relay != 0) message.relay_address = EndpointText(ranks_.at(relay).address);
      datagram = EncodeRankMessage(message);
    }
    Send(datagram, receiver->second.address);
  }
}

std::vector<std::string> companion::LayoutDatagrams(const switch_plan& plan, bool relayed) const {
  std::vector<std::string> datagrams;
  for (const layout_part& part : SplitLayout(target_->layout, target_->version)) {
    datagrams.push_back(
        EncodeRankMessage({.plan = {plan}, .target_layout = {part}, .relayed = relayed}));
  }
  return datagrams;
}

std::vector<std::string> companion::DeltaDatagrams(const switch_plan& plan, bool relayed) const {
  const bool is_complete = !target_delta_.empty() &&
                           target_delta_.front().version == target_->version &&
                           target_delta_.size() == target_delta_.front().parts;
  if (!is_complete) return LayoutDatagrams(plan, relayed);
  std::vector<std::string> datagrams;
  for (const layout_delta& part : target_delta_) {
    datagrams.push_back(
        EncodeRankMessage({.plan = {plan}, .target_delta = {part}, .relayed = relayed}));
  }
  return datagrams;
}

void companion::SendLayout(const switch_plan& plan, time_point now) {
  const std::vector<std::uint32_t> ranks_without_layout = switch_.RanksWithoutLayout();
  if (ranks_without_layout.empty() || !target_) return;
  const rank_tree tree(GroupSize());
  std::vector<std::uint32_t> receivers;  // relays first, because others wait for them
  for (const std::uint32_t rank : ranks_without_layout) {
    const std::uint32_t parent = tree.ParentOf(rank);
    if (tree.IsRelay(rank)) {
      receivers.insert(receivers.begin(), rank);
    } else if (!IsLiveRelay(parent, now) || spread_.WasSent(rank)) {
      receivers.push_back(rank);
    }
  }
  const std::vector<std::string> delta = DeltaDatagrams(plan, false);
  const std::vector<std::string> whole = LayoutDatagrams(plan, false);
  const bool is_repeated = std::any_of(receivers.begin(), receivers.end(),
                                       [&](std::uint32_t rank) { return spread_.WasSent(rank); });
  for (const std::uint32_t rank :
       spread_.Next(receivers, TotalSize(is_repeated ? whole : delta), now)) {
    const auto receiver = ranks_.find(rank);
    if (receiver == ranks_.end()) continue;
    const bool is_first = delta_ranks_.insert(rank).second;
    for (const std::string& datagram : is_first ? delta : whole) {
      Send(datagram, receiver->second.address);
    }
    if (!IsLiveRelay(rank, now)) continue;
    for (const std::uint32_t child : tree.ChildrenOf(rank)) {
      spread_.MarkSent(child, now + kRelayTime);
      delta_ranks_.insert(child);
    }
  }
}

void companion::RelayLayout(time_point now) {
  if (unrelayed_ranks_.empty() || !target_ || !target_->IsComplete() || !layout_plan_) return;
  const std::vector<std::string> datagrams = DeltaDatagrams(*layout_plan_, true);
  for (const std::uint32_t rank : spread_.Next(unrelayed_ranks_, TotalSize(datagrams), now)) {
    std::erase(unrelayed_ranks_, rank);
    const auto found = ranks_.find(rank);
    if (found == ranks_.end()) continue;
    for (const std::string& datagram : datagrams) Send(datagram, found->second.address);
  }
}

void companion::Send(const std::string& datagram, const endpoint& to) {
  socket_->Send(datagram, to);
}

void companion::SendHeartbeat(time_point now, beat_reach reach) {
  next_heartbeat_ = now + kHeartbeatInterval;
  crashes_.Expire(now);
  fleet_beat heartbeat{.self = members_.Self(), .sequence = ++heartbeat_sequence_};
  if (status_) {
    heartbeat.reports.push_back({.address = settings_.upstream_address,
                                 .group = status_->rank.group,
                                 .epoch = status_->rank.epoch,
                                 .rank = status_->rank.rank,
                                 .open = status_->rank.group.empty() || status_->rank.open,
                                 .pace = status_->pace,
                                 .running = status_->running,
                                 .waiting = status_->waiting});
  } else if (IsRankLost()) {
    heartbeat.reports.push_back({.address = settings_.upstream_address,
                                 .group = last_rank_.group,
                                 .epoch = last_rank_.epoch,
                                 .rank = last_rank_.rank,
                                 .open = false});
  }
  const std::string datagram = EncodeBeat(heartbeat);
  const beat_targets targets = members_.Targets(now);
  if (reach == beat_reach::kAllGateways) {
    for (const std::string& target : members_.AllGatewayTargets(now)) {
      Send(datagram, ParseUdpEndpoint(target));
    }
    return;
  }
  for (const std::string& target : targets.direct) Send(datagram, ParseUdpEndpoint(target));
  if (targets.unknown.empty()) return;
  heartbeat.wants_answer = true;
  const std::string question = EncodeBeat(heartbeat);
  for (const std::string& target : targets.unknown) Send(question, ParseUdpEndpoint(target));
}

}  // namespace berylbarrow
