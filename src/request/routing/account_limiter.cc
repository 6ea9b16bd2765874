#include "berylbarrow/request/routing/account_limiter.h"

#include <algorithm>

namespace berylbarrow {

bool account_limiter::TryAcquire(const std::string& account, std::uint32_t weight) {
  weight = std::max<std::uint32_t>(1, weight);
  const auto it = accounts_.find(account);
  const usage current = it == accounts_.end() ? usage{.weight = weight} : it->second;
  const bool is_limited =
      static_cast<double>(in_flight_) > options_.fairness_threshold * options_.max_requests;
  if (is_limited) {
    const std::uint64_t total_weight =
        active_weight_ + (it == accounts_.end() ? current.weight : std::uint64_t{0});
    const double share = static_cast<double>(options_.max_requests) * current.weight /
                         static_cast<double>(total_weight);
    if (current.in_flight + 1.0 > std::max(1.0, share)) {
      return false;
    }
  }
  if (it == accounts_.end()) {
    accounts_.emplace(account, usage{.in_flight = 1, .weight = weight});
    active_weight_ += weight;
  } else {
    ++it->second.in_flight;
  }
  ++in_flight_;
  return true;
}

void account_limiter::Release(const std::string& account) {
  const auto it = accounts_.find(account);
  if (it == accounts_.end()) {
    return;
  }
  --in_flight_;
  if (--it->second.in_flight == 0) {
    active_weight_ -= it->second.weight;
    accounts_.erase(it);
  }
}

}  // namespace berylbarrow
