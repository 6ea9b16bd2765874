#include "berylbarrow/request/suspect/suspect_table.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

namespace berylbarrow {

void suspect_table::MakeRoom() {
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
  const key name{fingerprint, observer};
  if (!entries_.contains(name)) {
    MakeRoom();
  }
  entry& item = entries_[name];
  ++item.deaths;
  item.last_death = now;
}

void suspect_table::OnExclusiveCompletion(std::uint64_t fingerprint) {
  for (auto place = entries_.lower_bound({fingerprint, 0});
       place != entries_.end() && place->first.first == fingerprint; ++place) {
    place->second.cleared = place->second.deaths;
  }
}

bool suspect_table::Merge(const std::vector<suspect_report>& reports, time_point now) {
  Expire(now);
  bool is_news = false;
  for (const suspect_report& report : reports) {
    const duration age = std::chrono::seconds(report.age_s);
    if (report.deaths == 0 || age >= kRetention) {
      continue;
    }
    const key name{report.fingerprint, report.observer};
    const bool is_new = !entries_.contains(name);
    const bool displaces = is_new && entries_.size() >= kMaxEntries;
    if (is_new) {
      MakeRoom();
      entries_[name].last_death = now - age;
    }
    entry& item = entries_[name];
    // A repeated report must not renew the age, or peers would keep an entry alive for ever.
    if (report.deaths > item.deaths) {
      is_news = is_news || !displaces;
      item.last_death = std::max(item.last_death, now - age);
    }
    item.deaths = std::max(item.deaths, report.deaths);
    item.cleared = std::max<std::uint32_t>(item.cleared, report.cleared);
  }
  return is_news;
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

suspect_report suspect_table::Report(const key& name, const entry& item, time_point now) {
  // Rounded up, so that an entry does not grow younger from peer to peer.
  const auto age = std::chrono::ceil<std::chrono::seconds>(now - item.last_death).count();
  constexpr std::uint16_t kMax = std::numeric_limits<std::uint16_t>::max();
  return {.fingerprint = name.first,
          .deaths = item.deaths,
          .cleared = static_cast<std::uint16_t>(std::min<std::uint32_t>(item.cleared, kMax)),
          .age_s = static_cast<std::uint16_t>(std::clamp<std::int64_t>(age, 0, kMax)),
          .observer = name.second};
}

std::vector<suspect_report> suspect_table::Reports(time_point now) const {
  std::vector<suspect_report> reports;
  for (const auto& [name, item] : entries_) {
    reports.push_back(Report(name, item, now));
  }
  // A heartbeat that is too long for a datagram loses the last ones.
  std::stable_sort(reports.begin(), reports.end(),
                   [](const auto& a, const auto& b) { return a.age_s < b.age_s; });
  return reports;
}

std::vector<suspect_report> suspect_table::ReportsFor(std::uint64_t fingerprint,
                                                      time_point now) const {
  std::vector<suspect_report> reports;
  for (auto place = entries_.lower_bound({fingerprint, 0});
       place != entries_.end() && place->first.first == fingerprint; ++place) {
    if (now - place->second.last_death < kRetention) {
      reports.push_back(Report(place->first, place->second, now));
    }
  }
  return reports;
}

void suspect_table::Expire(time_point now) {
  std::erase_if(entries_,
                [now](const auto& item) { return now - item.second.last_death >= kRetention; });
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
