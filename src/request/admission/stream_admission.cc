#include "berylbarrow/request/admission/stream_admission.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace berylbarrow {
namespace {

// Standard deviations of the number of urgent arrivals that headroom covers.
constexpr double kDeviations = 2;
// Places beyond those of the requests ahead that must be expected for a request to wait: with fewer
// it is more likely to be refused in the end.
constexpr double kMinExpectedPlaces = 0.5;
// Averaged rate below which requests of an urgency count as none: one in some minutes.
constexpr double kIdlePerSecond = 0.001;

double Seconds(duration span) { return std::chrono::duration<double>(span).count(); }

duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

}  // namespace

void stream_admission::event_rate::Add(duration averaging_time, time_point now) {
  weight_ = PerSecond(averaging_time, now) * Seconds(averaging_time) + 1;
  at_ = now;
}

double stream_admission::event_rate::PerSecond(duration averaging_time, time_point now) const {
  if (weight_ <= 0) return 0;
  const double decay = std::exp(-Seconds(now - at_) / Seconds(averaging_time));
  return weight_ * decay / Seconds(averaging_time);
}

bool stream_admission::AppliesTo(const std::string& service, const routing_view& view) {
  std::set<std::uint32_t> priorities;
  for (const route& each : view.Content().routes) {
    if (each.kind != request_kind::kStreaming) continue;
    const bool leads_there =
        std::any_of(each.services.begin(), each.services.end(),
                    [&](const weighted_service& target) { return target.service == service; });
    if (leads_there) priorities.insert(each.priority);
  }
  return priorities.size() > 1;
}

void stream_admission::OnArrival(const request_urgency& urgency, duration goal, time_point now) {
  urgency_state& state = states_[urgency];
  state.arrivals.Add(options_.averaging_time, now);
  state.goal = state.goal == duration::zero() ? goal : std::min(state.goal, goal);
}

void stream_admission::OnAdmitted(const request_urgency& urgency, time_point now) {
  states_[urgency].admissions.Add(options_.averaging_time, now);
}

void stream_admission::OnPlaceFreed(time_point now) { freed_.Add(options_.averaging_time, now); }

void stream_admission::DropIdle(time_point now) {
  std::erase_if(states_, [&](const auto& entry) {
    const urgency_state& state = entry.second;
    return ArrivalsPerSecond(state, now) < kIdlePerSecond &&
           AdmissionsPerSecond(state, now) < kIdlePerSecond && state.next_return < now;
  });
}

double stream_admission::ArrivalsPerSecond(const urgency_state& state, time_point now) const {
  return state.arrivals.PerSecond(options_.averaging_time, now);
}

double stream_admission::AdmissionsPerSecond(const urgency_state& state, time_point now) const {
  return state.admissions.PerSecond(options_.averaging_time, now);
}

bool stream_admission::IsStarved(const urgency_state& state, time_point now) const {
  double all_arrivals = 0;
  double all_admissions = 0;
  for (const auto& [urgency, each] : states_) {
    all_arrivals += ArrivalsPerSecond(each, now);
    all_admissions += AdmissionsPerSecond(each, now);
  }
  return AdmissionsPerSecond(state, now) * all_arrivals <
         options_.min_relative_admission * all_admissions * ArrivalsPerSecond(state, now);
}

double stream_admission::Headroom(const request_urgency& urgency, double draw, double gateways,
                                  time_point now) const {
  double admissions = 0;
  double urgent = 0;  // requests that arrive within their latency objectives
  double freed = 0;   // places that come free in that time
  const double freed_per_s = freed_.PerSecond(options_.averaging_time, now);
  for (const auto& [other, state] : states_) {
    admissions += AdmissionsPerSecond(state, now);
    if (other >= urgency) continue;
    urgent += gateways * ArrivalsPerSecond(state, now) * Seconds(state.goal);
    freed = std::max(freed, gateways * freed_per_s * Seconds(state.goal));
  }
  const auto own = states_.find(urgency);
  const bool keeps_room = own == states_.end() || !IsStarved(own->second, now);
  const double kept =
      keeps_room ? std::max(0.0, urgent - freed) + kDeviations * std::sqrt(urgent) : 0;
  return kept + (draw - 0.5) * gateways * admissions * Seconds(options_.load_age);
}

std::string stream_admission::HeadroomText(double gateways, time_point now) const {
  std::string text;
  for (const auto& [urgency, state] : states_) {
    if (!text.empty()) text += ',';
    text += std::to_string(urgency.priority) + '/' + std::to_string(urgency.route_priority) + ':' +
            std::to_string(std::lround(Headroom(urgency, 0.5, gateways, now)));
  }
  return text;
}

double stream_admission::PlacesPerSecond(const request_urgency& urgency, time_point now) const {
  double places = freed_.PerSecond(options_.averaging_time, now);
  for (const auto& [other, state] : states_) {
    if (other < urgency) places -= ArrivalsPerSecond(state, now);
  }
  const auto own = states_.find(urgency);
  const double admitted = own == states_.end() ? 0 : AdmissionsPerSecond(own->second, now);
  return std::max(places, admitted);
}

stream_wait_decision stream_admission::OnNoRoom(const stream_candidate& candidate,
                                                std::size_t ahead, time_point now) {
  const double places = PlacesPerSecond(candidate.urgency, now);
  const double expected = places * Seconds(candidate.on_time_until - now);
  if (static_cast<double>(ahead) + kMinExpectedPlaces <= expected) return {.may_wait = true};
  return {.may_wait = false, .retry_after = RetryAfter(candidate, ahead, now)};
}

duration stream_admission::RetryAfter(const stream_candidate& candidate, std::size_t ahead,
                                      time_point now) {
  const duration longest =
      std::max(options_.min_retry_after,
               FromSeconds(options_.max_retry_share * Seconds(candidate.deadline - now)));
  const double places = std::max(PlacesPerSecond(candidate.urgency, now), 1 / Seconds(longest));
  const duration interval = FromSeconds(1 / places);
  const duration shortest =
      std::clamp(interval * static_cast<int>(ahead), options_.min_retry_after, longest);
  time_point& next = states_[candidate.urgency].next_return;
  // Beyond the longest time the schedule starts over, so that returns stay spread.
  if (next < now + shortest || next > now + longest) next = now + shortest;
  const time_point returns_at = next + FromSeconds(candidate.draw * Seconds(interval));
  next += interval;
  return std::min(returns_at - now, longest);
}

}  // namespace berylbarrow
