#include "berylbarrow/request/suspect/crash_counter.h"

#include <xxhash.h>

#include <algorithm>

namespace berylbarrow {

void crash_counter::OnCrash(std::uint64_t fingerprint, time_point now) {
  if (entries_.size() >= options_.max_fingerprints && entries_.count(fingerprint) == 0) {
    entries_.erase(std::min_element(
        entries_.begin(), entries_.end(),
        [](const auto& left, const auto& right) { return left.second.last < right.second.last; }));
  }
  entry& counted = entries_[fingerprint];
  ++counted.own;
  counted.last = now;
}

void crash_counter::OnAnswered(std::uint64_t fingerprint) {
  const auto found = entries_.find(fingerprint);
  if (found != entries_.end()) found->second.cleared = true;
}

void crash_counter::Merge(std::uint64_t observer, const std::vector<crash_count>& counts,
                          time_point now) {
  for (const crash_count& each : counts) {
    if (entries_.size() >= options_.max_fingerprints && entries_.count(each.fingerprint) == 0) {
      continue;
    }
    entry& counted = entries_[each.fingerprint];
    std::uint32_t& known = counted.others[observer];
    if (each.crashes <= known) continue;
    known = each.crashes;
    counted.last = now;
  }
}

std::uint32_t crash_counter::Crashes(std::uint64_t fingerprint) const {
  const auto found = entries_.find(fingerprint);
  if (found == entries_.end()) return 0;
  std::uint32_t crashes = found->second.own;
  for (const auto& [observer, count] : found->second.others) crashes += count;
  return crashes;
}

bool crash_counter::IsRefused(std::uint64_t fingerprint) const {
  const auto found = entries_.find(fingerprint);
  if (found == entries_.end() || found->second.cleared) return false;
  return Crashes(fingerprint) >= options_.refusal_threshold;
}

std::vector<crash_count> crash_counter::Report(time_point now) const {
  std::vector<std::pair<time_point, crash_count>> latest;
  for (const auto& [fingerprint, counted] : entries_) {
    if (counted.own == 0 || now - counted.last > options_.retention) continue;
    latest.push_back({counted.last, {.fingerprint = fingerprint, .crashes = counted.own}});
  }
  std::sort(latest.begin(), latest.end(),
            [](const auto& left, const auto& right) { return left.first > right.first; });
  std::vector<crash_count> report;
  for (const auto& [last, count] : latest) {
    if (report.size() == options_.max_reported) break;
    report.push_back(count);
  }
  return report;
}

void crash_counter::Expire(time_point now) {
  for (auto each = entries_.begin(); each != entries_.end();) {
    each = now - each->second.last > options_.retention ? entries_.erase(each) : std::next(each);
  }
}

std::uint64_t RequestFingerprint(std::string_view method, std::string_view target,
                                 std::string_view account, std::string_view body) {
  const auto mix = [](std::uint64_t seed, std::string_view text) {
    return XXH64(text.data(), text.size(), seed);
  };
  return mix(mix(mix(mix(1, method), target), account), body);
}

}  // namespace berylbarrow
