#include "berylbarrow/process/membership/upstream_registry.h"

#include <algorithm>
#include <set>
#include <utility>

namespace berylbarrow {

void upstream_registry::Put(const upstream_record& published, time_point now) {
  reappeared_.erase(published.id);
  const auto [place, is_new] = upstreams_.try_emplace(published.id);
  known_upstream& known = place->second;
  const bool restarted = known.record.born != published.born;
  if (is_new || restarted) known.started_at = now;
  upstream_record record = published;
  record.leaving = record.leaving || HasAnnouncedLeaving(record, is_new);
  if (known.record != record || known.missing_since) ++revision_;
  known.record = record;
  known.missing_since.reset();
  if (record.cold_left > duration::zero()) {
    known.cold_until = std::max(known.cold_until, now + record.cold_left);
  } else if (!restarted) {
    known.cold_until = std::min(known.cold_until, now);
  }
}

void upstream_registry::PutRestored(const upstream_record& published, time_point now) {
  const auto found = upstreams_.find(published.id);
  if (found == upstreams_.end()) {
    const auto removed = removals_.find(published.id);
    const bool was_removed = removed != removals_.end() && published.born <= removed->second.born;
    if (!was_removed) return Put(published, now);
    upstream_record record = published;
    record.leaving = record.leaving || removed->second.leaving;
    reappeared_[published.id] = {
        .published = published, .record = record, .usable_at = now + options_.reappearance_delay};
    return;
  }
  known_upstream& known = found->second;
  const std::uint64_t born = known.record.born;
  // A start that is known already happened after the backup was made.
  if (published.born < born && published.born != 0) return;
  if (published.born != born) return Put(published, now);
  const time_point cold_until = known.cold_until;
  if (known.record.leaving) {
    leave_announcements_[published.id] = {.born = born, .announced_at = now};
  }
  Put(published, now);
  known.cold_until = std::max(known.cold_until, cold_until);
}

bool upstream_registry::IsWithheld(const upstream_record& published) const {
  const auto found = reappeared_.find(published.id);
  return found != reappeared_.end() && found->second.published == published;
}

void upstream_registry::Erase(std::map<std::string, known_upstream>::iterator place,
                              time_point now) {
  const upstream_record& record = place->second.record;
  removals_[place->first] = {.born = record.born, .leaving = record.leaving, .removed_at = now};
  upstreams_.erase(place);
}

void upstream_registry::Remove(const std::string& id, time_point now) {
  reappeared_.erase(id);
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end()) return;
  ++revision_;
  // A record that was leaving was taken out by its upstream.
  if (now < grace_until_ && !found->second.record.leaving) {
    if (!found->second.missing_since) found->second.missing_since = now;
    return;
  }
  Erase(found, now);
}

bool upstream_registry::OnLeavingAnnounced(const std::string& id, time_point sent_at,
                                           time_point now) {
  const auto found = upstreams_.find(id);
  // An answer to a request from before the start is of the incarnation before.
  if (found == upstreams_.end() || sent_at < found->second.started_at) return false;
  upstream_record& record = found->second.record;
  leave_announcements_[id] = {.born = record.born, .announced_at = now};
  if (record.leaving) return false;
  record.leaving = true;
  ++revision_;
  return true;
}

bool upstream_registry::HasAnnouncedLeaving(const upstream_record& record, bool is_new) {
  const auto found = leave_announcements_.find(record.id);
  if (found == leave_announcements_.end()) return false;
  // Without `born`, an upstream that was removed and is published again has restarted.
  const bool may_be_same = record.born != 0 || !is_new;
  if (may_be_same && found->second.born == record.born) return true;
  leave_announcements_.erase(found);
  return false;
}

void upstream_registry::ExpireAnnouncements(time_point now) {
  std::erase_if(leave_announcements_, [&](const auto& entry) {
    return upstreams_.count(entry.first) == 0 &&
           now - entry.second.announced_at > options_.longest_leave;
  });
}

void upstream_registry::Replace(const std::vector<upstream_record>& records, time_point now) {
  const bool is_restored = std::exchange(restored_, false);
  // Live upstreams that the restored store lacks register again.
  if (is_restored) grace_until_ = now + options_.lapse_grace;
  std::set<std::string> listed;
  for (const upstream_record& each : records) {
    listed.insert(each.id);
    if (is_restored) {
      PutRestored(each, now);
    } else if (!IsWithheld(each)) {
      Put(each, now);
    }
  }
  std::erase_if(reappeared_, [&](const auto& entry) { return listed.count(entry.first) == 0; });
  std::vector<std::string> missing;
  for (const auto& [id, known] : upstreams_) {
    if (listed.count(id) == 0) missing.push_back(id);
  }
  for (const std::string& id : missing) Remove(id, now);
}

void upstream_registry::OnSourceLost() { source_lost_ = true; }

void upstream_registry::OnSourceAnswered(time_point now) {
  const bool was_lost = std::exchange(source_lost_, false);
  const std::optional<time_point> answered_before = std::exchange(source_answered_at_, now);
  if (!was_lost) return;
  // After a shorter absence, such as one call that failed, what vanished was taken out.
  if (answered_before && now - *answered_before < options_.shortest_lapse) return;
  grace_until_ = now + options_.lapse_grace;
}

void upstream_registry::Advance(time_point now) {
  ExpireAnnouncements(now);
  AdvanceReappeared(now);
  if (now < grace_until_) return;
  for (auto each = upstreams_.begin(); each != upstreams_.end();) {
    if (!each->second.missing_since) {
      ++each;
      continue;
    }
    Erase(each++, now);
    ++revision_;
  }
}

void upstream_registry::AdvanceReappeared(time_point now) {
  std::erase_if(removals_, [&](const auto& entry) {
    return now - entry.second.removed_at > options_.removal_memory;
  });
  std::vector<upstream_record> usable;
  for (const auto& [id, each] : reappeared_) {
    if (now >= each.usable_at) usable.push_back(each.record);
  }
  for (const upstream_record& record : usable) Put(record, now);
}

}  // namespace berylbarrow
