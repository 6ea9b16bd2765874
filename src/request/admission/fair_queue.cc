#include "berylbarrow/request/admission/fair_queue.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace berylbarrow {
namespace {

double ShareOf(const queued_execution& work) {
  return 1.0 / std::max<std::uint32_t>(work.weight, 1);
}

}  // namespace

bool fair_queue::Push(const queued_execution& work) {
  if (size_ >= capacity_) {
    return false;
  }
  account_queue& queue = accounts_[work.account];
  if (queue.items.empty()) {
    queue.finish = virtual_time_ + ShareOf(work);
  }
  const std::uint32_t urgency = std::numeric_limits<std::uint32_t>::max() - work.priority;
  queue.items.emplace(place{urgency, ++arrivals_}, work);
  ++size_;
  return true;
}

std::map<std::string, fair_queue::account_queue>::const_iterator fair_queue::First() const {
  return std::min_element(accounts_.begin(), accounts_.end(), [](const auto& a, const auto& b) {
    return a.second.finish < b.second.finish;
  });
}

const queued_execution* fair_queue::Peek() const {
  const auto first = First();
  return first == accounts_.end() ? nullptr : &first->second.items.begin()->second;
}

std::optional<queued_execution> fair_queue::Pop() {
  const auto first = First();
  if (first == accounts_.end()) {
    return std::nullopt;
  }
  account_queue& queue = accounts_.at(first->first);
  queued_execution work = std::move(queue.items.begin()->second);
  queue.items.erase(queue.items.begin());
  --size_;
  virtual_time_ = queue.finish;
  if (queue.items.empty()) {
    accounts_.erase(first);
  } else {
    queue.finish += ShareOf(queue.items.begin()->second);
  }
  return work;
}

const queued_execution* fair_queue::EvictionCandidate(const std::string& account,
                                                      std::uint32_t weight) const {
  const auto own = accounts_.find(account);
  const std::size_t own_items = own == accounts_.end() ? 0 : own->second.items.size();
  double highest = static_cast<double>(own_items + 1) / std::max<std::uint32_t>(weight, 1);
  const queued_execution* displaced = nullptr;
  for (const auto& [name, queue] : accounts_) {
    const queued_execution& last = queue.items.rbegin()->second;
    const double load = static_cast<double>(queue.items.size()) * ShareOf(last);
    if (name != account && load > highest) {
      highest = load;
      displaced = &last;
    }
  }
  return displaced;
}

bool fair_queue::Remove(execution_id execution) {
  for (auto account = accounts_.begin(); account != accounts_.end(); ++account) {
    auto& items = account->second.items;
    const auto item = std::find_if(items.begin(), items.end(), [execution](const auto& entry) {
      return entry.second.execution == execution;
    });
    if (item == items.end()) {
      continue;
    }
    items.erase(item);
    --size_;
    if (items.empty()) {
      accounts_.erase(account);
    }
    return true;
  }
  return false;
}

std::vector<queued_execution> fair_queue::Expire(time_point now) {
  std::vector<queued_execution> expired;
  for (const auto& [name, queue] : accounts_) {
    for (const auto& [key, work] : queue.items) {
      if (work.deadline <= now) {
        expired.push_back(work);
      }
    }
  }
  for (const queued_execution& work : expired) {
    Remove(work.execution);
  }
  return expired;
}

std::vector<queued_execution> fair_queue::Clear() {
  std::vector<queued_execution> all;
  while (auto work = Pop()) {
    all.push_back(std::move(*work));
  }
  return all;
}

time_point fair_queue::NextDeadline() const {
  time_point next = time_point::max();
  for (const auto& [name, queue] : accounts_) {
    for (const auto& [key, work] : queue.items) {
      next = std::min(next, work.deadline);
    }
  }
  return next;
}

}  // namespace berylbarrow
