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

void suspect_table::OnDeath(std::uint64_t fingerprint, time_point now) {
  Expire(now);
  if (!entries_.contains(fingerprint)) {
    MakeRoom();
  }
  entry& item = entries_[fingerprint];
  ++item.deaths;
  item.last_death = now;
}

void suspect_table::OnCompletedAlone(std::uint64_t fingerprint, time_point /*now*/) {
  const auto place = entries_.find(fingerprint);
  if (place != entries_.end()) {
    place->second.cleared = place->second.deaths;
  }
}

void suspect_table::Merge(const std::vector<suspect_report>& reports, time_point now) {
  Expire(now);
  for (const suspect_report& report : reports) {
    const duration age = std::chrono::seconds(report.age_s);
    const auto place = entries_.find(report.fingerprint);
    if (report.deaths == 0 || age >= kForgetAfter) {
      continue;
    }
    if (place == entries_.end()) {
      MakeRoom();
      entries_[report.fingerprint] = {
          .deaths = report.deaths, .cleared = report.cleared, .last_death = now - age};
      continue;
    }
    entry& item = place->second;
    // A repeated report must not renew the age, or peers would keep an entry alive for ever.
    if (report.deaths > item.deaths) {
      item.last_death = std::max(item.last_death, now - age);
    }
    item.deaths = std::max(item.deaths, report.deaths);
    item.cleared = std::max<std::uint32_t>(item.cleared, report.cleared);
  }
}

suspect_verdict suspect_table::Judge(std::uint64_t fingerprint, bool idempotent,
                                     time_point now) const {
  const auto place = entries_.find(fingerprint);
  if (place == entries_.end() || now - place->second.last_death >= kForgetAfter ||
      place->second.cleared >= place->second.deaths) {
    return suspect_verdict::kClear;
  }
  const std::uint32_t deaths = place->second.deaths - place->second.cleared;
  return deaths >= kRefusedDeaths || !idempotent ? suspect_verdict::kRefused
                                                 : suspect_verdict::kAlone;
}

std::vector<suspect_report> suspect_table::Reports(time_point now) const {
  std::vector<suspect_report> reports;
  for (const auto& [fingerprint, item] : entries_) {
    // Rounded up, so that an entry does not grow younger from peer to peer.
    const auto age = std::chrono::ceil<std::chrono::seconds>(now - item.last_death).count();
    constexpr std::uint16_t kMax = std::numeric_limits<std::uint16_t>::max();
    reports.push_back(
        {.fingerprint = fingerprint,
         .deaths = item.deaths,
         .cleared = static_cast<std::uint16_t>(std::min<std::uint32_t>(item.cleared, kMax)),
         .age_s = static_cast<std::uint16_t>(std::clamp<std::int64_t>(age, 0, kMax))});
  }
  return reports;
}

void suspect_table::Expire(time_point now) {
  std::erase_if(entries_,
                [now](const auto& item) { return now - item.second.last_death >= kForgetAfter; });
}

nlohmann::json suspect_table::State(time_point now) const {
  nlohmann::json list = nlohmann::json::array();
  for (const suspect_report& report : Reports(now)) {
    list.push_back({{"fingerprint", report.fingerprint},
                    {"deaths", report.deaths},
                    {"cleared", report.cleared},
                    {"age_s", report.age_s}});
  }
  return list;
}

}  // namespace berylbarrow
