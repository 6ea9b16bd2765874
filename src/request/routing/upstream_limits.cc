#include "berylbarrow/request/routing/upstream_limits.h"

#include <algorithm>
#include <cmath>

#include "connection/wire/datagram.h"

namespace berylbarrow {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kMagic = 0x626c0001;
constexpr std::size_t kMaxReported = 90;  // fit a datagram of 1400 bytes
constexpr double kMaxRequestsPerSecond = 1e6;

}  // namespace

std::string EncodeLimitDigest(const limit_digest& digest) { return EncodeDatagram(kMagic, digest); }

std::optional<limit_digest> DecodeLimitDigest(std::string_view datagram) {
  return DecodeDatagram<limit_digest>(kMagic, datagram);
}

bool upstream_limits::OnAnswer(std::uint32_t upstream, std::optional<double> limit,
                               time_point sent_at, time_point now) {
  const auto known = limits_.find(upstream);
  if (!limit && (known == limits_.end() || !known->second.is_limited)) return false;
  const bool is_outdated = known != limits_.end() && sent_at < known->second.named_at;
  // Answers to older requests may still say what was true before.
  if (is_outdated && limit.has_value() != known->second.is_limited) return false;
  named_limit& named = limits_[upstream];
  const named_limit before = named;
  named.named_at = std::max(named.named_at, now);
  named.is_limited = limit.has_value();
  named.requests_per_1000_s = static_cast<std::uint32_t>(
      std::lround(std::clamp(limit.value_or(0), 0.0, kMaxRequestsPerSecond) * 1000));
  const bool has_changed = known == limits_.end() || before.is_limited != named.is_limited ||
                           before.requests_per_1000_s != named.requests_per_1000_s;
  has_news_ = has_news_ || has_changed;
  return has_changed;
}

std::optional<double> upstream_limits::LimitOf(std::uint32_t upstream) const {
  const auto known = limits_.find(upstream);
  if (known == limits_.end() || !known->second.is_limited) return std::nullopt;
  return known->second.requests_per_1000_s / 1000.0;
}

std::map<std::uint32_t, double> upstream_limits::Limits() const {
  std::map<std::uint32_t, double> limits;
  for (const auto& [upstream, named] : limits_) {
    if (named.is_limited) limits[upstream] = named.requests_per_1000_s / 1000.0;
  }
  return limits;
}

void upstream_limits::Retain(const std::set<std::uint32_t>& upstreams) {
  std::erase_if(limits_, [&](const auto& entry) { return upstreams.count(entry.first) == 0; });
}

limit_digest upstream_limits::MakeDigest(time_point now) {
  has_news_ = false;
  limit_digest digest;
  auto next = limits_.lower_bound(next_in_digest_);
  while (digest.limits.size() < std::min(kMaxReported, limits_.size())) {
    if (next == limits_.end()) next = limits_.begin();
    const auto age = std::chrono::duration_cast<milliseconds>(now - next->second.named_at);
    digest.limits.push_back({.upstream = next->first,
                             .requests_per_1000_s = next->second.requests_per_1000_s,
                             .is_limited = next->second.is_limited,
                             .age_ms = static_cast<std::uint32_t>(age.count())});
    ++next;
  }
  next_in_digest_ = next == limits_.end() ? 0 : next->first;
  return digest;
}

std::vector<std::uint32_t> upstream_limits::Merge(const limit_digest& digest, time_point now) {
  std::vector<std::uint32_t> changed;
  for (const limit_report& report : digest.limits) {
    const time_point named_at = now - milliseconds(report.age_ms);
    const auto [entry, is_new] = limits_.try_emplace(report.upstream);
    named_limit& known = entry->second;
    if (!is_new && known.named_at >= named_at) continue;
    const bool has_changed = known.is_limited != report.is_limited ||
                             known.requests_per_1000_s != report.requests_per_1000_s;
    known = {.requests_per_1000_s = report.requests_per_1000_s,
             .is_limited = report.is_limited,
             .named_at = named_at};
    if (has_changed) changed.push_back(report.upstream);
  }
  return changed;
}

}  // namespace berylbarrow
