#include "berylbarrow/request/routing/fleet_share.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace berylbarrow {
namespace {

double Seconds(duration span) { return std::chrono::duration<double>(span).count(); }

std::uint64_t HashOf(const std::string& name) { return XXH64(name.data(), name.size(), 0); }

std::uint64_t RendezvousHash(std::uint64_t gateway, std::uint64_t key) {
  const std::array<std::uint64_t, 2> both{gateway, key};
  return XXH64(both.data(), sizeof(both), 0);
}

}  // namespace

void fleet_share::SetGateways(const std::string& self, const std::vector<std::string>& others,
                              time_point now) {
  if (!started_at_) started_at_ = now;
  self_ = HashOf(self);
  others_.clear();
  for (const std::string& name : others) others_.push_back(HashOf(name));
  most_gateways_ = std::max(most_gateways_, GatewayCount());
}

double fleet_share::RateOf(std::uint64_t key, double fleet_rate, time_point now) const {
  if (!started_at_ || now - *started_at_ < options_.settling_time) return 0;
  const double fitting = std::floor(fleet_rate / options_.min_requests_per_second);
  const auto sharing =
      static_cast<std::uint32_t>(std::clamp(fitting, 1.0, static_cast<double>(GatewayCount())));
  if (sharing == GatewayCount()) return fleet_rate / sharing;
  const std::uint64_t own = RendezvousHash(self_, key);
  const auto before = std::count_if(others_.begin(), others_.end(), [&](std::uint64_t other) {
    return RendezvousHash(other, key) > own;
  });
  return before < static_cast<std::ptrdiff_t>(sharing) ? fleet_rate / sharing : 0;
}

double fleet_share::EqualShare() const {
  return 1.0 / std::max(most_gateways_, options_.min_gateways);
}

void request_rate::SetRate(double requests_per_second, time_point now) {
  saved_ = Saved(now);
  at_ = now;
  rate_ = requests_per_second;
}

double request_rate::Saved(time_point now) const {
  const double most = std::max(1.0, rate_ / 4);
  return std::min(most, saved_ + rate_ * Seconds(now - at_));
}

void request_rate::OnSent(time_point now) {
  // Never below zero: a request may be sent although the rate has just been lowered.
  saved_ = std::max(0.0, Saved(now) - 1);
  at_ = now;
}

std::optional<duration> request_rate::TimeUntilAllowed(time_point now) const {
  if (IsAllowed(now)) return duration::zero();
  if (rate_ <= 0) return std::nullopt;
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>((1 - Saved(now)) / rate_));
}

}  // namespace berylbarrow
