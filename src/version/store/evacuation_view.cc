#include "berylbarrow/version/store/evacuation_view.h"

#include <utility>

namespace berylbarrow {

void evacuation_view::Replace(const std::set<std::string>& domains, time_point now) {
  if (std::exchange(is_restored_, false)) {
    // Those that an earlier restoration has lost get the full time again.
    for (auto& [domain, until] : lost_) until = now + options_.rewrite_time;
    for (const std::string& domain : stored_) lost_[domain] = now + options_.rewrite_time;
  }
  stored_ = domains;
  for (const std::string& domain : domains) lost_.erase(domain);
}

void evacuation_view::Put(const std::string& domain) {
  stored_.insert(domain);
  lost_.erase(domain);
}

void evacuation_view::Remove(const std::string& domain) {
  stored_.erase(domain);
  lost_.erase(domain);
}

std::set<std::string> evacuation_view::Domains(time_point now) {
  std::erase_if(lost_, [now](const auto& entry) { return now >= entry.second; });
  std::set<std::string> domains = stored_;
  for (const auto& [domain, until] : lost_) domains.insert(domain);
  return domains;
}

}  // namespace berylbarrow
