#include "berylbarrow/version/store/configuration_lineage.h"

#include <algorithm>

namespace berylbarrow {

lineage_verdict configuration_lineage::OnStored(std::uint64_t version, time_point now) {
  if (!in_force_ || version > *in_force_) {
    in_force_ = version;
    held_.reset();
    return lineage_verdict::kAdopt;
  }
  if (version == *in_force_) {
    held_.reset();
    return lineage_verdict::kInForce;
  }
  if (!proof_from_) return lineage_verdict::kOlder;
  if (!held_ || held_->version != version) held_ = {.version = version, .since = now};
  return lineage_verdict::kHeld;
}

bool configuration_lineage::OnConfirmed(time_point now) {
  if (!held_) return false;
  if (!held_->since) held_->since = now;
  if (now - *held_->since < options_.lower_version_delay) return false;
  in_force_ = held_->version;
  held_.reset();
  named_until_ = time_point::min();
  return true;
}

void configuration_lineage::OnReadFailed() {
  if (held_) held_->since.reset();
}

void configuration_lineage::OnStoreRestored(time_point now) {
  proof_from_ = now + options_.rewrite_time;
  held_.reset();
}

bool configuration_lineage::OnNamed(std::uint64_t version, time_point now) {
  named_ = now < named_until_ ? std::max(named_, version) : version;
  named_until_ = now + options_.named_version_lifetime;
  return version > InForce();
}

bool configuration_lineage::ProvesCurrent(time_point requested_at, time_point now) const {
  const bool is_named_version_missing = now < named_until_ && named_ > InForce();
  const bool has_had_time = !proof_from_ || requested_at >= *proof_from_;
  return has_had_time && !held_ && !is_named_version_missing;
}

}  // namespace berylbarrow
