// What an upstream_selector learns from upstreams, engines and other gateways.

#include <algorithm>

#include "berylbarrow/request/dispatch/upstream_selector.h"

namespace berylbarrow {
namespace {

constexpr double kPassTimeWeight = 0.05;  // of the latest event gap in the moving averages
// Age up to which the model of a group is compared with measured passes.
constexpr duration kModelLifetime = std::chrono::milliseconds(100);
// Share of the slots that must be in use for a measured pass to show how uneven the load is.
constexpr double kMinMeasuredSlotShare = 0.25;

double Seconds(duration span) { return std::chrono::duration<double>(span).count(); }

}  // namespace

void upstream_selector::OnColdTimeLeft(const std::string& id, duration left, time_point now) {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end()) return;
  found->second.cold_until = std::max(found->second.cold_until, now + left);
  UpdateRate(found->second, now);
}

void upstream_selector::OnPause(const std::string& id, time_point until) {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end()) return;
  found->second.paused_until = std::max(found->second.paused_until, until);
}

bool upstream_selector::OnEngineReport(const engine_report& report, time_point made_at) {
  const auto id = ids_by_address_.find(UpstreamHash(report.address));
  if (id == ids_by_address_.end()) return false;
  upstream_state& state = upstreams_.at(id->second);
  if (state.record.address != report.address || made_at < state.report_received_at) return false;
  state.report = report;
  state.report_received_at = made_at;
  return !report.group.empty() && UpdateGroup(report, made_at);
}

std::string upstream_selector::AddressOf(std::uint32_t address_hash) const {
  const auto id = ids_by_address_.find(address_hash);
  return id == ids_by_address_.end() ? "" : upstreams_.at(id->second).record.address;
}

std::vector<aged_report> upstream_selector::RecentReports(const std::string& domain,
                                                          duration max_age, time_point now) const {
  std::vector<aged_report> reports;
  for (const auto& [id, state] : upstreams_) {
    if (!state.report || state.record.domain != domain) continue;
    const duration age = now - state.report_received_at;
    if (age <= max_age) reports.push_back({.report = *state.report, .age = age});
  }
  return reports;
}

bool upstream_selector::UpdateGroup(const engine_report& report, time_point now) {
  group_state& group = groups_[report.group];
  // A rank that was lost for good is still reported with the epoch in which it was lost.
  if (report.epoch < group.epoch) return false;
  const bool was_closed = !group.closed_by.empty();
  const bool is_new_epoch = report.epoch > group.epoch;
  group.epoch = report.epoch;
  if (!report.open) {
    group.closed_by = report.address;
    group.closed_at = now;
  } else if (is_new_epoch || group.closed_by == report.address) {
    group.closed_by.clear();
  }
  return was_closed == group.closed_by.empty();
}

void upstream_selector::OnEventGap(const std::string& id, duration gap, time_point now) {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end()) return;
  const double ms = Seconds(gap) * 1000.0;
  pass_time_stats& pass_times = pass_times_[GroupKey(found->second)];
  const bool is_outdated =
      pass_times.mean_ms <= 0 || now - pass_times.updated_at > options_.pass_time_lifetime;
  if (is_outdated) {
    pass_times.mean_ms = ms;
    pass_times.deviation_ms = ms / 8;
  }
  pass_times.deviation_ms +=
      kPassTimeWeight * (std::abs(ms - pass_times.mean_ms) - pass_times.deviation_ms);
  pass_times.mean_ms += kPassTimeWeight * (ms - pass_times.mean_ms);
  pass_times.updated_at = now;
  if (found->second.is_room_limited) UpdateHistory(pass_times, found->second, ms, now);
}

void upstream_selector::UpdateHistory(pass_time_stats& pass_times, const upstream_state& state,
                                      double ms, time_point now) {
  if (!state.engine) return;
  if (!pass_times.model || now - pass_times.model_built_at > kModelLifetime) {
    pass_times.model = BuildGroupModels(state.record.service, now).at(GroupKey(state));
    pass_times.model_built_at = now;
  }
  const double requests = pass_times.model->MeanRequestsPerRank();
  // With few requests, the jitter of the network would count as uneven load.
  if (requests < kMinMeasuredSlotShare * state.record.slots) return;
  pass_times.history.Add(pass_times.model->LoadFactor(requests, ms), now);
}

void upstream_selector::AddToTotalPeerLoad(const load_by_upstream& in_flight) {
  for (const auto& [upstream, count] : in_flight) total_peer_load_[upstream] += count;
}

void upstream_selector::OnPeerLoad(const std::string& peer, const load_by_upstream& in_flight) {
  RemovePeer(peer);
  peer_loads_[peer] = in_flight;
  AddToTotalPeerLoad(in_flight);
}

void upstream_selector::RemovePeer(const std::string& peer) {
  const auto removed = peer_loads_.find(peer);
  if (removed == peer_loads_.end()) return;
  for (const auto& [upstream, count] : removed->second) {
    const auto total = total_peer_load_.find(upstream);
    total->second -= count;
    if (total->second == 0) total_peer_load_.erase(total);
  }
  peer_loads_.erase(removed);
}

void upstream_selector::RemovePeersNamed(const std::string& beginning) {
  std::vector<std::string> names;
  for (const auto& [name, load] : peer_loads_) {
    if (name.starts_with(beginning)) names.push_back(name);
  }
  for (const std::string& name : names) RemovePeer(name);
}

std::map<std::uint32_t, std::uint32_t> upstream_selector::LocalLoad() const {
  std::map<std::uint32_t, std::uint32_t> load;
  for (const auto& [id, state] : upstreams_) {
    if (state.in_flight > 0) load[state.id_hash] = state.in_flight;
  }
  return load;
}

upstream_selector::load_by_upstream upstream_selector::LoadOf(
    const std::vector<std::string>& peers) const {
  load_by_upstream load = LocalLoad();
  for (const std::string& peer : peers) {
    const auto found = peer_loads_.find(peer);
    if (found == peer_loads_.end()) continue;
    for (const auto& [upstream, count] : found->second) load[upstream] += count;
  }
  return load;
}

}  // namespace berylbarrow
