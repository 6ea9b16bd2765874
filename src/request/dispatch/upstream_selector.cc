#include "berylbarrow/request/dispatch/upstream_selector.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace berylbarrow {
namespace {

constexpr double kLatencyWeight = 0.15;  // of the newest answer in the moving average
// Of an engine's own load in its score; the rest is the time of a pass of its group.
constexpr double kLoadWeight = 0.3;
constexpr double kPauseWeight = 0.05;     // of the newest pause in the moving averages
constexpr double kFailurePenalty = 0.35;  // in slots, per recent failure

double Seconds(duration span) { return std::chrono::duration<double>(span).count(); }

}  // namespace

std::uint32_t UpstreamHash(const std::string& id) {
  return static_cast<std::uint32_t>(XXH64(id.data(), id.size(), 0));
}

void upstream_selector::SetUpstreams(const upstream_registry& registry, const routing_view* view,
                                     time_point now) {
  for (auto each = upstreams_.begin(); each != upstreams_.end();) {
    const bool listed = registry.Upstreams().count(each->first) > 0;
    each = listed ? std::next(each) : upstreams_.erase(each);
  }
  for (const auto& [id, known] : registry.Upstreams()) {
    upstream_state& state = upstreams_[id];
    if (state.record.born != known.record.born) {
      state.failures = 0;
      state.failures_in_row = 0;
      state.blocked_until = time_point::min();
    }
    if (state.record.address != known.record.address) state.blocked_until = time_point::min();
    state.record = known.record;
    state.hash = UpstreamHash(id);
    state.cold_until = std::max(state.cold_until, known.cold_until);
    if (known.record.cold_left <= duration::zero() && known.cold_until <= now &&
        state.cold_until < now + state.cold_start) {
      state.cold_until = std::min(state.cold_until, known.cold_until);
    }
    const service_profile* profile =
        view == nullptr ? nullptr : view->FindService(known.record.service);
    if (profile == nullptr) continue;
    state.pause_limit = view->ShortestPause(known.record.service);
    state.engine = profile->engine;
    state.cold_start = profile->cold_start;
    state.cold_per_second = profile->cold_requests_per_second;
  }
}

void upstream_selector::SetEvacuatedDomains(const std::set<std::string>& domains, time_point now) {
  for (auto& [id, state] : upstreams_) {
    const bool returns =
        evacuated_.count(state.record.domain) > 0 && domains.count(state.record.domain) == 0;
    // Nothing ran there for a while, so the upstreams may have turned cold.
    if (returns) state.cold_until = std::max(state.cold_until, now + state.cold_start);
  }
  evacuated_ = domains;
}

std::uint32_t upstream_selector::Load(const upstream_state& state, time_point now) const {
  std::uint32_t load = state.in_flight;
  const auto of_peers = peer_total_.find(state.hash);
  if (of_peers != peer_total_.end()) load += of_peers->second;
  // Entries that cannot be heard send work too.
  if (state.report && now - state.reported_at <= options_.report_lifetime) {
    load = std::max(load, state.report->running + state.report->waiting);
  }
  return load;
}

std::string upstream_selector::PassKey(const upstream_state& state) const {
  return state.report && !state.report->group.empty() ? state.report->group : state.record.id;
}

std::uint32_t upstream_selector::Capacity(const upstream_state& state, const group_models& groups,
                                          time_point now) const {
  const std::uint32_t slots = std::max(1U, state.record.slots);
  if (state.engine) {
    const std::uint32_t most = slots + options_.engine_queue_limit;
    const auto passes = passes_.find(PassKey(state));
    const bool measured = passes != passes_.end() && state.pause_limit > duration::zero() &&
                          now - passes->second.at <= options_.pass_time_lifetime;
    if (!measured) return most;
    // A pass takes a fixed time and a time that grows with the requests of the ranks.
    const pass_time_model& group = groups.at(PassKey(state));
    const double fixed = group.EmptyPassMs();
    const double longest = options_.event_gap_limit_share * Seconds(state.pause_limit) * 1000.0;
    const double taken = passes->second.mean + passes->second.spread - fixed;
    if (taken <= 0 || longest <= fixed) return most;
    const double per_request = taken / std::max(1.0, group.MeanRequestsPerRank());
    const double fits = (longest - fixed) / per_request;
    // More requests with longer pauses may be worth more than few without.
    const double in_time = fits / longest;
    const double late = options_.late_response_value * most / (fixed + per_request * most);
    if (in_time < late) return most;
    return std::clamp(static_cast<std::uint32_t>(std::ceil(fits)),
                      std::min(options_.min_engine_capacity, most), most);
  }
  return slots + static_cast<std::uint32_t>(slots * options_.queue_per_slot_without_engine);
}

bool upstream_selector::HasPlace(const upstream_state& state, const group_models& groups, bool late,
                                 time_point now) const {
  const double share = late && state.engine ? options_.late_capacity_share : 1.0;
  return Load(state, now) < share * Capacity(state, groups, now);
}

bool upstream_selector::IsUsable(const upstream_state& state, const dispatch_query& query) const {
  return state.record.service == query.service && !state.record.leaving &&
         evacuated_.count(state.record.domain) == 0 && query.excluded.count(state.record.id) == 0;
}

bool upstream_selector::IsGroupOpen(const upstream_state& state, time_point now) const {
  const bool fresh = state.report && now - state.reported_at <= options_.report_lifetime;
  return !fresh || state.report->open;
}

double upstream_selector::ColdTokens(const upstream_state& state, time_point now) const {
  const double rate = state.cold_per_second * options_.cold_rate_share / entries_;
  const double burst = std::max(1.0, rate / 4);
  if (state.cold_tokens_at == time_point::min()) return burst;
  return std::min(burst, state.cold_tokens + rate * Seconds(now - state.cold_tokens_at));
}

bool upstream_selector::HasColdRoom(const upstream_state& state, time_point now) const {
  if (now >= state.cold_until || state.cold_per_second <= 0) return true;
  return ColdTokens(state, now) >= 1;
}

double upstream_selector::FailureScore(const upstream_state& state, time_point now) const {
  if (state.failures <= 0) return 0;
  const double halves = Seconds(now - state.failures_at) / Seconds(options_.failure_half_life);
  return state.failures * std::exp2(-halves);
}

double upstream_selector::Pace(const upstream_state& state) const {
  return state.report ? std::max(0.5, state.report->pace) : 1.0;
}

upstream_selector::group_models upstream_selector::GroupModels(const std::string& service,
                                                               time_point now) const {
  group_models groups;
  for (const auto& [id, state] : upstreams_) {
    if (state.record.service != service || !state.engine) continue;
    pass_time_model& group = groups.try_emplace(PassKey(state), *state.engine).first->second;
    group.AddRank(Load(state, now), Pace(state));
  }
  return groups;
}

double upstream_selector::Score(const upstream_state& state, const dispatch_query& query,
                                const group_models& groups, time_point now) const {
  const double slots = std::max(1U, state.record.slots);
  const double load = Load(state, now) + 1.0;
  double score = load / slots;
  if (state.engine) {
    const pass_time_model& group = groups.at(PassKey(state));
    const double pass = group.PassMsWithExtraRequest(load - 1, Pace(state));
    const double usual = std::max(1.0, group.NominalPassMs(slots));
    score = kLoadWeight * score + (1 - kLoadWeight) * pass / usual;
  } else if (state.latency_ms > 0) {
    score = load * state.latency_ms / 1000.0;
  }
  const bool is_remote = state.record.domain != query.domain;
  const double unit = state.engine || state.latency_ms <= 0 ? 1.0 : state.latency_ms / 1000.0 * 4;
  score += unit * ((is_remote ? options_.remote_domain_penalty_slots : 0.0) +
                   kFailurePenalty * FailureScore(state, now));
  return score;
}

dispatch_choice upstream_selector::Choose(const dispatch_query& query, time_point now) const {
  const group_models groups = GroupModels(query.service, now);
  dispatch_choice choice;
  const upstream_state* best = nullptr;
  const upstream_state* least_blocked = nullptr;
  double best_score = 0;
  double spread = query.tie_break;
  for (const auto& [id, state] : upstreams_) {
    if (!IsUsable(state, query)) continue;
    if (!HasPlace(state, groups, query.late, now)) {
      choice.obstacle = dispatch_obstacle::kAllBusy;
      continue;
    }
    if (!HasColdRoom(state, now)) {
      choice.obstacle = std::max(choice.obstacle, dispatch_obstacle::kColdRateLimit);
      continue;
    }
    if (now < state.blocked_until || !IsGroupOpen(state, now)) {
      if (least_blocked == nullptr || state.blocked_until < least_blocked->blocked_until) {
        least_blocked = &state;
      }
      continue;
    }
    // Equal upstreams are told apart by a low-discrepancy sequence, so that entries that see the
    // same loads do not all choose the same one.
    spread = std::fmod(spread + 0.6180339887, 1.0);
    const double score = Score(state, query, groups, now) + 0.02 * spread;
    if (best == nullptr || score < best_score) {
      best = &state;
      best_score = score;
    }
  }
  const bool all_blocked = best == nullptr && choice.obstacle == dispatch_obstacle::kNoUpstream;
  const bool may_try =
      least_blocked != nullptr && !least_blocked->engine && IsGroupOpen(*least_blocked, now);
  if (all_blocked && may_try) best = least_blocked;
  if (best == nullptr) {
    if (least_blocked != nullptr && choice.obstacle == dispatch_obstacle::kNoUpstream) {
      choice.obstacle = dispatch_obstacle::kAllBusy;
    }
    return choice;
  }
  return {.upstream_id = best->record.id,
          .address = best->record.address,
          .load = Load(*best, now),
          .obstacle = dispatch_obstacle::kNone};
}

void upstream_selector::OnSent(const std::string& id, std::uint32_t tokens, time_point now) {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end()) return;
  upstream_state& state = found->second;
  ++state.in_flight;
  state.tokens += tokens;
  if (now < state.cold_until) {
    state.cold_tokens = ColdTokens(state, now) - 1;
    state.cold_tokens_at = now;
  }
}

void upstream_selector::Block(upstream_state& state, time_point now) {
  const std::uint32_t doublings = std::min(4U, state.failures_in_row);
  const duration span = std::min(options_.max_block_duration,
                                 options_.initial_block_duration * (1U << doublings) / 2);
  state.blocked_until = std::max(state.blocked_until, now + span);
}

void upstream_selector::BlockGroup(const upstream_state& state, time_point now) {
  const std::string key = PassKey(state);
  for (auto& [id, other] : upstreams_) {
    if (other.record.service != state.record.service || PassKey(other) != key) continue;
    other.blocked_until = std::max(other.blocked_until, now + options_.group_block_duration);
  }
}

void upstream_selector::OnFinished(const std::string& id, std::uint32_t tokens,
                                   attempt_outcome outcome, duration latency, time_point now) {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end()) return;
  upstream_state& state = found->second;
  if (state.in_flight > 0) --state.in_flight;
  state.tokens -= std::min<std::uint64_t>(state.tokens, tokens);
  if (outcome == attempt_outcome::kServed) {
    state.failures_in_row = 0;
    const double ms = Seconds(latency) * 1000.0;
    state.latency_ms =
        state.latency_ms <= 0 ? ms : state.latency_ms + kLatencyWeight * (ms - state.latency_ms);
    return;
  }
  if (outcome == attempt_outcome::kAbandoned) return;
  state.failures = FailureScore(state, now) + 1;
  state.failures_at = now;
  ++state.failures_in_row;
  if (outcome == attempt_outcome::kMisdirected) {
    state.blocked_until = now + options_.misdirected_block_duration;
    return;
  }
  const bool has_places = Load(state, now) < state.record.slots;
  if (outcome == attempt_outcome::kRefused && state.engine && has_places) {
    BlockGroup(state, now);
    return;
  }
  const bool at_once =
      outcome == attempt_outcome::kUnreachable || outcome == attempt_outcome::kRefused;
  if (at_once || state.failures_in_row >= 2) Block(state, now);
}

void upstream_selector::OnColdTimeLeft(const std::string& id, duration left, time_point now) {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end()) return;
  found->second.cold_until = std::max(found->second.cold_until, now + left);
}

void upstream_selector::OnEngineReport(const engine_report& report, time_point now) {
  const auto found = std::find_if(upstreams_.begin(), upstreams_.end(), [&](const auto& each) {
    return each.second.record.address == report.address;
  });
  if (found == upstreams_.end()) return;
  found->second.report = report;
  found->second.reported_at = now;
}

void upstream_selector::OnEventGap(const std::string& id, duration pause, time_point now) {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end()) return;
  const double ms = Seconds(pause) * 1000.0;
  pass_times& passes = passes_[PassKey(found->second)];
  const bool anew = passes.mean <= 0 || now - passes.at > options_.pass_time_lifetime;
  if (anew) passes = {.mean = ms, .spread = ms / 8};
  passes.spread += kPauseWeight * (std::abs(ms - passes.mean) - passes.spread);
  passes.mean += kPauseWeight * (ms - passes.mean);
  passes.at = now;
}

void upstream_selector::AddPeerLoad(const load_by_upstream& in_flight) {
  for (const auto& [upstream, count] : in_flight) peer_total_[upstream] += count;
}

void upstream_selector::OnPeerLoad(const std::string& peer, const load_by_upstream& in_flight) {
  RemovePeer(peer);
  peers_[peer] = in_flight;
  AddPeerLoad(in_flight);
}

void upstream_selector::RemovePeer(const std::string& peer) {
  const auto known = peers_.find(peer);
  if (known == peers_.end()) return;
  for (const auto& [upstream, count] : known->second) {
    const auto total = peer_total_.find(upstream);
    total->second -= count;
    if (total->second == 0) peer_total_.erase(total);
  }
  peers_.erase(known);
}

std::map<std::uint32_t, std::uint32_t> upstream_selector::LocalLoad() const {
  std::map<std::uint32_t, std::uint32_t> load;
  for (const auto& [id, state] : upstreams_) {
    if (state.in_flight > 0) load[state.hash] = state.in_flight;
  }
  return load;
}

double upstream_selector::Utilization(const std::string& service, time_point now) const {
  double taken = 0;
  double places = 0;
  for (const auto& [id, state] : upstreams_) {
    if (state.record.service != service || state.record.leaving) continue;
    if (evacuated_.count(state.record.domain) > 0) continue;
    taken += std::min(Load(state, now), state.record.slots);
    places += state.record.slots;
  }
  return places <= 0 ? 1.0 : taken / places;
}

nlohmann::json upstream_selector::State(time_point now) const {
  nlohmann::json all = nlohmann::json::array();
  for (const auto& [id, state] : upstreams_) {
    all.push_back({{"id", id},
                   {"service", state.record.service},
                   {"failure_domain", state.record.domain},
                   {"leaving", state.record.leaving},
                   {"in_flight", state.in_flight},
                   {"load", Load(state, now)},
                   {"slots", state.record.slots},
                   {"failures", FailureScore(state, now)},
                   {"blocked", now < state.blocked_until},
                   {"cold", now < state.cold_until},
                   {"group", state.report ? state.report->group : ""},
                   {"pace", state.report ? state.report->pace : 1.0}});
  }
  return all;
}

}  // namespace berylbarrow
