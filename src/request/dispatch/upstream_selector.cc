#include "berylbarrow/request/dispatch/upstream_selector.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>
#include <numeric>

#include "berylbarrow/request/admission/stream_admission.h"

namespace berylbarrow {
namespace {

constexpr double kLatencyWeight = 0.15;  // of the latest response in the moving average
// Weight of an engine's own load in its score. The rest is the predicted pass time of its group.
constexpr double kLoadWeight = 0.3;
// Share by which a rank must be slower than the fastest one of its group to get requests only when
// all slots of the others are in use. Every pass of the group waits for a prompt that a rank reads,
// so a prompt at a rank of this pace costs all streams twice as much as elsewhere.
constexpr double kExcludingSlowdown = 1.0;
constexpr double kFailurePenaltySlots = 0.35;  // per recent failure

/// What a rank's score rises by, in full sets of slots, because the fastest rank of its group is
/// faster. A pace below 1 makes no other rank slow.
double Slowdown(double pace, double fastest_pace) {
  return std::clamp((pace / std::max(1.0, fastest_pace) - 1) / kExcludingSlowdown, 0.0, 1.0);
}

/// The obstacle of a choice without result. `obstacle`: of the upstreams that were looked at.
/// `is_any_blocked`: one of them could take requests if it were not blocked.
dispatch_obstacle RefineObstacle(dispatch_obstacle obstacle, bool is_any_blocked, bool all_limited,
                                 bool lacks_room) {
  if (is_any_blocked && obstacle == dispatch_obstacle::kNoUpstream) {
    obstacle = dispatch_obstacle::kAllBusy;
  }
  if (all_limited && obstacle != dispatch_obstacle::kNoUpstream) {
    return dispatch_obstacle::kAllLimited;
  }
  if (lacks_room && obstacle == dispatch_obstacle::kAllBusy) return dispatch_obstacle::kNoRoom;
  return obstacle;
}

double Seconds(duration span) { return std::chrono::duration<double>(span).count(); }

/// Adds an upstream that takes requests at this rate after a wait.
void AddLimited(duration wait, double requests_per_second, dispatch_choice& choice) {
  choice.limited_for = std::min(choice.limited_for.value_or(wait), wait);
  choice.limited_rate += requests_per_second;
}

/// Adds what the rate of a limited upstream allows later.
void AddLimited(const request_rate& rate, time_point now, dispatch_choice& choice) {
  const auto wait = rate.TimeUntilAllowed(now);
  if (wait) AddLimited(*wait, rate.RequestsPerSecond(), choice);
}

}  // namespace

std::uint32_t UpstreamHash(const std::string& id) {
  return static_cast<std::uint32_t>(XXH64(id.data(), id.size(), 0));
}

void upstream_selector::SetUpstreams(const upstream_registry& registry, const routing_view* view,
                                     time_point now) {
  for (auto it = upstreams_.begin(); it != upstreams_.end();) {
    const bool listed = registry.Upstreams().count(it->first) > 0;
    it = listed ? std::next(it) : upstreams_.erase(it);
  }
  std::map<std::string, bool> room_limited;  // by service
  for (const auto& [id, registered] : registry.Upstreams()) {
    upstream_state& state = upstreams_[id];
    if (state.record.born != registered.record.born) {
      state.decayed_failures = 0;
      state.consecutive_failures = 0;
      state.blocked_until = time_point::min();
      state.paused_until = time_point::min();
    }
    if (state.record.address != registered.record.address) state.blocked_until = time_point::min();
    state.record = registered.record;
    state.id_hash = UpstreamHash(id);
    state.cold_until = std::max(state.cold_until, registered.cold_until);
    if (registered.record.cold_left <= duration::zero() && registered.cold_until <= now &&
        state.cold_until < now + state.cold_start) {
      state.cold_until = std::min(state.cold_until, registered.cold_until);
    }
    const service_profile* profile =
        view == nullptr ? nullptr : view->FindService(registered.record.service);
    if (profile == nullptr) continue;
    state.event_gap_limit = view->ShortestPause(registered.record.service);
    const auto limited = room_limited.try_emplace(registered.record.service);
    if (limited.second) limited.first->second = stream_admission::AppliesTo(profile->name, *view);
    state.is_room_limited = limited.first->second;
    state.engine = profile->engine;
    state.cold_start = profile->cold_start;
    state.cold_requests_per_second = profile->cold_requests_per_second;
  }
  ids_by_address_.clear();
  for (auto& [id, state] : upstreams_) {
    UpdateRate(state, now);
    ids_by_address_[UpstreamHash(state.record.address)] = id;
  }
  UpdateHomeRanks();
  std::erase_if(groups_, [&](const auto& group) {
    return std::none_of(upstreams_.begin(), upstreams_.end(), [&](const auto& entry) {
      return entry.second.report && entry.second.report->group == group.first;
    });
  });
}

void upstream_selector::SetEvacuatedDomains(const std::set<std::string>& domains, time_point now) {
  for (auto& [id, state] : upstreams_) {
    const bool returns = evacuated_domains_.count(state.record.domain) > 0 &&
                         domains.count(state.record.domain) == 0;
    // The upstreams had no requests during the evacuation, so they may be cold again.
    if (!returns) continue;
    state.cold_until = std::max(state.cold_until, now + state.cold_start);
    UpdateRate(state, now);
  }
  evacuated_domains_ = domains;
}

std::uint32_t upstream_selector::Load(const upstream_state& state, time_point now) const {
  std::uint32_t load = state.in_flight;
  const auto peer_load = total_peer_load_.find(state.id_hash);
  if (peer_load != total_peer_load_.end()) load += peer_load->second;
  // The report also includes requests of entries whose load messages do not arrive here.
  if (state.report && now - state.report_received_at <= options_.report_lifetime) {
    load = std::max(load, state.report->running + state.report->waiting);
  }
  return load;
}

std::string upstream_selector::GroupKey(const upstream_state& state) const {
  return state.report && !state.report->group.empty() ? state.report->group : state.record.id;
}

std::uint32_t upstream_selector::Capacity(const upstream_state& state, const group_models& groups,
                                          time_point now) const {
  const std::uint32_t slots = std::max(1U, state.record.slots);
  if (state.engine) {
    const std::uint32_t max_requests = slots + options_.engine_queue_limit;
    const auto pass_times = pass_times_.find(GroupKey(state));
    const bool is_measured = pass_times != pass_times_.end() &&
                             state.event_gap_limit > duration::zero() &&
                             now - pass_times->second.updated_at <= options_.pass_time_lifetime;
    if (!is_measured) return max_requests;
    // The pass time consists of a fixed part and a part proportional to the requests per rank.
    const pass_time_model& group = groups.at(GroupKey(state));
    const double empty_pass_ms = group.EmptyPassMs();
    const double max_pass_ms =
        options_.event_gap_limit_share * Seconds(state.event_gap_limit) * 1000.0;
    const double variable_ms =
        pass_times->second.mean_ms + pass_times->second.deviation_ms - empty_pass_ms;
    if (variable_ms <= 0 || max_pass_ms <= empty_pass_ms) return max_requests;
    const double ms_per_request = variable_ms / std::max(1.0, group.MeanRequestsPerRank());
    const double fitting_requests = (max_pass_ms - empty_pass_ms) / ms_per_request;
    // Full load with event gaps beyond the limit can deliver more value per time than fewer
    // requests within the limit.
    const double timely_value_rate = fitting_requests / max_pass_ms;
    const double full_load_value_rate = options_.late_response_value * max_requests /
                                        (empty_pass_ms + ms_per_request * max_requests);
    if (timely_value_rate < full_load_value_rate) return max_requests;
    return std::clamp(static_cast<std::uint32_t>(std::ceil(fitting_requests)),
                      std::min(options_.min_engine_capacity, max_requests), max_requests);
  }
  return slots + static_cast<std::uint32_t>(slots * options_.queue_per_slot_without_engine);
}

bool upstream_selector::HasCapacity(const upstream_state& state, const group_models& groups,
                                    bool late, time_point now) const {
  const double share = late && state.engine ? options_.late_capacity_share : 1.0;
  return Load(state, now) < share * Capacity(state, groups, now);
}

group_room upstream_selector::RoomOf(const std::string& key, const pass_time_model& group,
                                     const upstream_state& rank, time_point now) const {
  const double max_per_rank = std::max(1U, rank.record.slots);
  const double gap_limit_ms = Seconds(rank.event_gap_limit) * 1000.0;
  group_room room{.group = key,
                  .requests = group.RequestCount(),
                  .room = max_per_rank * group.RankCount(),
                  .predicted_ms = group.PassMs(group.MeanRequestsPerRank())};
  if (const auto measured = pass_times_.find(key); measured != pass_times_.end()) {
    const pass_time_stats& stats = measured->second;
    const bool is_recent = now - stats.updated_at <= options_.pass_time_lifetime;
    room.measured_ms = is_recent ? stats.mean_ms : 0;
    // A stream is late if one of its passes is.
    const double passes = std::max(1.0, rank.engine->usual_answer / (1.0 * rank.engine->stride));
    // Below 1 the measurement is off, for example just after the pace of a rank has changed.
    room.load_factor =
        std::max(1.0, stats.history.Quantile(1 - options_.late_stream_share / passes, now));
  }
  if (gap_limit_ms <= 0) return room;
  const double fitting = group.FittingRequestsPerRank(gap_limit_ms, room.load_factor, max_per_rank);
  const double fitting_share = std::max(options_.min_room_share, fitting / max_per_rank);
  room.room *= fitting_share;
  return room;
}

upstream_selector::group_rooms upstream_selector::LimitingRooms(const dispatch_query& query,
                                                                const group_models& groups,
                                                                time_point now) const {
  group_rooms rooms;
  if (!query.headroom) return rooms;
  for (const auto& [id, state] : upstreams_) {
    if (!state.engine || !IsUsable(state, query) || IsBlocked(state, now)) continue;
    const std::string key = GroupKey(state);
    if (rooms.count(key) == 0) rooms[key] = RoomOf(key, groups.at(key), state, now);
  }
  return rooms;
}

bool upstream_selector::HasRoom(const upstream_state& state, const dispatch_query& query,
                                const group_rooms& rooms, double total_room) const {
  const auto found = rooms.find(GroupKey(state));
  if (found == rooms.end()) return true;
  const group_room& room = found->second;
  const double headroom = *query.headroom * room.room / total_room;
  const double share = query.late ? options_.late_capacity_share : 1.0;
  return room.requests + headroom < share * room.room;
}

std::vector<group_room> upstream_selector::Rooms(const std::string& service, time_point now) const {
  std::vector<group_room> rooms;
  const group_models groups = BuildGroupModels(service, now);
  for (auto& [key, room] : LimitingRooms({.service = service, .headroom = 0}, groups, now)) {
    rooms.push_back(room);
  }
  return rooms;
}

bool upstream_selector::IsUsable(const upstream_state& state, const dispatch_query& query) const {
  return state.record.service == query.service && !state.record.leaving &&
         evacuated_domains_.count(state.record.domain) == 0 &&
         query.excluded.count(state.record.id) == 0 &&
         (!query.unit || UpstreamHash(GroupKey(state)) == *query.unit);
}

bool upstream_selector::IsGroupOpen(const upstream_state& state, time_point now) const {
  const bool fresh = state.report && now - state.report_received_at <= options_.report_lifetime;
  if (fresh && !state.report->open) return false;
  if (!state.report) return true;
  const auto group = groups_.find(state.report->group);
  return group == groups_.end() || group->second.closed_by.empty() ||
         now - group->second.closed_at > options_.report_lifetime;
}

bool upstream_selector::IsBlocked(const upstream_state& state, time_point now) const {
  return now < state.blocked_until || now < state.paused_until || !IsGroupOpen(state, now);
}

void upstream_selector::UpdateRate(upstream_state& state, time_point now) const {
  const auto limit = rate_limits_.find(state.id_hash);
  state.rate_limit = limit == rate_limits_.end() ? std::nullopt : std::optional(limit->second);
  const bool is_cold = now < state.cold_until && state.cold_requests_per_second > 0;
  if (!is_cold && !state.rate_limit) {
    state.rate.reset();
    return;
  }
  double fleet_rate = std::numeric_limits<double>::max();
  if (is_cold) fleet_rate = state.cold_requests_per_second * options_.cold_rate_share;
  if (state.rate_limit) {
    fleet_rate = std::min(fleet_rate, std::max(*state.rate_limit, options_.min_limited_rate));
  }
  const double own_rate =
      share_ == nullptr ? fleet_rate : share_->RateOf(state.id_hash, fleet_rate, now);
  // Requests may have been sent to a limited upstream just before its limit became known.
  const bool may_send_at_once = !state.rate_limit && own_rate > 0;
  if (!state.rate) state.rate.emplace(may_send_at_once ? 1.0 : 0.0, now);
  state.rate->SetRate(own_rate, now);
}

bool upstream_selector::SetNearGateways(const near_gateways& gateways) {
  if (near_gateways_ == gateways) return false;
  near_gateways_ = gateways;
  UpdateHomeRanks();
  return true;
}

std::size_t upstream_selector::HomeRankCount() const {
  return std::count_if(upstreams_.begin(), upstreams_.end(), [&](const auto& entry) {
    return IsDealt(entry.second) && entry.second.is_home;
  });
}

bool upstream_selector::IsDealt(const upstream_state& state) const {
  return near_gateways_ && state.engine && state.event_gap_limit > duration::zero() &&
         ReadingDominates(*state.engine);
}

void upstream_selector::UpdateHomeRanks() {
  std::map<std::string, std::set<std::string>> ranks;  // by service
  for (const auto& [id, state] : upstreams_) {
    const bool is_near = IsDealt(state) && state.record.domain == near_gateways_->domain;
    if (is_near && !state.record.leaving) ranks[state.record.service].insert(id);
  }
  for (auto& [id, state] : upstreams_) state.is_home = !IsDealt(state);
  for (const auto& [service, ids] : ranks) {
    for (const std::string& id : HomeRanks(ids, *near_gateways_)) upstreams_[id].is_home = true;
  }
}

void upstream_selector::UpdateRates(const fleet_share& share, time_point now) {
  share_ = &share;
  for (auto& [id, state] : upstreams_) UpdateRate(state, now);
}

void upstream_selector::SetRateLimits(const std::map<std::uint32_t, double>& limits,
                                      time_point now) {
  rate_limits_ = limits;
  for (auto& [id, state] : upstreams_) UpdateRate(state, now);
}

bool upstream_selector::IsWithinRate(const upstream_state& state, time_point now) const {
  const bool is_restricted = now < state.cold_until || state.rate_limit;
  return !is_restricted || !state.rate || state.rate->IsAllowed(now);
}

double upstream_selector::DecayedFailures(const upstream_state& state, time_point now) const {
  if (state.decayed_failures <= 0) return 0;
  const double half_lives =
      Seconds(now - state.last_failure_at) / Seconds(options_.failure_half_life);
  return state.decayed_failures * std::exp2(-half_lives);
}

double upstream_selector::Pace(const upstream_state& state) const {
  return state.report ? std::max(0.5, state.report->pace) : 1.0;
}

upstream_selector::group_models upstream_selector::BuildGroupModels(const std::string& service,
                                                                    time_point now) const {
  group_models groups;
  for (const auto& [id, state] : upstreams_) {
    if (state.record.service != service || !state.engine) continue;
    pass_time_model& group = groups.try_emplace(GroupKey(state), *state.engine).first->second;
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
    const pass_time_model& group = groups.at(GroupKey(state));
    const double pass_ms = group.PassMsWithExtraRequest(load - 1, Pace(state));
    const double nominal_pass_ms = std::max(1.0, group.NominalPassMs(slots));
    score = kLoadWeight * score + (1 - kLoadWeight) * pass_ms / nominal_pass_ms;
  } else if (state.latency_ms > 0) {
    score = load * state.latency_ms / 1000.0;
  }
  const bool is_remote = state.record.domain != query.domain;
  const double slot_equivalent =
      state.engine || state.latency_ms <= 0 ? 1.0 : state.latency_ms / 1000.0 * 4;
  score += slot_equivalent * ((is_remote ? options_.remote_domain_penalty_slots : 0.0) +
                              kFailurePenaltySlots * DecayedFailures(state, now));
  return score;
}

std::optional<std::string> upstream_selector::PreferredUnit(const dispatch_query& query,
                                                            time_point now) const {
  if (!query.affinity) return std::nullopt;
  std::optional<std::string> preferred;
  std::uint64_t highest = 0;
  for (const auto& [id, state] : upstreams_) {
    if (!IsUsable(state, query) || IsBlocked(state, now)) continue;
    const std::string& unit = GroupKey(state);
    const std::uint64_t weight = XXH64(unit.data(), unit.size(), *query.affinity);
    if (preferred && weight <= highest) continue;
    preferred = unit;
    highest = weight;
  }
  return preferred;
}

std::map<std::string, double> upstream_selector::FastestPaces(const std::string& service) const {
  std::map<std::string, double> paces;
  for (const auto& [id, state] : upstreams_) {
    if (state.record.service != service) continue;
    const auto added = paces.try_emplace(GroupKey(state), Pace(state));
    added.first->second = std::min(added.first->second, Pace(state));
  }
  return paces;
}

double upstream_selector::PreferenceScore(const upstream_state& state, const dispatch_query& query,
                                          const choice_basis& basis, time_point now) const {
  double score = Score(state, query, basis.groups, now);
  if (state.engine) {
    score += kLoadWeight * Slowdown(Pace(state), basis.fastest_paces.at(GroupKey(state)));
  }
  if (basis.preferred_unit && GroupKey(state) != *basis.preferred_unit) {
    score += options_.affinity_penalty_slots;
  }
  const bool is_rank = state.report && !state.report->group.empty();
  if (is_rank && !state.is_home) {
    score += kLoadWeight * options_.away_penalty_requests / std::max(1U, state.record.slots);
  }
  return score;
}

dispatch_choice upstream_selector::Choose(const dispatch_query& query, time_point now) const {
  const choice_basis basis{.groups = BuildGroupModels(query.service, now),
                           .preferred_unit = PreferredUnit(query, now),
                           .fastest_paces = FastestPaces(query.service)};
  const group_rooms rooms = LimitingRooms(query, basis.groups, now);
  const double total_room =
      std::accumulate(rooms.begin(), rooms.end(), 0.0,
                      [](double sum, const auto& entry) { return sum + entry.second.room; });
  bool lacks_room = false;
  dispatch_choice choice;
  const upstream_state* best = nullptr;
  const upstream_state* least_blocked = nullptr;
  double best_score = 0;
  double tie_break_sequence = query.tie_break;
  bool all_limited = true;
  for (const auto& [id, state] : upstreams_) {
    if (!IsUsable(state, query)) continue;
    if (now < state.paused_until) {
      choice.obstacle = std::max(choice.obstacle, dispatch_obstacle::kAllBusy);
      // After the pause only its slots limit the upstream.
      AddLimited(state.paused_until - now, std::numeric_limits<double>::infinity(), choice);
      continue;
    }
    all_limited = all_limited && state.rate_limit && !IsWithinRate(state, now);
    if (rooms.empty() ? !HasCapacity(state, basis.groups, query.late, now)
                      : Load(state, now) >= state.record.slots + options_.engine_queue_limit) {
      choice.obstacle = dispatch_obstacle::kAllBusy;
      continue;
    }
    if (!HasRoom(state, query, rooms, total_room)) {
      lacks_room = lacks_room || !IsBlocked(state, now);
      choice.obstacle = std::max(choice.obstacle, dispatch_obstacle::kAllBusy);
      continue;
    }
    if (!IsWithinRate(state, now)) {
      choice.obstacle = std::max(choice.obstacle, dispatch_obstacle::kColdRateLimit);
      if (state.rate_limit) AddLimited(*state.rate, now, choice);
      continue;
    }
    if (IsBlocked(state, now)) {
      if (least_blocked == nullptr || state.blocked_until < least_blocked->blocked_until) {
        least_blocked = &state;
      }
      continue;
    }
    // A low-discrepancy sequence breaks ties, so that entries that see the same loads do not all
    // choose the same upstream.
    tie_break_sequence = std::fmod(tie_break_sequence + 0.6180339887, 1.0);
    const double score = PreferenceScore(state, query, basis, now) + 0.02 * tie_break_sequence;
    if (best == nullptr || score < best_score) {
      best = &state;
      best_score = score;
    }
  }
  const bool all_blocked = best == nullptr && choice.obstacle == dispatch_obstacle::kNoUpstream;
  const bool may_use_blocked =
      least_blocked != nullptr && !least_blocked->engine && IsGroupOpen(*least_blocked, now);
  if (all_blocked && may_use_blocked) best = least_blocked;
  if (best == nullptr) {
    choice.obstacle =
        RefineObstacle(choice.obstacle, least_blocked != nullptr, all_limited, lacks_room);
    return choice;
  }
  return {.upstream_id = best->record.id,
          .address = best->record.address,
          .load = Load(*best, now),
          .is_away = !best->is_home,
          .obstacle = dispatch_obstacle::kNone};
}

void upstream_selector::OnSent(const std::string& id, std::uint32_t tokens, time_point now) {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end()) return;
  upstream_state& state = found->second;
  ++state.in_flight;
  state.in_flight_tokens += tokens;
  if (state.rate) state.rate->OnSent(now);
}

void upstream_selector::Block(upstream_state& state, time_point now) {
  const std::uint32_t doublings = std::min(4U, state.consecutive_failures);
  const duration block_duration = std::min(options_.max_block_duration,
                                           options_.initial_block_duration * (1U << doublings) / 2);
  state.blocked_until = std::max(state.blocked_until, now + block_duration);
}

void upstream_selector::BlockGroup(const upstream_state& state, time_point now) {
  const std::string key = GroupKey(state);
  for (auto& [id, other] : upstreams_) {
    if (other.record.service != state.record.service || GroupKey(other) != key) continue;
    other.blocked_until = std::max(other.blocked_until, now + options_.group_block_duration);
  }
}

void upstream_selector::OnFinished(const std::string& id, std::uint32_t tokens,
                                   attempt_outcome outcome, duration latency, time_point now) {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end()) return;
  upstream_state& state = found->second;
  if (state.in_flight > 0) --state.in_flight;
  state.in_flight_tokens -= std::min<std::uint64_t>(state.in_flight_tokens, tokens);
  if (outcome == attempt_outcome::kServed) {
    state.consecutive_failures = 0;
    const double ms = Seconds(latency) * 1000.0;
    state.latency_ms =
        state.latency_ms <= 0 ? ms : state.latency_ms + kLatencyWeight * (ms - state.latency_ms);
    return;
  }
  if (outcome == attempt_outcome::kAbandoned) return;
  state.decayed_failures = DecayedFailures(state, now) + 1;
  state.last_failure_at = now;
  ++state.consecutive_failures;
  if (outcome == attempt_outcome::kMisdirected) {
    state.blocked_until = now + options_.misdirected_block_duration;
    return;
  }
  const bool has_free_slots = Load(state, now) < state.record.slots;
  if (outcome == attempt_outcome::kRefused && state.engine && has_free_slots) {
    BlockGroup(state, now);
    return;
  }
  const bool block_at_once =
      outcome == attempt_outcome::kUnreachable || outcome == attempt_outcome::kRefused;
  if (block_at_once || state.consecutive_failures >= 2) Block(state, now);
}

std::uint32_t upstream_selector::FailureUnit(const std::string& id) const {
  const auto found = upstreams_.find(id);
  return UpstreamHash(found == upstreams_.end() ? id : GroupKey(found->second));
}

bool upstream_selector::IsInGroup(const std::string& id) const {
  const auto found = upstreams_.find(id);
  return found == upstreams_.end() || found->second.engine.has_value();
}

bool upstream_selector::HasFailureUnit(std::uint32_t unit) const {
  return std::any_of(upstreams_.begin(), upstreams_.end(), [&](const auto& entry) {
    return UpstreamHash(GroupKey(entry.second)) == unit;
  });
}

bool upstream_selector::IsLastUnit(const std::string& service, time_point now) const {
  std::set<std::string> units;
  std::set<std::string> open_units;
  for (const auto& [id, state] : upstreams_) {
    if (!IsUsable(state, {.service = service})) continue;
    units.insert(GroupKey(state));
    if (!IsBlocked(state, now)) open_units.insert(GroupKey(state));
  }
  return open_units.size() == 1 && units.size() > 1;
}

double upstream_selector::Utilization(const std::string& service, time_point now) const {
  double used_slots = 0;
  double total_slots = 0;
  for (const auto& [id, state] : upstreams_) {
    if (state.record.service != service || state.record.leaving) continue;
    if (evacuated_domains_.count(state.record.domain) > 0) continue;
    used_slots += std::min(Load(state, now), state.record.slots);
    total_slots += state.record.slots;
  }
  return total_slots <= 0 ? 1.0 : used_slots / total_slots;
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
                   {"failures", DecayedFailures(state, now)},
                   {"blocked", now < state.blocked_until},
                   {"paused", now < state.paused_until},
                   {"cold", now < state.cold_until},
                   {"rate_limit", state.rate_limit.value_or(-1)},
                   {"own_rate", state.rate ? state.rate->RequestsPerSecond() : -1.0},
                   {"home", state.is_home},
                   {"group", state.report ? state.report->group : ""},
                   {"pace", state.report ? state.report->pace : 1.0}});
  }
  return all;
}

}  // namespace berylbarrow
