#include "berylbarrow/request/admission/waiting_line.h"

#include <algorithm>
#include <tuple>

namespace berylbarrow {

bool waiting_line::Push(const waiting_request& request) {
  if (requests_.size() >= capacity_) return false;
  requests_.emplace(request.id, request);
  return true;
}

std::optional<waiting_id> waiting_line::Next(time_point now,
                                             const std::set<waiting_id>& passed_over) const {
  const auto rank = [&](const waiting_request& request) {
    const auto turn = last_turn_.find(request.account);
    return std::make_tuple(request.priority, now > request.on_time_until,
                           turn == last_turn_.end() ? std::uint64_t{0} : turn->second,
                           request.arrival, request.id);
  };
  const waiting_request* first = nullptr;
  for (const auto& [id, request] : requests_) {
    if (passed_over.count(id) > 0) continue;
    if (first == nullptr || rank(request) < rank(*first)) first = &request;
  }
  return first == nullptr ? std::nullopt : std::optional(first->id);
}

void waiting_line::OnServed(waiting_id id) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  last_turn_[found->second.account] = ++turn_;
  requests_.erase(found);
  if (requests_.empty()) last_turn_.clear();
}

void waiting_line::Remove(waiting_id id) { requests_.erase(id); }

std::vector<waiting_id> waiting_line::TakeHopeless(time_point now) {
  std::vector<waiting_id> hopeless;
  for (auto each = requests_.begin(); each != requests_.end();) {
    if (now < each->second.hopeless_from) {
      ++each;
      continue;
    }
    hopeless.push_back(each->first);
    each = requests_.erase(each);
  }
  return hopeless;
}

}  // namespace berylbarrow
