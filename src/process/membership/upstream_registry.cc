#include "berylbarrow/process/membership/upstream_registry.h"

#include <algorithm>
#include <set>

namespace berylbarrow {

void upstream_registry::Put(const upstream_record& record, time_point now) {
  known_upstream& known = upstreams_[record.id];
  if (known.record != record || known.missing_since) ++revision_;
  const bool restarted = known.record.born != record.born;
  known.record = record;
  known.missing_since.reset();
  if (record.cold_left > duration::zero()) {
    known.cold_until = std::max(known.cold_until, now + record.cold_left);
  } else if (!restarted) {
    known.cold_until = std::min(known.cold_until, now);
  }
}

void upstream_registry::Remove(const std::string& id, time_point now) {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end()) return;
  ++revision_;
  // A record that was leaving was taken out by its upstream.
  if (now < grace_until_ && !found->second.record.leaving) {
    if (!found->second.missing_since) found->second.missing_since = now;
    return;
  }
  upstreams_.erase(found);
}

void upstream_registry::Replace(const std::vector<upstream_record>& records, time_point now) {
  std::set<std::string> listed;
  for (const upstream_record& each : records) {
    listed.insert(each.id);
    Put(each, now);
  }
  std::vector<std::string> missing;
  for (const auto& [id, known] : upstreams_) {
    if (listed.count(id) == 0) missing.push_back(id);
  }
  for (const std::string& id : missing) Remove(id, now);
}

void upstream_registry::OnSourceLost() { source_lost_ = true; }

void upstream_registry::OnSourceRegained(time_point now) {
  if (!source_lost_) return;
  source_lost_ = false;
  grace_until_ = now + options_.lapse_grace;
}

void upstream_registry::Advance(time_point now) {
  if (now < grace_until_) return;
  for (auto each = upstreams_.begin(); each != upstreams_.end();) {
    if (!each->second.missing_since) {
      ++each;
      continue;
    }
    each = upstreams_.erase(each);
    ++revision_;
  }
}

}  // namespace berylbarrow
