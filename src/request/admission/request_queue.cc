#include "berylbarrow/request/admission/request_queue.h"

#include <algorithm>
#include <tuple>

namespace berylbarrow {

bool request_queue::Push(const queued_request& request) {
  if (requests_.size() >= capacity_) return false;
  requests_.emplace(request.id, request);
  return true;
}

std::optional<queued_request_id> request_queue::Next(
    time_point now, const std::set<queued_request_id>& skipped) const {
  const auto sort_key = [&](const queued_request& request) {
    const auto last = last_dispatch_.find(request.account);
    const bool is_late = now > request.on_time_until;
    return std::make_tuple(late_yields_ && is_late, request.urgency, is_late,
                           last == last_dispatch_.end() ? std::uint64_t{0} : last->second,
                           request.arrival, request.id);
  };
  const queued_request* next = nullptr;
  for (const auto& [id, request] : requests_) {
    if (skipped.count(id) > 0) continue;
    if (next == nullptr || sort_key(request) < sort_key(*next)) next = &request;
  }
  return next == nullptr ? std::nullopt : std::optional(next->id);
}

void request_queue::OnDispatched(queued_request_id id) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  last_dispatch_[found->second.account] = ++dispatches_;
  requests_.erase(found);
  if (requests_.empty()) last_dispatch_.clear();
}

std::size_t request_queue::CountUpTo(const request_urgency& urgency) const {
  return static_cast<std::size_t>(
      std::count_if(requests_.begin(), requests_.end(),
                    [&](const auto& entry) { return entry.second.urgency <= urgency; }));
}

void request_queue::Remove(queued_request_id id) { requests_.erase(id); }

std::vector<queued_request_id> request_queue::TakeExpired(time_point now) {
  std::vector<queued_request_id> expired;
  for (auto it = requests_.begin(); it != requests_.end();) {
    if (now < it->second.dispatch_deadline) {
      ++it;
      continue;
    }
    expired.push_back(it->first);
    it = requests_.erase(it);
  }
  return expired;
}

}  // namespace berylbarrow
