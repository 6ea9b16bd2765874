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
    time_point now, const std::set<queued_request_id>& passed_over) const {
  const auto rank = [&](const queued_request& request) {
    const auto turn = last_turn_.find(request.account);
    return std::make_tuple(request.priority, now > request.on_time_until,
                           turn == last_turn_.end() ? std::uint64_t{0} : turn->second,
                           request.arrival, request.id);
  };
  const queued_request* first = nullptr;
  for (const auto& [id, request] : requests_) {
    if (passed_over.count(id) > 0) continue;
    if (first == nullptr || rank(request) < rank(*first)) first = &request;
  }
  return first == nullptr ? std::nullopt : std::optional(first->id);
}

void request_queue::OnDispatched(queued_request_id id) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  last_turn_[found->second.account] = ++turn_;
  requests_.erase(found);
  if (requests_.empty()) last_turn_.clear();
}

void request_queue::Remove(queued_request_id id) { requests_.erase(id); }

std::vector<queued_request_id> request_queue::TakeExpired(time_point now) {
  std::vector<queued_request_id> hopeless;
  for (auto each = requests_.begin(); each != requests_.end();) {
    if (now < each->second.dispatch_deadline) {
      ++each;
      continue;
    }
    hopeless.push_back(each->first);
    each = requests_.erase(each);
  }
  return hopeless;
}

}  // namespace berylbarrow
