#include "berylbarrow/request/suspect/crash_counter.h"

#include <xxhash.h>

#include <algorithm>

namespace berylbarrow {

void crash_counter::OnCrash(std::uint64_t fingerprint, time_point now) {
  if (records_.size() >= options_.max_fingerprints && records_.count(fingerprint) == 0) {
    records_.erase(
        std::min_element(records_.begin(), records_.end(), [](const auto& left, const auto& right) {
          return left.second.last_crash < right.second.last_crash;
        }));
  }
  fingerprint_record& record = records_[fingerprint];
  ++record.own_crashes;
  record.last_crash = now;
}

void crash_counter::OnAnswered(std::uint64_t fingerprint) {
  const auto found = records_.find(fingerprint);
  if (found != records_.end()) found->second.is_cleared = true;
}

void crash_counter::Merge(std::uint64_t observer, const std::vector<crash_count>& counts,
                          time_point now) {
  for (const crash_count& count : counts) {
    if (records_.size() >= options_.max_fingerprints && records_.count(count.fingerprint) == 0) {
      continue;
    }
    fingerprint_record& record = records_[count.fingerprint];
    std::uint32_t& known = record.reported_crashes[observer];
    if (count.crashes <= known) continue;
    known = count.crashes;
    record.last_crash = now;
  }
}

std::uint32_t crash_counter::Crashes(std::uint64_t fingerprint) const {
  const auto found = records_.find(fingerprint);
  if (found == records_.end()) return 0;
  std::uint32_t crashes = found->second.own_crashes;
  for (const auto& [observer, count] : found->second.reported_crashes) crashes += count;
  return crashes;
}

bool crash_counter::IsRefused(std::uint64_t fingerprint) const {
  const auto found = records_.find(fingerprint);
  if (found == records_.end() || found->second.is_cleared) return false;
  return Crashes(fingerprint) >= options_.refusal_threshold;
}

std::vector<crash_count> crash_counter::Report(time_point now) const {
  std::vector<std::pair<time_point, crash_count>> latest;
  for (const auto& [fingerprint, record] : records_) {
    if (record.own_crashes == 0 || now - record.last_crash > options_.retention) continue;
    latest.push_back(
        {record.last_crash, {.fingerprint = fingerprint, .crashes = record.own_crashes}});
  }
  std::sort(latest.begin(), latest.end(),
            [](const auto& left, const auto& right) { return left.first > right.first; });
  std::vector<crash_count> report;
  for (const auto& [last_crash, count] : latest) {
    if (report.size() == options_.max_reported) break;
    report.push_back(count);
  }
  return report;
}

void crash_counter::Expire(time_point now) {
  for (auto it = records_.begin(); it != records_.end();) {
    it = now - it->second.last_crash > options_.retention ? records_.erase(it) : std::next(it);
  }
}

std::uint64_t RequestFingerprint(std::string_view method, std::string_view target,
                                 std::string_view account, std::string_view body) {
  const auto hash = [](std::uint64_t seed, std::string_view text) {
    return XXH64(text.data(), text.size(), seed);
  };
  return hash(hash(hash(hash(1, method), target), account), body);
}

}  // namespace berylbarrow
