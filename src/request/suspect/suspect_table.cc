#include "berylbarrow/request/suspect/suspect_table.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

namespace berylbarrow {

void suspect_table::EvictIfFull() {
  if (entries_.size() < kMaxEntries) {
    return;
  }
  entries_.erase(std::min_element(
      entries_.begin(), entries_.end(),
      [](const auto& a, const auto& b) { return a.second.last_death < b.second.last_death; }));
}

void suspect_table::OnUpstreamDeath(std::uint64_t fingerprint, std::uint64_t observer,
                                    time_point now) {
  Expire(now);
  const entry_key key{fingerprint, observer};
  if (!entries_.contains(key)) {
    EvictIfFull();
  }
  death_counters& counters = entries_[key];
  ++counters.deaths;
  counters.last_death = now;
}

void suspect_table::OnExclusiveCompletion(std::uint64_t fingerprint) {
  for (auto it = entries_.lower_bound({fingerprint, 0});
       it != entries_.end() && it->first.first == fingerprint; ++it) {
    it->second.cleared = it->second.deaths;
  }
}

bool suspect_table::Merge(const std::vector<suspect_report>& reports, time_point now) {
  Expire(now);
  bool has_new_death = false;
  for (const suspect_report& report : reports) {
    const duration age = std::chrono::seconds(report.age_s);
    if (report.deaths == 0 || age >= kRetention) {
      continue;
    }
    const entry_key key{report.fingerprint, report.observer};
    const bool is_new = !entries_.contains(key);
    const bool evicts = is_new && entries_.size() >= kMaxEntries;
    if (is_new) {
      EvictIfFull();
      entries_[key].last_death = now - age;
    }
    death_counters& counters = entries_[key];
    // A repeated report must not reset the age, or peers would keep an entry alive forever.
    if (report.deaths > counters.deaths) {
      has_new_death = has_new_death || !evicts;
      counters.last_death = std::max(counters.last_death, now - age);
    }
    counters.deaths = std::max(counters.deaths, report.deaths);
    counters.cleared = std::max<std::uint32_t>(counters.cleared, report.cleared);
  }
  return has_new_death;
}

execution_permission suspect_table::PermissionFor(std::uint64_t fingerprint, bool idempotent,
                                                  time_point now) const {
  std::uint32_t deaths = 0;
  for (const suspect_report& report : ReportsFor(fingerprint, now)) {
    deaths += report.deaths - std::min<std::uint32_t>(report.cleared, report.deaths);
  }
  if (deaths == 0) {
    return execution_permission::kUnrestricted;
  }
  return deaths >= kRefusalThreshold || !idempotent ? execution_permission::kRefused
                                                    : execution_permission::kExclusive;
}

suspect_report suspect_table::Report(const entry_key& key, const death_counters& counters,
                                     time_point now) {
  // Rounded up, so that the age of an entry never decreases as peers pass it on.
  const auto age = std::chrono::ceil<std::chrono::seconds>(now - counters.last_death).count();
  constexpr std::uint16_t kMaxFieldValue = std::numeric_limits<std::uint16_t>::max();
  return {.fingerprint = key.first,
          .deaths = counters.deaths,
          .cleared =
              static_cast<std::uint16_t>(std::min<std::uint32_t>(counters.cleared, kMaxFieldValue)),
          .age_s = static_cast<std::uint16_t>(std::clamp<std::int64_t>(age, 0, kMaxFieldValue)),
          .observer = key.second};
}

std::vector<suspect_report> suspect_table::Reports(time_point now) const {
  std::vector<suspect_report> reports;
  for (const auto& [key, counters] : entries_) {
    reports.push_back(Report(key, counters, now));
  }
  // The encoder drops the last reports of a heartbeat that does not fit into a datagram.
  std::stable_sort(reports.begin(), reports.end(),
                   [](const auto& a, const auto& b) { return a.age_s < b.age_s; });
  return reports;
}

std::vector<suspect_report> suspect_table::ReportsFor(std::uint64_t fingerprint,
                                                      time_point now) const {
  std::vector<suspect_report> reports;
  for (auto it = entries_.lower_bound({fingerprint, 0});
       it != entries_.end() && it->first.first == fingerprint; ++it) {
    if (now - it->second.last_death < kRetention) {
      reports.push_back(Report(it->first, it->second, now));
    }
  }
  return reports;
}

void suspect_table::Expire(time_point now) {
  std::erase_if(entries_,
                [now](const auto& entry) { return now - entry.second.last_death >= kRetention; });
}

nlohmann::json suspect_table::State(time_point now) const {
  nlohmann::json list = nlohmann::json::array();
  for (const suspect_report& report : Reports(now)) {
    list.push_back({{"fingerprint", report.fingerprint},
                    {"observer", report.observer},
                    {"deaths", report.deaths},
                    {"cleared", report.cleared},
                    {"age_s", report.age_s}});
  }
  return list;
}

}  // namespace berylbarrow
